package integration

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A signal that a program does not listen for ends it at once, with the answers
// that are open in it: SIGHUP ended a VM ("signal: hangup"), whether it served or
// drained. Signals that are no order to stop now change nothing, and so does a
// second order.
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
	assert.Check(t, once.wait(), "the answer was cut off")
	eventually(t, "the VM stops", vm.process().exited)
	assert.Equal(t, vm.process().code, 0)
	fl.checkInvariants()
}
