package bench

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
)

// oracleSlack is how many milliseconds before its target the oracle refuses a patient
// request, because quick work could still delay the request's prefill.
const oracleSlack = 1000.0

const oracleInterval = 20.0 // milliseconds between dispatches without an event

// oracleVariants are the variants that an oracle run compares.
var oracleVariants = []oracleVariant{{0, false}, {6, false}, {12, false}, {18, false}, {6, true}, {12, true}}

type (
	// oracleVariant is one way of ordering the oracle's work.
	oracleVariant struct {
		reserve       int  // slots reserved for quick work
		shortestFirst bool // orders patient requests by expected work instead of by target
	}

	// oraclePolicy decides centrally, without delay, from the true state of all engines,
	// including when every running decode will end. Run selects the variant in hindsight
	// as the best one for the run.
	oraclePolicy struct {
		oracleVariant
		sm         *sim
		queue      []*request
		ready      []*request
		kvReadyAt  map[*request]float64 // time at which the KV cache will be ready
		decodeEnds map[*request]float64
		sortedEnds []float64 // the values of decodeEnds in ascending order
	}
)

func (op *oraclePolicy) begin() {
	op.kvReadyAt = make(map[*request]float64)
	op.decodeEnds = make(map[*request]float64)
	var tick func()
	tick = func() {
		op.expire()
		op.dispatch()
		if op.sm.now < op.sm.span+drainTime/2 {
			op.sm.after(oracleInterval, tick)
		}
	}
	op.sm.after(0, tick)
}

func (op *oraclePolicy) arrive(rq *request) {
	op.enqueue(rq)
	op.dispatch()
}

func (op *oraclePolicy) enqueue(rq *request) {
	op.queue = append(op.queue, rq)
	sortByUrgency(op.queue)
	if !op.shortestFirst {
		return
	}
	slices.SortStableFunc(op.queue, func(ra, rb *request) int {
		return cmp.Or(cmp.Compare(urgency(ra), urgency(rb)), cmp.Compare(ra.busyTime(), rb.busyTime()))
	})
}

// busyTime is the true time that the request keeps an engine of the scarcer kind busy.
func (rq *request) busyTime() float64 {
	return max(float64(rq.output)*fullTPOT/decodeSlots, float64(rq.prompt)/prefillRate)
}

func (op *oraclePolicy) missesTarget(rq *request) bool {
	slack := 0.0
	if rq.cls.Work == PatientWork {
		slack = oracleSlack
	}
	return rq.targetUnreachable(op.sm.now + slack)
}

func (op *oraclePolicy) dispatch() {
	op.importReady()
	rest := op.queue[:0]
	for ix, rq := range op.queue {
		if op.missesTarget(rq) {
			op.sm.refuse(rq, rq.unreachableRefusal())
			continue
		}
		if op.startPrefill(rq) {
			continue
		}
		if rq.cls.Work == PatientWork {
			// Quick requests come first in the queue, so all that follow are patient and
			// wait for the same engines.
			rest = append(rest, op.queue[ix:]...)
			break
		}
		rest = append(rest, rq)
	}
	clear(op.queue[len(rest):])
	op.queue = rest
}

// expire refuses all queued requests whose target can no longer be met.
func (op *oraclePolicy) expire() {
	op.queue = slices.DeleteFunc(op.queue, func(rq *request) bool {
		if !op.missesTarget(rq) {
			return false
		}
		op.sm.refuse(rq, rq.unreachableRefusal())
		return true
	})
}

// startPrefill sends the prefill if a slot will be free when the KV cache is ready. It
// reports whether it did.
func (op *oraclePolicy) startPrefill(rq *request) bool {
	en, wait := op.bestPrefill(rq)
	if en == nil || (rq.cls.Work == PatientWork && wait > 1) {
		return false
	}
	at := op.sm.now + wait + en.computeTime(rq)
	need := 1
	if rq.cls.Work == PatientWork {
		need += op.reserve
	}
	if op.freeSlotsAt(at, rq) < need {
		return false
	}
	op.kvReadyAt[rq] = at
	op.sm.sendPrefill(rq, en)
	return true
}

// computeTime is the true time that the engine needs to compute the request's prompt.
func (en *prefillEngine) computeTime(rq *request) float64 {
	tokens := float64(rq.prompt)
	if rq.prefix != 0 && slices.Contains(en.cachedPrefixes, rq.prefix) {
		tokens -= prefixTokens
	}
	return max(1, tokens) / prefillRate
}

// queueDelay is the true time until the engine starts the request.
func (en *prefillEngine) queueDelay(rq *request) float64 {
	sum := 0.0
	for _, fl := range en.queue {
		if rq.cls.Work == PatientWork || fl.rq.cls.Work == QuickWork {
			sum += fl.tokensLeft / prefillRate
		}
	}
	if fl := en.running; fl != nil {
		left := fl.tokensLeft
		if rq.cls.Work == QuickWork {
			left = min(left, prefillChunk)
		}
		sum += left / prefillRate
	}
	return sum
}

func (op *oraclePolicy) bestPrefill(rq *request) (best *prefillEngine, wait float64) {
	least := 0.0
	for _, en := range op.sm.prefills {
		if en.dead {
			continue
		}
		back := en.queueDelay(rq)
		if total := back + en.computeTime(rq); best == nil || total < least {
			best, wait, least = en, back, total
		}
	}
	return best, wait
}

// freeSlotsAt returns the number of slots that will be free for the request at the given
// time, less those needed by requests that were started before.
func (op *oraclePolicy) freeSlotsAt(at float64, rq *request) int {
	free, _ := slices.BinarySearch(op.sortedEnds, at)
	for _, de := range op.sm.decodes {
		if !de.dead {
			free += decodeSlots - len(de.running)
		}
	}
	for other := range op.kvReadyAt {
		if urgency(other) <= urgency(rq) {
			free--
		}
	}
	return free - len(op.ready)
}

func (op *oraclePolicy) prefilled(rq *request) {
	delete(op.kvReadyAt, rq)
	op.ready = append(op.ready, rq)
	slices.SortStableFunc(op.ready, func(ra, rb *request) int { return cmp.Compare(urgency(ra), urgency(rb)) })
	op.dispatch()
}

// importReady imports the next ready KV cache into the engine with the most free slots.
func (op *oraclePolicy) importReady() {
	if len(op.ready) > 0 {
		var best *decodeEngine
		for _, de := range op.sm.decodes {
			if !de.dead && len(de.running) < decodeSlots && (best == nil || len(de.running) < len(best.running)) {
				best = de
			}
		}
		if best == nil {
			return
		}
		rq := op.ready[0]
		op.ready = op.ready[1:]
		op.sm.sendImport(rq, best)
		op.sm.after(0, op.importReady)
		return
	}
}

func (op *oraclePolicy) importRejected(rq *request) {
	op.ready = append(op.ready, rq)
}

func (op *oraclePolicy) decodeStarted(rq *request) {
	end := op.sm.now + rq.tpot*float64(rq.output)
	op.decodeEnds[rq] = end
	at, _ := slices.BinarySearch(op.sortedEnds, end)
	op.sortedEnds = slices.Insert(op.sortedEnds, at, end)
	op.dispatch()
}

// removeDecode removes the predicted end of a running decode.
func (op *oraclePolicy) removeDecode(rq *request) {
	if end, ok := op.decodeEnds[rq]; ok {
		at, _ := slices.BinarySearch(op.sortedEnds, end)
		op.sortedEnds = slices.Delete(op.sortedEnds, at, at+1)
		delete(op.decodeEnds, rq)
	}
}

func (op *oraclePolicy) ended(rq *request) {
	op.removeDecode(rq)
	op.sm.after(0, op.dispatch)
}

func (op *oraclePolicy) attemptLost(rq *request) {
	delete(op.kvReadyAt, rq)
	op.removeDecode(rq)
	op.ready = slices.DeleteFunc(op.ready, func(other *request) bool { return other == rq })
	op.sm.cancel(rq)
	if op.sm.refuseUnreachable(rq) {
		return
	}
	op.enqueue(rq)
}

func (op *oraclePolicy) serversChanged() {}

func (op *oraclePolicy) report(int, board.LoadReport) {}
