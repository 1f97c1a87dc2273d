package sched

import (
	"slices"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Bounds of admission.
const (
	retrySoonest   = 250 * clock.Millis(1)
	retryLatest    = 60 * clock.Second
	fewestQueued   = 8    // places in the queue that any group has
	patientMargin  = 1.0  // part of the target that the expected wait may take
	weightedMargin = 0.05 // part less at a weight of 1
	idleAfter      = 10 * clock.Second
)

// submit admits a request, refuses it, or lets it wait.
func (ce *Cell) submit(now clock.Millis, ask Ask) {
	if old, ok := ce.jobs[ask.Request]; ok {
		ce.forget(now, old)
	}
	gp := ce.group(ask)
	gp.arrivals.add(now, 1)
	jb := ce.newJob(now, ask, gp)
	jb.began = ask.Attempt > 0
	if rf, refused := ce.inadmissible(now, jb); refused {
		if jb.began {
			rf = rf.WithRan(refusal.MayHaveRun)
		}
		ce.emit(Refuse{Request: ask.Request, Refusal: rf})
		return
	}
	ce.jobs[ask.Request] = jb
	gp.enqueue(jb)
	ce.queued++
}

func (ce *Cell) newJob(now clock.Millis, ask Ask, gp *group) *job {
	jb := &job{ask: ask, grp: gp, arrived: now, since: now, due: now + ask.TTFT - ask.TPOT - ce.Ways, tokens: ask.PromptTokens}
	if ask.Deadline > 0 {
		jb.due = min(jb.due, ask.Deadline)
	}
	rate, link := ce.PrefillRate, ce.LinkRate
	if eng := ce.prefills.best(); eng != nil {
		rate, link = eng.rate, eng.linkRate
	}
	jb.prefillMS = float64(jb.tokens) / rate
	jb.linkMS = float64(ask.PromptTokens) / link
	jb.holdMS = gp.holdMS
	return jb
}

// group finds or makes the group of a request and takes its class's current
// settings.
func (ce *Cell) group(ask Ask) *group {
	key := groupKey{ask.Customer, ask.Class}
	gp, ok := ce.groups[key]
	if !ok {
		gp = &group{key: key, holdMS: expectHold(ask),
			arrivals: rate{memory: arrivalMemory}, prefill: rate{memory: prefillMemory}}
		ce.groups[key] = gp
	}
	if !gp.listed {
		gp.listed = true
		ce.order = append(ce.order, gp)
	}
	gp.quick = ask.Quick
	gp.weight = min(1, max(0, ask.PrefillWeight))
	gp.share = ask.Share
	if gp.share <= 0 {
		gp.share = 0.01
	}
	return gp
}

// inadmissible tells whether a request is refused at once, and why.
func (ce *Cell) inadmissible(now clock.Millis, jb *job) (refusal.Refusal, bool) {
	gp := jb.grp
	switch {
	case gp.queued() >= max(fewestQueued, int(float64(ce.QueueBound)*min(1, gp.share))),
		ce.queued >= 2*ce.QueueBound:
		return notRun(refusal.QueueFull, clock.Millis(ce.patientWait(now, gp)/2), "the queue is full"), true
	case jb.ask.Deadline > 0 && float64(now)+jb.prefillMS+jb.linkMS > float64(jb.ask.Deadline):
		return notRun(refusal.DeadlinePassed, 0, "too late to begin"), true
	case ce.isClosed():
		return ce.closedInadmissible(now, jb)
	case gp.quick:
		return ce.quickInadmissible(now, jb)
	}
	wait := ce.patientWait(now, gp)
	margin := patientMargin - weightedMargin*gp.weight
	if over := wait + jb.prefillMS + jb.linkMS - margin*float64(jb.due-now); over > 0 && wait > 0 {
		return notRun(refusal.TargetUnreachable, clock.Millis(over), "the queue is longer than the target"), true
	}
	return refusal.Refusal{}, false
}

// quickInadmissible refuses a quick request whose target is out of reach.
func (ce *Cell) quickInadmissible(now clock.Millis, jb *job) (refusal.Refusal, bool) {
	eng := ce.quicks.best()
	ready := max(0, eng.quickReadyAt(ce.Chunk)-float64(now)) + jb.prefillMS
	over := float64(now) + ready + jb.linkMS - float64(jb.due)
	if over > 0 {
		return notRun(refusal.TargetUnreachable, clock.Millis(over), "prefill engines are busy"), true
	}
	ahead := float64(ce.promised[1] + jb.grp.queued() + 1 - ce.free)
	if wait := ahead / max(ce.hazard[0]+ce.hazard[1], 1e-6); ahead > 0 && wait > float64(jb.due-now) {
		return notRun(refusal.TargetUnreachable, clock.Millis(wait), "decode engines are full"), true
	}
	return refusal.Refusal{}, false
}

// notRun makes a refusal of a request that was never sent to an engine.
func notRun(why refusal.Reason, after clock.Millis, detail string) refusal.Refusal {
	if why != refusal.DeadlinePassed {
		after = min(retryLatest, max(retrySoonest, after))
	}
	return refusal.Refusal{Ran: refusal.NotRun, Reason: why, RetryAfter: after, Detail: detail}
}

// expire refuses waiting requests that can't meet what they need any more
// and sets patient ones past their target apart.
func (ce *Cell) expire(now clock.Millis) {
	ce.order = slices.DeleteFunc(ce.order, func(gp *group) bool {
		gp.listed = gp.wants() || gp.held > 0 || now-gp.arrivals.at < idleAfter
		return !gp.listed
	})
	for _, gp := range ce.order {
		ce.steps++
		for len(gp.waiting) > 0 {
			jb := gp.waiting[0]
			if float64(now)+jb.prefillMS+jb.linkMS <= float64(jb.due) {
				break
			}
			ce.steps++
			if gp.quick || jb.ask.Deadline <= 0 {
				ce.refuse(now, jb, refusal.TargetUnreachable)
				continue
			}
			gp.waiting = gp.waiting[1:]
			gp.late = insertBy(gp.late, jb, func(ja *job) clock.Millis { return ja.ask.Deadline })
		}
		for len(gp.late) > 0 {
			jb := gp.late[0]
			if float64(now)+jb.prefillMS+jb.linkMS+jb.holdMS <= float64(jb.ask.Deadline) {
				break
			}
			ce.refuse(now, jb, refusal.DeadlinePassed)
		}
	}
}

// refuse ends a waiting request. One that was granted before may have been
// run in part, but no engine holds or answers it any more.
func (ce *Cell) refuse(now clock.Millis, jb *job, why refusal.Reason) {
	gp := jb.grp
	if gp.quick && !ce.isClosed() && gp.usage(now, ce.slots, ce.prefills.Len()) >= gp.share {
		why = refusal.ShareExceeded
	}
	after := clock.Millis(ce.patientWait(now, gp))
	rf := notRun(why, max(after, retrySoonest), "waited, and no place came in time")
	if jb.began {
		rf = rf.WithRan(refusal.MayHaveRun)
	}
	ce.emit(Refuse{Request: jb.ask.Request, Refusal: rf})
	ce.forget(now, jb)
}
