package relay

import (
	"math"

	"alderdyke/internal/event"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// blockTokens is the unit in which engines allocate memory, in tokens.
	blockTokens = 16
	// silentDivisor limits the other VMs of unknown usage to one in twenty: the
	// usage of a twentieth is within the margin that MemoryFill leaves.
	silentDivisor = 20
	// noLimit excludes only engines without any room.
	noLimit = math.MaxInt - 1
)

// memoryNeed is the memory that a generation needs.
type memoryNeed struct {
	run     usage.Run // without its engine
	out     usage.Output
	reserve int // tokens to reserve at the engine
	limit   int // tokens that all runs of the engine may come to need
}

// needOf sizes a generation. If the usage of all VMs at the engines is known, the
// need of each run is predicted, and little more than the prompt is reserved.
// Otherwise the reservation covers the size that the run may reach.
func (rl *Relay) needOf(ex *exchange, known bool) memoryNeed {
	pr := ex.req.Prompt
	most := pr.MaxOutput
	if pr.Hint > 0 {
		most = min(most, int(rl.Settings.HintFactor*float64(pr.Hint)))
	}
	out := usage.Output{Route: ex.rt.Name, Estimate: pr.Hint, Most: pr.MaxOutput}
	left, deviation := rl.ledger.Remaining(out)
	nd := memoryNeed{run: usage.Run{Tokens: roundToBlocks(pr.Tokens), Left: roundToBlocks(left), Deviation: deviation}, out: out,
		reserve: roundToBlocks(pr.Tokens + most), limit: noLimit}
	if ex.svc.Engines.MemoryTokens > 0 && known {
		nd.reserve = min(nd.reserve, roundToBlocks(pr.Tokens+rl.Settings.ReserveTokens))
		nd.limit = rl.memoryLimit(ex.svc)
	}
	return nd
}

// memoryLimit returns the tokens that all runs of an engine of the service may come
// to need.
func (rl *Relay) memoryLimit(svc route.Service) int {
	return int(rl.Settings.MemoryFill * float64(svc.Engines.MemoryTokens))
}

// roundToBlocks rounds up to the allocation unit of engines.
func roundToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// inSync reports whether the usage of the living VMs at the engines is known: they recently
// reported it, or this VM is a scheduler and can estimate it until membership finds out
// whether they are dead. In a large fleet that of a few may be unknown. The lock is held.
func (rl *Relay) inSync(scheduler bool) bool {
	if rl.OtherVMs == nil {
		return false
	}
	var estimate func(now clock.Millis, alive []string) int
	unknown := 0
	if scheduler {
		estimate = func(now clock.Millis, alive []string) int {
			unknown = rl.ledger.EstimateRuns(now, alive)
			return unknown
		}
	} else {
		rl.ledger.StopEstimates()
	}
	known, others, silent, whole := rl.reportsOfOthers(rl.now(), estimate)
	rl.setInSync(known, others, silent, whole)
	rl.recordEstimates(others, unknown)
	return known
}

// reportsOfOthers counts the living VMs and those of them that are silent, and reports
// whether the usage of the engines is known: by the reports, or by the estimate of a
// scheduler, which returns how many VMs it leaves out; nil: none is made. The lock is held.
func (rl *Relay) reportsOfOthers(now clock.Millis, estimate func(now clock.Millis, alive []string) int) (known bool, others, silent int, whole bool) {
	if rl.OtherVMs == nil {
		return false, 0, 0, false
	}
	vms, whole := rl.OtherVMs()
	for _, vm := range vms {
		if !rl.ledger.HasFreshReport(now, vm) {
			silent++
		}
	}
	unknown := silent
	if estimate != nil {
		unknown = estimate(now, vms)
	}
	return whole && unknown <= len(vms)/silentDivisor, len(vms), silent, whole
}

// setInSync records whether this VM knows the usage of the others, and logs a change of
// it. The lock is held.
func (rl *Relay) setInSync(known bool, others, silent int, whole bool) {
	if known == rl.synced {
		return
	}
	rl.synced = known
	ev := event.UsageUnknown
	if known {
		ev = event.UsageKnown
	}
	rl.Log.Log(ev, event.F("Others", others), event.F("Silent", silent), event.F("Whole", whole))
}

// recordEstimates logs when this VM begins and ceases to estimate the runs of VMs whose reports
// have expired. The lock is held.
func (rl *Relay) recordEstimates(others, unknown int) {
	estimated, before := rl.ledger.EstimatedVMs(), rl.estimated
	if estimated == before {
		return
	}
	rl.estimated = estimated
	if rl.Scope != nil {
		rl.Scope.Gauge("EstimatedVMs").Update(float64(estimated))
	}
	switch {
	case before == 0:
		rl.Log.Log(event.EstimatesBegan, event.F("Estimated", estimated), event.F("Unknown", unknown), event.F("Others", others))
	case estimated == 0:
		rl.Log.Log(event.EstimatesEnded, event.F("Estimated", before), event.F("Unknown", unknown), event.F("Others", others))
	}
}
