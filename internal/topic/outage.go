package topic

import "alderdyke/pkg/clock"

const (
	// outageNoticeTTL is how long others are told of an outage: longer than anybody
	// takes to come back after one.
	outageNoticeTTL = 5 * clock.Second
	// graceMargin lets what was written at the end of the grace period be read.
	graceMargin = 50 * clock.Millis(1)
	// graceStep is how much later each VM in line reads at the end of the grace
	// period than the one before it.
	graceStep = 40 * clock.Millis(1)
)

// broadcast passes on what is known here of the topic and of the store. The lock is held.
func (fo *Follower) broadcast(nw Update) {
	now := fo.now()
	nw.Topic = fo.Name
	nw.AvailableFor = max(1, now-fo.avail.since)
	if ou := fo.avail.latestOutage(); ou != (Outage{}) && now-ou.Until < outageNoticeTTL {
		nw.OutageEndedAgo = max(1, now-ou.Until)
	}
	fo.Broadcast(nw)
}

// mergeAvailability takes what another VM knows of the store, and tells whether that
// refuted an outage. The lock is held.
func (fo *Follower) mergeAvailability(nw Update) (refuted bool) {
	if EraOf(nw.Next) != EraOf(fo.next) {
		return false // what the store had before is no measure
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

// broadcastAvailability tells the others for how long the store has answered. The news end
// where the topic begins, so that nobody takes them for a read. The lock is held.
func (fo *Follower) broadcastAvailability() {
	begin := Position(EraOf(fo.next), 0)
	fo.broadcast(Update{From: begin, Next: begin})
}

// recordFailure notes a call that the store did not answer.
func (fo *Follower) recordFailure() {
	fo.mu.Lock()
	fo.avail.recordFailure(fo.now())
	fo.reportOutage()
	fo.mu.Unlock()
	if fo.OnFailure != nil {
		fo.OnFailure()
	}
}

// reportOutage passes on the newest outage if it has changed, and tells whether the one
// before was refuted. The lock is held.
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

// nextPause is the nextPause before the next read, which is shorter where the grace period
// after an outage ends before.
func (fo *Follower) nextPause() clock.Millis {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	left := fo.graceEnd() + graceMargin - fo.now()
	if left <= 0 {
		return fo.Pause
	}
	return min(fo.Pause, left)
}

// graceEnd is the end of the grace period after the newest outage; zero: there is
// none. The lock is held.
func (fo *Follower) graceEnd() clock.Millis {
	ou := fo.avail.latestOutage()
	if fo.GracePeriod == 0 || ou == (Outage{}) {
		return 0
	}
	return ou.Until + fo.GracePeriod
}
