package invariant

import (
	"strings"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/standin"
	enginesim "alderdyke/internal/standin/engine"
	"alderdyke/pkg/refusal"
)

type (
	// request is all calls with one key and what ran of it.
	request struct {
		name       string
		idempotent bool
		calls      []Call
		begun      int // runs at plain services and prefills
		decoded    int // runs at decode engines and plain services that made something
	}
)

func (ch Chat) want() string { return strings.Join(standin.Answer(ch.Prompt, ch.Tokens), "") }

func (pl Plain) want() string { return standin.Reply(pl.Method, pl.Path, []byte(pl.Body)) }

// checkCalls looks at each call by itself.
func checkCalls(hs History) []Violation {
	var out []Violation
	for _, ca := range hs.Calls {
		if len(ca.Ends) != 1 {
			out = append(out, violation(OneEnd, ca.Name(), "%d ends", len(ca.Ends)))
		}
		want := ca.Request.want()
		switch {
		case ca.whole() && ca.Got != want:
			out = append(out, violation(WrongAnswer, ca.Name(), "a whole answer of %d bytes differs from the one of %d bytes", len(ca.Got), len(want)))
		case !strings.HasPrefix(want, ca.Got):
			out = append(out, violation(WrongAnswer, ca.Name(), "%d bytes are not the start of its answer", len(ca.Got)))
		}
	}
	return out
}

// checkKeys looks at all calls and runs of each key together.
func checkKeys(hs History) []Violation {
	var out []Violation
	for _, rq := range requestsOf(hs) {
		if rq.begun > 0 && rq.notRun() {
			out = append(out, violation(FalseNotRun, rq.name, "all callers were told NotRun, and it began %d times", rq.begun))
		}
		if !rq.idempotent && rq.decoded > 1 {
			out = append(out, violation(RanTwice, rq.name, "ran %d times", rq.decoded))
		}
		if answers := rq.answers(); answers > 1 {
			out = append(out, violation(OneEnd, rq.name, "%d answers that differ", answers))
		}
	}
	return out
}

// checkHeld finds memory that is held for nobody.
func checkHeld(hs History) []Violation {
	var out []Violation
	for _, en := range hs.Engines {
		if en.SlotsHeld+en.KVKept+en.Unfinished > 0 {
			out = append(out, violation(Held, en.Server, "%d slots, %d KV caches and %d runs at the end",
				en.SlotsHeld, en.KVKept, en.Unfinished))
		}
	}
	if hs.HeldWithin == 0 {
		return out
	}
	last := lastEnds(hs.Calls)
	for _, en := range hs.Engines {
		for _, rec := range en.Runs {
			ended, known := last[requestName(rec.Request)]
			late := runEnd(en, rec).Sub(ended)
			if known && late > hs.HeldWithin.Std() {
				out = append(out, violation(Held, en.Server, "%s until %v after its last caller", rec.Request, late))
			}
		}
	}
	return out
}

// runEnd is when a run ended, or when the history was taken.
func runEnd(en enginesim.History, rec *enginesim.Run) time.Time {
	if rec.Outcome == "" {
		return en.Started.Add(en.Now.Std())
	}
	return en.Started.Add(rec.EndedAt.Std())
}

// lastEnds tells when the last call of each request had its end.
func lastEnds(calls []Call) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, ca := range calls {
		if ca.Ended.After(out[ca.Name()]) {
			out[ca.Name()] = ca.Ended
		}
	}
	return out
}

func requestsOf(hs History) []*request {
	byName := make(map[string]*request)
	var out []*request
	for _, ca := range hs.Calls {
		rq, ok := byName[ca.Name()]
		if !ok {
			rq = &request{name: ca.Name(), idempotent: ca.Idempotent}
			byName[rq.name] = rq
			out = append(out, rq)
		}
		rq.calls = append(rq.calls, ca)
	}
	for _, en := range hs.Engines {
		for _, rec := range en.Runs {
			if rq, ok := byName[requestName(rec.Request)]; ok {
				rq.count(rec)
			}
		}
	}
	for _, sv := range hs.Services {
		for _, rec := range sv.Runs {
			if rq, ok := byName[rec.Key]; ok {
				rq.begun++
				rq.decoded++
			}
		}
	}
	return out
}

func (rq *request) count(rec *enginesim.Run) {
	switch {
	case rec.Role == board.Prefill:
		rq.begun++
	case rec.Decodes > 0:
		rq.decoded++
	}
}

// notRun tells whether every caller was told that the request did not run.
func (rq *request) notRun() bool {
	for _, ca := range rq.calls {
		for _, end := range ca.Ends {
			rf, ok := end.(Refused)
			if !ok || rf.Refusal.Ran != refusal.NotRun {
				return false
			}
		}
	}
	return true
}

// answers counts the whole answers that differ.
func (rq *request) answers() int {
	seen := make(map[string]bool)
	for _, ca := range rq.calls {
		if ca.whole() {
			seen[ca.Got] = true
		}
	}
	return len(seen)
}

func (ca Call) whole() bool {
	for _, end := range ca.Ends {
		if _, ok := end.(Whole); ok {
			return true
		}
	}
	return false
}

// requestName takes the attempt off an engine's name of a request.
func requestName(name string) string {
	if ix := strings.LastIndexByte(name, '/'); ix >= 0 {
		return name[:ix]
	}
	return name
}
