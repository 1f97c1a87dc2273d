package sched

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Bounds of placement.
const (
	prefillSendAhead   = 20 * clock.Millis(1)  // how long before its engine is ready a prefill is sent
	maxPrefixWait      = 400 * clock.Millis(1) // longest queue joined for a cached prefix
	stallFactor        = 3                     // multiple of the expected duration after which a transfer counts as stalled
	minStallTimeout    = 100 * clock.Millis(1)
	maxLinkTransfers   = 1                    // patient transfers on one link at a time
	expiryMargin       = 15 * clock.Millis(1) // for the delivery of a Transfer to the engine
	maxCarriersChecked = 16                   // engines checked for one whose link is fast enough
	maxTransferShare   = 0.9                  // share of the KV cache's TTL that a learned transfer time may claim
	preemptMargin      = 50 * clock.Millis(1) // a prefill that begins sooner than this is not preempted
)

// dispatch does everything that has become possible: it first frees slots, then starts
// transfers, quick requests and patient requests.
func (ce *Cell) dispatch(now clock.Millis) {
	ce.openUnreported(now)
	ce.expireQueued(now)
	ce.expireKVCaches(now)
	ce.startTransfers(now)
	ce.startQuick(now)
	ce.startPatient(now)
	ce.requestWake(now)
}

// openUnreported opens engines that have sent no report within the grace period.
func (ce *Cell) openUnreported(now clock.Millis) {
	ce.unreported = slices.DeleteFunc(ce.unreported, func(eng *engine) bool {
		ce.steps++
		if !eng.open && now >= eng.opensAt {
			eng.open = true
			ce.updateRankings(eng)
		}
		return eng.open
	})
}

// startQuick grants quick requests for which a slot is expected, from the group that
// uses the smallest part of its share first.
func (ce *Cell) startQuick(now clock.Millis) {
	for {
		gp := ce.leastServed(now, true)
		if gp == nil {
			return
		}
		jb := gp.next()
		if ce.grantHeldPrefill(now, jb) {
			continue
		}
		eng := ce.quickPrefills.best()
		if eng == nil {
			return
		}
		after := max(0, eng.quickReadyAt(ce.Chunk)-float64(now)) + jb.prefillMS
		if !ce.expectQuickSlot(now, jb, after) {
			return
		}
		ce.grant(now, jb, eng)
	}
}

// startPatient grants patient requests in the order of their groups' use of their
// shares. The first request that must wait blocks the others, so that a group whose
// settings accept more risk can't overtake another group.
func (ce *Cell) startPatient(now clock.Millis) {
	for {
		gp := ce.leastServed(now, false)
		if gp == nil {
			return
		}
		jb := gp.next()
		if ce.grantHeldPrefill(now, jb) {
			continue
		}
		eng := ce.choosePrefill(now, jb)
		if eng == nil {
			return
		}
		after := max(0, eng.readyAt()-float64(now)) + jb.prefillMS
		if !ce.expectPatientSlot(now, jb, after) {
			return
		}
		ce.grant(now, jb, eng)
	}
}

// leastServed returns the queued group that uses the smallest part of its share. Quick
// groups above their share yield while a patient group below its share has queued
// requests.
func (ce *Cell) leastServed(now clock.Millis, quick bool) *group {
	var best *group
	var bestUse float64
	patientWants := false
	for _, gp := range ce.activeGroups {
		ce.steps++
		if !gp.hasQueued() {
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

// choosePrefill returns the prefill engine that would complete the request's prefill
// first, taking the cached prefix into account, or nil if it is too early to send a
// prefill.
func (ce *Cell) choosePrefill(now clock.Millis, jb *job) *engine {
	eng := ce.fastestCarrier(jb)
	if eng == nil {
		return nil
	}
	ready := max(float64(now), eng.readyAt())
	if hit := ce.prefixEngine(jb); hit != nil && hit != eng && hit.linkCarries(jb.spec.PromptTokens, ce.KVCacheTTL) {
		saved := min(jb.spec.PrefixTokens, jb.spec.PromptTokens)
		hitReady := max(float64(now), hit.readyAt())
		if hitReady <= ready+float64(saved)/hit.prefillRate && hitReady-float64(now) <= float64(maxPrefixWait) {
			return hit
		}
	}
	if ready-float64(now) > float64(prefillSendAhead) || eng.pendingPatient >= maxPendingPatient {
		return nil
	}
	return eng
}

// fastestCarrier returns the engine that is ready first among the first few whose link
// carries the request's KV cache, or the first engine if none does.
func (ce *Cell) fastestCarrier(jb *job) *engine {
	first := ce.prefills.best()
	if first == nil || first.linkCarries(jb.spec.PromptTokens, ce.KVCacheTTL) {
		return first
	}
	var best *engine
	for _, it := range ce.prefills.items[:min(maxCarriersChecked, ce.prefills.Len())] {
		ce.steps++
		if it.eng.linkCarries(jb.spec.PromptTokens, ce.KVCacheTTL) && (best == nil || it.eng.readyAt() < best.readyAt()) {
			best = it.eng
		}
	}
	if best == nil {
		return first
	}
	return best
}

// prefixEngine returns the least loaded engine that recently computed the request's
// prefix, or nil.
func (ce *Cell) prefixEngine(jb *job) *engine {
	if jb.spec.PrefixHash == 0 || jb.spec.PrefixTokens == 0 {
		return nil
	}
	var best *engine
	for _, eng := range ce.prefixHolders[jb.spec.PrefixHash] {
		ce.steps++
		if eng.usable() && eng.pendingPatient < maxPendingPatient && (best == nil || eng.readyAt() < best.readyAt()) {
			best = eng
		}
	}
	return best
}

// grant reserves a slot and sends the prefill.
func (ce *Cell) grant(now clock.Millis, jb *job, eng *engine) {
	gp := jb.grp
	gp.dequeue(jb)
	gp.starts++
	ce.queued--
	jb.tokens = jb.spec.PromptTokens
	if jb.spec.PrefixHash != 0 && eng.hasPrefix(jb.spec.PrefixHash) {
		jb.tokens = max(1, jb.tokens-jb.spec.PrefixTokens)
	}
	jb.prefillMS = float64(jb.tokens) / eng.prefillRate
	jb.linkMS = float64(jb.spec.PromptTokens) / eng.linkRate
	jb.exclusive = eng.pendingMS <= 0
	jb.stage, jb.since, jb.prefill, jb.granted = Prefilling, now, eng, true
	gp.held++
	gp.prefillUse.add(now, jb.prefillMS)
	ce.reserved[classIndex(jb)]++
	eng.addPrefill(now, jb)
	ce.recordPrefix(eng, jb.spec.PrefixHash)
	ce.updateRankings(eng)
	ce.emit(Grant{Request: jb.spec.Request, Stream: jb.spec.Stream, Attempt: jb.spec.Attempt, Prefill: eng.id, Decode: ce.bestDecodeID()})
}

// bestDecodeID returns the decode engine that would be chosen now, or "".
func (ce *Cell) bestDecodeID() string {
	if eng := ce.decodes.best(); eng != nil {
		return eng.id
	}
	return ""
}

// recordPrefix records that the engine holds a prefix.
func (ce *Cell) recordPrefix(eng *engine, hash uint64) {
	if hash == 0 {
		return
	}
	if !slices.Contains(ce.prefixHolders[hash], eng) {
		ce.prefixHolders[hash] = append(ce.prefixHolders[hash], eng)
	}
	if dropped := eng.rememberPrefix(hash); dropped != 0 {
		ce.prefixHolders[dropped] = slices.DeleteFunc(ce.prefixHolders[dropped], func(ea *engine) bool { return ea == eng })
		if len(ce.prefixHolders[dropped]) == 0 {
			delete(ce.prefixHolders, dropped)
		}
	}
}

// grantHeldPrefill grants a request whose KV cache a prefill engine still holds, so
// that only the transfer is left. It reports whether it did.
func (ce *Cell) grantHeldPrefill(now clock.Millis, jb *job) bool {
	eng := ce.engines[jb.spec.HeldPrefill]
	if eng == nil || eng.delisted || now-jb.arrived > ce.KVCacheTTL/2 {
		jb.spec.HeldPrefill = ""
		return false
	}
	jb.grp.dequeue(jb)
	ce.queued--
	jb.stage, jb.since, jb.prefill, jb.granted = Prefilled, now, eng, true
	jb.expires = jb.arrived + ce.KVCacheTTL/2
	jb.grp.held++
	ce.reserved[classIndex(jb)]++
	ce.readyJobs = append(ce.readyJobs, jb)
	ce.emit(Grant{Request: jb.spec.Request, Stream: jb.spec.Stream, Attempt: jb.spec.Attempt, Prefill: eng.id, Decode: ce.bestDecodeID(), SkipPrefill: true})
	ce.startTransfers(now)
	return true
}

// preemptUnusable preempts grants whose prefill engine stopped taking work before the
// prefill began.
func (ce *Cell) preemptUnusable(now clock.Millis) {
	var unfit []*job
	for _, jb := range ce.jobs {
		ce.steps++
		if jb.stage != Prefilling || jb.prefill.usable() || jb.exclusive {
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

// requestWake requests a tick for the next time at which something is due without an
// event.
func (ce *Cell) requestWake(now clock.Millis) {
	wt := wakeTime{now: now}
	if len(ce.unreported) > 0 {
		wt.atMost(ce.unreported[0].opensAt)
	}
	for _, jb := range ce.transferring {
		if !jb.redirected && !jb.orphan {
			wt.atMost(ce.stallsAt(jb))
		}
	}
	if len(ce.readyJobs) > 0 {
		wt.atMost(now + forecastInterval)
	}
	if ce.queued > 0 {
		ce.wakeForQueued(now, &wt)
	}
	if wt.at != 0 {
		ce.emit(Wake{At: wt.at})
	}
}

// wakeForQueued adds the times at which queued requests may need action.
func (ce *Cell) wakeForQueued(now clock.Millis, wt *wakeTime) {
	if eng := ce.prefills.best(); eng != nil && eng.readyAt() > float64(now+prefillSendAhead) {
		wt.atMost(clock.Millis(eng.readyAt()) - prefillSendAhead)
	}
	for _, gp := range ce.activeGroups {
		ce.steps++
		if len(gp.waiting) > 0 {
			jb := gp.waiting[0]
			wt.atMost(jb.due - clock.Millis(jb.prefillMS+jb.linkMS) + 1)
		}
	}
	wt.atMost(now + forecastInterval)
}

// wakeTime is the earliest of the future times passed to atMost; at is zero before the
// first.
type wakeTime struct{ now, at clock.Millis }

func (wt *wakeTime) atMost(point clock.Millis) {
	if point = max(point, wt.now+1); wt.at == 0 || point < wt.at {
		wt.at = point
	}
}

// dropPrefixes forgets the prefixes of an engine that was delisted.
func (ce *Cell) dropPrefixes(eng *engine) {
	if eng.role != board.Prefill {
		return
	}
	for _, hash := range eng.prefixes {
		ce.prefixHolders[hash] = slices.DeleteFunc(ce.prefixHolders[hash], func(ea *engine) bool { return ea == eng })
		if len(ce.prefixHolders[hash]) == 0 {
			delete(ce.prefixHolders, hash)
		}
	}
	eng.prefixes = nil
}
