package overload

import "alderdyke/pkg/clock"

const (
	// ageTTL is how long a lowest delay is kept that no message confirms. A VM gets a message
	// each few seconds at most, and a tolerance that grows to 240 ms in this time (clockDrift)
	// leaves a message that is late by half a second recognizable.
	ageTTL = 2 * clock.Minute
	// jumpedAfter is how long all messages of a sender may be late before its clock is taken
	// to have jumped. No queue holds messages for so long.
	jumpedAfter = 10 * clock.Second
)

type (
	// Ages measures how old messages of other VMs are when they are handled, by their lowest
	// delay, as a [Filter] does for queries. It serves messages that are too rare for a
	// Filter. The zero value is ready to use.
	Ages struct {
		senders map[string]*ageSender
	}

	// ageSender is what is known of a VM's clock. Fields in its own time end in Sent.
	ageSender struct {
		incarnation uint64
		lowest      clock.Millis // delay, with the difference of the clocks
		lowestSent  clock.Millis // when the message was sent that had it
		lateSent    clock.Millis // since when all messages were late; zero: the last one was not
		seen        clock.Millis
	}
)

// Observe returns the age of a message beyond the lowest delay of its sender, which includes
// this message: that of a sender's first message is zero. A message older than the limit counts as late.
func (ag *Ages) Observe(now, limit clock.Millis, qy Query) (age clock.Millis) {
	delay := now - qy.SentAt
	se := ag.senders[qy.VM]
	if se == nil || se.incarnation != qy.Incarnation || qy.SentAt-se.lowestSent > ageTTL || se.lowestSent-qy.SentAt > ageTTL {
		ag.put(now, qy)
		return 0
	}
	se.seen = now
	age = delay - se.lowest - max(0, qy.SentAt-se.lowestSent)/clockDrift
	switch {
	case age <= 0:
		se.lowest, se.lowestSent, se.lateSent = delay, qy.SentAt, 0
		return 0
	case age <= limit:
		se.lateSent = 0
	case se.lateSent == 0:
		se.lateSent = qy.SentAt
	case qy.SentAt-se.lateSent > jumpedAfter:
		ag.put(now, qy)
		return 0
	}
	return age
}

// put begins to observe a sender anew. It evicts senders that were not seen for a while.
func (ag *Ages) put(now clock.Millis, qy Query) {
	if ag.senders == nil {
		ag.senders = make(map[string]*ageSender)
	}
	if len(ag.senders) >= maxSenders {
		for vm, other := range ag.senders {
			if now-other.seen > clock.Minute {
				delete(ag.senders, vm)
			}
		}
	}
	ag.senders[qy.VM] = &ageSender{incarnation: qy.Incarnation, lowest: now - qy.SentAt, lowestSent: qy.SentAt, seen: now}
}
