package relay

import (
	"math"

	"alderdyke/internal/event"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
)

const (
	// blockTokens is the unit in which engines allocate memory, in tokens.
	blockTokens = 16
	// silentDivisor limits the other VMs that may be silent to one in twenty: the
	// usage of a twentieth is within the margin that MemoryFill leaves.
	silentDivisor = 20
	// noLimit excludes only engines without any room.
	noLimit = math.MaxInt - 1
)

// memoryNeed is the memory that a generation needs.
type memoryNeed struct {
	run     usage.Run // without its engine
	reserve int       // tokens to reserve at the engine
	limit   int       // tokens that all runs of the engine may come to need
}

// needOf sizes a generation. If the usage of all VMs at the engines is known, the
// need of each run is predicted, and little more than the prompt is reserved.
// Otherwise the reservation covers the size that the run may reach.
func (rl *Relay) needOf(ex *exchange, known bool) memoryNeed {
	pr := ex.req.Prompt
	most, guess := pr.MaxOutput, pr.MaxOutput
	if pr.Hint > 0 {
		most = min(most, int(rl.Settings.HintFactor*float64(pr.Hint)))
		guess = min(guess, rl.ledger.ExpectedTokens(ex.rt.Name, pr.Hint))
	}
	nd := memoryNeed{run: usage.Run{Tokens: roundToBlocks(pr.Tokens), Left: roundToBlocks(guess)}, reserve: roundToBlocks(pr.Tokens + most), limit: noLimit}
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

// inSync reports whether the living VMs recently reported their usage of the engines;
// in a large fleet a few may be silent. The lock is held.
func (rl *Relay) inSync() bool {
	if rl.OtherVMs == nil {
		return false
	}
	now := rl.now()
	others, whole := rl.OtherVMs()
	silent := 0
	for _, vm := range others {
		if !rl.ledger.HasFreshReport(now, vm) {
			silent++
		}
	}
	known := whole && silent <= len(others)/silentDivisor
	rl.setInSync(known, len(others), silent, whole)
	return known
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
