package sched

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// forecastEach is how often a waiting queue looks again at a forecast
	// that grows with time.
	forecastEach = 25 * clock.Millis(1)

	linkWindow = 0.25  // part of the keep that the transfers on a link may take side by side
	lapsesMost = 3     // KV caches that one request may lose
	quickAhead = 200.0 // milliseconds that quick transfers count as sooner
	lapseAhead = 300.0 // the same for patient ones, at a weight of 1
	lapseNear  = 100.0 // milliseconds before the lapse of a KV cache that nothing weighs on
)

// prefilled notes that a KV cache is ready and queues its transfer.
func (ce *Cell) prefilled(now clock.Millis, jb *job, took clock.Millis) {
	if jb.stage != Prefilling {
		return
	}
	eng := jb.prefill
	eng.done(now, jb)
	eng.lost = 0
	if jb.alone && eng.pending == 0 {
		eng.learnPrefill(jb.tokens, took)
	}
	ce.changed(eng)
	jb.stage, jb.since = Prefilled, now
	jb.lapse = now + ce.Keep - lapseMargin
	ce.ready = append(ce.ready, jb)
}

// transfer orders the imports that have a link and a place, the one that
// must begin soonest first.
func (ce *Cell) transfer(now clock.Millis) {
	if len(ce.ready) == 0 {
		return
	}
	slices.SortStableFunc(ce.ready, func(ja, jb *job) int {
		ce.steps++
		return cmp.Or(cmp.Compare(ja.beginBy(), jb.beginBy()), compareIDs(ja, jb))
	})
	rest := ce.ready[:0]
	for ix, jb := range ce.ready {
		dec := ce.decodes.best()
		if dec == nil {
			for _, ja := range ce.ready[ix:] {
				ja.waits = ForPlace
			}
			rest = append(rest, ce.ready[ix:]...)
			break
		}
		if wt := ce.waitsFor(now, jb); wt != "" {
			jb.waits = wt
			rest = append(rest, jb)
			continue
		}
		ce.startTransfer(now, jb, dec, Transfer{Waited: now - jb.since, For: jb.waits})
	}
	clear(ce.ready[len(rest):])
	ce.ready = rest
}

// beginBy is the point by which a transfer should begin: a quick one's first
// token is due, a patient one's KV cache lapses, which counts as sooner the
// more its loss weighs.
func (jb *job) beginBy() float64 {
	if jb.ask.Quick {
		return float64(jb.due) - jb.linkMS - quickAhead
	}
	return float64(jb.lapse) - jb.linkMS - lapseAhead*jb.grp.weight
}

// waitsFor is what a transfer has to wait for beside a free place; empty if it
// may begin.
func (ce *Cell) waitsFor(now clock.Millis, jb *job) Wait {
	switch {
	case !ce.linkFree(now, jb):
		return ForLink
	case ce.leavesToQuick(now, jb):
		return ForQuick
	default:
		return ""
	}
}

// leavesToQuick tells whether a patient transfer leaves the last places to
// the quick requests whose prefills are under way. It does not once its KV
// cache is about to lapse.
func (ce *Cell) leavesToQuick(now clock.Millis, jb *job) bool {
	return !jb.ask.Quick && ce.free <= ce.promised[1] &&
		float64(jb.lapse-now)-jb.linkMS > lapseNear+lapseAhead*jb.grp.weight
}

// linkFree tells whether a transfer may go on its prefill engine's link.
// Quick requests always may; patient ones go one after another unless the KV
// cache would lapse meanwhile. Transfers whose work on the link is less than
// their delay beside it go side by side, as the link is idle otherwise.
func (ce *Cell) linkFree(now clock.Millis, jb *job) bool {
	if jb.ask.Quick || jb.prefill.sending < sendingMost {
		return true
	}
	window := min(max(float64(ce.Ways), ce.delay.mean), linkWindow*float64(ce.Keep))
	if jb.prefill.linkWork+jb.linkMS <= window {
		return true
	}
	return float64(jb.lapse-now) < 2*jb.linkMS+float64(forecastEach)+ce.delay.mean
}

// startTransfer takes a place for a transfer and orders it. The order comes with
// what it waited for or what it replaces.
func (ce *Cell) startTransfer(now clock.Millis, jb *job, dec *engine, order Transfer) {
	ce.promised[class(jb)]--
	jb.stage, jb.since, jb.decode, jb.waits = Transferring, now, dec, ""
	jb.alone = !jb.ask.Quick && jb.prefill.sending == 0
	if !jb.ask.Quick {
		jb.prefill.beginSend(jb.linkMS)
	}
	dec.hold(1)
	ce.changed(dec)
	ce.moving = append(ce.moving, jb)
	order.Request, order.Attempt = jb.ask.Request, jb.ask.Attempt
	order.Prefill, order.Decode = jb.prefill.id, dec.id
	ce.emit(order)
}

// decoding notes that the KV cache has arrived.
func (ce *Cell) decoding(now clock.Millis, jb *job, took clock.Millis) {
	if jb.stage != Transferring {
		return
	}
	if jb.alone && jb.prefill.sending == 1 {
		jb.prefill.learnLink(jb.ask.PromptTokens, took-ce.Ways/2)
	}
	if !jb.moved && !jb.orphan {
		ce.delay.learn(float64(now-jb.since) - stallFactor*jb.linkMS)
	}
	ce.sent(jb)
	ce.moving = without(ce.moving, jb)
	jb.stage, jb.since = Decoding, now
	jb.hazard = 1 / jb.grp.holdMS
	ce.hazard[class(jb)] += jb.hazard
}

// rejected notes that a decode engine was full after all: others use it.
// It gets nothing more before its next report, and the transfer goes to
// another engine.
func (ce *Cell) rejected(now clock.Millis, jb *job) {
	if jb.stage != Transferring {
		return
	}
	if jb.orphan {
		ce.forget(now, jb) // nobody is left to order another import
		return
	}
	dec := jb.decode
	dec.foreign = max(dec.foreign, dec.slots-dec.held+1)
	ce.unplace(jb)
	jb.stage, jb.since = Prefilled, now
	ce.ready = append(ce.ready, jb)
}

// notKept takes a request back whose KV cache was lost before its decode engine
// had fetched it. That engine is as good as it was.
func (ce *Cell) notKept(now clock.Millis, jb *job) {
	switch {
	case jb.stage != Transferring:
	case jb.orphan:
		ce.forget(now, jb)
	default:
		ce.lapsed(now, jb)
	}
}

// unplace gives the place of a transfer back without dropping the request.
func (ce *Cell) unplace(jb *job) {
	ce.sent(jb)
	ce.moving = without(ce.moving, jb)
	dec := jb.decode
	dec.hold(-1)
	ce.changed(dec)
	jb.decode = nil
	ce.promised[class(jb)]++
}

// lapse takes back requests whose KV cache can't reach a decode engine any
// more, and sends stalled transfers another way while theirs still can.
func (ce *Cell) lapse(now clock.Millis) {
	for _, jb := range slices.Clone(ce.ready) {
		ce.steps++
		if float64(jb.lapse-now) < min(jb.linkMS, lapseCertain*float64(ce.Keep)) {
			ce.lapsed(now, jb)
		}
	}
	for _, jb := range slices.Clone(ce.moving) {
		ce.steps++
		if ce.stalled(now, jb) {
			ce.redirect(now, jb)
		}
	}
}

// lapsed takes a request back whose KV cache is lost. After a few times it is
// refused: its KV cache may be larger than the links carry.
func (ce *Cell) lapsed(now clock.Millis, jb *job) {
	jb.lapses++
	ce.requeue(now, jb, refusal.TargetUnreachable)
	if jb.lapses >= lapsesMost {
		ce.refuse(now, jb, refusal.RetriesExhausted)
	}
}

// stalled tells whether a transfer takes so much longer than expected that
// another decode engine is worth a try. It is not when, at the pace that the
// link and the messages have shown, another would not arrive before the KV cache
// lapses.
func (ce *Cell) stalled(now clock.Millis, jb *job) bool {
	if jb.moved || jb.orphan || now < ce.stallsAt(jb) {
		return false
	}
	jb.prefill.slowLink(jb.ask.PromptTokens, now-jb.since-clock.Millis(ce.delay.mean))
	return float64(jb.lapse-now) > float64(jb.ask.PromptTokens)/jb.prefill.linkRate+ce.delay.timeout(ce.Keep/2)
}

// stallsAt is the point from which a transfer counts as stalled.
func (ce *Cell) stallsAt(jb *job) clock.Millis {
	return jb.since + clock.Millis(stallFactor*jb.linkMS+ce.delay.timeout(ce.Keep/2)) + 1
}

// redirect sends a stalled transfer to another decode engine. The place at
// the first one counts as taken until that engine's next report.
func (ce *Cell) redirect(now clock.Millis, jb *job) {
	first := jb.decode
	ce.decodes.remove(first)
	dec := ce.decodes.best()
	if dec == nil {
		ce.changed(first)
		return
	}
	order := Transfer{Stalled: first.id, Spent: now - jb.since, Expected: clock.Millis(jb.linkMS)}
	ce.unplace(jb)
	first.foreign++
	ce.changed(first)
	jb.moved = true
	ce.delay.expired()
	ce.startTransfer(now, jb, dec, order)
}

// adopt takes over a grant that the accounting VM before this one made.
func (ce *Cell) adopt(now clock.Millis, ad Adopt) {
	if old, ok := ce.jobs[ad.Ask.Request]; ok {
		ce.forget(now, old)
	}
	gp := ce.group(ad.Ask)
	jb := ce.newJob(now, ad.Ask, gp)
	jb.since, jb.began = now-ad.Since, true
	jb.prefill = ce.ensure(now, ad.Prefill, board.Prefill)
	jb.stage = ad.Stage
	gp.held++
	ce.jobs[ad.Ask.Request] = jb
	switch ad.Stage {
	case Prefilling:
		jb.prefill.sent(now, jb)
		ce.changed(jb.prefill)
		ce.promised[class(jb)]++
	case Prefilled:
		jb.lapse = jb.since + ce.Keep - lapseMargin
		ce.promised[class(jb)]++
		ce.ready = append(ce.ready, jb)
	default:
		ce.adoptDecode(now, jb, ad)
	}
}

func (ce *Cell) adoptDecode(now clock.Millis, jb *job, ad Adopt) {
	jb.decode = ce.ensure(now, ad.Decode, board.Decode)
	jb.decode.hold(1)
	jb.decode.foreign = max(0, jb.decode.foreign-1)
	ce.changed(jb.decode)
	if ad.Stage == Transferring {
		jb.lapse = now
		if !jb.ask.Quick {
			jb.prefill.beginSend(jb.linkMS)
		}
		ce.moving = append(ce.moving, jb)
		return
	}
	jb.stage = Decoding
	jb.hazard = 1 / jb.grp.holdMS
	ce.hazard[class(jb)] += jb.hazard
}

// ensure finds an engine, or makes an entry for one that is no longer listed
// but still used.
func (ce *Cell) ensure(now clock.Millis, id string, role board.Role) *engine {
	if eng, ok := ce.engines[id]; ok {
		return eng
	}
	eng := &engine{id: id, role: role, gone: true, slots: ce.Slots, opens: now + reportGrace,
		rate: ce.PrefillRate, linkRate: ce.LinkRate}
	ce.engines[id] = eng
	return eng
}

func compareIDs(ja, jb *job) int { return cmp.Compare(ja.ask.Request, jb.ask.Request) }
