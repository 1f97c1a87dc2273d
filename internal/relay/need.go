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
	// silentPart of the other VMs may be silent: what a twentieth has at the
	// engines is within the margin that Fill leaves.
	silentPart = 20
	// noLimit leaves out no engine but those that have no room at all.
	noLimit = math.MaxInt - 1
)

// need is the memory that a generation asks for.
type need struct {
	run     usage.Run // without its engine
	reserve int       // to reserve at the engine
	limit   int       // what all runs of the engine may come to need
}

// needOf sizes a generation. Where it is known what all VMs have at the engines,
// what each will need is foretold, and little more than the prompt is reserved.
// Otherwise it is what the run may come to.
func (rl *Relay) needOf(ex *exchange, known bool) need {
	pr := ex.req.Prompt
	most, guess := pr.Most, pr.Most
	if pr.Hint > 0 {
		most = min(most, int(rl.Settings.HintFactor*float64(pr.Hint)))
		guess = min(guess, rl.ledger.ExpectedTokens(ex.rt.Name, pr.Hint))
	}
	nd := need{run: usage.Run{Tokens: blocks(pr.Tokens), Left: blocks(guess)}, reserve: blocks(pr.Tokens + most), limit: noLimit}
	if ex.svc.Engines.Memory > 0 && known {
		nd.reserve = min(nd.reserve, blocks(pr.Tokens+rl.Settings.Reserve))
		nd.limit = rl.limitOf(ex.svc)
	}
	return nd
}

// limitOf is what all runs of an engine of the service may come to need.
func (rl *Relay) limitOf(svc route.Service) int {
	return int(rl.Settings.Fill * float64(svc.Engines.Memory))
}

// blocks rounds up to what engines give out.
func blocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// inSync tells whether the VMs that live told lately what they have at the
// engines; of a large fleet a few may be silent. The lock is held.
func (rl *Relay) inSync() bool {
	if rl.Others == nil {
		return false
	}
	now := rl.now()
	others, whole := rl.Others()
	silent := 0
	for _, vm := range others {
		if !rl.ledger.HasFreshReport(now, vm) {
			silent++
		}
	}
	hears := whole && silent <= len(others)/silentPart
	rl.setInSync(hears, len(others), silent, whole)
	return hears
}

// setInSync tells that this VM begins, or ceases, to know what the others have
// at the engines. The lock is held.
func (rl *Relay) setInSync(hears bool, others, silent int, whole bool) {
	if hears == rl.hears {
		return
	}
	rl.hears = hears
	ev := event.UsageUnknown
	if hears {
		ev = event.UsageKnown
	}
	rl.Log.Log(ev, event.F("Others", others), event.F("Silent", silent), event.F("Whole", whole))
}
