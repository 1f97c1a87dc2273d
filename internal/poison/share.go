package poison

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"alderdyke/internal/event"
	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

const (
	// repeatDelay is the time after which a crash is broadcast once more, because a
	// datagram may be lost and the caller retries half a second later.
	repeatDelay = 100 * clock.Millis(1)
	// shareInterval is how often known crashes are broadcast again, and maxShared the
	// maximum number at a time: the crashes of four crashing requests.
	shareInterval = 500 * clock.Millis(1)
	maxShared     = 12
	// maxSnapshot bounds the crashes that a starting VM receives.
	maxSnapshot = 64
	// accusationInterval is how often VMs report or refute crashes under one part again.
	accusationInterval = clock.Second
	// unreportedTTL is how long a crash of a request that was not reported is kept for
	// its next one.
	unreportedTTL = clock.Minute
	// feedbackWindow is the longest time in which a VM objects. It is several times as
	// long as a datagram takes to all VMs.
	feedbackWindow = 100 * clock.Millis(1)
	// broadcastRate, per second, and broadcastBurst limit the crashes that one VM
	// broadcasts, so that the loss of a failure domain does not fill the links between
	// VMs with evidence of little weight.
	broadcastRate  = 20
	broadcastBurst = 64
)

// broadcast sends a report to the other VMs, and once more soon after. Crashes are
// limited, and what clears a request is not.
func (gd *Guard) broadcast(re suspect.Report) {
	if gd.Broadcast == nil {
		return
	}
	if en, ok := re.(suspect.Crash); ok && !en.Retracted && !gd.broadcastLimit.Allow() {
		gd.countReport(reportDropped)
		return
	}
	gd.countReport(reportSent)
	gd.Broadcast(re)
	time.AfterFunc(repeatDelay.Std(), func() { gd.Broadcast(delayed(re, repeatDelay)) })
}

// delayed returns a report that is sent some time later.
func delayed(re suspect.Report, by clock.Millis) suspect.Report {
	switch re := re.(type) {
	case suspect.Crash:
		re.Age += by
		return re
	case suspect.Answer:
		re.Age += by
		return re
	default:
		return re
	}
}

// object tells the other VMs that requests with these parts were answered, because one of
// them reported a crash of such a request and does not know that. Many VMs may know it:
// each waits for a random time, and sends nothing if another VM was first. The times are
// distributed so that few VMs send in a fleet of any size.
func (gd *Guard) object(parts []suspect.Mark) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	now := gd.now()
	var due []suspect.Mark
	for _, mk := range parts {
		if last, found := gd.lastObjection[mk]; !found || now >= last+accusationInterval {
			gd.lastObjection[mk] = now
			due = append(due, mk)
		}
	}
	if len(due) == 0 || gd.Broadcast == nil {
		return
	}
	time.AfterFunc(feedbackDelay(gd.livingVMs(), rand.Float64()).Std(), func() { gd.sendObjection(due, now) })
}

// sendObjection sends what is still known of the parts, except for those of which
// another VM has reported an answer since.
func (gd *Guard) sendObjection(parts []suspect.Mark, since clock.Millis) {
	gd.mu.Lock()
	parts = slices.DeleteFunc(parts, func(mk suspect.Mark) bool {
		last, found := gd.lastAnswer[mk]
		return found && last >= since
	})
	an := gd.suspects.Answered(gd.now(), parts)
	gd.mu.Unlock()
	if len(an.Parts) > 0 {
		gd.broadcast(an)
	}
}

// feedbackDelay returns the time after which one of a number of VMs answers what all of
// them could, for a random number from 0 to 1. Its distribution is exponential and cut
// off, which is the usual one for feedback suppression.
func feedbackDelay(vms int, random float64) clock.Millis {
	if vms <= 2 {
		return 0
	}
	return clock.Millis(float64(feedbackWindow) * math.Log(1+random*float64(vms-1)) / math.Log(float64(vms)))
}

// accuseAgain reports a crash of requests with a refused part once more if no VM did so
// recently, so that a VM that knows an answer objects. The lock is held.
func (gd *Guard) accuseAgain(mk suspect.Mark) {
	now := gd.now()
	last, found := gd.lastAccusation[mk]
	list := gd.suspects.CrashesOf(now, mk)
	if gd.Broadcast == nil || found && now < last+accusationInterval || len(list) == 0 || len(list[0].Parts) == 0 {
		return
	}
	gd.lastAccusation[mk] = now
	go gd.Broadcast(list[len(list)-1])
}

// forgetOld drops what is known of reports that no decision depends on any more.
func (gd *Guard) forgetOld() {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	now := gd.now()
	maps.DeleteFunc(gd.unresolved, func(_ suspect.Mark, un unresolved) bool { return !un.counts(now) })
	maps.DeleteFunc(gd.unreported, func(_ suspect.Mark, one unreportedCrash) bool { return now >= one.at+unreportedTTL })
	for _, times := range []map[suspect.Mark]clock.Millis{gd.lastAccusation, gd.lastAnswer, gd.lastObjection} {
		maps.DeleteFunc(times, func(_ suspect.Mark, at clock.Millis) bool { return now >= at+accusationInterval })
	}
}

// livingVMs returns the number of live VMs, including this one.
func (gd *Guard) livingVMs() int {
	if gd.VMs == nil {
		return 1
	}
	return max(1, gd.VMs())
}

// Snapshot returns the crashes for a VM that has just started.
func (gd *Guard) Snapshot() []suspect.Crash {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.suspects.Snapshot(gd.now(), maxSnapshot)
}

// Share broadcasts the known crashes at intervals, until the context ends, because VMs
// that were cut off have missed them. In each interval, one VM of the fleet on average
// does so, chosen at random.
func (gd *Guard) Share(ctx context.Context) {
	gd.init()
	for clock.Sleep(ctx, shareInterval) {
		gd.expire()
		gd.forgetOld()
		for _, en := range gd.crashesToShare() {
			gd.Broadcast(en)
		}
		gd.reprobe(ctx)
	}
}

// expire drops expired crashes and logs the requests that are no longer refused.
func (gd *Guard) expire() {
	gd.mu.Lock()
	released := gd.suspects.Expire(gd.now())
	gd.mu.Unlock()
	for _, mk := range released {
		gd.Log.Log(event.RelayReleased, event.F("Mark", mk.String()), event.F("After", suspect.DefaultTTL.String()))
	}
}

// crashesToShare returns the crashes to broadcast in this interval, or nil if this VM
// was not chosen. Each VM chooses itself with a probability of one over their number.
func (gd *Guard) crashesToShare() []suspect.Crash {
	vms := gd.livingVMs()
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.Broadcast == nil || !gd.suspects.HasSuspects() || rand.IntN(vms) > 0 {
		return nil
	}
	return gd.suspects.Strongest(gd.now(), maxShared)
}
