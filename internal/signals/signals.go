// Package signals handles the operating system's signals from the start of a
// program to its end.
//
// A signal that a program does not handle terminates it immediately, together
// with all of its open work. Therefore a program handles every signal that it may
// receive before it does anything else, and never stops doing so: the first
// request to stop starts a graceful shutdown, further ones change nothing, and no
// other signal terminates the program. SIGQUIT and SIGKILL still do, for operators
// who do not want a graceful shutdown.
//
// Initializing all packages of a program takes milliseconds, and hundreds of
// milliseconds on a small VM. Therefore this package, which has few dependencies
// and is initialized among the first, handles signals from then on, and [Listen]
// takes over those that arrived before it. A signal that arrives while the operating
// system is still loading the program terminates it, because none of its
// instructions has run.
//
// # Usage
//
//	func main() {
//		sg := signals.Listen()
//		err := run(sg.Context()) // until a request to stop
//		...
//		os.Exit(code)            // no cleanup is needed
//	}
package signals

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

var (
	// earlySignals holds the signals that arrived before Listen: a request to stop
	// and a notice that the settings may have changed. SIGINT is not among them,
	// because a person who interrupts a test at a terminal sends it to programs
	// that never call Listen.
	earlySignals = struct{ stop, reload chan os.Signal }{
		stop: notifyChannel(syscall.SIGTERM), reload: notifyChannel(syscall.SIGHUP)}
	forwardEarly sync.Once
)

// Signals holds the signals that the program has received. Create it with [Listen].
type Signals struct {
	ctx    context.Context
	reload chan os.Signal
}

// Listen starts to handle signals until the program ends.
func Listen() *Signals {
	ctx, cancel := context.WithCancel(context.Background())
	stop := notifyChannel(syscall.SIGTERM, os.Interrupt)
	sg := &Signals{ctx: ctx, reload: notifyChannel(syscall.SIGHUP)}
	forwardEarly.Do(func() {
		forward(earlySignals.stop, stop)
		forward(earlySignals.reload, sg.reload)
	})
	// SIGPIPE is raised when the reader of the log has exited. SIGUSR1 and SIGUSR2
	// are sent to programs that keep their log in files. All three are ignored here.
	notifyChannel(syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		<-stop
		cancel()
	}()
	return sg
}

// notifyChannel returns a channel that holds the first of the signals that arrives;
// further signals are dropped until it has been received.
func notifyChannel(sigs ...os.Signal) chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, sigs...)
	return ch
}

// forward stops notifications on one channel and passes a signal that it holds to
// another channel, which already receives notifications.
func forward(from, to chan os.Signal) {
	signal.Stop(from)
	select {
	case sig := <-from:
		select {
		case to <- sig:
		default: // it already holds a signal, and pending signals are merged into one
		}
	default:
	}
}

// Context returns a context that ends with the first request to stop: SIGTERM or SIGINT.
func (sg *Signals) Context() context.Context { return sg.ctx }

// TerminalContext returns a context that ends with the first request to stop or when
// the terminal closes: SIGHUP. It is for programs that a person runs and that have no
// responses to other programs in progress.
func (sg *Signals) TerminalContext() context.Context {
	ctx, cancel := context.WithCancel(sg.ctx)
	go func() {
		select {
		case <-sg.reload:
		case <-sg.ctx.Done():
		}
		cancel()
	}()
	return ctx
}

// Reload returns a channel that holds a signal when the settings may have changed:
// SIGHUP. Pending signals are merged into one.
func (sg *Signals) Reload() <-chan os.Signal { return sg.reload }
