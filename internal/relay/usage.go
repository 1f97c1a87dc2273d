package relay

import (
	"context"
	"math"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/pool"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// tellEvery is how often this VM tells the others what it has at the
	// engines, and tellSoonest the least span between two words: a burst of
	// changes makes one word, and one of them is known elsewhere before an
	// engine is chosen for the next request of 30 a second.
	tellEvery   = 400 * clock.Millis(1)
	tellSoonest = 4 * clock.Millis(1)
	// avoidFor is how long an engine is avoided that declined what it had a
	// place for. Where computed prompts lapse, they do for 4 to 5 s; each try
	// costs a prefill.
	avoidFor = 2500 * clock.Millis(1)
	// tellPerVM is the least span for each VM that is told, so that a VM of a
	// large fleet sends no more than about 70 words a second to keep them
	// fresh.
	tellPerVM = 14 * clock.Millis(1)
	tellMost  = usage.ReportTTL * 2 / 5
	// waitingMost bounds the waiting requests that one word names: it keeps
	// the word within a datagram.
	waitingMost = 16
)

// ShareUsage tells what this VM has at the engines until the context ends:
// when it changes, and regularly.
func (rl *Relay) ShareUsage(ctx context.Context, tell func(rp usage.Report)) {
	for {
		rl.mu.Lock()
		rl.prepare()
		rp, changed := rl.report(rl.now()), rl.usageChanged
		rl.mu.Unlock()
		tell(rp)
		if !clock.Sleep(ctx, tellSoonest) {
			return
		}
		timer := time.NewTimer(rl.tellSpan().Std())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// report is what the others are told. The lock is held.
func (rl *Relay) report(now clock.Millis) usage.Report {
	rp := rl.ledger.Report(now)
	for name, po := range rl.pools {
		for _, tk := range po.TriedTickets() {
			if len(rp.Waiting) < waitingMost {
				rp.Waiting = append(rp.Waiting, askOf(now, name, tk))
			}
		}
	}
	return rp
}

// askOf is what a ticket is to all VMs.
func askOf(now clock.Millis, service string, tk *pool.Ticket) usage.WaitingRequest {
	return usage.WaitingRequest{Service: service, Returning: tk.Request().Returning, Turn: tk.Turn(), Age: tk.Waited(now)}
}

// tellSpan is how often the others are told without a change.
func (rl *Relay) tellSpan() clock.Millis {
	if rl.Others == nil {
		return tellEvery
	}
	others, _ := rl.Others()
	return min(tellMost, max(tellEvery, clock.Millis(len(others))*tellPerVM))
}

// HeardUsage takes what another VM has at the engines.
func (rl *Relay) HeardUsage(vm string, rp usage.Report) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.prepare()
	rl.ledger.ApplyReport(rl.now(), vm, rp)
	rl.signal()
}

// Changing notes that this VM ordered an engine to change its role, and until
// when that may be under way. The other VMs are told.
func (rl *Relay) Changing(engine string, until clock.Millis) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.prepare()
	rl.ledger.Avoid(engine, until)
	rl.usageMoved()
}

// declined has all VMs avoid an engine that declined, by its own word, what it
// had a place for or had computed.
func (rl *Relay) declined(engine string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.Avoid(engine, rl.now()+avoidFor)
	rl.usageMoved()
}

// runShort has all VMs know that a new request was refused for want of a
// place.
func (rl *Relay) runShort() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.MarkShortage(rl.now())
	rl.usageMoved()
}

// changed notes engines whose role is another than before. The lock is held.
func (rl *Relay) changed(old *board.Backends, list []board.BackendServer) {
	for _, bs := range list {
		if was, ok := old.Server(bs.ID); ok && was.Role != bs.Role {
			rl.ledger.Readmit(bs.ID)
		}
	}
}

// peakAt is what an engine will need with so many more runs of a size; an
// engine that is avoided has no room. The lock is held.
func (rl *Relay) peakAt(now clock.Millis, run usage.Run) func(id string, more int) int {
	return func(id string, more int) int {
		if rl.ledger.Avoided(now, id) {
			return math.MaxInt
		}
		return rl.ledger.Peak(now, id, run, more)
	}
}

// promptsAt is how many tokens of prompts are before one more at an engine.
// The lock is held.
func (rl *Relay) promptsAt(now clock.Millis) func(id string) int {
	return func(id string) int {
		if rl.ledger.Avoided(now, id) {
			return math.MaxInt
		}
		return rl.ledger.PromptTokens(now, id)
	}
}

// TellAgain has the other VMs told, whatever they know.
func (rl *Relay) TellAgain() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.prepare()
	rl.usageMoved()
}

// usageMoved has the other VMs told. The lock is held.
func (rl *Relay) usageMoved() {
	select {
	case rl.usageChanged <- struct{}{}:
	default: // they will be told of this change too
	}
}

// grew notes what a run has generated.
func (rl *Relay) grew(rn *run, events int) {
	if events == 0 || rn.ex.svc.Engines == nil {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	tokens := events * rn.ex.svc.Engines.Stride
	rn.made += tokens
	rl.ledger.Grow(rl.now(), rn.pl.entry, tokens)
}
