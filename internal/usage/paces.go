package usage

import (
	"maps"
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// readDecay is the factor that each prompt that an engine finished applies to the
	// weight of earlier ones. In a burst an engine finishes about ten prompts a second,
	// so that half of the weight is on the last 0.2 s: engines become slow for 0.6 s.
	readDecay = 0.7
	// allReadsDecay is the same for the mean of all engines; it is about the last 200.
	allReadsDecay = 0.995
	// readPriorTokens is the weight of the mean of all engines in the pace of one, as a
	// number of tokens: about one prompt.
	readPriorTokens = 5000
	// stepDecay and allStepsDecay are the same for the steps of runs. Each VM reports
	// about once in a second, so an engine of nine runs has about nine a second.
	stepDecay     = 0.9
	allStepsDecay = 0.995
	// stepPriorTokens is a weight like readPriorTokens: what a run generates in 0.5 s.
	stepPriorTokens = 700
	// speedPriorTokens is the same for the speed of runs ([Ledger.SpeedAt]), by which their
	// ends are forecast: engines of different speeds must not be taken for equal.
	speedPriorTokens = 100
	// decoderReadFactor is how many times longer than a prefill engine a decode engine is
	// assumed to take for a prompt until enough were observed: it reads at half the speed,
	// and 5 in 100 of the time are the steps of its runs between two chunks.
	decoderReadFactor = 2.1
	// decoderPriorTokens is the weight of that assumption: about four prompts.
	decoderPriorTokens = 20000
)

type (
	// paces learns from the reports of the other VMs how fast each engine reads prompts
	// and generates tokens now. A VM of a large fleet serves a request every few seconds,
	// so that it learns too little from its own.
	paces struct {
		readers      map[string]*reader
		steps        map[string]*rate
		allReads     rate // at prefill engines
		decoderReads rate // at decode engines, until the first event, as if all were equally fast
		allSteps     rate
	}

	// reader is an engine that reads prompts one after the other.
	reader struct {
		queue []queuedPrompt // in the order of their reports
		since clock.Millis   // when it began with the first
		pace  rate
		// isDecoder reports that it is a decode engine: VMs have runs where it reads for
		// them.
		isDecoder bool
	}

	queuedPrompt struct {
		vm     string
		tokens int
	}

	// rate is a time for each token, with decaying weight. The zero value has none.
	rate struct{ tokens, took float64 }
)

func (rt *rate) add(decay float64, tokens int, took clock.Millis) {
	rt.tokens = decay*rt.tokens + float64(tokens)
	rt.took = decay*rt.took + float64(took)
}

// perToken returns the time for a token, mixed with a prior of a weight; zero: unknown.
func (rt *rate) perToken(prior, weight float64) float64 {
	if rt == nil || rt.tokens == 0 {
		return prior
	}
	if prior == 0 {
		weight = 0
	}
	return (rt.took + prior*weight) / (rt.tokens + weight)
}

// observe learns from a VM's report, given its previous one and the time between them.
func (pc *paces) observe(now clock.Millis, vm string, old, rp Report, between clock.Millis) {
	if pc.readers == nil {
		pc.readers, pc.steps = make(map[string]*reader), make(map[string]*rate)
	}
	for engine, tokens := range rp.Prompts {
		if more := tokens - old.Prompts[engine]; more > 0 {
			pc.begin(now, engine, queuedPrompt{vm, more}, rp.runsAt(engine) > 0)
		}
	}
	// The mean of all engines depends on the order in which their prompts are added.
	for _, engine := range slices.Sorted(maps.Keys(old.Prompts)) {
		if less := old.Prompts[engine] - rp.Prompts[engine]; less > 0 {
			pc.finish(now, engine, queuedPrompt{vm, less})
		}
		if rp.Prompts[engine] == 0 {
			pc.readers[engine].drop(now, vm)
		}
	}
	pc.observeSteps(old.Runs, rp.Runs, between)
}

func (pc *paces) begin(now clock.Millis, engine string, qp queuedPrompt, isDecoder bool) {
	rd := pc.readers[engine]
	if rd == nil || rd.isDecoder != isDecoder {
		rd = &reader{isDecoder: isDecoder}
		pc.readers[engine] = rd
	}
	if len(rd.queue) == 0 {
		rd.since = now
	}
	rd.queue = append(rd.queue, qp)
}

// drop removes the prompts of a VM that has none left: reports show only sums, so that a
// prompt that ended while another one began may not have been found. One that stayed at
// the head would make the engine seem to read it for ever.
func (rd *reader) drop(now clock.Millis, vm string) {
	rd.dropIf(now, func(other string) bool { return other == vm })
}

// dropIf drops the prompts of the VMs to which a condition applies. If the first one is
// dropped, the next one is taken to begin now.
func (rd *reader) dropIf(now clock.Millis, applies func(vm string) bool) {
	if rd == nil || len(rd.queue) == 0 {
		return
	}
	if applies(rd.queue[0].vm) {
		rd.since = now
	}
	rd.queue = slices.DeleteFunc(rd.queue, func(qp queuedPrompt) bool { return applies(qp.vm) })
}

// forget drops the prompts of a VM whose reports were missing for a while.
func (pc *paces) forget(now clock.Millis, vm string) {
	for _, rd := range pc.readers {
		rd.drop(now, vm)
	}
}

// finish removes a prompt. Only the first in the queue shows the pace; another one was
// not read, or a report was lost.
func (pc *paces) finish(now clock.Millis, engine string, qp queuedPrompt) {
	rd := pc.readers[engine]
	if rd == nil {
		return
	}
	at := slices.Index(rd.queue, qp)
	exact := at >= 0
	if !exact {
		at = slices.IndexFunc(rd.queue, func(one queuedPrompt) bool { return one.vm == qp.vm })
	}
	if at < 0 {
		return
	}
	rd.queue = slices.Delete(rd.queue, at, at+1)
	if at > 0 {
		return
	}
	if !exact {
		rd.since = now // the size of what was read is not known
		return
	}
	if took := now - rd.since; took > 0 && rd.isDecoder {
		pc.decoderReads.add(allReadsDecay, qp.tokens, clock.Millis(float64(took)/pc.relativeStep(engine)))
	} else if took > 0 {
		rd.pace.add(readDecay, qp.tokens, took)
		pc.allReads.add(allReadsDecay, qp.tokens, took)
	}
	rd.since = now
}

// relativeStep returns how many times longer than at the mean of all engines a step takes
// at one.
func (pc *paces) relativeStep(engine string) float64 {
	all := pc.allSteps.perToken(0, 0)
	if all == 0 {
		return 1
	}
	return pc.steps[engine].perToken(all, stepPriorTokens) / all
}

// observeSteps learns from the growth of runs. Both lists are sorted by engine and by
// size, so the runs of an engine correspond if their number is the same and each grew, by
// no more than it was expected to, if that is known.
func (pc *paces) observeSteps(old, list []Run, between clock.Millis) {
	if between <= 0 {
		return
	}
	for begin := 0; begin < len(list); {
		engine, end := list[begin].Engine, begin+1
		for end < len(list) && list[end].Engine == engine {
			end++
		}
		before := runsOf(old, engine)
		if len(before) == end-begin {
			for ix, run := range list[begin:end] {
				grown, most := run.Tokens-before[ix].Tokens, before[ix].Left+before[ix].Deviation
				if most == 0 || grown <= most {
					pc.observeStep(engine, grown, between)
				}
			}
		}
		begin = end
	}
}

// observeStep adds a run's growth. A run that has not grown may not have begun.
func (pc *paces) observeStep(engine string, grown int, between clock.Millis) {
	if grown <= 0 {
		return
	}
	if pc.steps[engine] == nil {
		pc.steps[engine] = &rate{}
	}
	pc.steps[engine].add(stepDecay, grown, between)
	pc.allSteps.add(allStepsDecay, grown, between)
}

// runsOf returns the part of a sorted list that is at an engine.
func runsOf(list []Run, engine string) []Run {
	begin := slices.IndexFunc(list, func(ru Run) bool { return ru.Engine == engine })
	if begin < 0 {
		return nil
	}
	end := begin
	for end < len(list) && list[end].Engine == engine {
		end++
	}
	return list[begin:end]
}

// PromptTime returns how long an engine is expected to take for the prompts that it
// has, and for one of the given size after them; zero: not known. A prompt that takes
// longer than expected shows that the engine is slow now.
func (le *Ledger) PromptTime(now clock.Millis, engine string, tokens int) clock.Millis {
	return le.promptTime(now, le.paces.readers[engine], engine, tokens)
}

// PreviewPromptTime is PromptTime without dropping the prompts of VMs whose reports have
// expired, so that it changes nothing.
func (le *Ledger) PreviewPromptTime(now clock.Millis, engine string, tokens int) clock.Millis {
	rd := le.paces.readers[engine]
	if rd != nil {
		copied := *rd
		copied.queue = slices.Clone(rd.queue)
		rd = &copied
	}
	return le.promptTime(now, rd, engine, tokens)
}

// promptTime is PromptTime for an engine's reader; nil: nothing is known of it.
func (le *Ledger) promptTime(now clock.Millis, rd *reader, engine string, tokens int) clock.Millis {
	all := le.paces.allReads.perToken(0, 0)
	if all == 0 {
		return 0
	}
	if rd == nil {
		rd = &reader{}
	}
	perToken := rd.pace.perToken(all, readPriorTokens)
	queued := le.PromptTokens(now, engine)
	rd.dropIf(now, func(vm string) bool { return !le.others.isFresh(now, vm) })
	begun := 0.0
	if len(rd.queue) > 0 {
		head := float64(rd.queue[0].tokens)
		begun = float64(now - rd.since)
		perToken = max(perToken, begun/head)
		begun = min(begun, perToken*head)
	}
	return clock.Millis(math.Ceil(max(0, perToken*float64(queued)-begun) + perToken*float64(tokens)))
}

// DecoderPromptTime returns how long a decode engine is expected to take from the order
// to the first event of the given number of tokens, if it reads the prompt itself, while
// it generates tokens for its runs; zero: not known.
func (le *Ledger) DecoderPromptTime(engine string, tokens, eventTokens int) clock.Millis {
	pc := &le.paces
	reads := pc.allReads.perToken(0, 0)
	if reads == 0 {
		return 0
	}
	prior := decoderReadFactor*reads + pc.allSteps.perToken(0, 0)*float64(eventTokens)/float64(max(1, tokens))
	return clock.Millis(math.Ceil(pc.decoderReads.perToken(prior, decoderPriorTokens) * pc.relativeStep(engine) * float64(tokens)))
}

// SpeedAt returns how many tokens a run at an engine generates per millisecond, by the
// reports of other VMs or otherwise by this VM's own runs; zero if none is known.
func (le *Ledger) SpeedAt(engine string) float64 {
	perToken := le.paces.steps[engine].perToken(le.paces.allSteps.perToken(0, 0), speedPriorTokens)
	if perToken == 0 {
		return le.speed
	}
	return 1 / perToken
}

// StepTime returns the time in which a run at an engine generates the given number of
// tokens now; zero: not known.
func (le *Ledger) StepTime(engine string, tokens int) clock.Millis {
	pc := &le.paces
	return clock.Millis(math.Ceil(float64(tokens) * pc.steps[engine].perToken(pc.allSteps.perToken(0, 0), stepPriorTokens)))
}
