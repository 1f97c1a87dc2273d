package pool

import (
	"cmp"
	"math"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

const (
	// lateFactor is how many times as long as the decode engine the prefill engine
	// takes where it is better to hold up the decode engine's runs although the
	// request is late either way.
	lateFactor = 2
	// decoderSlowdownPrior is how many times as long as a prefill engine a decode engine
	// takes for a prompt, until one was observed: it reads at half the speed and
	// between the tokens of its runs.
	decoderSlowdownPrior = 3
	// minTimePart is the least part of the time of all engines together that one of them
	// is taken to need.
	minTimePart = 0.5
	// minOwnObservations is how many prompts of an engine show its own pace.
	minOwnObservations = 3
)

type (
	// Prompt is a prompt that is to be computed.
	Prompt struct {
		Tokens int
		Domain string // failure domain of the decode engine; the memory moves there
		// QueuedTokens is the tokens of prompts that an engine has before this one.
		QueuedTokens func(id string) int
		// LastResort tells whether an engine is chosen only if no other is left; nil:
		// none is.
		LastResort func(id string) bool
	}

	// Prefill is where a prompt is computed.
	Prefill struct {
		Server       board.BackendServer
		QueuedTokens int          // tokens of prompts before it
		ExpectedTime clock.Millis // expected, with those before it; zero if no speed was observed yet
	}

	// StartBudget is what of a generation's time to its first event is spent already.
	StartBudget struct {
		Spent     clock.Millis // since the request came
		Objective clock.Millis // for the first event; zero: none
	}
)

// ChoosePrefill chooses the engine that is expected to be done first with a prompt,
// by chance among equals. One in another failure domain than the decode
// engine counts as having the prompt itself before it once more: the move
// between domains takes twice as long and is paid for, and that is worth a wait
// as long as the prompt takes. An engine that failed just now is left out.
// There may be none.
func (po *Pool) ChoosePrefill(now clock.Millis, pr Prompt) (Prefill, bool) {
	var fit []*engine
	costs := make(map[*engine]int)
	ahead := make(map[*engine]int)
	for _, en := range po.available(now, board.Prefill) {
		ahead[en] = pr.QueuedTokens(en.server.ID)
		if now < en.failedUntil || ahead[en] == math.MaxInt {
			continue
		}
		fit = append(fit, en)
		tokens := ahead[en] + pr.Tokens
		if en.server.FailureDomain != pr.Domain {
			tokens += pr.Tokens
		}
		// Without a pace of one, all read alike.
		costs[en] = int(cmp.Or(po.prefillTime(en, tokens), clock.Millis(tokens)))
	}
	if len(fit) == 0 {
		return Prefill{}, false
	}
	po.sortByLoad(fit, func(en *engine) int {
		if pr.LastResort != nil && pr.LastResort(en.server.ID) {
			return math.MaxInt
		}
		return costs[en]
	})
	best := fit[0]
	return Prefill{Server: best.server, QueuedTokens: ahead[best], ExpectedTime: po.prefillTime(best, ahead[best]+pr.Tokens)}, true
}

// PrefillAt is a prefill at an engine that another VM chose.
func (po *Pool) PrefillAt(id string, ahead, tokens int) (Prefill, bool) {
	en := po.engines[id]
	if en == nil {
		return Prefill{}, false
	}
	return Prefill{Server: en.server, QueuedTokens: ahead, ExpectedTime: po.prefillTime(en, ahead+tokens)}, true
}

// CanPrefill tells whether an engine computes prompts and did not fail just now.
func (po *Pool) CanPrefill(now clock.Millis, id string) bool {
	en := po.engines[id]
	return en != nil && en.acceptsWork(now) && en.server.Role == board.Prefill && now >= en.failedUntil
}

// prefillTime is how long an engine takes for so many tokens of prompts; zero if
// no engine was observed.
func (po *Pool) prefillTime(en *engine, tokens int) clock.Millis {
	all := po.prefillPace.estimate(tokens)
	own := en.prefillPace.estimate(tokens)
	// What one of its first prompts showed may have been an exception.
	if known := en.prefillPace.weight / minOwnObservations; known < 1 {
		own = clock.Millis(known*float64(own) + (1-known)*float64(all))
	}
	return max(own, clock.Millis(minTimePart*float64(all)))
}

// ObservePrefill notes how long a prefill took. What was before it at the engine may have
// been partly done, so that only a prefill with nothing before it shows the
// pace.
func (po *Pool) ObservePrefill(pf Prefill, tokens int, took clock.Millis) {
	en := po.engines[pf.Server.ID]
	if en == nil || pf.QueuedTokens > 0 {
		return
	}
	en.prefillPace.add(tokens, took)
	po.prefillPace.add(tokens, took)
}

// ShouldPrefillAtDecoder tells whether the decode engine should compute a prompt itself, with so
// many tokens of other prompts before it there. That holds up its other runs, a
// tenth of an engine's work for each of them, so it is for a burst of prompts in
// which the prefill engine would be done too late for the request's objective and
// the decode engine in time, or where both are late and the prefill engine by
// far.
func (po *Pool) ShouldPrefillAtDecoder(pf Prefill, tokens, ahead int, st StartBudget) bool {
	if st.Objective == 0 || pf.ExpectedTime == 0 {
		return false
	}
	left := st.Objective - st.Spent - po.firstEventPace.estimate(0)
	itself := po.decoderPrefillTime(ahead + tokens)
	switch {
	case pf.ExpectedTime <= left:
		return false
	case itself <= left:
		return true
	default:
		return lateFactor*itself < pf.ExpectedTime
	}
}

// decoderPrefillTime is how long a decode engine takes for prompts beside its runs.
func (po *Pool) decoderPrefillTime(tokens int) clock.Millis {
	if took := po.decoderPrefillPace.estimate(tokens); took > 0 {
		return took
	}
	return decoderSlowdownPrior * po.prefillPace.estimate(tokens)
}

// ObserveFirstEvent notes the time from a decode's order to its first event, of a prompt
// that was computed elsewhere.
func (po *Pool) ObserveFirstEvent(took clock.Millis) { po.firstEventPace.add(0, took) }

// ObserveDecoderPrefill notes the same where the decode engine computed the prompt, with
// nothing before it.
func (po *Pool) ObserveDecoderPrefill(tokens int, took clock.Millis) {
	po.decoderPrefillPace.add(tokens, max(1, took-po.firstEventPace.estimate(0)))
}
