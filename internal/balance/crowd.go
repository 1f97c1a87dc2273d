package balance

import (
	"math"

	"alderdyke/pkg/clock"
)

const (
	// waitGain is the weight of a server's word in the wait that is expected at
	// a service: of the five requests that a VM of a large fleet sends it in a
	// second, those of the last half second count for most.
	waitGain = 0.3
	// waitHalfLife is how long it takes until half of the expected wait is forgotten
	// where no server says anything.
	waitHalfLife = 500 * clock.Millis(1)
	// workGain is the weight of an answer in the time that work takes.
	workGain = 0.05
	// maxWaitPart of what an objective leaves beside the work may be expected to be
	// waited at a server before requests are refused. What VMs know is half a
	// second old, in which the line of a burst becomes several times as long. Of
	// 69 VMs' requests at 2.8 times the usual 60 in 100 are answered in time in
	// place of 27 (TestQueueIsKeptShort); half and a fifth of what is left let
	// three and two times as many be late.
	maxWaitPart = 0.1
	// maxWaitPartLight is the same for those who send few, whom others' lines are not to
	// push out: it leaves them in time.
	maxWaitPartLight = 0.4
	// assumedRefusalPart of all requests would be refused where it is asked who sends few.
	assumedRefusalPart = 0.5
	// refusalSlope is how fast refusals rise with the line beyond that: at three
	// times the useful wait all are refused that may be. Twice as fast answers as
	// many in time and refuses 20 to 30 in 1,000 more.
	refusalSlope = 0.5
	// maxRefusalPart is the largest part of requests that is refused by expectation:
	// the others find out whether it is still true.
	maxRefusalPart = 0.9
)

type (
	// Load is what a server tells with an answer of how busy it is.
	Load struct {
		Running, Waiting, Slots int
	}

	// queueEstimate is what a VM expects of the line before a service's servers.
	queueEstimate struct {
		wait float64 // expected, in ms
		work float64 // that a request takes without one, in ms; zero: not known
		at   clock.Millis
	}
)

// observe takes a server's word, which came with an answer that took so long.
func (qe *queueEstimate) observe(now clock.Millis, ld Load, took clock.Millis) {
	if ld.Slots <= 0 {
		return
	}
	if ld.Waiting == 0 && took > 0 {
		if qe.work == 0 {
			qe.work = float64(took)
		}
		qe.work += workGain * (float64(took) - qe.work)
	}
	wait := qe.work * float64(ld.Waiting) / float64(ld.Slots)
	qe.wait = qe.expectedWait(now) + waitGain*(wait-qe.expectedWait(now))
	qe.at = now
}

// expectedWait is the wait that is expectedWait now.
func (qe *queueEstimate) expectedWait(now clock.Millis) float64 {
	return qe.wait * math.Exp2(-float64(now-qe.at)/float64(waitHalfLife))
}

// RefusesForQueue tells whether some requests of a service with an objective are refused
// since the line before its servers is too long.
func (ch *Chooser) RefusesForQueue(now clock.Millis, service string, objective clock.Millis) bool {
	svc := ch.services[service]
	return svc != nil && svc.queue.refusalPart(now, objective, maxWaitPart) > 0
}

// refusalPart is the part of requests with an objective that are better refused at
// once: while more come than servers have places for, all wait in a line that
// makes all of them late, and of as many as can be served each is in time if the
// others are turned away. Up to a part of what the objective leaves beside the work may
// be expected to be waited.
func (qe *queueEstimate) refusalPart(now, objective clock.Millis, waitPart float64) float64 {
	useful := waitPart * (float64(objective) - qe.work)
	if objective <= 0 || qe.work == 0 || useful <= 0 {
		return 0
	}
	return min(maxRefusalPart, max(0, refusalSlope*(qe.expectedWait(now)/useful-1)))
}
