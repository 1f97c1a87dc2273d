// Package signals listens for the operating system's signals from a program's
// first line to its end.
//
// A signal that a program does not listen for ends it at once, with all that is
// open in it. So a program listens for all that it may be sent before it does
// anything else, and never ends to: the first order to stop begins a planned
// stop, further ones change nothing, and no other signal ends it. SIGQUIT and
// SIGKILL still do, for those who want no planned stop.
//
// Packages take milliseconds to initialize, and on a small VM hundreds of them.
// So this one, which depends on little and is initialized among the first, listens
// from then on, and [Listen] takes over what came. What comes while the operating
// system still loads the program ends it: no instruction of it has run.
//
// # Usage
//
//	func main() {
//		sg := signals.Listen()
//		err := run(sg.Context()) // until it is told to stop
//		...
//		os.Exit(code)            // there is nothing to undo
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
	// earlySignals holds what came before Listen: an order to stop, and a word that
	// the settings may have changed. SIGINT is not among them: a person who
	// ends a test at a terminal sends it to programs that never listen.
	earlySignals = struct{ stop, reload chan os.Signal }{
		stop: notifyChannel(syscall.SIGTERM), reload: notifyChannel(syscall.SIGHUP)}
	forwardEarly sync.Once
)

// Signals is what the program was sent so far. Make it with [Listen].
type Signals struct {
	ctx    context.Context
	reload chan os.Signal
}

// Listen begins to listen, for good.
func Listen() *Signals {
	ctx, cancel := context.WithCancel(context.Background())
	stop := notifyChannel(syscall.SIGTERM, os.Interrupt)
	sg := &Signals{ctx: ctx, reload: notifyChannel(syscall.SIGHUP)}
	forwardEarly.Do(func() {
		forward(earlySignals.stop, stop)
		forward(earlySignals.reload, sg.reload)
	})
	// SIGPIPE is raised when who reads the log is gone, and the others are sent
	// to programs that keep their log in files. Nobody reads them here.
	notifyChannel(syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		<-stop
		cancel()
	}()
	return sg
}

// notifyChannel is a channel that holds a word when one of the signals came.
func notifyChannel(sigs ...os.Signal) chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, sigs...)
	return ch
}

// forward ends listening by one channel, and puts a word that it holds into another
// one, which listens already.
func forward(from, to chan os.Signal) {
	signal.Stop(from)
	select {
	case sig := <-from:
		select {
		case to <- sig:
		default: // it holds a word, and words that nobody took yet are one
		}
	default:
	}
}

// Context ends with the first order to stop: SIGTERM or SIGINT.
func (sg *Signals) Context() context.Context { return sg.ctx }

// TerminalContext ends with the first order to stop, or when the terminal is gone: SIGHUP.
// It is for programs that a person runs, and that hold no answers of others.
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

// Reload holds a word when the settings may have changed: SIGHUP. Words that
// nobody took yet are one.
func (sg *Signals) Reload() <-chan os.Signal { return sg.reload }
