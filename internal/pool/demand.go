package pool

import "alderdyke/internal/usage"

// demandKeep is what earlier generations weigh against a new one: about 40
// count, so that their mean is known to a tenth where sizes spread by a half.
const demandKeep = 0.975

// demand sums up what was observed, later ones weighing more.
type demand struct {
	weight, tokens, decode float64
}

// Asked notes a generation: the tokens of its prompt, and the milliseconds for
// which it is expected to keep a whole decode engine's memory.
func (po *Pool) Asked(tokens int, decode float64) {
	dm := &po.asked
	dm.weight = demandKeep*dm.weight + 1
	dm.tokens = demandKeep*dm.tokens + float64(tokens)
	dm.decode = demandKeep*dm.decode + decode
}

// Demand is how long the generations that were asked for keep engines busy, in
// the mean; the zero value until one was observed.
func (po *Pool) Demand() usage.Demand {
	dm := po.asked
	slope := po.reading.slope()
	if dm.weight == 0 || slope == 0 {
		return usage.Demand{}
	}
	return usage.Demand{Prefill: slope * dm.tokens / dm.weight, Decode: dm.decode / dm.weight, Seen: dm.weight}
}
