package bench

import (
	"math"
	"slices"

	"alderdyke/internal/board"
)

type (
	// prefillEngine simulates a prefill engine. It computes prompts in chunks, quick ones
	// first, keeps each KV cache for its TTL and sends it over a single link.
	prefillEngine struct {
		sm             *sim
		id             string
		domain         int
		queue          []*prefillJob
		running        *prefillJob
		dead           bool
		cachedPrefixes []uint64
		link           link
	}

	// prefillJob is one prefill and the KV cache that it produces.
	prefillJob struct {
		rq         *request
		att        int
		tokensLeft float64
		ready      bool
		released   bool // the KV cache was sent, cancelled or expired
		done       func(ok bool)
		expired    func()
	}

	// decodeEngine simulates a decode engine with a fixed number of slots.
	decodeEngine struct {
		sm      *sim
		id      string
		domain  int
		running map[*request]int // attempt of each request that holds a slot
		dead    bool
	}

	// link divides its rate evenly between its active transfers.
	link struct {
		sm        *sim
		rate      float64
		active    []*transfer
		updatedAt float64
		version   int
	}

	transfer struct {
		remaining float64
		done      func()
	}
)

func (en *prefillEngine) load() board.LoadReport {
	queued := len(en.queue)
	if en.running != nil {
		queued++
	}
	return board.LoadReport{Server: en.id, Queued: queued, Running: min(1, queued), Slots: 1}
}

// start queues a prefill. done reports whether it was completed.
func (en *prefillEngine) start(rq *request, att int, done func(ok bool), lapsed func()) *prefillJob {
	fl := &prefillJob{rq: rq, att: att, done: done, expired: lapsed, tokensLeft: float64(rq.prompt)}
	if en.dead {
		done(false)
		return fl
	}
	rq.sentToEngine = true
	if rq.prefix != 0 && slices.Contains(en.cachedPrefixes, rq.prefix) {
		fl.tokensLeft = max(1, fl.tokensLeft-prefixTokens)
	}
	en.queue = append(en.queue, fl)
	slices.SortStableFunc(en.queue, func(fa, fb *prefillJob) int { return priority(fa) - priority(fb) })
	en.startNext()
	return fl
}

func priority(fl *prefillJob) int {
	if fl.rq.cls.Work == QuickWork {
		return 0
	}
	return 1
}

func (en *prefillEngine) startNext() {
	if en.running != nil || len(en.queue) == 0 || en.dead {
		return
	}
	fl := en.queue[0]
	en.queue = en.queue[1:]
	if fl.released {
		en.startNext()
		return
	}
	en.running = fl
	chunk := min(fl.tokensLeft, prefillChunk)
	en.sm.after(chunk/prefillRate, func() { en.chunkDone(fl, chunk) })
}

func (en *prefillEngine) chunkDone(fl *prefillJob, chunk float64) {
	if en.dead {
		return
	}
	en.running = nil
	fl.rq.computedTokens += chunk
	if fl.rq.attempt == fl.att {
		fl.rq.attemptTokens += chunk
	}
	fl.tokensLeft -= chunk
	switch {
	case fl.released:
	case fl.tokensLeft > 0:
		// Resumes before other jobs of its kind.
		at := slices.IndexFunc(en.queue, func(other *prefillJob) bool { return priority(other) >= priority(fl) })
		if at < 0 {
			at = len(en.queue)
		}
		en.queue = slices.Insert(en.queue, at, fl)
	default:
		en.complete(fl)
	}
	en.startNext()
}

func (en *prefillEngine) complete(fl *prefillJob) {
	fl.ready = true
	if px := fl.rq.prefix; px != 0 {
		en.cachedPrefixes = slices.DeleteFunc(en.cachedPrefixes, func(old uint64) bool { return old == px })
		en.cachedPrefixes = append(en.cachedPrefixes, px)
		if len(en.cachedPrefixes) > maxCachedTokens/prefixTokens {
			en.cachedPrefixes = en.cachedPrefixes[1:]
		}
	}
	en.sm.after(kvCacheTTL, func() {
		if !fl.released {
			fl.released = true
			fl.expired()
		}
	})
	fl.done(true)
}

// kill fails the engine. Its queued and running prefills are lost.
func (en *prefillEngine) kill() {
	en.dead = true
	lost := en.queue
	if en.running != nil {
		lost = append(lost, en.running)
	}
	en.queue, en.running = nil, nil
	for _, fl := range lost {
		if !fl.released {
			fl.released = true
			fl.done(false)
		}
	}
}

func (de *decodeEngine) load() board.LoadReport {
	return board.LoadReport{Server: de.id, Running: len(de.running), Slots: decodeSlots}
}

// reserve reserves a slot. It reports false if the engine is dead or full.
func (de *decodeEngine) reserve(rq *request, att int) bool {
	if de.dead || len(de.running) >= decodeSlots {
		return false
	}
	de.running[rq] = att
	return true
}

func (de *decodeEngine) holds(rq *request, att int) bool {
	got, ok := de.running[rq]
	return ok && got == att
}

func (de *decodeEngine) release(rq *request, att int) {
	if de.holds(rq, att) {
		delete(de.running, rq)
	}
}

// tpot returns the time between tokens at the current number of requests.
func (de *decodeEngine) tpot() float64 {
	return idleTPOT + (fullTPOT-idleTPOT)*float64(len(de.running))/decodeSlots
}

// send starts the transfer of a KV cache with the given number of prompt tokens.
func (lk *link) send(tokens float64, done func()) *transfer {
	lk.advance()
	tr := &transfer{remaining: tokens, done: done}
	lk.active = append(lk.active, tr)
	lk.scheduleFinish()
	return tr
}

// abort removes a transfer from the link if it is still active.
func (lk *link) abort(tr *transfer) {
	if tr == nil {
		return
	}
	lk.advance()
	lk.active = slices.DeleteFunc(lk.active, func(other *transfer) bool { return other == tr })
	lk.scheduleFinish()
}

func (lk *link) setRate(rate float64) {
	lk.advance()
	lk.rate = rate
	lk.scheduleFinish()
}

// advance subtracts the tokens sent since the last update from the active transfers.
func (lk *link) advance() {
	if len(lk.active) > 0 {
		part := (lk.sm.now - lk.updatedAt) * lk.rate / float64(len(lk.active))
		for _, tr := range lk.active {
			tr.remaining -= part
		}
	}
	lk.updatedAt = lk.sm.now
}

// scheduleFinish schedules the end of the transfer that completes first at the current
// rate. It invalidates what was scheduled before.
func (lk *link) scheduleFinish() {
	lk.version++
	if len(lk.active) == 0 {
		return
	}
	least := math.Inf(1)
	for _, tr := range lk.active {
		least = min(least, tr.remaining)
	}
	version := lk.version
	lk.sm.after(max(0, least)*float64(len(lk.active))/lk.rate, func() {
		if version == lk.version {
			lk.finishTransfers()
		}
	})
}

func (lk *link) finishTransfers() {
	lk.advance()
	var done []*transfer
	lk.active = slices.DeleteFunc(lk.active, func(tr *transfer) bool {
		if tr.remaining > 1e-6 {
			return false
		}
		done = append(done, tr)
		return true
	})
	lk.scheduleFinish()
	for _, tr := range done {
		tr.done()
	}
}
