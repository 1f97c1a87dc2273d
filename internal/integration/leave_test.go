package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/invariant"
	"alderdyke/internal/standin"
	listsim "alderdyke/internal/standin/vmlist"
	"alderdyke/pkg/clock"
)

// callerLoad sends calls of several kinds repeatedly until stop.
type callerLoad struct {
	fl   *fleet
	quit chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	errs []error
}

// startLoad starts the given number of callers of each kind.
func (fl *fleet) startLoad(name string, each int) *callerLoad {
	ld := &callerLoad{fl: fl, quit: make(chan struct{})}
	for ix := range each {
		cl := fl.client()
		ld.callRepeatedly(func(round int) *ongoing {
			return fl.chat(cl, "findings", fmt.Sprintf("%s-chat-%d-%d", name, ix, round), 60)
		})
		ld.callRepeatedly(func(round int) *ongoing {
			return fl.chat(cl, "fieldnote", fmt.Sprintf("%s-note-%d-%d", name, ix, round), 10)
		})
		ld.callRepeatedly(func(round int) *ongoing { return fl.fetchRecord(cl, fmt.Sprintf("%s-record-%d-%d", name, ix, round)) })
		ld.callRepeatedly(func(round int) *ongoing { return fl.sendPayment(cl, fmt.Sprintf("%s-payment-%d-%d", name, ix, round)) })
	}
	return ld
}

func (ld *callerLoad) callRepeatedly(next func(round int) *ongoing) {
	ld.wg.Go(func() {
		for round := 0; ; round++ {
			select {
			case <-ld.quit:
				return
			case <-ld.fl.t.Context().Done(): // the test has ended early
				return
			default:
			}
			if err := next(round).wait(); err != nil {
				ld.mu.Lock()
				ld.errs = append(ld.errs, err)
				ld.mu.Unlock()
			}
		}
	})
}

// stop waits for the calls in progress and returns the errors of all failed calls.
func (ld *callerLoad) stop() []error {
	close(ld.quit)
	ld.wg.Wait()
	return ld.errs
}

// endedCalls returns the number of calls that have ended.
func (fl *fleet) endedCalls() int {
	count := 0
	fl.updateHistory(func(hs *invariant.History) { count = len(hs.Calls) })
	return count
}

// awaitCalls waits until the given number of further calls have ended.
func (fl *fleet) awaitCalls(more int) {
	fl.t.Helper()
	before := fl.endedCalls()
	eventually(fl.t, fmt.Sprintf("%d more calls ended", more), func() bool { return fl.endedCalls() >= before+more })
}

// stopPlanned performs a planned stop of a VM and records it. Meanwhile a caller
// that never retries is receiving an answer from that VM, and must get the rest
// over the same connection.
func (fl *fleet) stopPlanned(vm *vm) {
	fl.t.Helper()
	key := "once-at-" + vm.set.ID
	once := fl.chatAt(vm, key, 200)
	assert.Equal(fl.t, fl.awaitRunner(key, 5).set.ID, vm.set.ID)
	st := invariant.PlannedStop{VM: vm.set.ID, Began: time.Now()}
	fl.dp.MarkLeaving(vm.set.ID)
	vm.terminate(fl.t)
	select {
	case <-vm.process().done:
		st.Ended, st.ExitCode = time.Now(), vm.process().code
	case <-time.After(eventTimeout):
	}
	results.recordDuration("a planned stop under load", time.Since(st.Began))
	assert.Check(fl.t, once.wait(), "the answer was interrupted")
	fl.updateHistory(func(hs *invariant.History) { hs.PlannedStops = append(hs.PlannedStops, st) })
}

// A planned stop of a VM under load interrupts no call, and callers that still
// use the VM's address lose none.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	ld := fl.startLoad("stop", 2)
	long := fl.chat(fl.client(), "findings", "long", 400)
	fl.awaitCalls(20)
	fl.stopPlanned(fl.awaitRunner("long", 5))
	fl.awaitCalls(20)
	for _, err := range ld.stop() {
		t.Error(err)
	}
	assert.Check(t, long.wait())
	fl.checkInvariants()
}

// All VMs are replaced one after another under load.
func TestRollingReplacementUnderLoad(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	ld := fl.startLoad("roll", 2)
	fl.awaitCalls(20)
	for _, vm := range fl.vms {
		fl.stopPlanned(vm)
		vm.start(t)
		fl.dp.MarkLive(vm.set.ID)
		for _, other := range fl.vms {
			fl.awaitServing(other)
		}
		fl.awaitCalls(20)
	}
	for _, err := range ld.stop() {
		t.Error(err)
	}
	fl.checkInvariants()
}

// Backend servers report that they are leaving while the VM list lags by ten
// seconds. After three seconds they must get no more work.
func TestLeavingServersGetNoNewWork(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	ld := fl.startLoad("leave", 3)
	fl.awaitCalls(30)
	results.countFault("VM list lags by 10s")
	fl.dp.List.Set(listsim.Faults{Lag: 10 * clock.Second})
	leaving := map[string]*standin.Control{fl.dp.Services[0].ID: &fl.dp.Services[0].Control}
	seen := map[board.Role]bool{}
	for _, en := range fl.dp.Engines {
		if !seen[en.Role] {
			seen[en.Role] = true
			leaving[en.ID] = &en.Control
		}
	}
	since := time.Now()
	for id, ct := range leaving {
		results.countFault("backend server leaves")
		ct.Set(standin.Faults{Leaving: true})
		fl.dp.MarkLeaving(id)
		fl.updateHistory(func(hs *invariant.History) {
			hs.LeavingServers = append(hs.LeavingServers, invariant.LeavingServer{Server: id, Since: since})
		})
	}
	eventually(t, "the time allowed for starting work on leaving servers is over", func() bool { return time.Since(since) >= invariant.MaxStartAfterLeaving.Std() })
	before := fl.declinedAsLeaving(leaving)
	fl.awaitCalls(100)
	assert.Equal(t, fl.declinedAsLeaving(leaving), before, "orders that leaving servers declined, after and before")
	for _, err := range ld.stop() {
		t.Error(err)
	}
	fl.checkInvariants()
}

// Backend servers leave only according to the VM list and would still accept
// work. After three seconds they must not start any more.
func TestServersLeavingOnlyByVMList(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	ld := fl.startLoad("listed", 3)
	fl.awaitCalls(30)
	leaving := []string{fl.dp.Services[0].ID, fl.dp.Engines[0].ID, fl.dp.Engines[len(fl.dp.Engines)-1].ID}
	since := time.Now()
	for _, id := range leaving {
		results.countFault("backend server leaves")
		fl.dp.MarkLeaving(id)
		fl.updateHistory(func(hs *invariant.History) {
			hs.LeavingServers = append(hs.LeavingServers, invariant.LeavingServer{Server: id, Since: since})
		})
	}
	eventually(t, "the time allowed for starting work on leaving servers is over", func() bool { return time.Since(since) >= invariant.MaxStartAfterLeaving.Std() })
	fl.awaitCalls(100)
	for _, err := range ld.stop() {
		t.Error(err)
	}
	fl.checkInvariants()
}

// declinedAsLeaving returns the number of orders that the servers declined
// because they are leaving.
func (fl *fleet) declinedAsLeaving(servers map[string]*standin.Control) int {
	count := 0
	for _, en := range fl.dp.Engines {
		if servers[en.ID] != nil {
			count += en.History().Declined[backend.Leaving]
		}
	}
	for _, sv := range fl.dp.Services {
		if servers[sv.ID] != nil {
			count += sv.History().Declined[backend.Leaving]
		}
	}
	return count
}
