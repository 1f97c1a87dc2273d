package sched

import (
	"math"

	"alderdyke/pkg/clock"
)

// How sure a place must be before a prefill starts, in standard deviations
// of the number of places in use by then.
const (
	minMarginSD       = 0.0 // at a weight of 0
	maxMarginSD       = 1.5 // at a weight of 1
	heldArrivalWeight = 1e-6

	quickReserveSD = 2.5 // for places that quick work finds free while patient work holds the rest
)

// slotForecast is what a cell expects of its decode places. Quick requests come
// and go within about a second, so their number returns to its mean; patient
// ones leave at the rate that their groups' lengths tell.
type slotForecast struct {
	patient       float64 // places that patient requests hold or are promised
	endRate       float64 // ends of patient decodes per millisecond
	quick         float64 // places that quick requests hold or are promised
	quickMean     float64 // expected number of quick requests at the present arrivals
	quickDecodeMS float64 // milliseconds that a quick request holds its place
}

// marginSD tells how many standard deviations a forecast is cut by, for a
// weight of wasted prefill.
func marginSD(weight float64) float64 { return minMarginSD + weight*(maxMarginSD-minMarginSD) }

func (ce *Cell) forecastSlots(now clock.Millis) slotForecast {
	var ol slotForecast
	weights := 0.0
	for _, gp := range ce.activeGroups {
		ce.steps++
		if !gp.quick {
			ol.patient += float64(gp.held)
			continue
		}
		ol.quick += float64(gp.held)
		in := gp.arrivals.now(now)
		ol.quickMean += min(in*gp.decodeMS, gp.share*float64(ce.slots))
		// Without arrivals, what is held tells how long quick work stays.
		weight := in + float64(gp.held)*heldArrivalWeight
		ol.quickDecodeMS += weight * gp.decodeMS
		weights += weight
	}
	ol.endRate = ce.endRates[0]
	if weights > 0 {
		ol.quickDecodeMS /= weights
	}
	ol.quickDecodeMS = max(1, ol.quickDecodeMS)
	return ol
}

// slotsInUse is the number of places that will hardly be exceeded after a span,
// by some standard deviations. Ends that are not sure enough to count on are
// left out rather than held against a place that is free already.
func (ol slotForecast) slotsInUse(span, sure float64) float64 {
	kept := math.Exp(-span / ol.quickDecodeMS)
	quick := ol.quickMean + (ol.quick-ol.quickMean)*kept
	swing := ol.quickMean * (1 - kept*kept)
	ends := min(ol.patient, ol.endRate*span)
	without := ol.patient + quick + sure*math.Sqrt(swing)
	with := ol.patient - ends + quick + sure*math.Sqrt(ends+swing)
	return min(without, with)
}

// expectPatientSlot tells whether a patient request whose KV cache is ready after
// a span will find a free place within the time that the cache is kept. The
// more wasted prefill weighs, the surer it must be and the less of that time
// is counted on. Beside that, patient work leaves enough places for the
// usual swings of quick work.
func (ce *Cell) expectPatientSlot(now clock.Millis, jb *job, after float64) bool {
	weight, slots := jb.grp.weight, float64(ce.slots)
	ol := ce.forecastSlots(now)
	span := after + (1-weight)*0.5*float64(ce.KVCacheTTL)
	if ol.slotsInUse(span, marginSD(weight))+1 > slots {
		return false
	}
	stay := ol.patient - min(ol.patient, ol.endRate*(span+ol.quickDecodeMS))
	return stay+1+ol.quickMean+quickReserveSD*math.Sqrt(ol.quickMean) <= slots
}

// expectQuickSlot tells whether a quick request whose KV cache is ready
// after a span finds a place by its due point. Quick requests take freed
// places before patient ones do.
func (ce *Cell) expectQuickSlot(now clock.Millis, jb *job, after float64) bool {
	slack := min(float64(jb.due-now)-after-jb.linkMS, float64(ce.KVCacheTTL)/2)
	if slack < 0 || ce.slots == 0 {
		return false
	}
	have := float64(ce.free) + 0.5*(ce.endRates[0]+ce.endRates[1])*(after+slack)
	return have >= float64(ce.reserved[1]+1)
}

// patientWait is the expected wait of a new request of a group: the time in
// which the cell does the work that waits before it, when each group gets its
// share until its own work is done and quick work has its places.
func (ce *Cell) patientWait(now clock.Millis, gp *group) float64 {
	return ce.patientWaitFor(now, gp, ce.slots, ce.prefills.Len())
}

// patientWaitFor is patientWait with other numbers of places and of prefill
// engines than there are.
func (ce *Cell) patientWaitFor(now clock.Millis, gp *group, places, prefills int) float64 {
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
	slots := max(1, float64(places)-mean-quickReserveSD*math.Sqrt(mean))
	fills := max(0.2, float64(prefills)-quickFill)
	return max(hold/slots, fill/fills)
}
