package balance

import (
	"math"

	"alderdyke/pkg/clock"
)

const (
	// waitGain is the weight of a server's report in the expected wait of a service.
	// A VM of a large fleet sends it about five requests per second, so the reports
	// of the last half second have the most weight.
	waitGain = 0.3
	// waitHalfLife is the time in which the expected wait halves while no server
	// reports.
	waitHalfLife = 500 * clock.Millis(1)
	// workGain is the weight of an answer in the average service time.
	workGain = 0.05
	// maxWaitPart is the largest expected wait at a server for which no request is
	// refused, as a part of what the objective leaves beyond the service time. The
	// estimate is half a second old, in which the queue of a burst grows several
	// times as long. If 69 VMs send 2.8 times the usual requests, 60 % are answered
	// in time, instead of 27 % without refusals (TestQueueIsKeptShort). With a half
	// or a fifth, three or two times as many are late.
	maxWaitPart = 0.1
	// maxWaitPartLight is the same for senders with few requests. It still lets them
	// be in time, and keeps the queues of other senders from displacing them.
	maxWaitPartLight = 0.4
	// maxWaitPartKnown replaces maxWaitPart where another VM states the wait at the server
	// that it chose. That is a few milliseconds old, so a longer wait than maxWaitPart
	// doesn't announce a much longer one (TestEvenLoad).
	maxWaitPartKnown = 0.2
	// assumedRefusalPart is the part of all requests that is assumed to be refused
	// when it is decided which senders have few requests.
	assumedRefusalPart = 0.5
	// refusalSlope is the increase of the refused part of requests per multiple of the
	// largest accepted wait by which the expected wait exceeds it. At about three times
	// that wait refusals reach their maximum. With twice the slope as many requests are
	// answered in time, and 20 to 30 more in 1,000 are refused.
	refusalSlope = 0.5
	// maxRefusalPart is the largest part of requests that is refused because of the
	// expected wait. The others show whether the estimate still holds.
	maxRefusalPart = 0.9
)

type (
	// Load is the load that a server reports with an answer.
	Load struct {
		Running, Waiting, Slots int
		// Pace is the present service time relative to the usual one, which is 100; zero:
		// not stated.
		Pace int
	}

	// queueEstimate is a VM's estimate of the queue at a service's servers.
	queueEstimate struct {
		wait float64 // expected wait in ms
		work float64 // service time of a request without a queue, in ms; zero: unknown
		at   clock.Millis
	}
)

// observe updates the estimate with a load report and the duration of the answer that
// carried it.
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

// expectedWait returns the expected wait now, in ms.
func (qe *queueEstimate) expectedWait(now clock.Millis) float64 {
	return qe.wait * math.Exp2(-float64(now-qe.at)/float64(waitHalfLife))
}

// RefusesForQueue reports whether some requests of a service with an objective are
// refused because the queue at its servers is too long.
func (ch *Chooser) RefusesForQueue(now clock.Millis, service string, objective clock.Millis) bool {
	svc := ch.services[service]
	return svc != nil && svc.queue.refusalPart(now, objective, maxWaitPart) > 0
}

// refusalPart returns the part of requests with an objective that should be refused at
// once. If more requests arrive than the servers have capacity for, the queue makes
// all of them late. If the excess is refused, all others are answered in time. The
// argument waitPart is the largest acceptable wait as a part of what the objective
// leaves beyond the service time.
func (qe *queueEstimate) refusalPart(now, objective clock.Millis, waitPart float64) float64 {
	return qe.refusalPartFor(qe.expectedWait(now), objective, waitPart)
}

// refusalPartFor is refusalPart for a given wait in ms.
func (qe *queueEstimate) refusalPartFor(wait float64, objective clock.Millis, waitPart float64) float64 {
	useful := waitPart * (float64(objective) - qe.work)
	if objective <= 0 || qe.work == 0 || useful <= 0 {
		return 0
	}
	return min(maxRefusalPart, max(0, refusalSlope*(wait/useful-1)))
}
