package sched

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Defaults for the zero values of a Cell's fields.
const (
	defaultSlots        = 20
	defaultKVCacheTTL   = 800 * clock.Millis(1)
	defaultQueueBound   = 1024
	defaultPrefillRate  = 10
	defaultLinkRate     = 40
	defaultChunk        = 2048
	defaultMessageDelay = 15 * clock.Millis(1)

	reportGrace = 2 * clock.Second  // an engine that sends no report is considered idle after this time
	orphanGrace = 30 * clock.Second // a report releases the slot of an orphaned request only after this time
)

type (
	// Cell accounts for the engines of one cell. Its exported fields are set before the
	// first Step; the zero value of each means its default. A Cell is not safe for
	// concurrent use.
	Cell struct {
		Name       string
		Slots      int          // slots of a decode engine until it reports; default 20
		KVCacheTTL clock.Millis // how long a prefill engine keeps a KV cache; default 800 ms
		QueueBound int          // maximum number of queued requests; default 1024

		MessageDelay clock.Millis // total delay of a request's messages until its first token; default 15 ms

		PrefillRate float64 // initial prompt tokens per millisecond; default 10
		LinkRate    float64 // initial prompt tokens of KV cache per millisecond; default 40
		Chunk       int     // prompt tokens after which a quick prefill may overtake; default 2048

		engines       map[string]*engine
		prefills      ranking   // by the time at which they are ready
		quickPrefills ranking   // by the time at which they are ready for quick work
		decodes       ranking   // by free slots, most first
		unreported    []*engine // listed or closed, not open yet

		jobs         map[string]*job
		groups       map[groupKey]*group
		activeGroups []*group // with queued, running or recent requests
		readyJobs    []*job   // prefilled, waiting for a link and a slot
		transferring []*job   // with a transfer in progress

		transferDelay delayEstimate // time that transfers take outside their links

		prefixHolders map[uint64][]*engine // prefill engines that recently computed a prefix

		slots    int        // slots of usable decode engines, less those held by others
		free     int        // slots of usable decode engines that may be assigned
		reserved [2]int     // requests prefilling or prefilled: patient, quick
		endRates [2]float64 // expected ends of decodes per millisecond: patient, quick
		queued   int

		intents []Intent
		steps   int
	}
)

// Step processes one event and returns the resulting intents, in order. The time must
// not go back between steps.
func (ce *Cell) Step(now clock.Millis, ev Event) []Intent {
	ce.init()
	ce.intents = nil
	switch ev := ev.(type) {
	case Submit:
		ce.submit(now, ev.Spec)
	case Adopt:
		ce.adopt(now, ev)
	case Progress:
		ce.progress(now, ev)
	case Withdraw:
		ce.withdraw(now, ev.Request)
	case Report:
		ce.report(now, ev.Load)
	case Rest:
		ce.rest(now, ev)
	case Servers:
		ce.servers(now, ev.Servers)
	case Orphan:
		ce.orphan(now, ev.Request)
	case Audit:
		ce.audit(now, ev.Held)
	case Tick:
	}
	ce.dispatch(now)
	return ce.intents
}

// Steps returns the number of elementary steps so far: comparisons of engines and
// visits of groups and queued requests. Tests bound its growth.
func (ce *Cell) Steps() int { return ce.steps }

// Waiting returns the number of requests that wait for a grant.
func (ce *Cell) Waiting() int { return ce.queued }

func (ce *Cell) init() {
	if ce.engines != nil {
		return
	}
	ce.engines = make(map[string]*engine)
	ce.jobs = make(map[string]*job)
	ce.groups = make(map[groupKey]*group)
	ce.prefixHolders = make(map[uint64][]*engine)
	ce.Slots = cmp.Or(ce.Slots, defaultSlots)
	ce.KVCacheTTL = cmp.Or(ce.KVCacheTTL, defaultKVCacheTTL)
	ce.QueueBound = cmp.Or(ce.QueueBound, defaultQueueBound)
	ce.MessageDelay = cmp.Or(ce.MessageDelay, defaultMessageDelay)
	ce.PrefillRate = cmp.Or(ce.PrefillRate, defaultPrefillRate)
	ce.LinkRate = cmp.Or(ce.LinkRate, defaultLinkRate)
	ce.Chunk = cmp.Or(ce.Chunk, defaultChunk)
	for _, rk := range []*ranking{&ce.prefills, &ce.quickPrefills, &ce.decodes} {
		rk.steps = &ce.steps
	}
}

func (ce *Cell) emit(in Intent) { ce.intents = append(ce.intents, in) }

// servers sets the list of engines. Engines no longer listed get no new work; requests
// that run on them end by Progress.
func (ce *Cell) servers(now clock.Millis, list []board.BackendServer) {
	listed := make(map[string]bool, len(list))
	for _, srv := range list {
		listed[srv.ID] = true
		eng, ok := ce.engines[srv.ID]
		if !ok || eng.role != srv.Role {
			eng = &engine{id: srv.ID, role: srv.Role, slots: ce.Slots, opensAt: now + reportGrace,
				prefillRate: ce.PrefillRate, linkRate: ce.LinkRate}
			if old := ce.engines[srv.ID]; old != nil {
				old.delisted = true
				ce.updateRankings(old)
			}
			ce.engines[srv.ID] = eng
			ce.unreported = append(ce.unreported, eng)
		}
		eng.delisted = false
		eng.leaving = srv.Leaving
		ce.updateRankings(eng)
	}
	for _, id := range sortedIDs(ce.engines) {
		if eng := ce.engines[id]; !listed[id] {
			eng.delisted = true
			ce.updateRankings(eng)
			ce.dropPrefixes(eng)
			if eng.held == 0 && eng.pendingMS <= 0 {
				delete(ce.engines, id)
			}
		}
	}
	ce.preemptUnusable(now)
}

func sortedIDs(engines map[string]*engine) []string {
	ids := make([]string, 0, len(engines))
	for id := range engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// report reconciles the accounting with an engine's load report.
func (ce *Cell) report(now clock.Millis, ld board.LoadReport) {
	eng, ok := ce.engines[ld.Server]
	if !ok {
		return
	}
	left := eng.leaving
	eng.reconcile(now, ld)
	eng.recoverLinkRate(ce.LinkRate)
	ce.updateRankings(eng)
	if eng.leaving && !left {
		ce.preemptUnusable(now)
	}
	if eng.orphans > 0 && ld.Running <= eng.held-eng.orphans {
		ce.releaseOrphans(now, eng)
	}
}

// updateRankings updates the rankings and totals after a change of an engine.
func (ce *Cell) updateRankings(eng *engine) {
	if eng.role == board.Decode {
		free, slots := eng.free(), 0
		if eng.usable() {
			slots = max(0, eng.slots-eng.heldByOthers)
		}
		ce.free += free - eng.countedFree
		ce.slots += slots - eng.countedSlots
		eng.countedFree, eng.countedSlots = free, slots
		if free > 0 {
			ce.decodes.set(eng, -float64(free))
		} else {
			ce.decodes.remove(eng)
		}
		return
	}
	if !eng.usable() {
		ce.prefills.remove(eng)
		ce.quickPrefills.remove(eng)
		return
	}
	ce.prefills.set(eng, eng.readyAt())
	ce.quickPrefills.set(eng, eng.quickReadyAt(ce.Chunk))
}

// progress moves a granted request to the stage that its runner reports.
func (ce *Cell) progress(now clock.Millis, pr Progress) {
	jb, ok := ce.jobs[pr.Request]
	if !ok || pr.Attempt != jb.spec.Attempt {
		return
	}
	switch pr.Stage {
	case Prefilling, Transferring:
	case Prefilled:
		ce.handlePrefilled(now, jb, pr.Took)
	case Rejected:
		ce.handleRejected(now, jb)
	case Lapsed:
		ce.handleLapsed(now, jb)
	case Decoding:
		ce.handleDecoding(now, jb, pr.Took)
	case Ended:
		if jb.stage == Decoding {
			jb.grp.learnDecode(now - jb.since)
			jb.decode.losses = 0
		}
		ce.drop(now, jb)
	case Lost:
		if jb.stage == Transferring && now >= jb.expires {
			jb.prefill.capLinkRate(jb.spec.PromptTokens, now-jb.since)
		}
		ce.recordLoss(now, jb)
		ce.drop(now, jb)
	case Cancelled:
		ce.drop(now, jb)
	}
}

// recordLoss closes an engine on which consecutive requests are lost: it looks idle and
// would get all new requests until the list of backend servers shows that it has
// failed. A loss during a transfer could be the fault of either engine and closes
// neither.
func (ce *Cell) recordLoss(now clock.Millis, jb *job) {
	var eng *engine
	switch jb.stage {
	case Prefilling:
		eng = jb.prefill
	case Decoding:
		eng = jb.decode
	default:
		return
	}
	if eng.recordLoss(now) {
		ce.unreported = append(ce.unreported, eng)
		ce.updateRankings(eng)
		ce.emit(Closed{Server: eng.id, Role: eng.role, For: eng.closedUntil - now, Lost: eng.losses, Request: jb.spec.Request})
	}
}

// rest closes an engine for the time that it requested.
func (ce *Cell) rest(now clock.Millis, re Rest) {
	eng, ok := ce.engines[re.Server]
	if !ok || re.For <= 0 {
		return
	}
	if eng.open {
		ce.unreported = append(ce.unreported, eng)
	}
	eng.closeUntil(max(eng.closedUntil, now+re.For))
	ce.updateRankings(eng)
	ce.emit(Closed{Server: eng.id, Role: eng.role, For: eng.closedUntil - now})
}

func (ce *Cell) withdraw(now clock.Millis, request string) {
	if jb, ok := ce.jobs[request]; ok {
		ce.drop(now, jb)
	}
}

// orphan marks a request whose runner has failed. A queued request is dropped; a
// granted one holds its slot until an engine's report or Progress shows that nothing is
// held any more.
func (ce *Cell) orphan(now clock.Millis, request string) {
	jb, ok := ce.jobs[request]
	switch {
	case !ok || jb.orphan:
	case jb.decode == nil:
		ce.drop(now, jb)
	default:
		jb.orphan = true
		jb.decode.orphans++
		jb.since = max(jb.since, now)
	}
}

// audit compares the cell's requests with those that the accounting VM holds.
func (ce *Cell) audit(now clock.Millis, held []HeldRequest) {
	streams := make(map[string]uint64, len(held))
	for _, hr := range held {
		ce.steps++
		streams[hr.Request] = hr.Stream
		if jb, ok := ce.jobs[hr.Request]; hr.Waiting && (!ok || jb.spec.Stream != hr.Stream) {
			ce.emit(Unknown{Request: hr.Request, Stream: hr.Stream})
		}
	}
	var lost []*job
	for request, jb := range ce.jobs {
		ce.steps++
		if stream, ok := streams[request]; !ok || stream != jb.spec.Stream {
			lost = append(lost, jb)
		}
	}
	slices.SortFunc(lost, compareIDs)
	for _, jb := range lost {
		ce.drop(now, jb)
	}
}

// releaseOrphans frees the slots of requests orphaned long enough ago if the engine's
// report shows that it no longer holds them.
func (ce *Cell) releaseOrphans(now clock.Millis, eng *engine) {
	var old []*job
	for _, jb := range ce.jobs {
		ce.steps++
		if jb.orphan && jb.decode == eng && now-jb.since >= orphanGrace {
			old = append(old, jb)
		}
	}
	slices.SortFunc(old, compareIDs)
	for _, jb := range old {
		ce.drop(now, jb)
	}
}

// drop releases everything that a request holds and removes it.
func (ce *Cell) drop(now clock.Millis, jb *job) {
	ce.release(now, jb)
	delete(ce.jobs, jb.spec.Request)
}

// release removes a request from its current stage.
func (ce *Cell) release(now clock.Millis, jb *job) {
	switch jb.stage {
	case "":
		jb.grp.dequeue(jb)
		ce.queued--
		return
	case Prefilling:
		jb.prefill.removePrefill(now, jb)
		ce.updateRankings(jb.prefill)
		ce.reserved[classIndex(jb)]--
	case Prefilled:
		ce.readyJobs = removeJob(ce.readyJobs, jb)
		ce.reserved[classIndex(jb)]--
	case Transferring:
		ce.endTransfer(jb)
		ce.transferring = removeJob(ce.transferring, jb)
	case Decoding:
		ce.endRates[classIndex(jb)] = max(0, ce.endRates[classIndex(jb)]-jb.endRate)
	}
	jb.grp.held--
	if jb.decode != nil {
		if jb.orphan {
			jb.decode.orphans--
		}
		jb.decode.addHeld(-1)
		ce.updateRankings(jb.decode)
	}
	jb.stage, jb.prefill, jb.decode = "", nil, nil
}

// endTransfer removes a transfer from the link of its prefill engine.
func (ce *Cell) endTransfer(jb *job) {
	if !jb.spec.Quick && jb.prefill != nil {
		jb.prefill.removeTransfer(jb.linkMS)
	}
}

func classIndex(jb *job) int {
	if jb.spec.Quick {
		return 1
	}
	return 0
}

// requeue puts a granted request back into the queue.
func (ce *Cell) requeue(now clock.Millis, jb *job, why refusal.Reason) {
	ce.release(now, jb)
	ce.emit(Preempt{Request: jb.spec.Request, Stream: jb.spec.Stream, Attempt: jb.spec.Attempt, Reason: why})
	jb.spec.HeldPrefill = ""
	jb.spec.Attempt++
	jb.redirected, jb.waitReason = false, ""
	jb.grp.enqueue(jb)
	ce.queued++
}
