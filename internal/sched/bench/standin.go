package bench

import (
	"math"
	"slices"

	"alderdyke/internal/board"
)

type (
	// prefillEngine is a stand-in: it computes prompts in chunks, quick ones
	// first, keeps each KV cache for a while and sends it over one link.
	prefillEngine struct {
		sm      *sim
		id      string
		domain  int
		queue   []*fill
		running *fill
		dead    bool
		cache   []uint64
		link    link
	}

	// fill is one prefill and the KV cache that it leaves.
	fill struct {
		rq     *request
		att    int
		left   float64
		ready  bool
		gone   bool // sent, cancelled or lapsed
		done   func(ok bool)
		lapsed func()
	}

	// decodeEngine is a stand-in with a number of places.
	decodeEngine struct {
		sm      *sim
		id      string
		domain  int
		running map[*request]int // and the attempt
		dead    bool
	}

	// link shares its rate evenly between the transfers on it.
	link struct {
		sm      *sim
		rate    float64
		active  []*transfer
		updated float64
		version int
	}

	transfer struct {
		left float64
		done func()
	}
)

func (en *prefillEngine) load() board.LoadReport {
	queued := len(en.queue)
	if en.running != nil {
		queued++
	}
	return board.LoadReport{Server: en.id, Queued: queued, Running: min(1, queued), Slots: 1}
}

// start queues a prefill. done tells whether it was completed.
func (en *prefillEngine) start(rq *request, att int, done func(ok bool), lapsed func()) *fill {
	fl := &fill{rq: rq, att: att, done: done, lapsed: lapsed, left: float64(rq.prompt)}
	if en.dead {
		done(false)
		return fl
	}
	rq.ran = true
	if rq.prefix != 0 && slices.Contains(en.cache, rq.prefix) {
		fl.left = max(1, fl.left-prefixTokens)
	}
	en.queue = append(en.queue, fl)
	slices.SortStableFunc(en.queue, func(fa, fb *fill) int { return rank(fa) - rank(fb) })
	en.next()
	return fl
}

func rank(fl *fill) int {
	if fl.rq.cls.Work == QuickWork {
		return 0
	}
	return 1
}

func (en *prefillEngine) next() {
	if en.running != nil || len(en.queue) == 0 || en.dead {
		return
	}
	fl := en.queue[0]
	en.queue = en.queue[1:]
	if fl.gone {
		en.next()
		return
	}
	en.running = fl
	chunk := min(fl.left, prefillChunk)
	en.sm.after(chunk/prefillRate, func() { en.chunkDone(fl, chunk) })
}

func (en *prefillEngine) chunkDone(fl *fill, chunk float64) {
	if en.dead {
		return
	}
	en.running = nil
	fl.rq.computed += chunk
	if fl.rq.att == fl.att {
		fl.rq.last += chunk
	}
	fl.left -= chunk
	switch {
	case fl.gone:
	case fl.left > 0:
		// Goes on before others of its kind.
		at := slices.IndexFunc(en.queue, func(other *fill) bool { return rank(other) >= rank(fl) })
		if at < 0 {
			at = len(en.queue)
		}
		en.queue = slices.Insert(en.queue, at, fl)
	default:
		en.complete(fl)
	}
	en.next()
}

func (en *prefillEngine) complete(fl *fill) {
	fl.ready = true
	if px := fl.rq.prefix; px != 0 {
		en.cache = slices.DeleteFunc(en.cache, func(old uint64) bool { return old == px })
		en.cache = append(en.cache, px)
		if len(en.cache) > cachedMost/prefixTokens {
			en.cache = en.cache[1:]
		}
	}
	en.sm.after(keepKV, func() {
		if !fl.gone {
			fl.gone = true
			fl.lapsed()
		}
	})
	fl.done(true)
}

// kill loses the engine and all that it holds.
func (en *prefillEngine) kill() {
	en.dead = true
	lost := en.queue
	if en.running != nil {
		lost = append(lost, en.running)
	}
	en.queue, en.running = nil, nil
	for _, fl := range lost {
		if !fl.gone {
			fl.gone = true
			fl.done(false)
		}
	}
}

func (de *decodeEngine) load() board.LoadReport {
	return board.LoadReport{Server: de.id, Running: len(de.running), Slots: decodeSlots}
}

// take reserves a place; false means refused.
func (de *decodeEngine) take(rq *request, att int) bool {
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

// tpot is the time between tokens at the present filling.
func (de *decodeEngine) tpot() float64 {
	return idleTPOT + (fullTPOT-idleTPOT)*float64(len(de.running))/decodeSlots
}

// send moves a KV cache of some prompt tokens.
func (lk *link) send(tokens float64, done func()) *transfer {
	lk.advance()
	tr := &transfer{left: tokens, done: done}
	lk.active = append(lk.active, tr)
	lk.plan()
	return tr
}

// abort takes a transfer off the link, if it is still on it.
func (lk *link) abort(tr *transfer) {
	if tr == nil {
		return
	}
	lk.advance()
	lk.active = slices.DeleteFunc(lk.active, func(other *transfer) bool { return other == tr })
	lk.plan()
}

func (lk *link) setRate(rate float64) {
	lk.advance()
	lk.rate = rate
	lk.plan()
}

func (lk *link) advance() {
	if len(lk.active) > 0 {
		part := (lk.sm.now - lk.updated) * lk.rate / float64(len(lk.active))
		for _, tr := range lk.active {
			tr.left -= part
		}
	}
	lk.updated = lk.sm.now
}

func (lk *link) plan() {
	lk.version++
	if len(lk.active) == 0 {
		return
	}
	least := math.Inf(1)
	for _, tr := range lk.active {
		least = min(least, tr.left)
	}
	version := lk.version
	lk.sm.after(max(0, least)*float64(len(lk.active))/lk.rate, func() {
		if version == lk.version {
			lk.finish()
		}
	})
}

func (lk *link) finish() {
	lk.advance()
	var done []*transfer
	lk.active = slices.DeleteFunc(lk.active, func(tr *transfer) bool {
		if tr.left > 1e-6 {
			return false
		}
		done = append(done, tr)
		return true
	})
	lk.plan()
	for _, tr := range done {
		tr.done()
	}
}
