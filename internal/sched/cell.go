package sched

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// What a Cell assumes where its fields are zero.
const (
	defaultSlots       = 20
	defaultKeep        = 800 * clock.Millis(1)
	defaultQueueBound  = 1024
	defaultPrefillRate = 10
	defaultLinkRate    = 40
	defaultChunk       = 2048
	defaultWays        = 15 * clock.Millis(1)

	reportGrace = 2 * clock.Second // an engine without a report is held empty after this
	orphanGrace = 30 * clock.Second
)

type (
	// Cell accounts for the engines of one cell. Its exported fields are set
	// before the first Step; the zero value of each means its default. A
	// Cell is not safe for concurrent use.
	Cell struct {
		Name       string
		Slots      int          // places of a decode engine until it reports; 20
		Keep       clock.Millis // how long a prefill engine keeps a KV cache; 800 ms
		QueueBound int          // requests that may wait; 1024

		Ways clock.Millis // what the messages of one request take until its first token; 15 ms

		PrefillRate float64 // prompt tokens per millisecond until learned; 10
		LinkRate    float64 // KV cache of prompt tokens per millisecond until learned; 40
		Chunk       int     // prompt tokens after which a quick prefill may pass; 2048

		engines  map[string]*engine
		prefills ranking   // by the point at which they are ready
		quicks   ranking   // by the point at which they are ready for quick work
		decodes  ranking   // by free places, most first
		pending  []*engine // listed, no report yet

		jobs   map[string]*job
		groups map[groupKey]*group
		order  []*group // that wait, hold or lately arrived
		ready  []*job   // prefilled, waiting for a link and a place
		moving []*job   // their transfer goes on

		delay delay // of transfers beside their links

		holders map[uint64][]*engine // prefill engines that lately computed a prefix

		slots    int // places of usable decode engines, less those of others
		free     int
		promised [2]int     // prefilling or prefilled: patient, quick
		hazard   [2]float64 // expected ends of decodes per millisecond: patient, quick
		queued   int

		out   []Intent
		steps int
	}
)

// Step takes one event into account and returns what is to be done, in
// order. Points of successive steps never go back.
func (ce *Cell) Step(now clock.Millis, ev Event) []Intent {
	ce.init()
	ce.out = nil
	switch ev := ev.(type) {
	case Submit:
		ce.submit(now, ev.Ask)
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
	case Tick:
	}
	ce.dispatch(now)
	return ce.out
}

// Steps is the number of elementary steps taken so far: comparisons of
// engines and looks at groups and waiting requests. Tests bound its growth.
func (ce *Cell) Steps() int { return ce.steps }

// Waiting is the number of requests that wait for a grant.
func (ce *Cell) Waiting() int { return ce.queued }

func (ce *Cell) init() {
	if ce.engines != nil {
		return
	}
	ce.engines = make(map[string]*engine)
	ce.jobs = make(map[string]*job)
	ce.groups = make(map[groupKey]*group)
	ce.holders = make(map[uint64][]*engine)
	ce.Slots = cmp.Or(ce.Slots, defaultSlots)
	ce.Keep = cmp.Or(ce.Keep, defaultKeep)
	ce.QueueBound = cmp.Or(ce.QueueBound, defaultQueueBound)
	ce.Ways = cmp.Or(ce.Ways, defaultWays)
	ce.PrefillRate = cmp.Or(ce.PrefillRate, defaultPrefillRate)
	ce.LinkRate = cmp.Or(ce.LinkRate, defaultLinkRate)
	ce.Chunk = cmp.Or(ce.Chunk, defaultChunk)
	for _, rk := range []*ranking{&ce.prefills, &ce.quicks, &ce.decodes} {
		rk.steps = &ce.steps
	}
}

func (ce *Cell) emit(in Intent) { ce.out = append(ce.out, in) }

// servers takes the list of engines. Those no longer listed get nothing new;
// what runs on them ends by Progress.
func (ce *Cell) servers(now clock.Millis, list []board.BackendServer) {
	listed := make(map[string]bool, len(list))
	for _, srv := range list {
		listed[srv.ID] = true
		eng, ok := ce.engines[srv.ID]
		if !ok || eng.role != srv.Role {
			eng = &engine{id: srv.ID, role: srv.Role, slots: ce.Slots, opens: now + reportGrace,
				rate: ce.PrefillRate, linkRate: ce.LinkRate}
			if old := ce.engines[srv.ID]; old != nil {
				old.gone = true
				ce.changed(old)
			}
			ce.engines[srv.ID] = eng
			ce.pending = append(ce.pending, eng)
		}
		eng.gone = false
		eng.leaving = srv.Leaving
		ce.changed(eng)
	}
	for _, id := range sortedIDs(ce.engines) {
		if eng := ce.engines[id]; !listed[id] {
			eng.gone = true
			ce.changed(eng)
			ce.dropHolder(eng)
			if eng.held == 0 && eng.pending <= 0 {
				delete(ce.engines, id)
			}
		}
	}
	ce.preemptUnfit(now)
}

func sortedIDs(engines map[string]*engine) []string {
	ids := make([]string, 0, len(engines))
	for id := range engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// report reconciles the accounting with what an engine says.
func (ce *Cell) report(now clock.Millis, ld board.LoadReport) {
	eng, ok := ce.engines[ld.Server]
	if !ok {
		return
	}
	left := eng.leaving
	eng.reconcile(now, ld)
	eng.mendLink(ce.LinkRate)
	ce.changed(eng)
	if eng.leaving && !left {
		ce.preemptUnfit(now)
	}
	if eng.orphans > 0 && ld.Running <= eng.held-eng.orphans {
		ce.releaseOrphans(now, eng)
	}
}

// changed brings the rankings and totals up to date with an engine.
func (ce *Cell) changed(eng *engine) {
	if eng.role == board.Decode {
		free, slots := eng.free(), 0
		if eng.usable() {
			slots = max(0, eng.slots-eng.foreign)
		}
		ce.free += free - eng.counted
		ce.slots += slots - eng.countedSlots
		eng.counted, eng.countedSlots = free, slots
		if free > 0 {
			ce.decodes.set(eng, -float64(free))
		} else {
			ce.decodes.remove(eng)
		}
		return
	}
	if !eng.usable() {
		ce.prefills.remove(eng)
		ce.quicks.remove(eng)
		return
	}
	ce.prefills.set(eng, eng.readyAt())
	ce.quicks.set(eng, eng.quickReadyAt(ce.Chunk))
}

// progress moves a granted request to the stage that its runner tells.
func (ce *Cell) progress(now clock.Millis, pr Progress) {
	jb, ok := ce.jobs[pr.Request]
	if !ok || pr.Attempt != jb.ask.Attempt {
		return
	}
	switch pr.Stage {
	case Prefilling, Transferring:
	case Prefilled:
		ce.prefilled(now, jb, pr.Took)
	case Rejected:
		ce.rejected(now, jb)
	case Lapsed:
		ce.notKept(now, jb)
	case Decoding:
		ce.decoding(now, jb, pr.Took)
	case Ended:
		if jb.stage == Decoding {
			jb.grp.learnHold(now - jb.since)
			jb.decode.lost = 0
		}
		ce.forget(now, jb)
	case Lost:
		if jb.stage == Transferring && now >= jb.lapse {
			jb.prefill.slowLink(jb.ask.PromptTokens, now-jb.since)
		}
		ce.blame(now, jb)
		ce.forget(now, jb)
	case Cancelled:
		ce.forget(now, jb)
	}
}

// blame closes an engine on which requests are lost one after another, as it
// looks idle and would be given all that comes until the list of backend
// servers shows that it is gone. A loss between the two engines has no
// certain culprit.
func (ce *Cell) blame(now clock.Millis, jb *job) {
	var eng *engine
	switch jb.stage {
	case Prefilling:
		eng = jb.prefill
	case Decoding:
		eng = jb.decode
	default:
		return
	}
	if eng.fail(now) {
		ce.pending = append(ce.pending, eng)
		ce.changed(eng)
		ce.emit(Closed{Server: eng.id, Role: eng.role, For: eng.closed - now, Lost: eng.lost, Request: jb.ask.Request})
	}
}

// rest closes an engine for as long as it asked for.
func (ce *Cell) rest(now clock.Millis, re Rest) {
	eng, ok := ce.engines[re.Server]
	if !ok || re.For <= 0 {
		return
	}
	if eng.known {
		ce.pending = append(ce.pending, eng)
	}
	eng.close(max(eng.closed, now+re.For))
	ce.changed(eng)
	ce.emit(Closed{Server: eng.id, Role: eng.role, For: eng.closed - now})
}

func (ce *Cell) withdraw(now clock.Millis, request string) {
	if jb, ok := ce.jobs[request]; ok {
		ce.forget(now, jb)
	}
}

// orphan marks a request whose runner is gone. A waiting one is dropped; a
// granted one holds its place until an engine's report or Progress shows
// that nothing is held any more.
func (ce *Cell) orphan(now clock.Millis, request string) {
	jb, ok := ce.jobs[request]
	switch {
	case !ok || jb.orphan:
	case jb.decode == nil:
		ce.forget(now, jb)
	default:
		jb.orphan = true
		jb.decode.orphans++
		jb.since = max(jb.since, now)
	}
}

// releaseOrphans frees the places of orphans that an engine, long after they
// were left, reports to hold nothing for.
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
		ce.forget(now, jb)
	}
}

// forget releases all that a request holds and drops it.
func (ce *Cell) forget(now clock.Millis, jb *job) {
	ce.release(now, jb)
	delete(ce.jobs, jb.ask.Request)
}

// release takes a request out of whatever stage it is in.
func (ce *Cell) release(now clock.Millis, jb *job) {
	switch jb.stage {
	case "":
		jb.grp.dequeue(jb)
		ce.queued--
		return
	case Prefilling:
		jb.prefill.done(now, jb)
		ce.changed(jb.prefill)
		ce.promised[class(jb)]--
	case Prefilled:
		ce.ready = without(ce.ready, jb)
		ce.promised[class(jb)]--
	case Transferring:
		ce.sent(jb)
		ce.moving = without(ce.moving, jb)
	case Decoding:
		ce.hazard[class(jb)] = max(0, ce.hazard[class(jb)]-jb.hazard)
	}
	jb.grp.held--
	if jb.decode != nil {
		if jb.orphan {
			jb.decode.orphans--
		}
		jb.decode.hold(-1)
		ce.changed(jb.decode)
	}
	jb.stage, jb.prefill, jb.decode = "", nil, nil
}

// sent takes a transfer off the link of its prefill engine.
func (ce *Cell) sent(jb *job) {
	if !jb.ask.Quick && jb.prefill != nil {
		jb.prefill.endSend(jb.linkMS)
	}
}

func class(jb *job) int {
	if jb.ask.Quick {
		return 1
	}
	return 0
}

// requeue puts a granted request back among those that wait.
func (ce *Cell) requeue(now clock.Millis, jb *job, why refusal.Reason) {
	ce.release(now, jb)
	ce.emit(Preempt{Request: jb.ask.Request, Attempt: jb.ask.Attempt, Reason: why})
	jb.ask.HeldPrefill = ""
	jb.ask.Attempt++
	jb.moved, jb.waits = false, ""
	jb.grp.enqueue(jb)
	ce.queued++
}
