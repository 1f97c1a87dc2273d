package sched

import (
	"math"

	"alderdyke/pkg/clock"
)

// Learning parameters of a group.
const (
	decodeWeight  = 0.03             // weight of one request's decode time
	guessWeight   = 8                // decodes that the initial estimate counts as
	arrivalWindow = 6 * clock.Second // time constant of the arrival rate
	prefillWindow = 2 * clock.Second // time constant of the prefill engine usage
	defaultTPOT   = 35 * clock.Millis(1)
	lateTurnEvery = 4 // if both queues have requests, one start out of this many goes to a late request
)

type (
	groupKey struct{ customer, class string }

	// group holds the requests of one class of one customer.
	group struct {
		key    groupKey
		quick  bool
		share  float64
		weight float64 // cost of wasted prefill relative to goodput, from 0 to 1

		waiting []*job // ordered by due time
		late    []*job // past their target, ordered by deadline
		starts  int    // number of starts, to pick a late request at intervals
		active  bool   // in Cell.activeGroups

		held            int     // assigned and reserved decode slots
		decodeMS        float64 // learned decode time
		measuredDecodes int     // decodes from which decodeMS was learned
		queuedDecodeMS  float64 // expected decode time of the queued requests
		queuedPrefillMS float64 // expected prefill time of the queued requests

		arrivals   rate
		prefillUse rate // prefill milliseconds used per millisecond
	}

	// rate is an exponentially decaying sum, in events per millisecond.
	rate struct {
		timeConstant clock.Millis
		value        float64
		at           clock.Millis
	}

	// job is one request in a cell.
	job struct {
		spec  RequestSpec
		grp   *group
		stage Stage        // empty while queued
		since clock.Millis // when the stage began, or when the runner failed if that was later

		due         clock.Millis // latest time of the first token that meets the target
		arrived     clock.Millis
		expires     clock.Millis // when the KV cache at the prefill engine expires
		tokens      int          // prompt tokens that the prefill computes
		prefillMS   float64      // expected duration of the prefill
		decodeMS    float64      // expected decode time when it was queued
		linkMS      float64      // expected duration of the transfer on the link
		endRate     float64      // expected ends per millisecond while it decodes
		exclusive   bool         // its prefill, or its transfer, had the engine to itself
		orphan      bool         // its runner has failed
		redirected  bool         // its transfer was redirected once
		waitReason  WaitReason   // last reason why its transfer waited
		expirations int          // number of its KV caches that expired
		granted     bool         // granted at least once

		prefill *engine
		decode  *engine
	}
)

// hasQueued reports whether the group has queued requests.
func (gp *group) hasQueued() bool { return len(gp.waiting)+len(gp.late) > 0 }

func (gp *group) queued() int { return len(gp.waiting) + len(gp.late) }

// enqueue inserts a request by due time.
func (gp *group) enqueue(jb *job) {
	gp.waiting = insertBy(gp.waiting, jb, func(ja *job) clock.Millis { return ja.due })
	gp.queuedDecodeMS += jb.decodeMS
	gp.queuedPrefillMS += jb.prefillMS
}

// dequeue removes a request from the queues.
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

// next returns the group's next request to start, or nil: the one that is due first, or
// the late one with the earliest deadline, whose turn comes at intervals and when
// nothing else is queued.
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

// add adds an event of the given size to the rate.
func (rt *rate) add(now clock.Millis, size float64) {
	rt.value = rt.now(now) + size/float64(rt.timeConstant)
	rt.at = now
}

func (rt *rate) now(now clock.Millis) float64 {
	return rt.value * math.Exp(-float64(now-rt.at)/float64(rt.timeConstant))
}

// usage returns the share of the cell that the group uses: of the decode slots or of
// the prefill engines, whichever is larger.
func (gp *group) usage(now clock.Millis, slots, prefills int) float64 {
	ofSlots := float64(gp.held) / float64(max(1, slots))
	ofPrefill := gp.prefillUse.now(now) / float64(max(1, prefills))
	return max(ofSlots, ofPrefill)
}

// learnDecode updates the learned decode time with a measured decode.
func (gp *group) learnDecode(took clock.Millis) {
	gp.measuredDecodes++
	part := max(decodeWeight, 1/float64(gp.measuredDecodes+guessWeight))
	gp.decodeMS += part * (float64(took) - gp.decodeMS)
	gp.decodeMS = max(gp.decodeMS, 1)
}

// guessDecodeMS is the initial estimate of a group's decode time: half of what its
// limit on output tokens allows.
func guessDecodeMS(spec RequestSpec) float64 {
	tpot := spec.TPOT
	if tpot <= 0 {
		tpot = defaultTPOT
	}
	return max(1, float64(spec.MaxTokens)*float64(tpot)/2)
}

// insertBy inserts a request into a list that is sorted by the key, behind equal keys.
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
