package balance

import (
	"math"

	"alderdyke/pkg/clock"
)

// customer is the use of one service by one customer through this VM.
type customer struct {
	share    float64
	inFlight int

	// The most requests in flight at once, in this span of Settings.ActiveSpan
	// and in the one before.
	peak, previousPeak int
	spanBegan          clock.Millis
	lastRequest        clock.Millis // last request
}

func (svc *service) customer(name string) *customer {
	cu := svc.customers[name]
	if cu == nil {
		cu = &customer{}
		svc.customers[name] = cu
	}
	return cu
}

// evictIdle drops customers that have been quiet for long.
func (svc *service) evictIdle(now, active clock.Millis) {
	for name, cu := range svc.customers {
		if cu.inFlight == 0 && now-cu.lastRequest > 2*active {
			delete(svc.customers, name)
		}
	}
}

// recordRequest takes a new ask and begins a new span if one is over.
func (cu *customer) recordRequest(now clock.Millis, share float64, active clock.Millis) {
	cu.share, cu.lastRequest = share, now
	switch past := now - cu.spanBegan; {
	case past >= 2*active:
		cu.previousPeak, cu.peak, cu.spanBegan = 0, cu.inFlight, now
	case past >= active:
		cu.previousPeak, cu.peak, cu.spanBegan = cu.peak, cu.inFlight, now
	}
}

func (cu *customer) addInFlight() {
	cu.inFlight++
	cu.peak = max(cu.peak, cu.inFlight)
}

// part is what the customer may have in flight through this VM whatever the
// others do: its share of the whole room over the VMs, with slack for callers
// who spread over the VMs by chance, and at least one.
func (cu *customer) part(room float64, st Settings) int {
	return max(1, int(withSlack(cu.share*room, st.PartSlack)))
}

// withSlack adds standard deviations of a Poisson count to its mean.
func withSlack(mean, deviations float64) float64 { return mean + deviations*math.Sqrt(mean) }

// reserved is how much of the customer's part is not lent, for it was used
// lately and may be wanted again: up to twice the latest peak.
func (cu *customer) reserved(now clock.Millis, room float64, st Settings) int {
	if now-cu.lastRequest > st.ActiveSpan {
		return 0
	}
	likely := 2 * max(cu.peak, cu.previousPeak)
	return max(0, min(cu.part(room, st), likely)-cu.inFlight)
}

// admits tells whether the customer may have one more request in flight:
// within its own part always, beyond it while there is room that no other
// customer is likely to want.
func (ch *Chooser) admits(now clock.Millis, svc *service, cu *customer) bool {
	room := float64(svc.totalSlots()) / float64(ch.vms)
	if cu.inFlight < cu.part(room, ch.Settings) {
		return true
	}
	left := ch.lendable(now, svc, room) - svc.inFlight
	for _, other := range svc.customers {
		if other != cu {
			left -= other.reserved(now, room, ch.Settings)
		}
	}
	return left >= 1
}

func (svc *service) totalSlots() int {
	sum := 0
	for _, srv := range svc.servers {
		sum += srv.slots
	}
	return sum
}

// lendable is how many requests this VM may have in flight in all, when it
// lends: its part of the service's room with slack, or what it had when the
// servers reported and its part of what was free then, whichever is more. All
// VMs see the same reports; as each takes only its part until the next
// report, they don't take the same free room all at once. While the reports
// show more work than room there is no slack.
func (ch *Chooser) lendable(now clock.Millis, svc *service, room float64) int {
	if svc.overloaded {
		return int(room)
	}
	reported := 0.0
	for _, srv := range svc.servers {
		if srv.hasFreshReport(now, ch.Settings) {
			reported += float64(srv.inFlightAtReport) + float64(srv.freeAtReport)/float64(ch.vms)
		}
	}
	return int(max(withSlack(room, ch.Settings.LendSlack), reported))
}
