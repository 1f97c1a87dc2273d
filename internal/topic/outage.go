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

// tell passes on what is known here of the topic and of the store. The lock is held.
func (fo *Follower) tell(nw News) {
	now := fo.now()
	nw.Topic = fo.Name
	nw.Answered = max(1, now-fo.avail.since)
	if ou := fo.avail.outage(); ou != (Outage{}) && now-ou.Until < outageNoticeTTL {
		nw.OutageEnded = max(1, now-ou.Until)
	}
	fo.Tell(nw)
}

// hearAvailability takes what another VM knows of the store, and tells whether that
// refuted an outage. The lock is held.
func (fo *Follower) hearAvailability(nw News) (refuted bool) {
	if EraOf(nw.Next) != EraOf(fo.next) {
		return false // what the store had before is no measure
	}
	now, span := fo.now(), nw.Answered
	if span == 0 {
		span = nw.OutageEnded
	}
	if nw.OutageEnded > 0 && fo.avail.refutes(now, span) && fo.tells() {
		fo.tellAvailability()
	}
	fo.avail.hear(now, span, nw.OutageEnded > 0, nw.Teller)
	return fo.announce()
}

// tellAvailability tells the others for how long the store has answered. The news end
// where the topic begins, so that nobody takes them for a read. The lock is held.
func (fo *Follower) tellAvailability() {
	begin := Position(EraOf(fo.next), 0)
	fo.tell(News{From: begin, Next: begin})
}

// noteFailed notes a call that the store did not answer.
func (fo *Follower) noteFailed() {
	fo.mu.Lock()
	fo.avail.fail(fo.now())
	fo.announce()
	fo.mu.Unlock()
	if fo.OnFailure != nil {
		fo.OnFailure()
	}
}

// announce passes on the newest outage if it has changed, and tells whether the one
// before was refuted. The lock is held.
func (fo *Follower) announce() (refuted bool) {
	ou := fo.avail.outage()
	if ou == fo.told {
		return false
	}
	refuted = ou.Until < fo.told.Until
	fo.told = ou
	if fo.OnOutage != nil {
		fo.OnOutage(ou)
	}
	return refuted
}

// pause is the pause before the next read, which is shorter where the grace period
// after an outage ends before.
func (fo *Follower) pause() clock.Millis {
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
	ou := fo.avail.outage()
	if fo.Grace == 0 || ou == (Outage{}) {
		return 0
	}
	return ou.Until + fo.Grace
}
