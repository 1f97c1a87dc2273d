package sched

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// forecastInterval is how often the queue is checked against a forecast that
	// improves over time.
	forecastInterval = 25 * clock.Millis(1)

	maxLinkWindowShare = 0.25  // share of the KV cache's TTL that concurrent transfers on a link may take
	maxTransitShare    = 0.5   // share of the KV cache's TTL that a transfer may be expected to take
	maxExpirations     = 3     // KV caches that one request may lose
	quickLeadMS        = 200.0 // milliseconds by which quick transfers are advanced in the order
	expiryLeadMS       = 300.0 // the same for patient transfers at a weight of 1
	expiryNearMS       = 100.0 // milliseconds before the expiry of a KV cache of weight 0 from which its transfer no longer yields to quick work
)

// handlePrefilled records that a KV cache is ready and queues its transfer.
func (ce *Cell) handlePrefilled(now clock.Millis, jb *job, took clock.Millis) {
	if jb.stage != Prefilling {
		return
	}
	eng := jb.prefill
	eng.removePrefill(now, jb)
	eng.losses = 0
	if jb.exclusive && eng.pendingMS == 0 {
		eng.learnPrefill(jb.tokens, took)
	}
	ce.updateRankings(eng)
	jb.stage, jb.since = Prefilled, now
	jb.expires = now + ce.KVCacheTTL - expiryMargin
	ce.readyJobs = append(ce.readyJobs, jb)
}

// startTransfers orders the imports whose link and decode slot are available, earliest
// required start first.
func (ce *Cell) startTransfers(now clock.Millis) {
	if len(ce.readyJobs) == 0 {
		return
	}
	slices.SortStableFunc(ce.readyJobs, func(ja, jb *job) int {
		ce.steps++
		return cmp.Or(cmp.Compare(ja.startBy(), jb.startBy()), compareIDs(ja, jb))
	})
	rest := ce.readyJobs[:0]
	for ix, jb := range ce.readyJobs {
		dec := ce.decodes.best()
		if dec == nil {
			for _, ja := range ce.readyJobs[ix:] {
				ja.waitReason = WaitForSlot
			}
			rest = append(rest, ce.readyJobs[ix:]...)
			break
		}
		if reason := ce.blockedBy(now, jb); reason != "" {
			jb.waitReason = reason
			rest = append(rest, jb)
			continue
		}
		ce.startTransfer(now, jb, dec, Transfer{Waited: now - jb.since, WaitedFor: jb.waitReason})
	}
	clear(ce.readyJobs[len(rest):])
	ce.readyJobs = rest
}

// startBy returns when a transfer should start. For a quick request that follows from
// its due time; for a patient one from the expiry of its KV cache, which counts as
// earlier the more its loss weighs.
func (jb *job) startBy() float64 {
	if jb.spec.Quick {
		return float64(jb.due) - jb.linkMS - quickLeadMS
	}
	return float64(jb.expires) - jb.linkMS - expiryLeadMS*jb.grp.weight
}

// blockedBy returns what a transfer has to wait for other than a free slot, or "" if it
// may start.
func (ce *Cell) blockedBy(now clock.Millis, jb *job) WaitReason {
	switch {
	case !ce.linkFree(now, jb):
		return WaitForLink
	case ce.yieldsToQuick(now, jb):
		return WaitForQuick
	default:
		return ""
	}
}

// yieldsToQuick reports whether a patient transfer leaves the last slots to quick
// requests whose prefills are running. It does not once its KV cache is about to
// expire.
func (ce *Cell) yieldsToQuick(now clock.Millis, jb *job) bool {
	return !jb.spec.Quick && ce.free <= ce.reserved[1] &&
		float64(jb.expires-now)-jb.linkMS > expiryNearMS+expiryLeadMS*jb.grp.weight
}

// linkFree reports whether a transfer may use its prefill engine's link. Quick requests
// always may. Patient ones go one after another unless the KV cache would expire
// meanwhile. Transfers whose time on the link is shorter than their delay outside the
// link run concurrently, because the link would otherwise be idle.
func (ce *Cell) linkFree(now clock.Millis, jb *job) bool {
	if jb.spec.Quick || jb.prefill.activeTransfers < maxLinkTransfers {
		return true
	}
	window := min(max(float64(ce.MessageDelay), ce.transferDelay.mean), maxLinkWindowShare*float64(ce.KVCacheTTL))
	if jb.prefill.activeTransferMS+jb.linkMS <= window {
		return true
	}
	return float64(jb.expires-now) < 2*jb.linkMS+float64(forecastInterval)+ce.transferDelay.mean
}

// startTransfer reserves a slot for a transfer and orders it. The order states what the
// transfer waited for or which transfer it replaces.
func (ce *Cell) startTransfer(now clock.Millis, jb *job, dec *engine, order Transfer) {
	ce.reserved[classIndex(jb)]--
	jb.stage, jb.since, jb.decode, jb.waitReason = Transferring, now, dec, ""
	jb.exclusive = !jb.spec.Quick && jb.prefill.activeTransfers == 0
	if !jb.spec.Quick {
		jb.prefill.addTransfer(jb.linkMS)
	}
	dec.addHeld(1)
	ce.updateRankings(dec)
	ce.transferring = append(ce.transferring, jb)
	order.Request, order.Stream, order.Attempt = jb.spec.Request, jb.spec.Stream, jb.spec.Attempt
	order.Prefill, order.Decode = jb.prefill.id, dec.id
	ce.emit(order)
}

// handleDecoding records that the KV cache has arrived at the decode engine.
func (ce *Cell) handleDecoding(now clock.Millis, jb *job, took clock.Millis) {
	if jb.stage != Transferring {
		return
	}
	if jb.exclusive && jb.prefill.activeTransfers == 1 {
		jb.prefill.learnLink(jb.spec.PromptTokens, took-ce.MessageDelay/2)
	}
	if !jb.redirected && !jb.orphan {
		ce.transferDelay.observe(float64(now-jb.since) - stallFactor*jb.linkMS)
	}
	ce.endTransfer(jb)
	ce.transferring = removeJob(ce.transferring, jb)
	jb.stage, jb.since = Decoding, now
	jb.endRate = 1 / jb.grp.decodeMS
	ce.endRates[classIndex(jb)] += jb.endRate
}

// handleRejected records that a decode engine is full after all because others use it.
// The engine gets nothing more before its next report, and the transfer goes to another
// engine.
func (ce *Cell) handleRejected(now clock.Millis, jb *job) {
	if jb.stage != Transferring {
		return
	}
	if jb.orphan {
		ce.drop(now, jb) // no runner is left to order another import
		return
	}
	dec := jb.decode
	dec.heldByOthers = max(dec.heldByOthers, dec.slots-dec.held+1)
	ce.releaseDecode(jb)
	jb.stage, jb.since = Prefilled, now
	ce.readyJobs = append(ce.readyJobs, jb)
}

// handleLapsed requeues a request whose KV cache was lost before its decode engine had
// fetched it. The loss does not count against that decode engine, and against the request
// only if the next transfer is expected to be late as well.
func (ce *Cell) handleLapsed(now clock.Millis, jb *job) {
	switch {
	case jb.stage != Transferring:
	case jb.orphan:
		ce.drop(now, jb)
	default:
		if !jb.redirected {
			ce.transferDelay.observe(float64(now-jb.since) - stallFactor*jb.linkMS)
		}
		if jb.linkMS+ce.transferDelay.mean > maxTransitShare*float64(ce.KVCacheTTL) {
			ce.requeueExpired(now, jb)
			return
		}
		ce.requeue(now, jb, refusal.TargetUnreachable)
	}
}

// releaseDecode releases the slot of a transfer and keeps the request.
func (ce *Cell) releaseDecode(jb *job) {
	ce.endTransfer(jb)
	ce.transferring = removeJob(ce.transferring, jb)
	dec := jb.decode
	dec.addHeld(-1)
	ce.updateRankings(dec)
	jb.decode = nil
	ce.reserved[classIndex(jb)]++
}

// expireKVCaches requeues requests whose KV cache can no longer reach a decode engine,
// and redirects stalled transfers whose KV cache still can.
func (ce *Cell) expireKVCaches(now clock.Millis) {
	for _, jb := range slices.Clone(ce.readyJobs) {
		ce.steps++
		if float64(jb.expires-now) < min(jb.linkMS, maxTransferShare*float64(ce.KVCacheTTL)) {
			ce.requeueExpired(now, jb)
		}
	}
	for _, jb := range slices.Clone(ce.transferring) {
		ce.steps++
		if ce.stalled(now, jb) {
			ce.redirect(now, jb)
		}
	}
}

// requeueExpired requeues a request whose KV cache is lost. After a few losses it
// refuses the request, as its KV cache may be too large for the links.
func (ce *Cell) requeueExpired(now clock.Millis, jb *job) {
	jb.expirations++
	ce.requeue(now, jb, refusal.TargetUnreachable)
	if jb.expirations >= maxExpirations {
		ce.refuse(now, jb, refusal.RetriesExhausted)
	}
}

// stalled reports whether a transfer takes so much longer than expected that another
// decode engine is worth trying. It is not if, at the measured speed of the link and
// the messages, another transfer would not arrive before the KV cache expires.
func (ce *Cell) stalled(now clock.Millis, jb *job) bool {
	if jb.redirected || jb.orphan || now < ce.stallsAt(jb) {
		return false
	}
	jb.prefill.capLinkRate(jb.spec.PromptTokens, now-jb.since-clock.Millis(ce.transferDelay.mean))
	return float64(jb.expires-now) > float64(jb.spec.PromptTokens)/jb.prefill.linkRate+ce.transferDelay.timeout(ce.KVCacheTTL/2)
}

// stallsAt returns the time from which a transfer counts as stalled.
func (ce *Cell) stallsAt(jb *job) clock.Millis {
	return jb.since + clock.Millis(stallFactor*jb.linkMS+ce.transferDelay.timeout(ce.KVCacheTTL/2)) + 1
}

// redirect sends a stalled transfer to another decode engine. The slot at the first
// engine counts as taken until that engine's next report.
func (ce *Cell) redirect(now clock.Millis, jb *job) {
	first := jb.decode
	ce.decodes.remove(first)
	dec := ce.decodes.best()
	if dec == nil {
		ce.updateRankings(first)
		return
	}
	order := Transfer{Stalled: first.id, Elapsed: now - jb.since, Expected: clock.Millis(jb.linkMS)}
	ce.releaseDecode(jb)
	first.heldByOthers++
	ce.updateRankings(first)
	jb.redirected = true
	ce.transferDelay.recordTimeout()
	ce.startTransfer(now, jb, dec, order)
}

// adopt takes over a grant that the previous accounting VM made.
func (ce *Cell) adopt(now clock.Millis, ad Adopt) {
	if old, ok := ce.jobs[ad.Spec.Request]; ok {
		ce.drop(now, old)
	}
	gp := ce.group(ad.Spec)
	jb := ce.newJob(now, ad.Spec, gp)
	jb.since, jb.granted = now-ad.Since, true
	jb.prefill = ce.engineOrUnlisted(now, ad.Prefill, board.Prefill)
	jb.stage = ad.Stage
	gp.held++
	ce.jobs[ad.Spec.Request] = jb
	switch ad.Stage {
	case Prefilling:
		jb.prefill.addPrefill(now, jb)
		ce.updateRankings(jb.prefill)
		ce.reserved[classIndex(jb)]++
	case Prefilled:
		jb.expires = jb.since + ce.KVCacheTTL - expiryMargin
		ce.reserved[classIndex(jb)]++
		ce.readyJobs = append(ce.readyJobs, jb)
	default:
		ce.adoptDecode(now, jb, ad)
	}
}

// adoptDecode takes over a grant whose KV cache is being imported or already at its
// decode engine.
func (ce *Cell) adoptDecode(now clock.Millis, jb *job, ad Adopt) {
	jb.decode = ce.engineOrUnlisted(now, ad.Decode, board.Decode)
	jb.decode.addHeld(1)
	jb.decode.heldByOthers = max(0, jb.decode.heldByOthers-1)
	ce.updateRankings(jb.decode)
	if ad.Stage == Transferring {
		jb.expires = now
		if !jb.spec.Quick {
			jb.prefill.addTransfer(jb.linkMS)
		}
		ce.transferring = append(ce.transferring, jb)
		return
	}
	jb.stage = Decoding
	jb.endRate = 1 / jb.grp.decodeMS
	ce.endRates[classIndex(jb)] += jb.endRate
}

// engineOrUnlisted returns the engine with the ID, or adds an entry for one that is no
// longer listed but still in use.
func (ce *Cell) engineOrUnlisted(now clock.Millis, id string, role board.Role) *engine {
	if eng, ok := ce.engines[id]; ok {
		return eng
	}
	eng := &engine{id: id, role: role, delisted: true, slots: ce.Slots, opensAt: now + reportGrace,
		prefillRate: ce.PrefillRate, linkRate: ce.LinkRate}
	ce.engines[id] = eng
	return eng
}

func compareIDs(ja, jb *job) int { return cmp.Compare(ja.spec.Request, jb.spec.Request) }
