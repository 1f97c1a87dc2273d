package relay

import (
	"alderdyke/internal/explain"
	"alderdyke/internal/rebalance"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// marginHeld is the reason for the default margin while runs have been movable for less than
// marginHold.
const marginHeld = "Held"

// explainRebalancing tells which moves this VM would request now if it is a scheduler, and the
// margin in force; nil if the runs of the service can't be moved. The argument known reports
// whether the usage of all VMs is known. The lock is held.
func (rl *Relay) explainRebalancing(now clock.Millis, svc route.Service, known bool) *explain.Rebalancing {
	if !isMovable(svc) || rl.pools[svc.Name] == nil {
		return nil
	}
	var le usage.Ledger
	le.SetDeviations(rl.deviationsOf(svc.Name))
	reason := rl.whyNoMoves(now, func(now clock.Millis) bool { return known || rl.synced && now < rl.syncedUntil })
	out := &explain.Rebalancing{Deviations: le.Deviations(), Reason: reason}
	if reason != "" {
		return out
	}
	rb := rebalancer{ownMoves: maxAffordableMoves} // for this explanation; no decision has read the budget yet
	if inForce := rl.rebalancers[svc.Name]; inForce != nil {
		rb.tracker, rb.deviations = inForce.tracker.Clone(), inForce.deviations
		rb.requested, rb.ownMoves = inForce.requested, inForce.ownMoves
	}
	rb.tracker.Observe(now, "", rl.ledger.OwnRuns)
	rl.listEngines(now, svc, &rb)
	rb.tracker.Annotate(now, rb.engines)
	for _, mv := range rebalance.Plan(rb.engines, rebalance.Horizon) {
		out.Moves = append(out.Moves, explain.Move{VM: mv.VM, From: mv.From, To: mv.To, Tokens: mv.Tokens})
	}
	switch {
	case rb.deviations > 0:
		out.Reason = marginMoves
	case rb.works(now):
		out.Reason = marginHeld
	default:
		out.Reason = marginMovesFail
	}
	return out
}
