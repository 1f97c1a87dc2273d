package topic

import "alderdyke/pkg/clock"

const (
	// outageNoticeTTL is how long an ended outage is reported to others. It is longer
	// than any VM takes to reconnect after one.
	outageNoticeTTL = 5 * clock.Second
	// graceMargin gives records written at the end of the grace period time to be read.
	graceMargin = 50 * clock.Millis(1)
	// graceStep is the delay of each rank after the one before it when reading at the
	// end of the grace period.
	graceStep = 40 * clock.Millis(1)
)

// broadcast completes an update with the store's availability and sends it. The caller
// holds the lock.
func (fo *Follower) broadcast(nw Update) {
	now := fo.now()
	nw.Topic = fo.Name
	nw.AvailableFor = max(1, now-fo.avail.since)
	if ou := fo.avail.latestOutage(); ou != (Outage{}) && now-ou.Until < outageNoticeTTL {
		nw.OutageEndedAgo = max(1, now-ou.Until)
	}
	fo.Broadcast(nw)
}

// mergeAvailability applies another VM's view of the store's availability, and reports
// whether that refuted an outage. The caller holds the lock.
func (fo *Follower) mergeAvailability(nw Update) (refuted bool) {
	if EraOf(nw.Next) != EraOf(fo.next) {
		return false // availability in another era does not compare
	}
	now, span := fo.now(), nw.AvailableFor
	if span == 0 {
		span = nw.OutageEndedAgo
	}
	if nw.OutageEndedAgo > 0 && fo.avail.refutes(now, span) && fo.broadcasts() {
		fo.broadcastAvailability()
	}
	fo.avail.merge(now, span, nw.OutageEndedAgo > 0, nw.Sender)
	return fo.reportOutage()
}

// broadcastAvailability tells the others for how long the store has been available. The
// update has no records and ends at the start of the topic, so that no VM takes it for
// a read. The caller holds the lock.
func (fo *Follower) broadcastAvailability() {
	begin := Position(EraOf(fo.next), 0)
	fo.broadcast(Update{From: begin, Next: begin})
}

// recordFailure records a call that the store did not answer.
func (fo *Follower) recordFailure() {
	fo.mu.Lock()
	fo.avail.recordFailure(fo.now())
	fo.reportOutage()
	fo.mu.Unlock()
	if fo.OnFailure != nil {
		fo.OnFailure()
	}
}

// reportOutage reports the latest outage if it has changed, and returns whether the one
// reported before was refuted. The caller holds the lock.
func (fo *Follower) reportOutage() (refuted bool) {
	ou := fo.avail.latestOutage()
	if ou == fo.reportedOutage {
		return false
	}
	refuted = ou.Until < fo.reportedOutage.Until
	fo.reportedOutage = ou
	if fo.OnOutage != nil {
		fo.OnOutage(ou)
	}
	return refuted
}

// nextPause returns the pause before the next read. It is shorter if the grace period
// after an outage ends before that.
func (fo *Follower) nextPause() clock.Millis {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	left := fo.graceEnd() + graceMargin - fo.now()
	if left <= 0 {
		return fo.Pause
	}
	return min(fo.Pause, left)
}

// graceEnd returns the end of the grace period after the latest outage; zero if there is
// none. The caller holds the lock.
func (fo *Follower) graceEnd() clock.Millis {
	ou := fo.avail.latestOutage()
	if fo.GracePeriod == 0 || ou == (Outage{}) {
		return 0
	}
	return ou.Until + fo.GracePeriod
}
