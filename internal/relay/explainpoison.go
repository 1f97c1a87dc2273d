package relay

import (
	"alderdyke/internal/explain"
	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

// verdictTrial is the verdict on a request that is let through as a trial.
const verdictTrial = "Trial"

// explainPoison tells whether servers crashed while they ran the request, or requests that
// share a part with it, and adds the refusal if that is the reason for one. The body is not
// known, so the request's own mark is that of a request without one.
func (rl *Relay) explainPoison(ex *exchange, out *explain.Explanation) {
	out.Poison = &explain.Poison{Verdict: suspect.Clear.String()}
	gd := &rl.guard // while it has no evidence, poisonGuard would prepare it
	if !gd.HasSuspects() && !gd.HasUnresolved() {
		return
	}
	ms := rl.marksOf(ex)
	pv := gd.Preview(ms)
	po := &explain.Poison{Verdict: pv.Verdict.String(), After: pv.After, Since: pv.Since, OtherTrial: pv.Trial && pv.Verdict == suspect.Refused, Unresolved: pv.Unresolved}
	if pv.Trial && !po.OtherTrial {
		po.Verdict = verdictTrial
	}
	for _, ev := range pv.Evidence {
		po.Marks = append(po.Marks, explain.PoisonMark{Mark: ev.Mark.String(), Part: ex.partOf(ms, ev.Mark), Verdict: ev.Verdict.String(),
			Weight: ev.Weight, Crashes: ev.Crashes, Oldest: max(clock.Millis(0), ev.Oldest)})
	}
	out.Poison = po
	if err := ex.refusalFor(ms, pv.Decision); err != nil {
		*out = withRefusal(*out, err, 1)
	}
}
