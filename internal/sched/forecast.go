package sched

import (
	"math"

	"alderdyke/pkg/clock"
)

// Safety margins of the slot forecast that must hold before a prefill starts, in
// standard deviations of the number of slots in use.
const (
	minMarginSD       = 0.0  // at a weight of 0
	maxMarginSD       = 1.5  // at a weight of 1
	heldArrivalWeight = 1e-6 // arrivals per millisecond that a held slot counts as

	quickReserveSD = 2.5 // slots reserved for swings of quick work while patient work holds the rest
)

// slotForecast is the expected use of the cell's decode slots. Quick requests finish
// within about a second, so their number returns to its mean; patient ones leave at the
// rate that follows from the decode times of their groups.
type slotForecast struct {
	patient       float64 // slots that patient requests hold or have reserved
	endRate       float64 // ends of patient decodes per millisecond
	quick         float64 // slots that quick requests hold or have reserved
	quickMean     float64 // expected number of quick requests at the current arrival rate
	quickDecodeMS float64 // milliseconds that a quick request holds its slot
}

// marginSD returns the safety margin, in standard deviations, for a weight of wasted
// prefill.
func marginSD(weight float64) float64 { return minMarginSD + weight*(maxMarginSD-minMarginSD) }

// forecastSlots returns the expected use of the decode slots by the groups with queued,
// running or recent requests.
func (ce *Cell) forecastSlots(now clock.Millis) slotForecast {
	var sf slotForecast
	weights := 0.0
	for _, gp := range ce.activeGroups {
		ce.steps++
		if !gp.quick {
			sf.patient += float64(gp.held)
			continue
		}
		sf.quick += float64(gp.held)
		in := gp.arrivals.now(now)
		sf.quickMean += min(in*gp.decodeMS, gp.share*float64(ce.slots))
		// Without arrivals, the held slots determine how long quick work stays.
		weight := in + float64(gp.held)*heldArrivalWeight
		sf.quickDecodeMS += weight * gp.decodeMS
		weights += weight
	}
	sf.endRate = ce.endRates[0]
	if weights > 0 {
		sf.quickDecodeMS /= weights
	}
	sf.quickDecodeMS = max(1, sf.quickDecodeMS)
	return sf
}

// slotsInUse returns an upper bound of the slots in use after a span, with a margin in
// standard deviations. If counting on ends would raise the bound because they are too
// uncertain, they are ignored, so that they can't hide a slot that is already free.
func (sf slotForecast) slotsInUse(span, margin float64) float64 {
	kept := math.Exp(-span / sf.quickDecodeMS)
	quick := sf.quickMean + (sf.quick-sf.quickMean)*kept
	swing := sf.quickMean * (1 - kept*kept)
	ends := min(sf.patient, sf.endRate*span)
	without := sf.patient + quick + margin*math.Sqrt(swing)
	with := sf.patient - ends + quick + margin*math.Sqrt(ends+swing)
	return min(without, with)
}

// expectPatientSlot reports whether a patient request whose KV cache is ready after a
// span will find a free slot before the cache expires. The higher the weight of wasted
// prefill, the larger the margin and the less of the cache's TTL is counted on. In
// addition, patient work leaves enough slots for the usual swings of quick work.
func (ce *Cell) expectPatientSlot(now clock.Millis, jb *job, after float64) bool {
	weight, slots := jb.grp.weight, float64(ce.slots)
	sf := ce.forecastSlots(now)
	span := after + (1-weight)*0.5*float64(ce.KVCacheTTL)
	if sf.slotsInUse(span, marginSD(weight))+1 > slots {
		return false
	}
	stay := sf.patient - min(sf.patient, sf.endRate*(span+sf.quickDecodeMS))
	return stay+1+sf.quickMean+quickReserveSD*math.Sqrt(sf.quickMean) <= slots
}

// expectQuickSlot reports whether a quick request whose KV cache is ready after a span
// will find a slot by its due time. Quick requests take freed slots before patient ones
// do.
func (ce *Cell) expectQuickSlot(now clock.Millis, jb *job, after float64) bool {
	slack := min(float64(jb.due-now)-after-jb.linkMS, float64(ce.KVCacheTTL)/2)
	if slack < 0 || ce.slots == 0 {
		return false
	}
	have := float64(ce.free) + 0.5*(ce.endRates[0]+ce.endRates[1])*(after+slack)
	return have >= float64(ce.reserved[1]+1)
}

// patientWait returns the expected wait of a new request of a group: the time in which
// the cell does the work queued ahead of it, when each group gets its share until its
// own work is done and quick work has its slots.
func (ce *Cell) patientWait(now clock.Millis, gp *group) float64 {
	return ce.patientWaitFor(now, gp, ce.slots, ce.prefills.Len())
}

// patientWaitFor is patientWait for other numbers of slots and prefill engines than the
// current ones.
func (ce *Cell) patientWaitFor(now clock.Millis, gp *group, decodeSlots, prefills int) float64 {
	hold, fill, quickFill := gp.queuedDecodeMS, gp.queuedPrefillMS, 0.0
	for _, other := range ce.activeGroups {
		ce.steps++
		switch {
		case other.quick:
			quickFill += other.prefillUse.now(now)
		case other != gp:
			part := other.share / gp.share
			hold += min(other.queuedDecodeMS, part*gp.queuedDecodeMS)
			fill += min(other.queuedPrefillMS, part*gp.queuedPrefillMS)
		}
	}
	mean := ce.forecastSlots(now).quickMean
	slots := max(1, float64(decodeSlots)-mean-quickReserveSD*math.Sqrt(mean))
	fills := max(0.2, float64(prefills)-quickFill)
	return max(hold/slots, fill/fills)
}
