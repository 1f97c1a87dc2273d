package suspect

import (
	"maps"

	"alderdyke/pkg/clock"
)

type (
	// Preview is what Check would decide on a request, and why.
	Preview struct {
		Decision
		Evidence []Evidence // of the request's marks that have any, its own mark first
	}

	// Evidence is what speaks against a mark.
	Evidence struct {
		Mark    Mark
		Verdict Verdict
		Weight  float64 // of the crashes that no other refused mark explains
		Crashes int
		Oldest  clock.Millis // age of the oldest crash
	}
)

// Preview returns what Check would decide now. It begins no trial and changes nothing else.
func (tr *Tracker) Preview(now clock.Millis, ms Marks) Preview {
	cp := tr.clone()
	pv := Preview{Decision: cp.Check(now, ms)}
	for _, mk := range ms.all() {
		if ev := cp.evidence[mk]; ev != nil {
			pv.Evidence = append(pv.Evidence, Evidence{Mark: mk, Verdict: cp.verdict(mk), Weight: cp.weight(mk), Crashes: len(ev.crashes), Oldest: now - ev.crashes[0].at})
		}
	}
	return pv
}

// clone returns a tracker with the same evidence, on which Check changes nothing at this one.
func (tr *Tracker) clone() *Tracker {
	out := *tr
	out.evidence = make(map[Mark]*evidence, len(tr.evidence))
	for mk, ev := range tr.evidence {
		copied := *ev
		out.evidence[mk] = &copied
	}
	out.candidates, out.trials = maps.Clone(tr.candidates), maps.Clone(tr.trials)
	out.convicted, out.released = nil, nil
	return &out
}
