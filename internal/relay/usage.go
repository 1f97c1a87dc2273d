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
	// reportInterval is how often this VM reports its usage of the engines to the
	// others, and minReportInterval the shortest time between two reports: a burst of
	// changes makes one report, and at 30 requests per second a report arrives before
	// an engine is chosen for the next request.
	reportInterval    = 400 * clock.Millis(1)
	minReportInterval = 4 * clock.Millis(1)
	// declinedAvoidTime is how long an engine is avoided that declined a call for
	// which it had a reserved place. If computed prompts expire, they do so for 4 to
	// 5 s, and each attempt costs a prefill.
	declinedAvoidTime = 2500 * clock.Millis(1)
	// reportIntervalPerVM is the minimum interval per receiving VM, so that a VM of a
	// large fleet sends at most about 70 reports per second to refresh its usage.
	reportIntervalPerVM = 14 * clock.Millis(1)
	maxReportInterval   = usage.ReportTTL * 2 / 5
	// maxWaitingReported limits the waiting requests in one report, so that the
	// report fits into a datagram.
	maxWaitingReported = 16
)

// ShareUsage reports this VM's usage of the engines until the context ends: on each
// change, and periodically.
func (rl *Relay) ShareUsage(ctx context.Context, send func(rp usage.Report)) {
	for {
		rl.mu.Lock()
		rl.initialize()
		rp, changed := rl.report(rl.now()), rl.usageChanged
		rl.mu.Unlock()
		send(rp)
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

// report returns the report for the other VMs. The lock is held.
func (rl *Relay) report(now clock.Millis) usage.Report {
	rp := rl.ledger.Report(now)
	rp.Returns = rl.promisedReturns(now)
	rp.Moves = rl.affordableMoves()
	for name, po := range rl.pools {
		for _, tk := range po.TriedTickets() {
			if len(rp.Waiting) < maxWaitingReported {
				rp.Waiting = append(rp.Waiting, waitingRequestOf(now, name, tk))
			}
		}
	}
	return rp
}

// waitingRequestOf returns a waiting request as other VMs see it.
func waitingRequestOf(now clock.Millis, service string, tk *pool.Ticket) usage.WaitingRequest {
	wr := tk.Waiting(now)
	wr.Service = service
	return wr
}

// reportPeriod returns how often the others get a report without a change.
func (rl *Relay) reportPeriod() clock.Millis {
	if rl.OtherVMs == nil {
		return reportInterval
	}
	others, _ := rl.OtherVMs()
	return reportPeriodOf(len(others))
}

// reportPeriodOf returns how often a VM with some others sends a report without a change.
func reportPeriodOf(others int) clock.Millis {
	return min(maxReportInterval, max(reportInterval, clock.Millis(others)*reportIntervalPerVM))
}

// ReceiveUsage records the usage report of another VM.
func (rl *Relay) ReceiveUsage(vm string, rp usage.Report) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	now := rl.now()
	rl.ledger.ApplyReport(now, vm, rp)
	rl.observeMoves(now, vm)
	rl.receiveReturns(now, rp.Returns)
	rl.wakeWaiters()
}

// MarkRoleChanging records that this VM ordered an engine to change its role, and
// until when the change may be in progress. The other VMs are informed.
func (rl *Relay) MarkRoleChanging(engine string, until clock.Millis) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	rl.ledger.Avoid(engine, until)
	rl.notifyUsageChanged()
}

// avoidDeclined makes all VMs avoid an engine that itself declined a call for which
// it had a reserved place or a computed prompt.
func (rl *Relay) avoidDeclined(engine string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.Avoid(engine, rl.now()+declinedAvoidTime)
	rl.notifyUsageChanged()
}

// reportShortage informs all VMs that a new request of a priority was refused because
// there was no place.
func (rl *Relay) reportShortage(priority int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.MarkShortage(rl.now(), priority)
	rl.notifyUsageChanged()
}

// readmitChangedRoles ends the avoidance of engines whose role has changed. The lock
// is held.
func (rl *Relay) readmitChangedRoles(old *board.Backends, list []board.BackendServer) {
	for _, bs := range list {
		if was, ok := old.Server(bs.ID); ok && was.Role != bs.Role {
			rl.ledger.Readmit(bs.ID)
		}
	}
}

// peakAt returns a function for the memory that an engine will need with the given
// number of additional runs of a size, with the margin of the service; an engine that is
// avoided has no room. The lock is held.
func (rl *Relay) peakAt(now clock.Millis, service string, run usage.Run) func(id string, more int) int {
	deviations := rl.deviationsOf(service)
	return func(id string, more int) int {
		if rl.ledger.Avoided(now, id) {
			return math.MaxInt
		}
		rl.ledger.SetDeviations(deviations)
		return rl.ledger.Peak(now, id, run, more)
	}
}

// fitsAt returns a function for whether the projected memory use of peakAt is at most a limit
// below that of an avoided engine. The lock is held.
func (rl *Relay) fitsAt(now clock.Millis, service string, run usage.Run) func(id string, more, limit int) bool {
	deviations := rl.deviationsOf(service)
	return func(id string, more, limit int) bool {
		rl.ledger.SetDeviations(deviations)
		return !rl.ledger.Avoided(now, id) && rl.ledger.Fits(now, id, run, more, limit)
	}
}

// mostFittingAt returns a function for an upper bound of the runs that fit by fitsAt. The lock
// is held.
func (rl *Relay) mostFittingAt(now clock.Millis, service string, run usage.Run) func(id string, limit int) int {
	deviations := rl.deviationsOf(service)
	return func(id string, limit int) int {
		if rl.ledger.Avoided(now, id) {
			return 0
		}
		rl.ledger.SetDeviations(deviations)
		return rl.ledger.MostFitting(now, id, run, limit)
	}
}

// runsAt returns a function for the number of runs at an engine. The lock is held.
func (rl *Relay) runsAt(now clock.Millis) func(id string) int {
	return func(id string) int { return rl.ledger.RunCount(now, id) }
}

// promptsAt returns a function for the number of prompt tokens queued at an engine; an
// engine that is avoided is reported as full. The lock is held.
func (rl *Relay) promptsAt(now clock.Millis) func(id string) int {
	return func(id string) int {
		if rl.ledger.Avoided(now, id) {
			return math.MaxInt
		}
		return rl.ledger.PromptTokens(now, id)
	}
}

// TriggerUsageReport makes ShareUsage send a report, even if nothing has changed.
func (rl *Relay) TriggerUsageReport() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	rl.notifyUsageChanged()
}

// notifyUsageChanged makes ShareUsage send a report. The lock is held.
func (rl *Relay) notifyUsageChanged() {
	select {
	case rl.usageChanged <- struct{}{}:
	default: // a report is already due and will include this change
	}
}

// recordGrowth records the tokens that a run has generated.
func (rl *Relay) recordGrowth(rn *run, events int) {
	if events == 0 && !rn.sp.partial || rn.ex.svc.Engines == nil {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.resolveMove(rn)
	rn.movable = rn.sp.last != "" && !rn.sp.unnumbered && !rn.sp.partial && succeeded(rn.rsp.StatusCode)
	tokens := events * rn.ex.svc.Engines.TokensPerEvent
	rn.tokens += tokens
	rl.ledger.Grow(rl.now(), rn.pl.entry, tokens)
}
