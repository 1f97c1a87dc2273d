package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin"
	"alderdyke/pkg/refusal"
)

// slowServicePlan returns a plan whose plain calls take so long that they are
// running when a fault is injected.
func slowServicePlan() plan {
	pl := defaultPlan()
	pl.service.Latency = 1500
	return pl
}

// One payment is sent through all VMs at once. It must run once, and all callers
// must get the same answer.
func TestOneKeyThroughAllVMsAtOnce(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	for round := range 5 {
		key := fmt.Sprintf("all-%d", round)
		var calls []*ongoing
		for _, vm := range fl.vms {
			calls = append(calls, fl.sendPaymentAt(vm, key))
		}
		for _, og := range calls {
			assert.Check(t, og.wait())
		}
		assert.Equal(t, fl.serviceRuns(key), 1)
	}
	fl.checkInvariants()
}

// The VM that runs a payment is killed while the service processes it. The
// caller repeats it at the other VMs, before and after they consider the VM dead,
// and it must never run a second time.
func TestAtMostOnceWhenItsVMIsKilled(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, slowServicePlan())
	first := fl.vms[0]
	og := fl.sendPaymentAt(first, "killed")
	eventually(t, "the payment runs", func() bool { return fl.serviceRuns("killed") == 1 })
	killed := time.Now()
	first.kill(t)
	assert.Check(t, og.wait() != nil)
	for _, vm := range fl.otherVMs(first) {
		rf := fl.sendPaymentAt(vm, "killed").waitRefusal()
		assert.Check(t, rf.Ran != refusal.NotRun, "%v", rf)
	}
	for _, vm := range fl.otherVMs(first) {
		results.recordDuration("a dead VM is detected", fl.awaitDead(vm, first, killed))
		rf := fl.sendPaymentAt(vm, "killed").waitRefusal()
		assert.Check(t, rf.Ran != refusal.NotRun, "%v", rf)
	}
	assert.Equal(t, fl.serviceRuns("killed"), 1)
	fl.checkInvariants()
}

// The first VM that got a payment is paused until the others consider it dead,
// and the caller repeats the payment at these. Then the first VM resumes, with
// the state in which it is allowed to run the payment. It must not run twice.
func TestAtMostOnceWhenItsVMIsPaused(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, slowServicePlan())
	first := fl.vms[0]
	og := fl.sendPaymentAt(first, "paused")
	eventually(t, "the payment runs", func() bool { return fl.serviceRuns("paused") == 1 })
	paused := time.Now()
	first.pause(t)
	for _, vm := range fl.otherVMs(first) {
		results.recordDuration("a paused VM is held dead", fl.awaitDead(vm, first, paused))
	}
	var calls []*ongoing
	for _, vm := range fl.otherVMs(first) {
		calls = append(calls, fl.sendPaymentAt(vm, "paused"))
	}
	for _, call := range calls {
		assert.Check(t, call.waitRefusal().Ran != refusal.NotRun)
	}
	first.resume(t)
	og.wait()
	fl.awaitServing(first)
	for _, vm := range fl.vms {
		fl.sendPaymentAt(vm, "paused").wait()
	}
	assert.Equal(t, fl.serviceRuns("paused"), 1)
	fl.checkInvariants()
}

// A VM is paused while it is sending many payments to the service, and these are
// repeated at other VMs. Whatever state it resumes with, no payment may run
// twice.
func TestAtMostOnceThroughAPausedVM(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	first := fl.vms[0]
	var calls []*ongoing
	for ix := range 20 {
		calls = append(calls, fl.sendPaymentAt(first, fmt.Sprintf("sleep-%d", ix)))
	}
	paused := time.Now()
	first.pause(t)
	fl.awaitDead(fl.vms[1], first, paused)
	for ix := range 20 {
		calls = append(calls, fl.sendPaymentAt(fl.vms[1+ix%2], fmt.Sprintf("sleep-%d", ix)))
	}
	for _, og := range calls[20:] {
		og.wait()
	}
	first.resume(t)
	for _, og := range calls[:20] {
		og.wait()
	}
	fl.checkInvariants()
}

// The service runs a payment and its reply is lost. The refusal must say that
// the payment may have run, and no VM may run it again.
func TestReplyLostAfterEffect(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	results.countFault("reply lost after the effect")
	for _, sv := range fl.dp.Services {
		sv.Control.Set(standin.Faults{Paths: []string{"/payments/lost-reply"}, LoseReply: true})
	}
	for _, vm := range fl.vms {
		rf := fl.sendPaymentAt(vm, "lost-reply").waitRefusal()
		assert.Check(t, rf.Ran == refusal.MayHaveRun, "%v", rf)
	}
	assert.Equal(t, fl.serviceRuns("lost-reply"), 1)
	fl.checkInvariants()
}
