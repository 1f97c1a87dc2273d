package suspect

import (
	"cmp"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// trialInterval is how long requests are refused while a trial is running.
	trialInterval = clock.Second
	// trialTimeout ends a trial whose result does not come, as of a caller who leaves.
	trialTimeout = 2 * clock.Second
)

type (
	// conviction is a mark that is refused, or several that can't be told apart.
	conviction struct {
		marks    []Mark // the first has the most evidence
		customer Mark   // whose requests are refused; zero: those of all
		since    clock.Millis
	}

	// trial is a request that has some of the marks of a conviction.
	trial struct {
		request Mark
		until   clock.Millis
	}
)

// appliesTo reports whether requests of a customer are refused.
func (cv conviction) appliesTo(customer Mark) bool {
	return cv.customer == (Mark{}) || customer == (Mark{}) || cv.customer == customer
}

// countOf returns how many of its marks a request has.
func (cv conviction) countOf(marks []Mark) int {
	count := 0
	for _, mk := range cv.marks {
		if slices.Contains(marks, mk) {
			count++
		}
	}
	return count
}

// convictionOf returns the index of the conviction that a mark belongs to, or -1.
func convictionOf(list []conviction, mk Mark) int {
	return slices.IndexFunc(list, func(cv conviction) bool { return slices.Contains(cv.marks, mk) })
}

// hasMark reports whether a mark belongs to one of the convictions.
func hasMark(list []conviction, mk Mark) bool { return convictionOf(list, mk) >= 0 }

// convict derives from the evidence what is refused. It takes the mark with the most
// evidence, then the one with the most evidence among the crashes that the first does
// not explain, and so on. A mark whose crashes are explained by those that were taken
// later is dropped again, and what it explained counts for others.
func (tr *Tracker) convict(now clock.Millis) {
	if !tr.changed {
		return
	}
	tr.changed = false
	before := tr.convictions
	order := tr.byWeight(before)
	for {
		tr.convictions, tr.explained = nil, make(map[string]Mark)
		for _, mk := range order {
			if !tr.joinConviction(mk) && tr.hasOwnEvidence(mk) {
				tr.addConviction(now, mk, before)
			}
		}
		at := tr.redundant()
		if at < 0 {
			break
		}
		order = slices.DeleteFunc(order, func(mk Mark) bool { return mk == tr.convictions[at].marks[0] })
	}
	tr.noteNew(before)
}

// byWeight returns the marks that may be refused, those with the most evidence first. A
// mark that was refused before stays ahead, a part of all others and a request of one
// with little more: what ran beside it is hit as often, and may be hit by chance besides.
func (tr *Tracker) byWeight(before []conviction) []Mark {
	weights, ranks := make(map[Mark]float64), make(map[Mark]int)
	var out []Mark
	for mk := range tr.candidates {
		ev := tr.evidence[mk]
		if !tr.reachesBound(ev, nothing) {
			continue
		}
		weights[mk], ranks[mk] = tr.weigh(ev, nothing), len(before)
		switch at := convictionOf(before, mk); {
		case at >= 0 && ev.part:
			ranks[mk] = at
		case at >= 0:
			weights[mk] += weightPlain
		}
		out = append(out, mk)
	}
	slices.SortFunc(out, func(ma, mb Mark) int {
		return cmp.Or(cmp.Compare(ranks[ma], ranks[mb]), -cmp.Compare(weights[ma], weights[mb]), cmp.Compare(tr.evidence[ma].number, tr.evidence[mb].number))
	})
	return out
}

// redundant returns the index of a conviction for a part of which others leave too few
// crashes unexplained, or -1. Those others must have evidence enough without the part.
func (tr *Tracker) redundant() int {
	counts := make(map[string]int) // of convictions, by server
	for _, cv := range tr.convictions {
		for _, cr := range tr.evidence[cv.marks[0]].crashes {
			if !cr.retracted {
				counts[cr.server]++
			}
		}
	}
	return slices.IndexFunc(tr.convictions, func(cv conviction) bool {
		ev := tr.evidence[cv.marks[0]]
		if !ev.part || tr.reachesBound(ev, func(server string) bool { return counts[server] > 1 }) {
			return false
		}
		return !tr.reachesBound(ev, func(server string) bool {
			return slices.ContainsFunc(tr.convictions, func(one conviction) bool {
				other := tr.evidence[one.marks[0]]
				return other != ev && other.hasCrash(server) && tr.reachesBound(other, ev.hasCrash)
			})
		})
	})
}

// hasCrash reports whether a server's crash counts for a mark.
func (ev *evidence) hasCrash(server string) bool {
	return slices.ContainsFunc(ev.crashes, func(cr crashRecord) bool { return cr.server == server && !cr.retracted })
}

// joinConviction adds a mark to a conviction whose first mark took part in the same
// crashes, and reports whether there is one. Two requests never run as one, so the first
// of them that was recorded is refused.
func (tr *Tracker) joinConviction(mk Mark) bool {
	ev := tr.evidence[mk]
	for ix := range tr.convictions {
		cv := &tr.convictions[ix]
		first := tr.evidence[cv.marks[0]]
		if (ev.part || first.part) && ev.isWithin(first) && !tr.hasOneMoreCrash(first, ev) {
			cv.marks = append(cv.marks, mk)
			return true
		}
	}
	return false
}

// hasOneMoreCrash reports whether a mark has so much more evidence than another one that
// took part in the same crashes that the other is not to blame for these. A part that
// crashes a server without a request that it ran with has one crash more. Of two parts
// one runs without the other in sound requests too, where a server may crash by chance.
func (tr *Tracker) hasOneMoreCrash(ev, than *evidence) bool {
	more := tr.weigh(ev, nothing) - tr.weigh(than, nothing)
	return more > weightPlain || more == weightPlain && !(ev.part && than.part)
}

// isWithin reports whether all crashes of a mark are crashes of another one too.
func (ev *evidence) isWithin(other *evidence) bool {
	return !slices.ContainsFunc(ev.crashes, func(cr crashRecord) bool {
		return !cr.retracted && !other.hasCrash(cr.server)
	})
}

// hasOwnEvidence reports whether a mark is to be refused for the crashes that no other
// refused mark explains. For a request their number counts as well if another mark
// explains them, because two crashing requests may meet at a server; many requests meet
// at servers in a part that they share.
func (tr *Tracker) hasOwnEvidence(mk Mark) bool {
	ev := tr.evidence[mk]
	return tr.reachesBound(ev, tr.isExplained) || !ev.part && ev.distinctCrashes(nothing) >= tr.refuseCrashes()
}

func (tr *Tracker) isExplained(server string) bool {
	_, found := tr.explained[server]
	return found
}

// addConviction refuses a mark, which explains the crashes of its servers from now on.
func (tr *Tracker) addConviction(now clock.Millis, mk Mark, before []conviction) {
	cv := conviction{marks: []Mark{mk}, customer: tr.evidence[mk].onlyCustomer(), since: now}
	if at := convictionOf(before, mk); at >= 0 {
		cv.since = before[at].since
	}
	tr.convictions = append(tr.convictions, cv)
	for _, cr := range tr.evidence[mk].crashes {
		if !cr.retracted && !tr.isExplained(cr.server) {
			tr.explained[cr.server] = mk
		}
	}
}

// onlyCustomer returns the customer whose requests crashed servers with a part, or zero
// if there are several. Of a request all customers get the same mark.
func (ev *evidence) onlyCustomer() Mark {
	var only Mark
	for _, cr := range ev.crashes {
		switch {
		case cr.retracted:
		case !ev.part || cr.customer == (Mark{}) || only != (Mark{}) && only != cr.customer:
			return Mark{}
		default:
			only = cr.customer
		}
	}
	return only
}

// noteNew notes the marks that were not refused before.
func (tr *Tracker) noteNew(before []conviction) {
	for _, cv := range tr.convictions {
		for _, mk := range cv.marks {
			if !hasMark(before, mk) {
				tr.convicted = append(tr.convicted, mk)
			}
		}
	}
}

// NewConvictions returns the marks that are refused since the last call.
func (tr *Tracker) NewConvictions(now clock.Millis) []Mark {
	tr.convict(now)
	out := slices.DeleteFunc(tr.convicted, func(mk Mark) bool { return tr.verdict(mk) != Refused })
	tr.convicted = nil
	return out
}

// verdict returns the assessment of a mark by the convictions that were derived last.
func (tr *Tracker) verdict(mk Mark) Verdict {
	switch {
	case hasMark(tr.convictions, mk):
		return Refused
	case tr.weight(mk) > 0:
		return Suspected
	default:
		return Clear
	}
}

// weight returns the weight of a mark's crashes that no other refused mark explains.
func (tr *Tracker) weight(mk Mark) float64 {
	ev := tr.evidence[mk]
	if ev == nil {
		return 0
	}
	return tr.weigh(ev, func(server string) bool {
		by, found := tr.explained[server]
		return found && by != mk
	})
}

// beginTrial lets a request through that has some of the marks of a conviction, unless
// another one is under way, and reports whether it did.
func (tr *Tracker) beginTrial(now clock.Millis, cv conviction, request Mark) bool {
	first := cv.marks[0]
	if tl, found := tr.trials[first]; found && now < tl.until && tl.request != request {
		return false
	}
	if tr.trials == nil {
		tr.trials = make(map[Mark]trial)
	}
	if tl := tr.trials[first]; tl.request != request || now >= tl.until {
		tr.trials[first] = trial{request, now + trialTimeout}
	}
	return true
}

// endTrial ends the trials of a request whose result is known.
func (tr *Tracker) endTrial(request Mark) {
	for first, tl := range tr.trials {
		if tl.request == request {
			delete(tr.trials, first)
		}
	}
}
