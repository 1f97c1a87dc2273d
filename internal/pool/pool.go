// Package pool decides, for one entry VM, where a generation finds its place
// among the model engines of a service, in which order requests wait for one,
// and how much memory one is reserved.
//
// What an engine has left is known to the engine alone, since all VMs send to
// it: a place is a reservation that the engine itself confirmed, taken before
// the prompt is computed, so that no prefill is spent on a request that can't
// be decoded. The pool orders the engines by what they are expected to need
// and remembers which of them said just now that they are full.
//
// Who was refused before and came back goes first, for a request that is
// refused twice has cost its caller twice; but not while new requests are
// refused somewhere in the fleet. Among requests alike the turn decides, a
// number that each draws: all VMs see one order by it, and the room that
// requests elsewhere take first is left to them ([Requirements.Ahead]).
//
// A prompt is computed where it is expected to be done first ([Pool.ChoosePrefill]),
// by how long engines were seen to take, or by the decode engine itself
// ([Pool.ShouldPrefillAtDecoder]) where it would be too late elsewhere.
//
// # Usage
//
//	po := &pool.Pool{Rand: rand.New(rand.NewPCG(1, 2))}
//	po.Update(servers)
//	tk := po.Enter(now, pool.Request{Returning: true})
//	defer po.Leave(tk)
//	if po.IsFirst(tk, false) {
//		for _, bs := range po.DecodeCandidates(now, pool.Requirements{Tokens: 5500, Limit: capacity, Peak: peak}) { ... } // reserve; then AddRun or MarkFull
//	}
//	pf, ok := po.ChoosePrefill(now, pool.Prompt{Tokens: 5200, Domain: bs.FailureDomain, QueuedTokens: queued})
//	po.ObservePrefill(pf, 5200, took)
//
// A Pool does no I/O and is not safe for concurrent use.
package pool

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

const (
	// fullBackoff is how long an engine that said it is full is not asked again
	// unless a run of this VM ends there: about the time in which a cell of
	// six engines ends one run.
	fullBackoff = 60 * clock.Millis(1)
	// needBuckets divides the memory of an engine into parts within which
	// needs count as alike; a run takes about one of them.
	needBuckets = 8
	// minFailureBackoff and maxFailureBackoff bound how long an engine that failed is passed
	// over; the span doubles with each failure in a row.
	minFailureBackoff = 2 * clock.Second
	maxFailureBackoff = 8 * clock.Second
)

type (
	// Requirements is what a request needs of an engine.
	Requirements struct {
		Tokens   int // to reserve
		Limit    int // that the engine may come to need
		Ahead    int // requests elsewhere that take their places first
		Headroom int // further requests alike that must fit beside it
		// Peak is what an engine will need with so many runs like the
		// request's more than it has.
		Peak func(id string, more int) int
		// LastResort tells whether an engine is to be asked after all others; nil: none
		// is.
		LastResort func(id string) bool
	}

	// Pool is the engines of one service as one VM uses them. Set the
	// exported fields before use.
	Pool struct {
		Rand *rand.Rand // must be set

		engines map[string]*engine
		queue   []*Ticket // returning requests first, then by their turns

		prefillPace        pace // of prompts, at all prefill engines
		decoderPrefillPace pace // of prompts that decode engines compute beside their runs
		firstEventPace     pace // of decodes, from their order to the first event
	}

	engine struct {
		server        board.BackendServer
		removed       bool
		rejectedEntry board.BackendServer // the entry that the engine's own word contradicts
		runs          int                 // of this VM
		fullUntil     clock.Millis
		fullTokens    int // smallest reservation that was declined lately
		failures      int
		failedUntil   clock.Millis
		backoffUntil  clock.Millis // it asked for rest until then; zero: it did not
		prefillPace   pace         // of prompts
	}
)

// Update takes the engines of the service.
func (po *Pool) Update(servers []board.BackendServer) {
	if po.engines == nil {
		po.engines = make(map[string]*engine)
	}
	for _, en := range po.engines {
		en.removed = true
	}
	for _, bs := range servers {
		en := po.engines[bs.ID]
		if en == nil {
			en = &engine{}
			po.engines[bs.ID] = en
		}
		en.server, en.removed = bs, false
	}
	for id, en := range po.engines {
		if en.removed && en.runs == 0 {
			delete(po.engines, id)
		}
	}
}

// DecodeCandidates lists the engines to ask for a place, those first that are expected
// to need the least memory. Those that will need more than the limit are left
// out, and so is the room that requests elsewhere will take first: every VM
// that waits works out the same choices, and so they don't all choose the
// engine at which a place became free. If none is before the request, alike
// engines are taken by chance, for the same reason.
func (po *Pool) DecodeCandidates(now clock.Millis, rq Requirements) []board.BackendServer {
	fit := po.healthy(now)
	needs := make(map[*engine]int, len(fit))
	for _, en := range fit {
		needs[en] = rq.Peak(en.server.ID, 1)
	}
	fits := func(en *engine) bool {
		if rq.Headroom > 0 && rq.Peak(en.server.ID, 1+rq.Headroom) > rq.Limit {
			return false
		}
		return needs[en] <= rq.Limit && (now >= en.fullUntil || rq.Tokens < en.fullTokens)
	}
	fit = slices.DeleteFunc(fit, func(en *engine) bool { return !fits(en) })
	grain := 1
	if rq.Ahead == 0 {
		grain = max(1, rq.Limit/needBuckets)
	} else if fit = placeAhead(fit, rq, needs); len(fit) == 0 {
		return nil
	}
	po.sortByLoad(fit, func(en *engine) int {
		if rq.LastResort != nil && rq.LastResort(en.server.ID) {
			return math.MaxInt
		}
		return needs[en] / grain
	})
	out := make([]board.BackendServer, 0, len(fit))
	for _, en := range fit {
		out = append(out, en.server)
	}
	return out
}

// HasRoom tells whether some decode engine has room for the request, and to spare,
// whoever goes first.
func (po *Pool) HasRoom(now clock.Millis, rq Requirements) bool {
	for _, en := range po.healthy(now) {
		if rq.Peak(en.server.ID, 1+rq.Headroom) <= rq.Limit {
			return true
		}
	}
	return false
}

// LowestPeak is the least that any decode engine would need with one more request,
// of how many; zero of none.
func (po *Pool) LowestPeak(now clock.Millis, rq Requirements) (need, engines int) {
	for _, en := range po.healthy(now) {
		if nd := rq.Peak(en.server.ID, 1); engines == 0 || nd < need {
			need = nd
		}
		engines++
	}
	return need, engines
}

// placeAhead takes the places of the requests that are before this one out of
// the room at the engines, and returns the engines that have more.
func placeAhead(fit []*engine, rq Requirements, needs map[*engine]int) []*engine {
	taken := make(map[*engine]int)
	for range rq.Ahead {
		if len(fit) == 0 {
			return nil
		}
		least := slices.MinFunc(fit, func(ea, eb *engine) int {
			return cmp.Or(cmp.Compare(needs[ea], needs[eb]), cmp.Compare(ea.server.ID, eb.server.ID))
		})
		taken[least]++
		needs[least] = rq.Peak(least.server.ID, 1+taken[least])
		if needs[least] > rq.Limit {
			fit = slices.DeleteFunc(fit, func(en *engine) bool { return en == least })
		}
	}
	return fit
}

// well lists the decode engines that stay and did not fail just now, or all
// that stay if each of them failed.
func (po *Pool) healthy(now clock.Millis) []*engine {
	all := po.available(now, board.Decode)
	var out []*engine
	for _, en := range all {
		if now >= en.failedUntil {
			out = append(out, en)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// available lists the engines of a role that take new work.
func (po *Pool) available(now clock.Millis, role board.Role) []*engine {
	var out []*engine
	for _, en := range po.engines {
		if en.acceptsWork(now) && en.server.Role == role {
			out = append(out, en)
		}
	}
	return out
}

// acceptsWork tells whether the engine acceptsWork new work now.
func (en *engine) acceptsWork(now clock.Millis) bool { return en.isServing() && !en.isBackingOff(now) }

func (en *engine) isBackingOff(now clock.Millis) bool {
	return en.backoffUntil != 0 && now < en.backoffUntil
}

// stays tells whether the engine goes on taking new work. One that said itself that it
// is not what its entry says does again when its entry changes.
func (en *engine) isServing() bool {
	return !en.removed && !en.server.Leaving && en.server != en.rejectedEntry
}

// RejectEntry notes that a server at the engine's address said that it is another
// incarnation, or has the other role: the entry that is known here is old.
func (po *Pool) RejectEntry(id string) {
	if en := po.engines[id]; en != nil {
		en.rejectedEntry = en.server
	}
}

func (po *Pool) sortByLoad(list []*engine, load func(en *engine) int) {
	// The map's order is no fair chance; sorted by ID, the shuffle repeats
	// with the seed.
	slices.SortFunc(list, func(ea, eb *engine) int {
		if ea.server.ID < eb.server.ID {
			return -1
		}
		return 1
	})
	po.Rand.Shuffle(len(list), func(ia, ib int) { list[ia], list[ib] = list[ib], list[ia] })
	loads := make(map[*engine]int, len(list))
	for _, en := range list {
		loads[en] = load(en)
	}
	slices.SortStableFunc(list, func(ea, eb *engine) int { return cmp.Compare(loads[ea], loads[eb]) })
}

// AcceptsWork tells whether an engine takes new work now.
func (po *Pool) AcceptsWork(now clock.Millis, id string) bool {
	en := po.engines[id]
	return en != nil && en.acceptsWork(now)
}

// BackOff notes that an engine asked for rest for a span: it is asked for nothing until
// then, be there another one or not.
func (po *Pool) BackOff(now clock.Millis, id string, span clock.Millis) {
	if en := po.engines[id]; en != nil {
		en.backoffUntil = max(en.backoffUntil, now+span)
	}
}

// BackoffLeft is how long it takes until the first of the decode engines has rested; zero if
// some engine does not rest, or there is none.
func (po *Pool) BackoffLeft(now clock.Millis) clock.Millis {
	var first clock.Millis
	for _, en := range po.engines {
		switch {
		case !en.isServing() || en.server.Role != board.Decode:
		case !en.isBackingOff(now):
			return 0
		case first == 0 || en.backoffUntil-now < first:
			first = en.backoffUntil - now
		}
	}
	return first
}

// MarkFull notes that an engine declined a reservation.
func (po *Pool) MarkFull(now clock.Millis, id string, tokens int) {
	en := po.engines[id]
	if en == nil {
		return
	}
	if now >= en.fullUntil || tokens < en.fullTokens {
		en.fullTokens = tokens
	}
	en.fullUntil = now + fullBackoff
}

// Unavailable lists the engines that declined or failed this VM just now, or rest, by ID.
func (po *Pool) Unavailable(now clock.Millis) []string {
	var out []string
	for id, en := range po.engines {
		if now < en.fullUntil || now < en.failedUntil || en.isBackingOff(now) || en.server == en.rejectedEntry {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// AddRun counts a run on an engine until Free.
func (po *Pool) AddRun(id string) {
	if en := po.engines[id]; en != nil {
		en.runs++
	}
}

// EndRun ends a run, and with it the memory that it used.
func (po *Pool) EndRun(id string) {
	if en := po.engines[id]; en != nil {
		en.runs--
		en.fullUntil = 0
	}
}

// MarkFailed notes that an engine broke off, answered nonsense or did not answer, and
// returns until when it is passed over.
func (po *Pool) MarkFailed(now clock.Millis, id string) clock.Millis {
	en := po.engines[id]
	if en == nil {
		return now
	}
	span := minFailureBackoff
	for range en.failures {
		span = min(2*span, maxFailureBackoff)
	}
	en.failures++
	en.failedUntil = now + span
	return en.failedUntil
}

// MarkWorking notes that an engine did what it was asked.
func (po *Pool) MarkWorking(id string) {
	if en := po.engines[id]; en != nil {
		en.failures, en.failedUntil = 0, 0
	}
}
