package sched

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Bounds of placement.
const (
	sendAhead     = 20 * clock.Millis(1)  // a prefill is sent so long before its engine is ready
	prefixWait    = 400 * clock.Millis(1) // the longest queue joined for a cached prefix
	stallFactor   = 3                     // times the expected span after which a transfer is stalled
	stallLeast    = 100 * clock.Millis(1)
	sendingMost   = 1                    // patient transfers on one link at a time
	lapseMargin   = 15 * clock.Millis(1) // for the way of a Transfer to the engine
	carriersSeen  = 16                   // engines looked at for one whose link is fast enough
	lapseCertain  = 0.9                  // part of the keep that a learned transfer time may claim
	preemptMargin = 50 * clock.Millis(1) // a prefill that begins sooner is not taken back
)

// dispatch does all that has become possible: first what frees places, then
// transfers, then quick requests, then patient ones.
func (ce *Cell) dispatch(now clock.Millis) {
	ce.admitUnreported(now)
	ce.expire(now)
	ce.lapse(now)
	ce.transfer(now)
	ce.startQuick(now)
	ce.startPatient(now)
	ce.wake(now)
}

// admitUnreported takes engines into use that sent no report for a while.
func (ce *Cell) admitUnreported(now clock.Millis) {
	ce.pending = slices.DeleteFunc(ce.pending, func(eng *engine) bool {
		ce.steps++
		if !eng.known && now >= eng.opens {
			eng.known = true
			ce.changed(eng)
		}
		return eng.known
	})
}

// startQuick grants quick requests whose place is in sight, the group that
// uses least of its share first.
func (ce *Cell) startQuick(now clock.Millis) {
	for {
		gp := ce.leastServed(now, true)
		if gp == nil {
			return
		}
		jb := gp.next()
		if ce.reuse(now, jb) {
			continue
		}
		eng := ce.quicks.best()
		if eng == nil {
			return
		}
		after := max(0, eng.quickReadyAt(ce.Chunk)-float64(now)) + jb.prefillMS
		if !ce.quickPlaceInSight(now, jb, after) {
			return
		}
		ce.grant(now, jb, eng)
	}
}

// startPatient grants patient requests in the order of their groups' use of
// their shares. The first that must wait stops the rest, so that no group's
// bolder settings pass another's.
func (ce *Cell) startPatient(now clock.Millis) {
	for {
		gp := ce.leastServed(now, false)
		if gp == nil {
			return
		}
		jb := gp.next()
		if ce.reuse(now, jb) {
			continue
		}
		eng := ce.choosePrefill(now, jb)
		if eng == nil {
			return
		}
		after := max(0, eng.readyAt()-float64(now)) + jb.prefillMS
		if !ce.placeInSight(now, jb, after) {
			return
		}
		ce.grant(now, jb, eng)
	}
}

// leastServed is the waiting group that uses the smallest part of its share.
// Quick groups beyond their share stand back while a patient group that is
// below its own waits.
func (ce *Cell) leastServed(now clock.Millis, quick bool) *group {
	var best *group
	var bestUse float64
	patientWants := false
	for _, gp := range ce.order {
		ce.steps++
		if !gp.wants() {
			continue
		}
		use := gp.usage(now, ce.slots, ce.prefills.Len()) / gp.share
		patientWants = patientWants || (!gp.quick && use < 1)
		if gp.quick == quick && (best == nil || use < bestUse) {
			best, bestUse = gp, use
		}
	}
	if quick && patientWants && bestUse >= 1 {
		return nil
	}
	return best
}

// choosePrefill is the prefill engine that would complete the request's
// prefill first, the cached prefix counted, or nil if it is too early to
// send one.
func (ce *Cell) choosePrefill(now clock.Millis, jb *job) *engine {
	eng := ce.carrier(jb)
	if eng == nil {
		return nil
	}
	ready := max(float64(now), eng.readyAt())
	if hit := ce.cached(jb); hit != nil && hit != eng && hit.carries(jb.ask.PromptTokens, ce.Keep) {
		saved := min(jb.ask.PrefixTokens, jb.ask.PromptTokens)
		hitReady := max(float64(now), hit.readyAt())
		if hitReady <= ready+float64(saved)/hit.rate && hitReady-float64(now) <= float64(prefixWait) {
			return hit
		}
	}
	if ready-float64(now) > float64(sendAhead) || eng.outstanding >= outstandingMost {
		return nil
	}
	return eng
}

// carrier is the prefill engine that is ready first, among the few foremost
// ones whose link carries the request's KV cache; the foremost if none does.
func (ce *Cell) carrier(jb *job) *engine {
	first := ce.prefills.best()
	if first == nil || first.carries(jb.ask.PromptTokens, ce.Keep) {
		return first
	}
	var best *engine
	for _, it := range ce.prefills.items[:min(carriersSeen, ce.prefills.Len())] {
		ce.steps++
		if it.eng.carries(jb.ask.PromptTokens, ce.Keep) && (best == nil || it.eng.readyAt() < best.readyAt()) {
			best = it.eng
		}
	}
	if best == nil {
		return first
	}
	return best
}

// cached is the least loaded engine that lately computed the request's
// prefix, or nil.
func (ce *Cell) cached(jb *job) *engine {
	if jb.ask.PrefixHash == 0 || jb.ask.PrefixTokens == 0 {
		return nil
	}
	var best *engine
	for _, eng := range ce.holders[jb.ask.PrefixHash] {
		ce.steps++
		if eng.usable() && eng.outstanding < outstandingMost && (best == nil || eng.readyAt() < best.readyAt()) {
			best = eng
		}
	}
	return best
}

// grant reserves a place and sends the prefill.
func (ce *Cell) grant(now clock.Millis, jb *job, eng *engine) {
	gp := jb.grp
	gp.dequeue(jb)
	gp.turn++
	ce.queued--
	jb.tokens = jb.ask.PromptTokens
	if jb.ask.PrefixHash != 0 && eng.hasPrefix(jb.ask.PrefixHash) {
		jb.tokens = max(1, jb.tokens-jb.ask.PrefixTokens)
	}
	jb.prefillMS = float64(jb.tokens) / eng.rate
	jb.linkMS = float64(jb.ask.PromptTokens) / eng.linkRate
	jb.alone = eng.pending <= 0
	jb.stage, jb.since, jb.prefill, jb.began = Prefilling, now, eng, true
	gp.held++
	gp.prefill.add(now, jb.prefillMS)
	ce.promised[class(jb)]++
	eng.sent(now, jb)
	ce.remember(eng, jb.ask.PrefixHash)
	ce.changed(eng)
	ce.emit(Grant{Request: jb.ask.Request, Attempt: jb.ask.Attempt, Prefill: eng.id, Decode: ce.likelyDecode()})
}

// likelyDecode is the decode engine that would be chosen now.
func (ce *Cell) likelyDecode() string {
	if eng := ce.decodes.best(); eng != nil {
		return eng.id
	}
	return ""
}

// remember notes which engine holds a prefix.
func (ce *Cell) remember(eng *engine, hash uint64) {
	if hash == 0 {
		return
	}
	if !slices.Contains(ce.holders[hash], eng) {
		ce.holders[hash] = append(ce.holders[hash], eng)
	}
	if dropped := eng.keepPrefix(hash); dropped != 0 {
		ce.holders[dropped] = slices.DeleteFunc(ce.holders[dropped], func(ea *engine) bool { return ea == eng })
		if len(ce.holders[dropped]) == 0 {
			delete(ce.holders, dropped)
		}
	}
}

// reuse grants a request whose KV cache a prefill engine still holds, so
// that only the transfer is left.
func (ce *Cell) reuse(now clock.Millis, jb *job) bool {
	eng := ce.engines[jb.ask.HeldPrefill]
	if eng == nil || eng.gone || now-jb.arrived > ce.Keep/2 {
		jb.ask.HeldPrefill = ""
		return false
	}
	jb.grp.dequeue(jb)
	ce.queued--
	jb.stage, jb.since, jb.prefill, jb.began = Prefilled, now, eng, true
	jb.lapse = jb.arrived + ce.Keep/2
	jb.grp.held++
	ce.promised[class(jb)]++
	ce.ready = append(ce.ready, jb)
	ce.emit(Grant{Request: jb.ask.Request, Attempt: jb.ask.Attempt, Prefill: eng.id, Decode: ce.likelyDecode(), SkipPrefill: true})
	ce.transfer(now)
	return true
}

// preemptUnfit takes back grants whose prefill engine stopped taking work
// before their prefill began.
func (ce *Cell) preemptUnfit(now clock.Millis) {
	var unfit []*job
	for _, jb := range ce.jobs {
		ce.steps++
		if jb.stage != Prefilling || jb.prefill.usable() || jb.alone {
			continue
		}
		if begins := jb.prefill.readyAt() - jb.prefillMS; begins > float64(now+preemptMargin) {
			unfit = append(unfit, jb)
		}
	}
	slices.SortFunc(unfit, compareIDs)
	for _, jb := range unfit {
		ce.requeue(now, jb, refusal.NoBackend)
	}
}

// wake asks for a tick when something is due without an event.
func (ce *Cell) wake(now clock.Millis) {
	al := alarm{now: now}
	if len(ce.pending) > 0 {
		al.sooner(ce.pending[0].opens)
	}
	for _, jb := range ce.moving {
		if !jb.moved && !jb.orphan {
			al.sooner(ce.stallsAt(jb))
		}
	}
	if len(ce.ready) > 0 {
		al.sooner(now + forecastEach)
	}
	if ce.queued > 0 {
		ce.wakeWaiting(now, &al)
	}
	if al.at != 0 {
		ce.emit(Wake{At: al.at})
	}
}

// wakeWaiting finds when something may be done for those that wait.
func (ce *Cell) wakeWaiting(now clock.Millis, al *alarm) {
	if eng := ce.prefills.best(); eng != nil && eng.readyAt() > float64(now+sendAhead) {
		al.sooner(clock.Millis(eng.readyAt()) - sendAhead)
	}
	for _, gp := range ce.order {
		ce.steps++
		if len(gp.waiting) > 0 {
			jb := gp.waiting[0]
			al.sooner(jb.due - clock.Millis(jb.prefillMS+jb.linkMS) + 1)
		}
	}
	al.sooner(now + forecastEach)
}

// alarm is the earliest of some points that are yet to come.
type alarm struct{ now, at clock.Millis }

func (al *alarm) sooner(point clock.Millis) {
	if point = max(point, al.now+1); al.at == 0 || point < al.at {
		al.at = point
	}
}

// dropHolder forgets the prefixes of an engine that is gone.
func (ce *Cell) dropHolder(eng *engine) {
	if eng.role != board.Prefill {
		return
	}
	for _, hash := range eng.prefixes {
		ce.holders[hash] = slices.DeleteFunc(ce.holders[hash], func(ea *engine) bool { return ea == eng })
		if len(ce.holders[hash]) == 0 {
			delete(ce.holders, hash)
		}
	}
	eng.prefixes = nil
}
