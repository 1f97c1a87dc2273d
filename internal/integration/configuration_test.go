package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/operator"
	"alderdyke/internal/standin/deployment"
	logsim "alderdyke/internal/standin/logsvc"
	listsim "alderdyke/internal/standin/vmlist"
	"alderdyke/pkg/template"
)

// templateWithWeight returns the template with another weight, which identifies
// the revision.
func (fl *fleet) templateWithWeight(weight int) template.Template {
	tpl := fl.tpl
	tpl.PrefillWeight = float64(weight) / 1000
	return tpl
}

// publishRevision publishes a revision, which must be accepted, and waits until
// it is in force at all VMs.
func (fl *fleet) publishRevision(through *vm, id string, base uint64, weight int) uint64 {
	fl.t.Helper()
	reply := fl.publish(through, id, base, fl.templateWithWeight(weight))
	assert.Assert(fl.t, reply.Accepted, "%+v", reply)
	fl.recordAccepted(reply.Revision, fl.vms...)
	results.recordDuration("a revision is in force at every VM", fl.awaitRevision(reply.Revision, fl.vms...))
	return reply.Revision
}

// revision returns the revision in force at a VM.
func (fl *fleet) revision(vm *vm) uint64 { return fl.observeRevision(fl.t.Context(), vm) }

// Revisions are published through each VM in turn. Each must come in force at
// every VM in time, and no VM may revert to an earlier one.
func TestRevisionsTakeEffectAtEveryVM(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	fl.watchRevisions()
	base := fl.revision(fl.vms[0])
	for ix := range 12 {
		base = fl.publishRevision(fl.vms[ix%len(fl.vms)], fmt.Sprintf("revision-%d", ix), base, ix)
	}
	fl.checkInvariants()
}

// Two operators publish concurrently through two VMs, based on the same
// revision: exactly one publication is accepted, the other reply contains the
// accepted revision, and all VMs agree on it.
func TestTwoOperatorsPublishConcurrently(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	fl.watchRevisions()
	for round := range 8 {
		base := fl.revision(fl.vms[0])
		replies := make([]operator.PublishReply, 2)
		var wg sync.WaitGroup
		for ix := range replies {
			wg.Go(func() {
				replies[ix] = fl.publish(fl.vms[ix], fmt.Sprintf("race-%d-%d", round, ix), base, fl.templateWithWeight(10*round+ix))
			})
		}
		wg.Wait()
		assert.Assert(t, replies[0].Accepted != replies[1].Accepted, "%+v", replies)
		won := 0
		if replies[1].Accepted {
			won = 1
		}
		assert.Equal(t, replies[1-won].Current, replies[won].Revision)
		fl.recordAccepted(replies[won].Revision, fl.vms...)
		fl.awaitRevision(replies[won].Revision, fl.vms...)
		for _, vm := range fl.vms {
			got, err := vm.ops.Template(t.Context(), customer)
			assert.NilError(t, err)
			assert.Equal(t, got.Revision, replies[won].Revision)
			assert.Equal(t, got.Template.PrefillWeight, fl.templateWithWeight(10*round+won).PrefillWeight)
		}
	}
	fl.checkInvariants()
}

// The log service has an outage when an operator publishes, and then loses the
// reply to an append that took effect. A publication that is repeated with the
// same ID must come in force exactly once.
func TestLogFailsAtPublish(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	fl.watchRevisions()
	base := fl.revision(fl.vms[0])
	results.countFault("log outage")
	fl.dp.Logs.Set(logsim.Faults{Outage: true})
	_, err := fl.vms[0].ops.Publish(t.Context(), operator.Publication{
		ID: "outage", Customer: customer, Base: base, Template: fl.templateWithWeight(1),
	})
	assert.Assert(t, err != nil, "accepted during the outage of the log service")
	assert.Equal(t, fl.revision(fl.vms[0]), base)
	fl.dp.Logs.Set(logsim.Faults{})
	base = fl.publishRevision(fl.vms[0], "outage", base, 1)

	results.countFault("log reply lost after the append")
	fl.dp.Logs.Set(logsim.Faults{LoseReplies: 1})
	again := fl.publishRevision(fl.vms[1], "lost-reply", base, 2)
	same := fl.publish(fl.vms[2], "lost-reply", base, fl.templateWithWeight(2))
	assert.Assert(t, same.Accepted)
	assert.Equal(t, same.Revision, again)
	for _, vm := range fl.vms {
		assert.Equal(t, fl.revision(vm), again)
	}
	fl.checkInvariants()
}

// A VM that is cut off from the log service, but not from the other VMs, must
// still have new revisions in force in time.
func TestVMCutOffFromTheLog(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	fl.watchRevisions()
	px := fl.proxy(deployment.LogLink, fl.vms[2].set.ID)
	px.stall(t)
	base := fl.revision(fl.vms[0])
	for ix := range 5 {
		base = fl.publishRevision(fl.vms[ix%2], fmt.Sprintf("cut-%d", ix), base, ix)
	}
	px.heal(t)
	fl.publishRevision(fl.vms[2], "healed", base, 100)
	fl.checkInvariants()
}

// A VM is cut off from the log service and from all other VMs and misses
// revisions. After it is reconnected, it must have the newest revision in force
// in time and must never revert to an earlier one.
func TestVMCutOffFromLogAndVMs(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	fl.watchRevisions()
	lone, rest := fl.vms[2:], fl.vms[:2]
	px := fl.proxy(deployment.LogLink, lone[0].set.ID)
	px.stall(t)
	fl.net.partition(lone, rest, true)
	base := fl.revision(rest[0])
	for ix := range 3 {
		reply := fl.publish(rest[0], fmt.Sprintf("apart-%d", ix), base, fl.templateWithWeight(ix))
		assert.Assert(t, reply.Accepted)
		base = reply.Revision
		fl.recordAccepted(base, rest...)
		fl.awaitRevision(base, rest...)
	}
	assert.Assert(t, fl.revision(lone[0]) < base)
	px.heal(t)
	fl.net.partition(lone, rest, false)
	results.recordDuration("a VM that was cut off has the newest revision", fl.awaitRevision(base, lone...))
	fl.checkInvariants()
}

// A VM that starts during an outage of the log service must get the
// configuration from the other VMs and serve.
func TestVMStartsDuringLogOutage(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	fl.watchRevisions()
	base := fl.publishRevision(fl.vms[0], "before", fl.revision(fl.vms[0]), 7)
	results.countFault("log outage")
	fl.dp.Logs.Set(logsim.Faults{Outage: true})
	fresh := fl.vms[2]
	fresh.kill(t)
	fresh.start(t)
	began := time.Now()
	fl.awaitRevision(base, fresh)
	results.recordDuration("a VM that starts during a log outage has the configuration", time.Since(began))
	eventually(t, "the new VM serves", func() bool { return fl.fetchRecordAt(fresh, fmt.Sprint("early-", time.Now().UnixNano())).wait() == nil })
	assert.Check(t, fl.chatAt(fresh, "early-chat", 10).wait())
	fl.dp.Logs.Set(logsim.Faults{})
	fl.publishRevision(fresh, "after", base, 8)
	for _, vm := range fl.vms {
		fl.awaitServing(vm)
	}
	assert.Check(t, fl.sendPaymentAt(fresh, "after-the-outage").wait())
	fl.checkInvariants()
}

// The log service and the VM list both have an outage under load. No call may
// fail because of it.
func TestPlatformOutageUnderLoad(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	ld := fl.startLoad("platform", 2)
	fl.awaitCalls(20)
	results.countFault("log outage")
	results.countFault("VM list outage")
	fl.dp.Logs.Set(logsim.Faults{Outage: true})
	fl.dp.List.Set(listsim.Faults{Outage: true})
	fl.awaitCalls(300)
	for _, err := range ld.stop() {
		t.Error(err)
	}
	fl.checkInvariants()
}
