package rebalance

import "slices"

// Clone returns a tracker with the same moves, whose calls change nothing at this one.
func (tr *Tracker) Clone() Tracker {
	out := *tr
	out.requests, out.moved = slices.Clone(tr.requests), slices.Clone(tr.moved)
	return out
}
