package integration

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A signal without a handler ends a process immediately, together with the
// answers in progress: SIGHUP ended a VM ("signal: hangup") while it served or
// drained. Signals that do not request a stop must have no effect, and neither
// must a second request to stop.
func TestSignalsDoNotInterruptAnswers(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, defaultPlan())
	vm := fl.vms[0]
	once := fl.chatAt(vm, "signals", 200)
	for _, stop := range []bool{false, true} {
		if stop {
			fl.dp.MarkLeaving(vm.set.ID)
			vm.terminate(t)
		}
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGHUP} {
			vm.signal(t, sig)
			time.Sleep(20 * time.Millisecond)
			assert.Assert(t, !vm.process().exited(), "%v ended the VM; stopping: %v", sig, stop)
		}
	}
	vm.terminate(t)
	vm.signal(t, syscall.SIGINT)
	assert.Check(t, once.wait(), "the answer was interrupted")
	eventually(t, "the VM stops", vm.process().exited)
	assert.Equal(t, vm.process().code, 0)
	fl.checkInvariants()
}
