package sched

import (
	"math"

	"alderdyke/pkg/clock"
)

// How sure a place must be before a prefill starts.
const (
	boldest  = -0.5 // standard deviations at a weight of 0
	surest   = 2.5  // standard deviations at a weight of 1
	burstSD  = 1.5  // standard deviations of quick arrivals kept free
	burstFor = 400 * clock.Millis(1)
)

// reserve is how many places patient work leaves free for a burst of quick
// requests.
func reserve(quickRate float64) float64 {
	return burstSD * math.Sqrt(quickRate*float64(burstFor))
}

// sureAt tells how many standard deviations a forecast is cut by, for a
// weight of wasted prefill.
func sureAt(weight float64) float64 { return boldest + weight*(surest-boldest) }

// placeInSight tells whether a patient request whose KV cache is ready after
// a span will find a free place within the time that the cache is kept. The
// more wasted prefill weighs, the surer it must be and the less of that time
// is counted on.
func (ce *Cell) placeInSight(now clock.Millis, jb *job, after float64) bool {
	weight := jb.grp.weight
	quick := ce.quickIn.now(now)
	span := after + (1-weight)*0.5*float64(ce.Keep)
	ends := min(ce.hazard*span, float64(ce.slots))
	comes := quick * span
	margin := sureAt(weight) * math.Sqrt(ends+comes)
	have := float64(ce.free) + ends - comes - margin
	return have >= float64(ce.promised[0]+ce.promised[1]+1)+reserve(quick)
}

// quickPlaceInSight tells whether a quick request whose KV cache is ready
// after a span finds a place by its due point. Quick requests take freed
// places before patient ones do.
func (ce *Cell) quickPlaceInSight(now clock.Millis, jb *job, after float64) bool {
	slack := min(float64(jb.due-now)-after-jb.linkMS, float64(ce.Keep)/2)
	if slack < 0 {
		return false
	}
	have := float64(ce.free) + 0.5*ce.hazard*(after+slack)
	return have >= float64(ce.promised[1]+1)
}

// patientWait is the expected wait of a new request of a group: the work
// before it over the part of the cell that its group gets while the groups
// that want theirs take their shares.
func (ce *Cell) patientWait(now clock.Millis, gp *group) float64 {
	quickHeld, shares := 0, gp.share
	quickFill := 0.0
	for _, other := range ce.order {
		ce.steps++
		switch {
		case other.quick:
			quickHeld += other.held
			quickFill += other.prefill.now(now)
		case other != gp && other.wants():
			shares += other.share
		}
	}
	part := gp.share / shares
	slots := max(1, float64(ce.slots-quickHeld)) * part
	fills := max(0.2, float64(ce.prefills.Len())-quickFill) * part
	return max(gp.backlogHold/slots, gp.backlogFill/fills)
}
