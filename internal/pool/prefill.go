package pool

import (
	"cmp"
	"math"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

const (
	// lateFactor is how many times longer than the decode engine the prefill
	// engine must take before the prompt is computed by the decode engine,
	// delaying its runs, although the request is late either way.
	lateFactor = 2
	// decoderSlowdownPrior is how many times longer than a prefill engine a decode
	// engine is assumed to take for a prompt until one was observed: it computes
	// prompts at half the speed and interleaves them with the tokens of its runs.
	decoderSlowdownPrior = 3
	// decoderPausePrior is the same for the delay of the engine's runs, which is at most
	// the time of the prompt's own tokens at half the speed and some steps of the runs.
	decoderPausePrior = 2.1
	// prefillMargin is the part of the time left, as a divisor, in which a prefill engine
	// must be expected to finish a prompt that a decode engine could read, if the decision
	// is made with knowledge of all prompts. Engines become up to 2.5 times slower while
	// prompts queue, and long prompts, which no decode engine can read, come after this
	// one. With 1.5 fewer prompts are in time in a burst of 110 prompts a second; with 3
	// more runs pause in bursts that the prefill engines could serve (docs/design/prefill-burst.md).
	prefillMargin = 2
	// minPausedRuns is the number of runs of a decode engine that may be expected to pause for
	// too long for a prompt that a prefill engine finishes in half of the time left, and
	// maxPausedRuns the same for a prompt that is late there. A run that pauses is late. A
	// prompt that is late delays those that queue behind it too, so more runs may pause for
	// it. Without these bounds one prompt in time cost 1.3 runs where engines hold nine
	// of them; with minPausedRuns for all prompts a burst of 110 prompts a second had a tenth
	// fewer in time (docs/design/prefill-burst.md).
	minPausedRuns = 2.0
	maxPausedRuns = 5.0
	// pauseDeviation is the standard deviation of the logarithm of a pause around its
	// expectation. One engine in six is 2.5 times slower than usual for a while.
	pauseDeviation = 0.35
	// minTimePart is the smallest part of the average time of all engines that one
	// engine is assumed to need.
	minTimePart = 0.5
	// minOwnObservations is how many observed prompts an engine needs before its
	// own pace counts fully.
	minOwnObservations = 3
)

type (
	// Prompt describes a prompt that has to be computed.
	Prompt struct {
		Tokens  int
		Domain  string // failure domain of the decode engine, to which the KV memory moves
		Version string // of the decode engine's software, which must be able to read the KV memory; empty: any
		// QueuedTokens returns the tokens of prompts that an engine computes before
		// this one; math.MaxInt excludes the engine.
		QueuedTokens func(id string) int
		// LastResort reports whether an engine is chosen only if no other is left.
		// If it is nil, no engine is a last resort.
		LastResort func(id string) bool
		// TimeAt returns how long an engine is expected to take for its queued prompts and
		// this one; zero: not known. If it is nil, the pool's own observations apply.
		TimeAt func(id string) clock.Millis
		// Left is the time in which the prompt must be computed; zero: it is late already,
		// or has no objective. A prompt that is late at each engine goes to the one with
		// the longest queue that is no longer than lateFactor times that, where it delays
		// the fewest prompts that can still be in time.
		Left clock.Millis
	}

	// Prefill is the choice of an engine for a prompt.
	Prefill struct {
		Server       board.BackendServer
		QueuedTokens int          // tokens of prompts computed before it
		ExpectedTime clock.Millis // including the queued prompts; zero if no prompt was observed yet
	}

	// Decoder is the state of a decode engine that may compute a prompt itself.
	Decoder struct {
		QueuedTokens int          // tokens of prompts that it computes now
		PromptTime   clock.Millis // from the decode order to the first event; zero: by the pool's own observations
		EventTime    clock.Millis // between two events of its runs; zero: not known
		MaxGap       clock.Millis // shortest MaxEventGap of its runs; zero: they have none
		Runs         int          // that pause while it computes the prompt
	}

	// StartBudget is a generation's time objective for its first event and the
	// part of it already spent.
	StartBudget struct {
		Spent     clock.Millis // since the request arrived
		Objective clock.Millis // for the first event; zero: none
	}
)

// ChoosePrefill chooses the engine that is expected to finish a prompt first, at
// random among equals. An engine in another failure domain than the decode
// engine counts as having the prompt queued twice: a transfer between domains
// takes twice as long and is charged for, so avoiding it is worth waiting for
// the duration of the prompt. Engines that failed recently are left out. Only
// engines of the prompt's version are considered. The second result is false if no engine
// is left.
func (po *Pool) ChoosePrefill(now clock.Millis, pr Prompt) (Prefill, bool) {
	var fit []*engine
	costs := make(map[*engine]int)
	ahead := make(map[*engine]int)
	for _, en := range po.available(now, board.Prefill, pr.Version) {
		ahead[en] = pr.QueuedTokens(en.server.ID)
		if now < en.failedUntil || ahead[en] == math.MaxInt {
			continue
		}
		fit = append(fit, en)
		tokens := ahead[en] + pr.Tokens
		if en.server.FailureDomain != pr.Domain {
			tokens += pr.Tokens
		}
		// Until a pace was observed, all engines count as equally fast.
		costs[en] = int(cmp.Or(po.prefillTime(en, tokens), clock.Millis(tokens)))
		if took := pr.timeAt(en); took > 0 {
			costs[en] = int(took) * tokens / (ahead[en] + pr.Tokens)
		}
	}
	if len(fit) == 0 {
		return Prefill{}, false
	}
	po.sortByLoad(fit, pr.ranking(fit, costs))
	best := fit[0]
	took := cmp.Or(pr.timeAt(best), po.prefillTime(best, ahead[best]+pr.Tokens))
	return Prefill{Server: best.server, QueuedTokens: ahead[best], ExpectedTime: took}, true
}

// ranking returns the order in which engines are chosen, the lowest first.
func (pr Prompt) ranking(fit []*engine, costs map[*engine]int) func(en *engine) int {
	late := pr.Left > 0 && !slices.ContainsFunc(fit, func(en *engine) bool { return pr.timeAt(en) <= pr.Left })
	return func(en *engine) int {
		switch {
		case pr.LastResort != nil && pr.LastResort(en.server.ID):
			return math.MaxInt
		case late && pr.timeAt(en) < lateFactor*pr.Left:
			return -costs[en]
		default:
			return costs[en]
		}
	}
}

// timeAt returns TimeAt of an engine; zero: not known.
func (pr Prompt) timeAt(en *engine) clock.Millis {
	if pr.TimeAt == nil {
		return 0
	}
	return pr.TimeAt(en.server.ID)
}

// PrefillAt returns the prefill at an engine that another VM chose, with the given
// numbers of queued tokens ahead and of tokens of the prompt itself. The second
// result is false if the engine is unknown.
func (po *Pool) PrefillAt(id string, ahead, tokens int) (Prefill, bool) {
	en := po.engines[id]
	if en == nil {
		return Prefill{}, false
	}
	return Prefill{Server: en.server, QueuedTokens: ahead, ExpectedTime: po.prefillTime(en, ahead+tokens)}, true
}

// CanPrefill reports whether an engine computes prompts, accepts work and did
// not fail recently.
func (po *Pool) CanPrefill(now clock.Millis, id string) bool {
	en := po.engines[id]
	return en != nil && en.acceptsWork(now) && now >= en.limitedUntil && en.server.Role == board.Prefill && now >= en.failedUntil
}

// prefillTime returns how long an engine takes for prompts with the given number
// of tokens in total, or zero if no prompt was observed at any engine.
func (po *Pool) prefillTime(en *engine, tokens int) clock.Millis {
	all := po.prefillPace.estimate(tokens)
	own := en.prefillPace.estimate(tokens)
	// The first few prompts of an engine may be exceptions, such as one that the
	// engine still had in its cache, so the average of all engines counts too.
	if known := en.prefillPace.weight / minOwnObservations; known < 1 {
		own = clock.Millis(known*float64(own) + (1-known)*float64(all))
	}
	return max(own, clock.Millis(minTimePart*float64(all)))
}

// ObservePrefill records how long a prefill took. Prefills that had to queue are
// ignored: the prompts before them may have been partly computed, so only a
// prefill without a queue shows the engine's pace.
func (po *Pool) ObservePrefill(pf Prefill, tokens int, took clock.Millis) {
	en := po.engines[pf.Server.ID]
	if en == nil || pf.QueuedTokens > 0 {
		return
	}
	en.prefillPace.add(tokens, took)
	po.prefillPace.add(tokens, took)
}

// ShouldPrefillAtDecoder reports whether the decode engine should compute a
// prompt itself. This delays the engine's other runs, by a tenth of an engine's work
// for each of them, so it is limited to bursts of prompts: the prefill engine would
// miss the request's objective and the decode engine would meet it, or both would miss
// it and the prefill engine by far. The runs of the engine must not pause for too long
// ([Pool.AllowsPause]).
func (po *Pool) ShouldPrefillAtDecoder(pf Prefill, tokens int, de Decoder, st StartBudget) bool {
	if st.Objective == 0 || pf.ExpectedTime == 0 {
		return false
	}
	left := st.Objective - st.Spent - cmp.Or(po.firstEventPace.estimate(0), de.EventTime)
	if !po.AllowsPause(tokens, de, allowedPauses(pf.ExpectedTime, left)) {
		return false
	}
	decoderTime, margin := po.decoderPrefillTime(de.QueuedTokens+tokens), clock.Millis(1)
	if de.PromptTime > 0 {
		decoderTime, margin = max(1, de.PromptTime-de.EventTime), prefillMargin
	}
	switch {
	case margin*pf.ExpectedTime <= left:
		return false
	case decoderTime <= left:
		return true
	default:
		return lateFactor*decoderTime < pf.ExpectedTime
	}
}

// AllowsPause reports whether a decode engine can compute a prompt although its runs may
// pause for too long because of that: at most the allowed number of them are expected to.
// All steps of its runs may stop for the whole prompt between two events. Two prompts
// exceed any pause that one nearly reaches, so it computes only one at a time.
func (po *Pool) AllowsPause(tokens int, de Decoder, allowed float64) bool {
	if de.MaxGap == 0 {
		return true
	}
	pause := de.PromptTime
	if pause == 0 {
		pause = po.decoderPause(tokens) + de.EventTime
	}
	return de.QueuedTokens == 0 && float64(pause) <= maxPausePart(de.Runs, allowed)*float64(de.MaxGap)
}

// allowedPauses returns how many runs may be expected to pause for too long for a prompt
// that a prefill engine would finish after the expected time.
func allowedPauses(expected, left clock.Millis) float64 {
	const half = 1.0 / prefillMargin
	used := min(max(float64(expected)/float64(max(1, left)), half), 1)
	return minPausedRuns + (maxPausedRuns-minPausedRuns)*(used-half)/(1-half)
}

// maxPausePart returns the largest expected pause, as a part of the longest one, with which
// at most the allowed number of runs are expected to exceed that. All runs of an engine
// pause together. The expected pause never exceeds the longest one.
func maxPausePart(runs int, allowed float64) float64 {
	if float64(runs) <= 2*allowed {
		return 1
	}
	exceeded := allowed / float64(runs)
	return math.Exp(-pauseDeviation * math.Sqrt2 * math.Erfinv(1-2*exceeded))
}

// decoderPause returns how long the steps of runs are delayed by a prompt, without the
// constant part of its time, or zero if no prompt was observed.
func (po *Pool) decoderPause(tokens int) clock.Millis {
	if took := po.decoderPrefillPace.estimate(tokens); took > 0 {
		return took
	}
	return clock.Millis(decoderPausePrior * po.prefillPace.slope() * float64(tokens))
}

// decoderPrefillTime returns how long a decode engine takes to compute prompts
// with the given number of tokens while it decodes other requests.
func (po *Pool) decoderPrefillTime(tokens int) clock.Millis {
	if took := po.decoderPrefillPace.estimate(tokens); took > 0 {
		return took
	}
	return decoderSlowdownPrior * po.prefillPace.estimate(tokens)
}

// ObserveFirstEvent records the time from a decode order to its first event, for
// a prompt that was computed by another engine.
func (po *Pool) ObserveFirstEvent(took clock.Millis) { po.firstEventPace.add(0, took) }

// ObserveDecoderPrefill records the time from a decode order to its first event
// where the decode engine computed the prompt with no other prompt queued.
func (po *Pool) ObserveDecoderPrefill(tokens int, took clock.Millis) {
	po.decoderPrefillPace.add(tokens, max(1, took-po.firstEventPace.estimate(0)))
}
