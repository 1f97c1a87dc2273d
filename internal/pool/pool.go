// Package pool decides, for one entry VM, which model engine of a service
// decodes a generation, which one computes its prompt, and in which order
// requests wait for an engine.
//
// All VMs send to the same engines, so only an engine itself knows its free
// memory. A place is a reservation that the engine confirmed. It is taken
// before the prompt is computed, so that no prefill is spent on a request that
// can't be decoded. The pool orders the engines by their projected memory use
// and remembers which of them recently declined because they were full.
//
// Requests of a higher priority go first. Within a priority, requests that can be in
// time go first; then, while new requests are being refused somewhere in the fleet, new
// ones; then callers that return at the time that they were given; then those with the
// least time to their objective. Among these, a request that was refused before and came
// back goes first, because a second refusal costs its caller twice. Among equal requests a
// randomly drawn turn decides.
// All VMs order requests by their turns, and each leaves capacity for the
// requests at other VMs that are ahead ([Requirements.Ahead]).
//
// A prompt is computed by the prefill engine that is expected to finish it
// first, judged by observed durations ([Pool.ChoosePrefill]), or by the decode
// engine itself if a prefill engine would finish too late
// ([Pool.ShouldPrefillAtDecoder]).
//
// # Usage
//
//	po := &pool.Pool{Rand: rand.New(rand.NewPCG(1, 2))}
//	po.Update(servers)
//	tk := po.Enter(now, pool.Request{Returning: true})
//	defer po.Leave(tk)
//	if po.IsFirst(now, tk, false) {
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
	// fullBackoff is how long an engine that declined for lack of memory is not
	// tried again, unless a run of this VM ends there. Six engines together end
	// about one run in this time.
	fullBackoff = 60 * clock.Millis(1)
	// needBuckets divides the memory of an engine into ranges. Projected needs in
	// the same range count as equal; a run takes about one range.
	needBuckets = 8
	// minFailureBackoff and maxFailureBackoff bound how long a failed engine is
	// skipped. The span doubles with each consecutive failure.
	minFailureBackoff = 2 * clock.Second
	maxFailureBackoff = 8 * clock.Second
	// slotsBackoff is how long an engine that declined is not tried beyond its counted
	// slots. It is a tenth of the time after which a report expires, which bounds the
	// attempts, and a stream that broke tries the engine again before it is refused.
	slotsBackoff = 250 * clock.Millis(1)
)

type (
	// Requirements is what a request needs of a decode engine.
	Requirements struct {
		Tokens   int    // to reserve
		Limit    int    // largest permitted projected memory use of an engine, in tokens
		Ahead    int    // requests at other VMs that are placed before this one
		Headroom int    // further requests of this size that must fit beside it
		Version  string // of the engine's software; empty: any
		// Peak returns the projected memory use of an engine, in tokens, with the
		// given number of additional runs of the request's size.
		Peak func(id string, more int) int
		// Fits reports whether Peak is at most a limit, in less time. If it is nil, Peak
		// is used.
		Fits func(id string, more, limit int) bool
		// MostFitting returns an upper bound of the additional runs with which Peak is at
		// most a limit. If it is nil, none is known.
		MostFitting func(id string, limit int) int
		// Runs returns the number of runs at an engine. If it is nil, the engines'
		// slots are not considered.
		Runs func(id string) int
		// CertainRuns is Runs without the runs of VMs that may be lost. An engine whose
		// slots only these exceed is tried if no other has room. If it is nil, all runs
		// are certain.
		CertainRuns func(id string) int
		// LastResort reports whether an engine is tried only after all others. If
		// it is nil, no engine is a last resort.
		LastResort func(id string) bool
	}

	// Pool tracks the engines of one service as one VM uses them, and the queue
	// of requests that wait for one. Set the exported fields before use.
	Pool struct {
		Rand *rand.Rand // must be set

		engines map[string]*engine
		queue   []*Ticket // by priority, then returning requests first, then by turn

		prefillPace        pace // of prompts at all prefill engines
		decoderPrefillPace pace // of prompts that decode engines compute while they decode other requests
		firstEventPace     pace // of decodes, from the order to the first event
	}

	engine struct {
		server        board.BackendServer
		removed       bool
		rejectedEntry board.BackendServer // listed entry that the engine itself contradicted
		runs          int                 // started by this VM
		fullUntil     clock.Millis
		fullTokens    int          // smallest reservation that was recently declined
		slotsUntil    clock.Millis // when it is tried again beyond its counted slots
		failures      int
		failedUntil   clock.Millis
		backoffUntil  clock.Millis // requested by the engine; zero: not requested
		limitedUntil  clock.Millis // when its limit of calls has room again
		prefillPace   pace         // of prompts
	}
)

// Update replaces the list of the service's engines. Engines that are no longer
// listed are kept while they have runs of this VM.
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

// DecodeCandidates lists the engines at which to try a reservation, those with
// the lowest projected memory use first. Engines that would exceed the limit
// are left out, and so is the capacity that the requests ahead at other VMs
// will take. All waiting VMs compute the same placements, so they don't all try
// the engine at which memory was just freed. If no request is ahead, engines
// with similar projections are shuffled for the same reason. If none is found, engines whose
// slots only the runs of VMs that may be lost exceed are candidates too.
func (po *Pool) DecodeCandidates(now clock.Millis, rq Requirements) []board.BackendServer {
	list := po.decodeCandidates(now, rq, rq.hasSlots)
	if len(list) > 0 || !slices.ContainsFunc(po.healthy(now, rq.Version), func(en *engine) bool {
		return !rq.hasSlots(en, 1+rq.Headroom) && rq.mayHaveSlots(now, en, 1+rq.Headroom)
	}) {
		return list // evaluating the engines again would find the same
	}
	return po.decodeCandidates(now, rq, func(en *engine, more int) bool { return rq.mayHaveSlots(now, en, more) })
}

// decodeCandidates is DecodeCandidates with a function for whether an engine has slots for
// some more runs.
func (po *Pool) decodeCandidates(now clock.Millis, rq Requirements, hasSlots func(en *engine, more int) bool) []board.BackendServer {
	fit := slices.DeleteFunc(po.healthy(now, rq.Version), func(en *engine) bool {
		return !hasSlots(en, 1+rq.Headroom) || en.isFull(now, rq.Tokens)
	})
	if rq.Ahead > 0 && !rq.mayHavePlaceBeyondAhead(fit) {
		return nil
	}
	fit = slices.DeleteFunc(fit, func(en *engine) bool {
		return !rq.fits(en, 1) || rq.Headroom > 0 && !rq.fits(en, 1+rq.Headroom)
	})
	if rq.Ahead > 0 && !rq.hasPlaceBeyondAhead(fit, hasSlots) {
		return nil
	}
	needs := make(map[*engine]int, len(fit))
	for _, en := range fit {
		needs[en] = rq.Peak(en.server.ID, 1)
	}
	grain := 1
	if rq.Ahead == 0 {
		grain = max(1, rq.Limit/needBuckets)
	} else {
		fit = placeAhead(fit, rq, needs, hasSlots)
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

// HasRoom reports whether some decode engine has room for the request and the
// headroom, regardless of the requests ahead.
func (po *Pool) HasRoom(now clock.Millis, rq Requirements) bool {
	for _, en := range po.healthy(now, rq.Version) {
		if rq.mayHaveSlots(now, en, 1+rq.Headroom) && rq.fits(en, 1+rq.Headroom) {
			return true
		}
	}
	return false
}

// fits reports whether an engine has the memory for some more runs.
func (rq Requirements) fits(en *engine, more int) bool { return rq.fitsWithin(en, more, rq.Limit) }

// fitsWithin is fits with another limit.
func (rq Requirements) fitsWithin(en *engine, more, limit int) bool {
	if rq.Fits != nil {
		return rq.Fits(en.server.ID, more, limit)
	}
	return rq.Peak(en.server.ID, more) <= limit
}

// hasSlots reports whether an engine has slots for some more runs, or does not report
// its slots.
func (rq Requirements) hasSlots(en *engine, more int) bool {
	return en.server.Slots <= 0 || rq.Runs == nil || rq.Runs(en.server.ID)+more <= en.server.Slots
}

// mayHaveSlots is hasSlots if the runs of VMs that may be lost have ended. Without a
// recent decline, the engine itself is to tell.
func (rq Requirements) mayHaveSlots(now clock.Millis, en *engine, more int) bool {
	if rq.hasSlots(en, more) {
		return true
	}
	return rq.CertainRuns != nil && now >= en.slotsUntil && rq.CertainRuns(en.server.ID)+more <= en.server.Slots
}

// isFull reports whether the engine recently declined a reservation of this size.
func (en *engine) isFull(now clock.Millis, tokens int) bool {
	return now < en.fullUntil && tokens >= en.fullTokens
}

// LowestPeak returns the lowest projected memory use of any decode engine with
// one more request, and the number of engines considered. Both are zero if
// there is none.
func (po *Pool) LowestPeak(now clock.Millis, rq Requirements) (need, engines int) {
	for _, en := range po.healthy(now, rq.Version) {
		if nd := rq.Peak(en.server.ID, 1); engines == 0 || nd < need {
			need = nd
		}
		engines++
	}
	return need, engines
}

// mayHavePlaceBeyondAhead reports false if the engines have no more places than requests
// are ahead by the present sizes of their runs, which takes a fraction of the time in which
// their need is evaluated.
func (rq Requirements) mayHavePlaceBeyondAhead(list []*engine) bool {
	if rq.MostFitting == nil {
		return true
	}
	left := rq.Ahead
	for _, en := range list {
		most := rq.MostFitting(en.server.ID, rq.Limit)
		if most > left {
			return true
		}
		left -= most
	}
	return false
}

// hasPlaceBeyondAhead reports whether the engines that have room have more places than
// requests are ahead. An engine leaves the assignment of placeAhead when it has no room for
// a run more, so that their order makes no difference.
func (rq Requirements) hasPlaceBeyondAhead(fit []*engine, hasSlots func(en *engine, more int) bool) bool {
	places := 0
	for _, en := range fit {
		places++
		for more := 2; places <= rq.Ahead && hasSlots(en, more) && rq.fits(en, more); more++ {
			places++
		}
		if places > rq.Ahead {
			return true
		}
	}
	return false
}

// placeAhead assigns the requests ahead of this one to engines, each to the one
// with the lowest projection, and returns the engines that still have room. It
// updates needs.
func placeAhead(fit []*engine, rq Requirements, needs map[*engine]int, hasSlots func(en *engine, more int) bool) []*engine {
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
		if needs[least] > rq.Limit || !hasSlots(least, 1+taken[least]) {
			fit = slices.DeleteFunc(fit, func(en *engine) bool { return en == least })
		}
	}
	return fit
}

// healthy lists the available decode engines of a version that did not fail recently,
// or all available ones of it if each of them failed.
func (po *Pool) healthy(now clock.Millis, version string) []*engine {
	all := po.available(now, board.Decode, version)
	failed := func(en *engine) bool { return now < en.failedUntil }
	if !slices.ContainsFunc(all, func(en *engine) bool { return !failed(en) }) {
		return all
	}
	return slices.DeleteFunc(all, failed)
}

// available lists the engines of a role and a version that accept new calls; the empty
// version stands for any.
func (po *Pool) available(now clock.Millis, role board.Role, version string) []*engine {
	out := make([]*engine, 0, len(po.engines))
	for _, en := range po.engines {
		if en.acceptsWork(now) && now >= en.limitedUntil && en.server.Role == role && (version == "" || en.server.Version == version) {
			out = append(out, en)
		}
	}
	return out
}

// HasDecoder reports whether a decode engine of a version is listed and not leaving; the
// empty version stands for any.
func (po *Pool) HasDecoder(version string) bool {
	for _, en := range po.engines {
		if en.isDecoder(version) {
			return true
		}
	}
	return false
}

func (en *engine) isDecoder(version string) bool {
	return en.isServing() && en.server.Role == board.Decode && (version == "" || en.server.Version == version)
}

// acceptsWork reports whether the engine accepts new work now.
func (en *engine) acceptsWork(now clock.Millis) bool { return en.isServing() && !en.isBackingOff(now) }

func (en *engine) isBackingOff(now clock.Millis) bool {
	return en.backoffUntil != 0 && now < en.backoffUntil
}

// isServing reports whether the engine is listed, is not leaving and has not
// contradicted its entry. An engine that contradicted its entry serves again
// when the entry changes.
func (en *engine) isServing() bool {
	return !en.removed && !en.server.Leaving && !en.contradictsEntry()
}

// contradictsEntry reports whether the engine contradicted its present entry. An entry
// that differs only in its slots is still the contradicted one.
func (en *engine) contradictsEntry() bool {
	rejected := en.rejectedEntry
	rejected.Slots = en.server.Slots
	return en.server == rejected
}

// RejectEntry records that a server at the engine's address reported another
// incarnation or another role: the entry known to this VM is outdated.
func (po *Pool) RejectEntry(id string) {
	if en := po.engines[id]; en != nil {
		en.rejectedEntry = en.server
	}
}

// sortByLoad sorts engines by their load, and shuffles those with equal loads.
func (po *Pool) sortByLoad(list []*engine, load func(en *engine) int) {
	// The iteration order of a map is not uniformly random. Sorting by ID first
	// makes the shuffle reproducible from the seed.
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

// AcceptsWork reports whether an engine accepts new work now.
func (po *Pool) AcceptsWork(now clock.Millis, id string) bool {
	en := po.engines[id]
	return en != nil && en.acceptsWork(now)
}

// BackOff records that an engine requested backoff for a span. It gets no work
// until the span has passed, even if there is no other engine.
func (po *Pool) BackOff(now clock.Millis, id string, span clock.Millis) {
	if en := po.engines[id]; en != nil {
		en.backoffUntil = max(en.backoffUntil, now+span)
	}
}

// BackoffLeft returns the time until the first decode engine's backoff ends. It
// is zero if some decode engine is not backing off, or if there is none.
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

// Limit records that an engine's limit of calls has no room until a span has passed. Work
// that is permitted already is still accepted.
func (po *Pool) Limit(now clock.Millis, id string, span clock.Millis) {
	if en := po.engines[id]; en != nil {
		en.limitedUntil = now + span
	}
}

// LimitLeft returns the time until the first decode engine of a version may be called
// again, and that engine; the empty version stands for any. The time is zero if some
// engine may be called, or if there is none.
func (po *Pool) LimitLeft(now clock.Millis, version string) (id string, left clock.Millis) {
	for _, en := range po.engines {
		if !en.acceptsWork(now) || en.server.Role != board.Decode || version != "" && en.server.Version != version {
			continue
		}
		if now >= en.limitedUntil {
			return "", 0
		}
		if span := en.limitedUntil - now; left == 0 || span < left {
			id, left = en.server.ID, span
		}
	}
	return id, left
}

// MarkFull records that an engine declined a reservation of the given number of
// tokens for lack of memory. For a while only smaller reservations are tried there.
func (po *Pool) MarkFull(now clock.Millis, id string, tokens int) {
	en := po.engines[id]
	if en == nil {
		return
	}
	if now >= en.fullUntil || tokens < en.fullTokens {
		en.fullTokens = tokens
	}
	en.fullUntil = now + fullBackoff
	en.slotsUntil = now + slotsBackoff
}

// MarkSlotsTaken records that an engine has no slots but those that are counted. For a
// while it is not tried beyond them.
func (po *Pool) MarkSlotsTaken(now clock.Millis, id string) {
	if en := po.engines[id]; en != nil {
		en.slotsUntil = now + slotsBackoff
	}
}

// Unavailable lists, sorted by ID, the engines that recently declined or failed
// this VM, may not be called for their limits, are backing off, or contradicted their
// entries.
func (po *Pool) Unavailable(now clock.Millis) []string {
	var out []string
	for id, en := range po.engines {
		if now < en.fullUntil || now < en.failedUntil || now < en.limitedUntil || en.isBackingOff(now) || en.contradictsEntry() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// AddRun counts a run on an engine until EndRun.
func (po *Pool) AddRun(id string) {
	if en := po.engines[id]; en != nil {
		en.runs++
	}
}

// EndRun ends a run on an engine and frees its memory: the engine no longer
// counts as full.
func (po *Pool) EndRun(id string) {
	if en := po.engines[id]; en != nil {
		en.runs--
		en.fullUntil = 0
	}
}

// MarkFailed records that an engine broke off an answer, sent an invalid one or
// did not answer, and returns until when it is skipped.
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

// MarkWorking records that an engine did what was requested of it. It is no longer
// skipped, and its next failure counts as the first.
func (po *Pool) MarkWorking(id string) {
	if en := po.engines[id]; en != nil {
		en.failures, en.failedUntil = 0, 0
	}
}
