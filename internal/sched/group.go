package sched

import (
	"math"

	"alderdyke/pkg/clock"
)

// How a group's habits are learned.
const (
	decodeWeight  = 0.03             // weight of one request's decode time
	guessWeight   = 8                // decodes that the first guess counts for
	arrivalWindow = 6 * clock.Second // time constant of the rate of arrivals
	prefillWindow = 2 * clock.Second // time constant of the use of prefill engines
	defaultTPOT   = 35 * clock.Millis(1)
	lateTurnEvery = 4 // one of so many starts goes to a late request if both wait
)

type (
	groupKey struct{ customer, class string }

	// group is the requests of one class of one customer.
	group struct {
		key    groupKey
		quick  bool
		share  float64
		weight float64 // of wasted prefill against goodput

		waiting []*job // by due point
		late    []*job // past their target, by deadline
		starts  int    // starts, to serve late ones now and then
		active  bool   // in the order of the cell

		held            int     // places in decode engines, promised ones included
		decodeMS        float64 // learned time in decode
		measuredDecodes int     // decodes that the learned time was taken from
		queuedDecodeMS  float64 // decode milliseconds of those that wait
		queuedPrefillMS float64 // prefill milliseconds of those that wait

		arrivals   rate
		prefillUse rate // prefill milliseconds used per millisecond
	}

	// rate is an exponentially decaying sum, as events per millisecond.
	rate struct {
		timeConstant clock.Millis // time constant
		value        float64
		at           clock.Millis
	}

	// job is one request in a cell.
	job struct {
		spec  RequestSpec
		grp   *group
		stage Stage // empty while it waits
		since clock.Millis

		due         clock.Millis // latest first token that meets the target
		arrived     clock.Millis
		expires     clock.Millis // when the KV cache at the prefill engine lapses
		tokens      int          // prompt tokens that the prefill computes
		prefillMS   float64
		decodeMS    float64 // expected decode time when it was queued
		linkMS      float64
		endRate     float64 // expected ends per millisecond while it decodes
		exclusive   bool    // its prefill, or its transfer, had the engine to itself
		orphan      bool
		redirected  bool       // its transfer was sent another way once
		waitReason  WaitReason // what its transfer waited for last
		expirations int        // KV caches that lapsed
		granted     bool       // it was granted at least once

		prefill *engine
		decode  *engine
	}
)

// hasQueued tells whether the group has requests that wait.
func (gp *group) hasQueued() bool { return len(gp.waiting)+len(gp.late) > 0 }

func (gp *group) queued() int { return len(gp.waiting) + len(gp.late) }

// enqueue puts a request in its place by due point.
func (gp *group) enqueue(jb *job) {
	gp.waiting = insertBy(gp.waiting, jb, func(ja *job) clock.Millis { return ja.due })
	gp.queuedDecodeMS += jb.decodeMS
	gp.queuedPrefillMS += jb.prefillMS
}

// dequeue takes a request out of the queues.
func (gp *group) dequeue(jb *job) {
	if len(gp.waiting) > 0 && gp.waiting[0] == jb {
		gp.waiting[0] = nil
		gp.waiting = gp.waiting[1:]
	} else {
		gp.waiting = removeJob(gp.waiting, jb)
		gp.late = removeJob(gp.late, jb)
	}
	gp.queuedDecodeMS = max(0, gp.queuedDecodeMS-jb.decodeMS)
	gp.queuedPrefillMS = max(0, gp.queuedPrefillMS-jb.prefillMS)
}

// next is the request of the group that starts next.
func (gp *group) next() *job {
	switch {
	case len(gp.waiting) == 0 && len(gp.late) == 0:
		return nil
	case len(gp.waiting) == 0, len(gp.late) > 0 && gp.starts%lateTurnEvery == lateTurnEvery-1:
		return gp.late[0]
	default:
		return gp.waiting[0]
	}
}

// add takes an event of some size into the rate.
func (rt *rate) add(now clock.Millis, size float64) {
	rt.value = rt.now(now) + size/float64(rt.timeConstant)
	rt.at = now
}

func (rt *rate) now(now clock.Millis) float64 {
	return rt.value * math.Exp(-float64(now-rt.at)/float64(rt.timeConstant))
}

// usage is the part of the cell that the group uses: of the decode places or
// of the prefill engines, whichever is more.
func (gp *group) usage(now clock.Millis, slots, prefills int) float64 {
	ofSlots := float64(gp.held) / float64(max(1, slots))
	ofPrefill := gp.prefillUse.now(now) / float64(max(1, prefills))
	return max(ofSlots, ofPrefill)
}

// learnDecode takes a measured decode into the expected one.
func (gp *group) learnDecode(took clock.Millis) {
	gp.measuredDecodes++
	part := max(decodeWeight, 1/float64(gp.measuredDecodes+guessWeight))
	gp.decodeMS += part * (float64(took) - gp.decodeMS)
	gp.decodeMS = max(gp.decodeMS, 1)
}

// guessDecodeMS is the first guess of a group's decode time: half of what its
// bound of output tokens allows.
func guessDecodeMS(spec RequestSpec) float64 {
	tpot := spec.TPOT
	if tpot <= 0 {
		tpot = defaultTPOT
	}
	return max(1, float64(spec.MaxTokens)*float64(tpot)/2)
}

func insertBy(jobs []*job, jb *job, key func(*job) clock.Millis) []*job {
	jobs = append(jobs, jb)
	for ix := len(jobs) - 1; ix > 0 && key(jobs[ix-1]) > key(jobs[ix]); ix-- {
		jobs[ix-1], jobs[ix] = jobs[ix], jobs[ix-1]
	}
	return jobs
}

func removeJob(jobs []*job, jb *job) []*job {
	for ix, ja := range jobs {
		if ja == jb {
			return append(jobs[:ix], jobs[ix+1:]...)
		}
	}
	return jobs
}
