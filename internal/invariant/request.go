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
	// request groups all calls with one key and counts its runs.
	request struct {
		name       string
		idempotent bool
		calls      []Call
		starts     int // runs at plain services and prefill engines
		executions int // runs at plain services, and at decode engines that produced output
	}
)

func (ch Chat) expectedAnswer() string { return strings.Join(standin.Answer(ch.Prompt, ch.Tokens), "") }

func (pl Plain) expectedAnswer() string { return standin.Reply(pl.Method, pl.Path, []byte(pl.Body)) }

// checkCalls checks each call on its own.
func checkCalls(hs History) []Violation {
	var out []Violation
	for _, ca := range hs.Calls {
		if len(ca.Outcomes) != 1 {
			out = append(out, violation(OneEnd, ca.RequestName(), "%d outcomes", len(ca.Outcomes)))
		}
		want := ca.Request.expectedAnswer()
		switch {
		case ca.complete() && ca.Received != want:
			out = append(out, violation(WrongAnswer, ca.RequestName(), "the complete answer of %d bytes differs from the expected one of %d bytes", len(ca.Received), len(want)))
		case !strings.HasPrefix(want, ca.Received):
			out = append(out, violation(WrongAnswer, ca.RequestName(), "the %d bytes received are not a prefix of the expected answer", len(ca.Received)))
		}
	}
	return out
}

// checkKeys checks the calls and runs of each key together.
func checkKeys(hs History) []Violation {
	var out []Violation
	for _, rq := range requestsOf(hs) {
		if rq.starts > 0 && rq.allNotRun() {
			out = append(out, violation(FalseNotRun, rq.name, "all calls were refused with NotRun, but the request started %d times", rq.starts))
		}
		if !rq.idempotent && rq.executions > 1 {
			out = append(out, violation(RanTwice, rq.name, "ran %d times", rq.executions))
		}
		if answers := rq.distinctAnswers(); answers > 1 {
			out = append(out, violation(OneEnd, rq.name, "%d different answers", answers))
		}
	}
	return out
}

// checkHeldResources finds engine memory that is held without a caller.
func checkHeldResources(hs History) []Violation {
	var out []Violation
	for _, en := range hs.Engines {
		if en.SlotsHeld+en.KVKept+en.Unfinished > 0 {
			out = append(out, violation(Held, en.Server, "%d slots, %d KV caches and %d unfinished runs when the history was taken",
				en.SlotsHeld, en.KVKept, en.Unfinished))
		}
	}
	if hs.MaxHoldAfterEnd == 0 {
		return out
	}
	last := lastCallEnds(hs.Calls)
	for _, en := range hs.Engines {
		for _, rec := range en.Runs {
			ended, known := last[requestName(rec.Request)]
			late := runEnd(en, rec).Sub(ended)
			if known && late > hs.MaxHoldAfterEnd.Std() {
				out = append(out, violation(Held, en.Server, "%s was held until %v after its last call ended", rec.Request, late))
			}
		}
	}
	return out
}

// runEnd returns when a run ended; for an unfinished run, when the history was taken.
func runEnd(en enginesim.History, rec *enginesim.Run) time.Time {
	if rec.Outcome == "" {
		return en.Started.Add(en.Now.Std())
	}
	return en.Started.Add(rec.EndedAt.Std())
}

// lastCallEnds returns when the last call of each request ended.
func lastCallEnds(calls []Call) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, ca := range calls {
		if ca.Ended.After(out[ca.RequestName()]) {
			out[ca.RequestName()] = ca.Ended
		}
	}
	return out
}

// requestsOf groups the calls by request and counts the runs of each request.
func requestsOf(hs History) []*request {
	byName := make(map[string]*request)
	var out []*request
	for _, ca := range hs.Calls {
		rq, ok := byName[ca.RequestName()]
		if !ok {
			rq = &request{name: ca.RequestName(), idempotent: ca.Idempotent}
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
				rq.starts++
				rq.executions++
			}
		}
	}
	return out
}

// count counts a run at an engine: a prefill as a start, a decode that produced output as
// an execution.
func (rq *request) count(rec *enginesim.Run) {
	switch {
	case rec.Role == board.Prefill:
		rq.starts++
	case rec.Decodes > 0:
		rq.executions++
	}
}

// allNotRun reports whether every call was refused with NotRun.
func (rq *request) allNotRun() bool {
	for _, ca := range rq.calls {
		for _, end := range ca.Outcomes {
			rf, ok := end.(Refused)
			if !ok || rf.Refusal.Ran != refusal.NotRun {
				return false
			}
		}
	}
	return true
}

// distinctAnswers counts the different complete answers.
func (rq *request) distinctAnswers() int {
	seen := make(map[string]bool)
	for _, ca := range rq.calls {
		if ca.complete() {
			seen[ca.Received] = true
		}
	}
	return len(seen)
}

func (ca Call) complete() bool {
	for _, end := range ca.Outcomes {
		if _, ok := end.(Complete); ok {
			return true
		}
	}
	return false
}

// requestName strips the attempt from the name under which an engine records a request.
func requestName(name string) string {
	if ix := strings.LastIndexByte(name, '/'); ix >= 0 {
		return name[:ix]
	}
	return name
}
