package signals_test

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/signals"
)

// send sends a signal to this process.
func send(t *testing.T, sig syscall.Signal) {
	t.Helper()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), sig))
}

func ended(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-time.After(100 * time.Millisecond):
		return false
	}
}

// The order of signals is that of a life: none ends the process, the first order to
// stop ends the contexts, and a change of settings is told before and after it.
func TestSignals(t *testing.T) {
	sg := signals.Listen()
	for _, sig := range []syscall.Signal{syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2} {
		send(t, sig)
	}
	assert.Assert(t, !ended(sg.Context().Done()))
	for _, after := range []string{"before an order to stop", "behind it"} {
		send(t, syscall.SIGHUP)
		select {
		case <-sg.Reload():
		case <-time.After(time.Minute):
			t.Fatalf("a change of settings is not told %s", after)
		}
		send(t, syscall.SIGTERM)
		<-sg.Context().Done()
	}
	// A second order changes nothing. It is waited for, or it would come in the test
	// that follows.
	second := make(chan os.Signal, 1)
	signal.Notify(second, syscall.SIGINT)
	send(t, syscall.SIGINT)
	<-second
}

func TestTerminalContextEndsOnHangup(t *testing.T) {
	sg := signals.Listen()
	ctx := sg.TerminalContext()
	assert.Assert(t, !ended(ctx.Done()))
	send(t, syscall.SIGHUP)
	<-ctx.Done()
	assert.NilError(t, sg.Context().Err())
}
