package suspect

import (
	"slices"

	"alderdyke/pkg/clock"
)

// recentMarks remembers when marks were last seen. It keeps between half of its limit
// and all of it, the most recent ones, in two generations.
type recentMarks struct {
	young, old map[Mark]clock.Millis
}

// add notes a mark; the later of several times counts.
func (rm *recentMarks) add(mk Mark, at clock.Millis, limit int) {
	if last, found := rm.get(mk); found && last > at {
		at = last
	}
	if rm.young == nil {
		rm.young = make(map[Mark]clock.Millis)
	}
	rm.young[mk] = at
	if len(rm.young) >= max(1, limit/2) {
		rm.old, rm.young = rm.young, nil
	}
}

func (rm *recentMarks) get(mk Mark) (clock.Millis, bool) {
	if at, found := rm.young[mk]; found {
		return at, true
	}
	at, found := rm.old[mk]
	return at, found
}

// RecordAnswer records that requests with these parts were answered, and returns the
// parts that had evidence against them.
func (tr *Tracker) RecordAnswer(now clock.Millis, an Answer) (cleared []Mark) {
	if an.Age >= tr.answerTTL() {
		return nil
	}
	for _, mk := range an.Parts {
		tr.answered.add(mk, now-an.Age, tr.maxAnswered())
		if tr.evidence[mk] != nil {
			tr.drop(mk)
			cleared = append(cleared, mk)
		}
	}
	tr.convict(now)
	return cleared
}

// Answered returns which of the parts are cleared by an answer, with the age of the
// oldest of the answers.
func (tr *Tracker) Answered(now clock.Millis, parts []Mark) Answer {
	an := Answer{}
	for _, mk := range parts {
		if tr.isAnswered(now, mk) {
			at, _ := tr.answered.get(mk)
			an.Parts = append(an.Parts, mk)
			an.Age = max(an.Age, now-at)
		}
	}
	return an
}

// Unanswered returns which of the parts no answer clears.
func (tr *Tracker) Unanswered(now clock.Millis, parts []Mark) []Mark {
	return slices.DeleteFunc(slices.Clone(parts), func(mk Mark) bool { return tr.isAnswered(now, mk) })
}

func (tr *Tracker) isAnswered(now clock.Millis, mk Mark) bool {
	at, found := tr.answered.get(mk)
	return found && now < at+tr.answerTTL()
}
