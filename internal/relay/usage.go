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
	// reportInterval is how often this VM tells the others what it has at the
	// engines, and minReportInterval the least span between two words: a burst of
	// changes makes one word, and one of them is known elsewhere before an
	// engine is chosen for the next request of 30 a second.
	reportInterval    = 400 * clock.Millis(1)
	minReportInterval = 4 * clock.Millis(1)
	// declinedAvoidTime is how long an engine is avoided that declined what it had a
	// place for. Where computed prompts lapse, they do for 4 to 5 s; each try
	// costs a prefill.
	declinedAvoidTime = 2500 * clock.Millis(1)
	// reportIntervalPerVM is the least span for each VM that is told, so that a VM of a
	// large fleet sends no more than about 70 words a second to keep them
	// fresh.
	reportIntervalPerVM = 14 * clock.Millis(1)
	maxReportInterval   = usage.ReportTTL * 2 / 5
	// maxWaitingReported bounds the waiting requests that one word names: it keeps
	// the word within a datagram.
	maxWaitingReported = 16
)

// ShareUsage tells what this VM has at the engines until the context ends:
// when it changes, and regularly.
func (rl *Relay) ShareUsage(ctx context.Context, tell func(rp usage.Report)) {
	for {
		rl.mu.Lock()
		rl.initialize()
		rp, changed := rl.report(rl.now()), rl.usageChanged
		rl.mu.Unlock()
		tell(rp)
		if !clock.Sleep(ctx, minReportInterval) {
			return
		}
		timer := time.NewTimer(rl.reportPeriod().Std())
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
			if len(rp.Waiting) < maxWaitingReported {
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

// reportPeriod is how often the others are told without a change.
func (rl *Relay) reportPeriod() clock.Millis {
	if rl.OtherVMs == nil {
		return reportInterval
	}
	others, _ := rl.OtherVMs()
	return min(maxReportInterval, max(reportInterval, clock.Millis(len(others))*reportIntervalPerVM))
}

// ReceiveUsage takes what another VM has at the engines.
func (rl *Relay) ReceiveUsage(vm string, rp usage.Report) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	rl.ledger.ApplyReport(rl.now(), vm, rp)
	rl.wakeWaiters()
}

// MarkRoleChanging notes that this VM ordered an engine to change its role, and until
// when that may be under way. The other VMs are told.
func (rl *Relay) MarkRoleChanging(engine string, until clock.Millis) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	rl.ledger.Avoid(engine, until)
	rl.notifyUsageChanged()
}

// avoidDeclined has all VMs avoid an engine that avoidDeclined, by its own word, what it
// had a place for or had computed.
func (rl *Relay) avoidDeclined(engine string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.Avoid(engine, rl.now()+declinedAvoidTime)
	rl.notifyUsageChanged()
}

// reportShortage has all VMs know that a new request was refused for want of a
// place.
func (rl *Relay) reportShortage() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.MarkShortage(rl.now())
	rl.notifyUsageChanged()
}

// readmitChangedRoles notes engines whose role is another than before. The lock is held.
func (rl *Relay) readmitChangedRoles(old *board.Backends, list []board.BackendServer) {
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

// TriggerUsageReport has the other VMs told, whatever they know.
func (rl *Relay) TriggerUsageReport() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	rl.notifyUsageChanged()
}

// notifyUsageChanged has the other VMs told. The lock is held.
func (rl *Relay) notifyUsageChanged() {
	select {
	case rl.usageChanged <- struct{}{}:
	default: // they will be told of this change too
	}
}

// recordGrowth notes what a run has generated.
func (rl *Relay) recordGrowth(rn *run, events int) {
	if events == 0 || rn.ex.svc.Engines == nil {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	tokens := events * rn.ex.svc.Engines.Stride
	rn.tokens += tokens
	rl.ledger.Grow(rl.now(), rn.pl.entry, tokens)
}
