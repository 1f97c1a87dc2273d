package sched

import (
	"slices"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Bounds of admission.
const (
	minRetryAfter     = 250 * clock.Millis(1)
	maxRetryAfter     = 60 * clock.Second
	minQueueBound     = 8    // queue slots that every group has
	maxWaitShare      = 1.0  // share of the target that the expected wait may take
	weightedWaitShare = 0.05 // reduction of that share at a weight of 1
	groupIdleAfter    = 10 * clock.Second
)

// submit queues a request or refuses it.
func (ce *Cell) submit(now clock.Millis, spec RequestSpec) {
	if old, ok := ce.jobs[spec.Request]; ok {
		ce.drop(now, old)
	}
	gp := ce.group(spec)
	gp.arrivals.add(now, 1)
	jb := ce.newJob(now, spec, gp)
	jb.granted = spec.Attempt > 0
	if rf, refused := ce.checkAdmission(now, jb); refused {
		if jb.granted {
			rf = rf.WithRan(refusal.MayHaveRun)
		}
		ce.emit(Refuse{Request: spec.Request, Stream: spec.Stream, Refusal: rf})
		return
	}
	ce.jobs[spec.Request] = jb
	gp.enqueue(jb)
	ce.queued++
}

// newJob returns the job of a request, with the expected durations of its stages.
func (ce *Cell) newJob(now clock.Millis, spec RequestSpec, gp *group) *job {
	jb := &job{spec: spec, grp: gp, arrived: now, since: now, due: now + spec.TTFT - spec.TPOT - ce.MessageDelay, tokens: spec.PromptTokens}
	if spec.Deadline > 0 {
		jb.due = min(jb.due, spec.Deadline)
	}
	rate, link := ce.PrefillRate, ce.LinkRate
	if eng := ce.prefills.best(); eng != nil {
		rate, link = eng.prefillRate, eng.linkRate
	}
	jb.prefillMS = float64(jb.tokens) / rate
	jb.linkMS = float64(spec.PromptTokens) / link
	jb.decodeMS = gp.decodeMS
	return jb
}

// group returns the request's group, creating it if needed, and applies the current
// settings of its class.
func (ce *Cell) group(spec RequestSpec) *group {
	key := groupKey{spec.Customer, spec.Class}
	gp, ok := ce.groups[key]
	if !ok {
		gp = &group{key: key, decodeMS: guessDecodeMS(spec),
			arrivals: rate{timeConstant: arrivalWindow}, prefillUse: rate{timeConstant: prefillWindow}}
		ce.groups[key] = gp
	}
	if !gp.active {
		gp.active = true
		ce.activeGroups = append(ce.activeGroups, gp)
	}
	gp.quick = spec.Quick
	gp.weight = min(1, max(0, spec.PrefillWeight))
	gp.share = spec.Share
	if gp.share <= 0 {
		gp.share = 0.01
	}
	return gp
}

// checkAdmission reports whether a request is refused at once, and with which refusal.
func (ce *Cell) checkAdmission(now clock.Millis, jb *job) (refusal.Refusal, bool) {
	gp := jb.grp
	switch {
	case gp.queued() >= max(minQueueBound, int(float64(ce.QueueBound)*min(1, gp.share))),
		ce.queued >= 2*ce.QueueBound:
		return notRun(refusal.QueueFull, clock.Millis(ce.patientWait(now, gp)/2), "the queue is full"), true
	case jb.spec.Deadline > 0 && float64(now)+jb.prefillMS+jb.linkMS > float64(jb.spec.Deadline):
		return notRun(refusal.DeadlinePassed, 0, "too late to begin"), true
	case ce.isClosed():
		return ce.checkClosedAdmission(now, jb)
	case gp.quick:
		return ce.checkQuickAdmission(now, jb)
	}
	wait := ce.patientWait(now, gp)
	margin := maxWaitShare - weightedWaitShare*gp.weight
	if over := wait + jb.prefillMS + jb.linkMS - margin*float64(jb.due-now); over > 0 && wait > 0 {
		return notRun(refusal.TargetUnreachable, clock.Millis(over), "the queue is longer than the target"), true
	}
	return refusal.Refusal{}, false
}

// checkQuickAdmission refuses a quick request whose target can't be met.
func (ce *Cell) checkQuickAdmission(now clock.Millis, jb *job) (refusal.Refusal, bool) {
	eng := ce.quickPrefills.best()
	ready := max(0, eng.quickReadyAt(ce.Chunk)-float64(now)) + jb.prefillMS
	over := float64(now) + ready + jb.linkMS - float64(jb.due)
	if over > 0 {
		return notRun(refusal.TargetUnreachable, clock.Millis(over), "prefill engines are busy"), true
	}
	ahead := float64(ce.reserved[1] + jb.grp.queued() + 1 - ce.free)
	if wait := ahead / max(ce.endRates[0]+ce.endRates[1], 1e-6); ahead > 0 && wait > float64(jb.due-now) {
		return notRun(refusal.TargetUnreachable, clock.Millis(wait), "decode engines are full"), true
	}
	return refusal.Refusal{}, false
}

// notRun returns a refusal of a request that was never sent to an engine.
func notRun(why refusal.Reason, after clock.Millis, detail string) refusal.Refusal {
	if why != refusal.DeadlinePassed {
		after = min(maxRetryAfter, max(minRetryAfter, after))
	}
	return refusal.Refusal{Ran: refusal.NotRun, Reason: why, RetryAfter: after, Detail: detail}
}

// expireQueued refuses queued requests that can no longer meet their target or
// deadline, and moves patient requests past their target to the late queue.
func (ce *Cell) expireQueued(now clock.Millis) {
	ce.activeGroups = slices.DeleteFunc(ce.activeGroups, func(gp *group) bool {
		gp.active = gp.hasQueued() || gp.held > 0 || now-gp.arrivals.at < groupIdleAfter
		return !gp.active
	})
	for _, gp := range ce.activeGroups {
		ce.steps++
		for len(gp.waiting) > 0 {
			jb := gp.waiting[0]
			if float64(now)+jb.prefillMS+jb.linkMS <= float64(jb.due) {
				break
			}
			ce.steps++
			if gp.quick || jb.spec.Deadline <= 0 {
				ce.refuse(now, jb, refusal.TargetUnreachable)
				continue
			}
			gp.waiting = gp.waiting[1:]
			gp.late = insertBy(gp.late, jb, func(ja *job) clock.Millis { return ja.spec.Deadline })
		}
		for len(gp.late) > 0 {
			jb := gp.late[0]
			if float64(now)+jb.prefillMS+jb.linkMS+jb.decodeMS <= float64(jb.spec.Deadline) {
				break
			}
			ce.refuse(now, jb, refusal.DeadlinePassed)
		}
	}
}

// refuse ends a queued request. A request that was granted before may have been run in
// part, but no engine holds it or will answer it any more.
func (ce *Cell) refuse(now clock.Millis, jb *job, why refusal.Reason) {
	gp := jb.grp
	if gp.quick && !ce.isClosed() && gp.usage(now, ce.slots, ce.prefills.Len()) >= gp.share {
		why = refusal.ShareExceeded
	}
	after := clock.Millis(ce.patientWait(now, gp))
	rf := notRun(why, max(after, minRetryAfter), "waited, and no place came in time")
	if jb.granted {
		rf = rf.WithRan(refusal.MayHaveRun)
	}
	ce.emit(Refuse{Request: jb.spec.Request, Stream: jb.spec.Stream, Refusal: rf})
	ce.drop(now, jb)
}
