package balance

import (
	"math"

	"alderdyke/pkg/clock"
)

// customer is one customer's use of one service through this VM.
type customer struct {
	share    float64 // part of the service's slots in the whole fleet, from 0 to 1
	inFlight int

	// The largest numbers of requests in flight, in the present span of
	// Settings.ActiveSpan and in the previous one.
	peak, previousPeak int
	spanBegan          clock.Millis // when the present span began
	lastRequest        clock.Millis
}

func (svc *service) customer(name string) *customer {
	cu := svc.customers[name]
	if cu == nil {
		cu = &customer{}
		svc.customers[name] = cu
	}
	return cu
}

// evictIdle drops customers that have been idle for long.
func (svc *service) evictIdle(now, active clock.Millis) {
	for name, cu := range svc.customers {
		if cu.inFlight == 0 && now-cu.lastRequest > 2*active {
			delete(svc.customers, name)
		}
	}
}

// recordRequest records a request, and begins a new span if the present one is over.
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

// part returns the number of requests that the customer may always have in flight
// through this VM: its share of this VM's part of the slots (room: all slots divided by
// the number of VMs), with slack for callers who are spread unevenly over the VMs, and at
// least one.
func (cu *customer) part(room float64, st Settings) int {
	return max(1, int(withSlack(cu.share*room, st.PartSlack)))
}

// withSlack adds standard deviations of a Poisson distribution to its mean.
func withSlack(mean, deviations float64) float64 { return mean + deviations*math.Sqrt(mean) }

// reserved returns how much of the customer's part is not lent because it was recently
// used and may be needed again: up to twice the recent peak.
func (cu *customer) reserved(now clock.Millis, room float64, st Settings) int {
	if now-cu.lastRequest > st.ActiveSpan {
		return 0
	}
	likely := 2 * max(cu.peak, cu.previousPeak)
	return max(0, min(cu.part(room, st), likely)-cu.inFlight)
}

// admits reports whether the customer may have one more request in flight. Within its
// own part it always may; beyond it, while there are slots that no other customer is
// likely to need.
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

// totalSlots returns the number of slots of all servers of the service.
func (svc *service) totalSlots() int {
	sum := 0
	for _, srv := range svc.servers {
		sum += srv.slots
	}
	return sum
}

// lendable returns how many requests in total this VM may have in flight while it
// lends: its part of the service's slots with slack or, if that is more, its requests
// in flight at the last reports plus its part of the slots that were free then. All VMs
// see the same reports. Since each takes only its part until the next report, they
// don't all take the same free slots. While the reports show more load than slots,
// there is no slack.
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
