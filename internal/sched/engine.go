package sched

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// Bounds of what is kept for one engine.
const (
	prefixesKept    = 64   // recent prompt prefixes of one prefill engine
	learnRate       = 0.2  // weight of a new measurement of an engine's rate
	outstandingMost = 2    // patient prefills sent to one engine and not complete
	linkPart        = 0.85 // part of the keep that a transfer may take
	mendRate        = 0.01 // of the way back to the usual rate, each report
	lostToClose     = 2    // requests lost in a row that close an engine
	closedLeast     = clock.Second
	closedMost      = 8 * clock.Second
	reportsKept     = 6 // reports back that a lagging one may tell of
)

type (
	// engine is what a cell accounts for one engine.
	engine struct {
		id      string
		role    board.Role
		gone    bool // no longer listed
		leaving bool
		known   bool         // a report came, or the time to wait for one passed
		opens   clock.Millis // without a report it is taken into use at this point
		closed  clock.Millis // failed: reports do not open it before this point
		lost    int          // requests lost on it in a row
		lostAt  clock.Millis

		// Of a prefill engine.
		base        clock.Millis // point from which pending counts
		pending     float64      // milliseconds of prefill sent and not complete
		quickMS     float64      // the quick part of pending
		outstanding int          // patient prefills among pending
		rate        float64      // prompt tokens per millisecond, learned
		linkRate    float64      // KV cache of prompt tokens per millisecond, learned
		sending     int          // patient transfers on its link
		linkWork    float64      // milliseconds that these take on it
		prefixes    []uint64     // recent prefixes, latest last

		// Of a decode engine.
		slots        int
		held         int // places that this cell gave out
		foreign      int // places that others hold, from reports
		heldMax      [reportsKept]int
		orphans      int
		counted      int // free places that the cell's total includes
		countedSlots int // places that the cell's total includes
	}
)

// free is how many places of a decode engine this cell may give out.
func (eng *engine) free() int {
	if !eng.usable() {
		return 0
	}
	return max(0, eng.slots-eng.held-eng.foreign)
}

func (eng *engine) usable() bool { return eng.known && !eng.gone && !eng.leaving }

// readyAt is when a prefill engine will have done all that was sent to it.
func (eng *engine) readyAt() float64 { return float64(eng.base) + eng.pending }

// quickReadyAt is when it would begin a quick prefill, which passes patient
// ones at the end of the chunk that runs.
func (eng *engine) quickReadyAt(chunk int) float64 {
	return float64(eng.base) + eng.quickMS + min(eng.pending-eng.quickMS, float64(chunk)/eng.rate)
}

func (eng *engine) sent(now clock.Millis, jb *job) {
	if eng.pending <= 0 || eng.base > now {
		eng.base = now
	}
	eng.pending += jb.prefillMS
	if jb.ask.Quick {
		eng.quickMS += jb.prefillMS
	} else {
		eng.outstanding++
	}
}

// done takes a prefill off the engine, complete or not.
func (eng *engine) done(now clock.Millis, jb *job) {
	eng.base = now
	eng.pending = max(0, eng.pending-jb.prefillMS)
	if jb.ask.Quick {
		eng.quickMS = max(0, eng.quickMS-jb.prefillMS)
	} else {
		eng.outstanding--
	}
	if eng.outstanding == 0 && eng.quickMS == 0 {
		eng.pending = 0
	}
}

// learnPrefill takes a measured prefill into the engine's rate.
func (eng *engine) learnPrefill(tokens int, took clock.Millis) {
	if took > 0 && tokens >= 256 {
		eng.rate += learnRate * (near(float64(tokens)/float64(took), eng.rate) - eng.rate)
	}
}

// learnLink takes a measured transfer into the link's rate.
func (eng *engine) learnLink(tokens int, took clock.Millis) {
	if took > 0 && tokens >= 2048 {
		eng.linkRate += learnRate * (near(float64(tokens)/float64(took), eng.linkRate) - eng.linkRate)
	}
}

// near keeps one odd measurement, as of a prefix that was cached unknown to
// the cell, within a factor of two.
func near(measured, known float64) float64 { return min(2*known, max(known/2, measured)) }

// slowLink notes that a transfer is not complete after a span.
func (eng *engine) slowLink(tokens int, spent clock.Millis) {
	if spent > 0 && tokens >= 2048 {
		eng.linkRate = min(eng.linkRate, float64(tokens)/float64(spent))
	}
}

// beginSend puts a patient transfer on the link.
func (eng *engine) beginSend(linkMS float64) {
	eng.sending++
	eng.linkWork += linkMS
}

// endSend takes it off, complete or not.
func (eng *engine) endSend(linkMS float64) {
	eng.sending--
	eng.linkWork -= linkMS
	if eng.sending == 0 {
		eng.linkWork = 0
	}
}

// carries tells whether the link moves a prompt's KV cache well before it
// lapses.
func (eng *engine) carries(tokens int, keep clock.Millis) bool {
	return float64(tokens)/eng.linkRate <= linkPart*float64(keep)
}

// mendLink lets a slow link be tried again after a while.
func (eng *engine) mendLink(usual float64) {
	if eng.linkRate < usual {
		eng.linkRate += mendRate * (usual - eng.linkRate)
	}
}

func (eng *engine) hasPrefix(hash uint64) bool {
	for _, px := range eng.prefixes {
		if px == hash {
			return true
		}
	}
	return false
}

// keepPrefix notes that the engine computed the prefix and tells which one
// it pushed out, if any.
func (eng *engine) keepPrefix(hash uint64) (dropped uint64) {
	for ix, px := range eng.prefixes {
		if px == hash {
			eng.prefixes = append(append(eng.prefixes[:ix:ix], eng.prefixes[ix+1:]...), hash)
			return 0
		}
	}
	eng.prefixes = append(eng.prefixes, hash)
	if len(eng.prefixes) > prefixesKept {
		dropped = eng.prefixes[0]
		eng.prefixes = append([]uint64(nil), eng.prefixes[1:]...)
	}
	return dropped
}

// reconcile compares a report with the engine's own accounting. A report
// lags: only what exceeds the most that this cell held during the last few
// reports is held by others.
func (eng *engine) reconcile(now clock.Millis, ld board.LoadReport) {
	eng.known = eng.known || now >= eng.closed
	eng.leaving = eng.leaving || ld.Leaving
	if ld.Slots > 0 {
		eng.slots = ld.Slots
	}
	eng.foreign = max(0, ld.Running-max(eng.held, slices.Max(eng.heldMax[:])))
	copy(eng.heldMax[:], eng.heldMax[1:])
	eng.heldMax[reportsKept-1] = eng.held
}

// fail notes that a request was lost on the engine and tells whether it is
// closed for a while: after the second in a row within a short time, for
// longer each time.
func (eng *engine) fail(now clock.Millis) bool {
	if now-eng.lostAt > closedMost {
		eng.lost = 0
	}
	eng.lost++
	eng.lostAt = now
	if eng.lost < lostToClose || !eng.known {
		return false
	}
	eng.close(now + min(closedMost, closedLeast<<min(eng.lost-lostToClose, 4)))
	return true
}

// close takes the engine out of use up to a point.
func (eng *engine) close(until clock.Millis) {
	eng.known = false
	eng.closed = until
	eng.opens = until + reportGrace
}

// hold changes the count of places given out.
func (eng *engine) hold(by int) {
	eng.held += by
	last := &eng.heldMax[reportsKept-1]
	*last = max(*last, eng.held)
}
