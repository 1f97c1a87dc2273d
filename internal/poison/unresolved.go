package poison

import (
	"slices"

	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

const (
	// unclearTTL is how long a call counts whose server may have crashed: as long as a
	// crash.
	unclearTTL = suspect.DefaultTTL
	// maxUnresolved bounds the marks with unresolved calls.
	maxUnresolved = 1024
)

// unresolved describes the calls under a mark that broke and of which it is not known
// whether their servers crashed.
type unresolved struct {
	probing int          // calls whose servers are being probed
	unclear bool         // there is a call with an unclear result
	until   clock.Millis // time until which it counts
}

func (un unresolved) counts(now clock.Millis) bool {
	return un.probing > 0 || un.unclear && now < un.until
}

// HasUnresolved reports whether calls broke of which it is not known whether their servers
// crashed.
func (gd *Guard) HasUnresolved() bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return len(gd.unresolved) > 0
}

// hasUnresolved reports whether there are such calls under one of the marks of a request.
// The lock is held.
func (gd *Guard) hasUnresolved(now clock.Millis, ms suspect.Marks) bool {
	return slices.ContainsFunc(gd.unansweredMarks(now, ms), func(mk suspect.Mark) bool { return gd.unresolved[mk].counts(now) })
}

// unansweredMarks returns the marks of a request without the parts that an answer clears.
// The lock is held.
func (gd *Guard) unansweredMarks(now clock.Millis, ms suspect.Marks) []suspect.Mark {
	return append(gd.suspects.Unanswered(now, ms.Parts), ms.Request)
}

// beginProbe records that a call of a request broke and that its server is being probed.
// It returns the marks for endProbe and how long the request waits for the result.
func (gd *Guard) beginProbe(ms suspect.Marks) (marks []suspect.Mark, wait clock.Millis) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	now := gd.now()
	wait = probeWait
	if gd.suspects.Suspected(now, ms) || gd.hasUnresolved(now, ms) {
		wait = max(probeWait, gd.RepeatWait)
	}
	for _, mk := range gd.unansweredMarks(now, ms) {
		un, found := gd.unresolved[mk]
		if !found && len(gd.unresolved) >= maxUnresolved {
			continue
		}
		un.probing++
		gd.unresolved[mk] = un
		marks = append(marks, mk)
	}
	return marks, wait
}

// endProbe records that the result of a probe is known and has been recorded.
func (gd *Guard) endProbe(marks []suspect.Mark, unclear bool) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	now := gd.now()
	for _, mk := range marks {
		un := gd.unresolved[mk]
		un.probing--
		if unclear {
			un.unclear, un.until = true, now+unclearTTL
		}
		gd.keep(mk, un, now)
	}
}

// settle drops the calls with an unclear result under marks of a request that was
// answered. The lock is held.
func (gd *Guard) settle(marks []suspect.Mark) {
	for _, mk := range marks {
		if un, found := gd.unresolved[mk]; found {
			un.unclear = false
			gd.keep(mk, un, gd.now())
		}
	}
}

// keep stores what is unresolved under a mark. The lock is held.
func (gd *Guard) keep(mk suspect.Mark, un unresolved, now clock.Millis) {
	if un.counts(now) {
		gd.unresolved[mk] = un
	} else {
		delete(gd.unresolved, mk)
	}
}
