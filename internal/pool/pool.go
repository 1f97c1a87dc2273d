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
// requests elsewhere take first is left to them ([Want.Before]).
//
// A prompt is computed where it is expected to be done first ([Pool.Prefiller]),
// by how long engines were seen to take, or by the decode engine itself
// ([Pool.Itself]) where it would be too late elsewhere.
//
// # Usage
//
//	po := &pool.Pool{Rand: rand.New(rand.NewPCG(1, 2))}
//	po.Update(servers)
//	tk := po.Enter(now, pool.Ask{Returning: true})
//	defer po.Leave(tk)
//	if po.First(tk, false) {
//		for _, bs := range po.Decoders(now, pool.Want{Tokens: 5500, Limit: capacity, Need: need}) { ... } // reserve; then Take or Full
//	}
//	pf, ok := po.Prefiller(now, pool.Prompt{Tokens: 5200, Domain: bs.FailureDomain, Ahead: ahead})
//	po.Read(pf, 5200, took)
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
	// fullFor is how long an engine that said it is full is not asked again
	// unless a run of this VM ends there: about the time in which a cell of
	// six engines ends one run.
	fullFor = 60 * clock.Millis(1)
	// needGrains divides the memory of an engine into parts within which
	// needs count as alike; a run takes about one of them.
	needGrains = 8
	// failFirst and failMost bound how long an engine that failed is passed
	// over; the span doubles with each failure in a row.
	failFirst = 2 * clock.Second
	failMost  = 8 * clock.Second
)

type (
	// Want is what a request needs of an engine.
	Want struct {
		Tokens int // to reserve
		Limit  int // that the engine may come to need
		Before int // requests elsewhere that take their places first
		Spare  int // further requests alike that must fit beside it
		// Need is what an engine will need with so many runs like the
		// request's more than it has.
		Need func(id string, more int) int
		// Last tells whether an engine is to be asked after all others; nil: none
		// is.
		Last func(id string) bool
	}

	// Pool is the engines of one service as one VM uses them. Set the
	// exported fields before use.
	Pool struct {
		Rand *rand.Rand // must be set

		engines map[string]*engine
		queue   []*Ticket // returning requests first, then by their turns

		reading   pace // of prompts, at all prefill engines
		itself    pace // of prompts that decode engines compute beside their runs
		beginning pace // of decodes, from their order to the first event
	}

	engine struct {
		server       board.BackendServer
		gone         bool
		denied       board.BackendServer // the entry that the engine's own word contradicts
		runs         int                 // of this VM
		fullUntil    clock.Millis
		fullTokens   int // smallest reservation that was declined lately
		failures     int
		failedUntil  clock.Millis
		backoffUntil clock.Millis // it asked for rest until then; zero: it did not
		reading      pace         // of prompts
	}
)

// Update takes the engines of the service.
func (po *Pool) Update(servers []board.BackendServer) {
	if po.engines == nil {
		po.engines = make(map[string]*engine)
	}
	for _, en := range po.engines {
		en.gone = true
	}
	for _, bs := range servers {
		en := po.engines[bs.ID]
		if en == nil {
			en = &engine{}
			po.engines[bs.ID] = en
		}
		en.server, en.gone = bs, false
	}
	for id, en := range po.engines {
		if en.gone && en.runs == 0 {
			delete(po.engines, id)
		}
	}
}

// Decoders lists the engines to ask for a place, those first that are expected
// to need the least memory. Those that will need more than the limit are left
// out, and so is the room that requests elsewhere will take first: every VM
// that waits works out the same choices, and so they don't all choose the
// engine at which a place became free. If none is before the request, alike
// engines are taken by chance, for the same reason.
func (po *Pool) Decoders(now clock.Millis, wt Want) []board.BackendServer {
	fit := po.healthy(now)
	needs := make(map[*engine]int, len(fit))
	for _, en := range fit {
		needs[en] = wt.Need(en.server.ID, 1)
	}
	fits := func(en *engine) bool {
		if wt.Spare > 0 && wt.Need(en.server.ID, 1+wt.Spare) > wt.Limit {
			return false
		}
		return needs[en] <= wt.Limit && (now >= en.fullUntil || wt.Tokens < en.fullTokens)
	}
	fit = slices.DeleteFunc(fit, func(en *engine) bool { return !fits(en) })
	grain := 1
	if wt.Before == 0 {
		grain = max(1, wt.Limit/needGrains)
	} else if fit = takeFirst(fit, wt, needs); len(fit) == 0 {
		return nil
	}
	po.order(fit, func(en *engine) int {
		if wt.Last != nil && wt.Last(en.server.ID) {
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

// Room tells whether some decode engine has room for the request, and to spare,
// whoever goes first.
func (po *Pool) Room(now clock.Millis, wt Want) bool {
	for _, en := range po.healthy(now) {
		if wt.Need(en.server.ID, 1+wt.Spare) <= wt.Limit {
			return true
		}
	}
	return false
}

// Least is the least that any decode engine would need with one more request,
// of how many; zero of none.
func (po *Pool) Least(now clock.Millis, wt Want) (need, engines int) {
	for _, en := range po.healthy(now) {
		if nd := wt.Need(en.server.ID, 1); engines == 0 || nd < need {
			need = nd
		}
		engines++
	}
	return need, engines
}

// takeFirst takes the places of the requests that are before this one out of
// the room at the engines, and returns the engines that have more.
func takeFirst(fit []*engine, wt Want, needs map[*engine]int) []*engine {
	taken := make(map[*engine]int)
	for range wt.Before {
		if len(fit) == 0 {
			return nil
		}
		least := slices.MinFunc(fit, func(ea, eb *engine) int {
			return cmp.Or(cmp.Compare(needs[ea], needs[eb]), cmp.Compare(ea.server.ID, eb.server.ID))
		})
		taken[least]++
		needs[least] = wt.Need(least.server.ID, 1+taken[least])
		if needs[least] > wt.Limit {
			fit = slices.DeleteFunc(fit, func(en *engine) bool { return en == least })
		}
	}
	return fit
}

// well lists the decode engines that stay and did not fail just now, or all
// that stay if each of them failed.
func (po *Pool) healthy(now clock.Millis) []*engine {
	all := po.staying(now, board.Decode)
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

// staying lists the engines of a role that take new work.
func (po *Pool) staying(now clock.Millis, role board.Role) []*engine {
	var out []*engine
	for _, en := range po.engines {
		if en.takes(now) && en.server.Role == role {
			out = append(out, en)
		}
	}
	return out
}

// takes tells whether the engine takes new work now.
func (en *engine) takes(now clock.Millis) bool { return en.isStaying() && !en.isBackingOff(now) }

func (en *engine) isBackingOff(now clock.Millis) bool {
	return en.backoffUntil != 0 && now < en.backoffUntil
}

// stays tells whether the engine goes on taking new work. One that said itself that it
// is not what its entry says does again when its entry changes.
func (en *engine) isStaying() bool {
	return !en.gone && !en.server.Leaving && en.server != en.denied
}

// Deny notes that a server at the engine's address said that it is another
// incarnation, or has the other role: the entry that is known here is old.
func (po *Pool) Deny(id string) {
	if en := po.engines[id]; en != nil {
		en.denied = en.server
	}
}

func (po *Pool) order(list []*engine, load func(en *engine) int) {
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

// Takes tells whether an engine takes new work now.
func (po *Pool) Takes(now clock.Millis, id string) bool {
	en := po.engines[id]
	return en != nil && en.takes(now)
}

// Rest notes that an engine asked for rest for a span: it is asked for nothing until
// then, be there another one or not.
func (po *Pool) Rest(now clock.Millis, id string, span clock.Millis) {
	if en := po.engines[id]; en != nil {
		en.backoffUntil = max(en.backoffUntil, now+span)
	}
}

// Rests is how long it takes until the first of the decode engines has rested; zero if
// some engine does not rest, or there is none.
func (po *Pool) Rests(now clock.Millis) clock.Millis {
	var first clock.Millis
	for _, en := range po.engines {
		switch {
		case !en.isStaying() || en.server.Role != board.Decode:
		case !en.isBackingOff(now):
			return 0
		case first == 0 || en.backoffUntil-now < first:
			first = en.backoffUntil - now
		}
	}
	return first
}

// Full notes that an engine declined a reservation.
func (po *Pool) Full(now clock.Millis, id string, tokens int) {
	en := po.engines[id]
	if en == nil {
		return
	}
	if now >= en.fullUntil || tokens < en.fullTokens {
		en.fullTokens = tokens
	}
	en.fullUntil = now + fullFor
}

// Passed lists the engines that declined or failed this VM just now, or rest, by ID.
func (po *Pool) Passed(now clock.Millis) []string {
	var out []string
	for id, en := range po.engines {
		if now < en.fullUntil || now < en.failedUntil || en.isBackingOff(now) || en.server == en.denied {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Take counts a run on an engine until Free.
func (po *Pool) Take(id string) {
	if en := po.engines[id]; en != nil {
		en.runs++
	}
}

// Free ends a run, and with it the memory that it used.
func (po *Pool) Free(id string) {
	if en := po.engines[id]; en != nil {
		en.runs--
		en.fullUntil = 0
	}
}

// Failed notes that an engine broke off, answered nonsense or did not answer, and
// returns until when it is passed over.
func (po *Pool) Failed(now clock.Millis, id string) clock.Millis {
	en := po.engines[id]
	if en == nil {
		return now
	}
	span := failFirst
	for range en.failures {
		span = min(2*span, failMost)
	}
	en.failures++
	en.failedUntil = now + span
	return en.failedUntil
}

// Worked notes that an engine did what it was asked.
func (po *Pool) Worked(id string) {
	if en := po.engines[id]; en != nil {
		en.failures, en.failedUntil = 0, 0
	}
}
