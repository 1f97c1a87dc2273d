package relay

import (
	"math"

	"alderdyke/internal/event"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
)

const (
	// blockTokens is the unit in which engines give out memory.
	blockTokens = 16
	// silentDivisor of the other VMs may be silent: what a twentieth has at the
	// engines is within the margin that Fill leaves.
	silentDivisor = 20
	// noLimit leaves out no engine but those that have no room at all.
	noLimit = math.MaxInt - 1
)

// memoryNeed is the memory that a generation asks for.
type memoryNeed struct {
	run     usage.Run // without its engine
	reserve int       // to reserve at the engine
	limit   int       // what all runs of the engine may come to need
}

// needOf sizes a generation. Where it is known what all VMs have at the engines,
// what each will need is foretold, and little more than the prompt is reserved.
// Otherwise it is what the run may come to.
func (rl *Relay) needOf(ex *exchange, known bool) memoryNeed {
	pr := ex.req.Prompt
	most, guess := pr.MaxOutput, pr.MaxOutput
	if pr.Hint > 0 {
		most = min(most, int(rl.Settings.HintFactor*float64(pr.Hint)))
		guess = min(guess, rl.ledger.ExpectedTokens(ex.rt.Name, pr.Hint))
	}
	nd := memoryNeed{run: usage.Run{Tokens: roundToBlocks(pr.Tokens), Left: roundToBlocks(guess)}, reserve: roundToBlocks(pr.Tokens + most), limit: noLimit}
	if ex.svc.Engines.Memory > 0 && known {
		nd.reserve = min(nd.reserve, roundToBlocks(pr.Tokens+rl.Settings.ReserveTokens))
		nd.limit = rl.memoryLimit(ex.svc)
	}
	return nd
}

// memoryLimit is what all runs of an engine of the service may come to need.
func (rl *Relay) memoryLimit(svc route.Service) int {
	return int(rl.Settings.MemoryFill * float64(svc.Engines.Memory))
}

// roundToBlocks rounds up to what engines give out.
func roundToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// inSync tells whether the VMs that live told lately what they have at the
// engines; of a large fleet a few may be silent. The lock is held.
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
	hears := whole && silent <= len(others)/silentDivisor
	rl.setInSync(hears, len(others), silent, whole)
	return hears
}

// setInSync tells that this VM begins, or ceases, to know what the others have
// at the engines. The lock is held.
func (rl *Relay) setInSync(hears bool, others, silent int, whole bool) {
	if hears == rl.synced {
		return
	}
	rl.synced = hears
	ev := event.UsageUnknown
	if hears {
		ev = event.UsageKnown
	}
	rl.Log.Log(ev, event.F("Others", others), event.F("Silent", silent), event.F("Whole", whole))
}
