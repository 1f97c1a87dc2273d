package sched

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// Bounds of what is kept for one engine.
const (
	maxPrefixes       = 64   // recent prompt prefixes of one prefill engine
	rateWeight        = 0.2  // weight of a new measurement of an engine's rate
	maxPendingPatient = 2    // patient prefills sent to one engine and not complete
	maxLinkShare      = 0.85 // part of the keep that a transfer may take
	linkRecoveryRate  = 0.01 // of the way back to the usual rate, each report
	lossesToClose     = 2    // requests lost in a row that close an engine
	minClosed         = clock.Second
	maxClosed         = 8 * clock.Second
	reportHistory     = 6 // reports back that a lagging one may tell of
)

type (
	// engine is what a cell accounts for one engine.
	engine struct {
		id          string
		role        board.Role
		delisted    bool // no longer listed
		leaving     bool
		open        bool         // a report came, or the time to wait for one passed
		opensAt     clock.Millis // without a report it is taken into use at this point
		closedUntil clock.Millis // failed: reports do not open it before this point
		losses      int          // requests lost on it in a row
		lastLossAt  clock.Millis

		// Of a prefill engine.
		pendingFrom      clock.Millis // point from which pending counts
		pendingMS        float64      // milliseconds of prefill sent and not complete
		pendingQuickMS   float64      // the quick part of pending
		pendingPatient   int          // patient prefills among pending
		prefillRate      float64      // prompt tokens per millisecond, learned
		linkRate         float64      // KV cache of prompt tokens per millisecond, learned
		activeTransfers  int          // patient transfers on its link
		activeTransferMS float64      // milliseconds that these take on it
		prefixes         []uint64     // recent prefixes, latest last

		// Of a decode engine.
		slots        int
		held         int // places that this cell gave out
		heldByOthers int // places that others hold, from reports
		recentHeld   [reportHistory]int
		orphans      int
		countedFree  int // free places that the cell's total includes
		countedSlots int // places that the cell's total includes
	}
)

// free is how many places of a decode engine this cell may give out.
func (eng *engine) free() int {
	if !eng.usable() {
		return 0
	}
	return max(0, eng.slots-eng.held-eng.heldByOthers)
}

func (eng *engine) usable() bool { return eng.open && !eng.delisted && !eng.leaving }

// readyAt is when a prefill engine will have done all that was sent to it.
func (eng *engine) readyAt() float64 { return float64(eng.pendingFrom) + eng.pendingMS }

// quickReadyAt is when it would begin a quick prefill, which passes patient
// ones at the end of the chunk that runs.
func (eng *engine) quickReadyAt(chunk int) float64 {
	return float64(eng.pendingFrom) + eng.pendingQuickMS + min(eng.pendingMS-eng.pendingQuickMS, float64(chunk)/eng.prefillRate)
}

func (eng *engine) addPrefill(now clock.Millis, jb *job) {
	if eng.pendingMS <= 0 || eng.pendingFrom > now {
		eng.pendingFrom = now
	}
	eng.pendingMS += jb.prefillMS
	if jb.spec.Quick {
		eng.pendingQuickMS += jb.prefillMS
	} else {
		eng.pendingPatient++
	}
}

// removePrefill takes a prefill off the engine, complete or not.
func (eng *engine) removePrefill(now clock.Millis, jb *job) {
	eng.pendingFrom = now
	eng.pendingMS = max(0, eng.pendingMS-jb.prefillMS)
	if jb.spec.Quick {
		eng.pendingQuickMS = max(0, eng.pendingQuickMS-jb.prefillMS)
	} else {
		eng.pendingPatient--
	}
	if eng.pendingPatient == 0 && eng.pendingQuickMS == 0 {
		eng.pendingMS = 0
	}
}

// learnPrefill takes a measured prefill into the engine's rate.
func (eng *engine) learnPrefill(tokens int, took clock.Millis) {
	if took > 0 && tokens >= 256 {
		eng.prefillRate += rateWeight * (clampMeasurement(float64(tokens)/float64(took), eng.prefillRate) - eng.prefillRate)
	}
}

// learnLink takes a measured transfer into the link's rate.
func (eng *engine) learnLink(tokens int, took clock.Millis) {
	if took > 0 && tokens >= 2048 {
		eng.linkRate += rateWeight * (clampMeasurement(float64(tokens)/float64(took), eng.linkRate) - eng.linkRate)
	}
}

// clampMeasurement keeps one odd measurement, as of a prefix that was cached unknown to
// the cell, within a factor of two.
func clampMeasurement(measured, known float64) float64 { return min(2*known, max(known/2, measured)) }

// capLinkRate notes that a transfer is not complete after a span.
func (eng *engine) capLinkRate(tokens int, spent clock.Millis) {
	if spent > 0 && tokens >= 2048 {
		eng.linkRate = min(eng.linkRate, float64(tokens)/float64(spent))
	}
}

// addTransfer puts a patient transfer on the link.
func (eng *engine) addTransfer(linkMS float64) {
	eng.activeTransfers++
	eng.activeTransferMS += linkMS
}

// removeTransfer takes it off, complete or not.
func (eng *engine) removeTransfer(linkMS float64) {
	eng.activeTransfers--
	eng.activeTransferMS -= linkMS
	if eng.activeTransfers == 0 {
		eng.activeTransferMS = 0
	}
}

// linkCarries tells whether the link moves a prompt's KV cache well before it
// lapses.
func (eng *engine) linkCarries(tokens int, keep clock.Millis) bool {
	return float64(tokens)/eng.linkRate <= maxLinkShare*float64(keep)
}

// recoverLinkRate lets a slow link be tried again after a while.
func (eng *engine) recoverLinkRate(usual float64) {
	if eng.linkRate < usual {
		eng.linkRate += linkRecoveryRate * (usual - eng.linkRate)
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

// rememberPrefix notes that the engine computed the prefix and tells which one
// it pushed out, if any.
func (eng *engine) rememberPrefix(hash uint64) (dropped uint64) {
	for ix, px := range eng.prefixes {
		if px == hash {
			eng.prefixes = append(append(eng.prefixes[:ix:ix], eng.prefixes[ix+1:]...), hash)
			return 0
		}
	}
	eng.prefixes = append(eng.prefixes, hash)
	if len(eng.prefixes) > maxPrefixes {
		dropped = eng.prefixes[0]
		eng.prefixes = append([]uint64(nil), eng.prefixes[1:]...)
	}
	return dropped
}

// reconcile compares a report with the engine's own accounting. A report
// lags: only what exceeds the most that this cell held during the last few
// reports is held by others.
func (eng *engine) reconcile(now clock.Millis, ld board.LoadReport) {
	eng.open = eng.open || now >= eng.closedUntil
	eng.leaving = eng.leaving || ld.Leaving
	if ld.Slots > 0 {
		eng.slots = ld.Slots
	}
	eng.heldByOthers = max(0, ld.Running-max(eng.held, slices.Max(eng.recentHeld[:])))
	copy(eng.recentHeld[:], eng.recentHeld[1:])
	eng.recentHeld[reportHistory-1] = eng.held
}

// recordLoss notes that a request was lost on the engine and tells whether it is
// closed for a while: after the second in a row within a short time, for
// longer each time.
func (eng *engine) recordLoss(now clock.Millis) bool {
	if now-eng.lastLossAt > maxClosed {
		eng.losses = 0
	}
	eng.losses++
	eng.lastLossAt = now
	if eng.losses < lossesToClose || !eng.open {
		return false
	}
	eng.closeUntil(now + min(maxClosed, minClosed<<min(eng.losses-lossesToClose, 4)))
	return true
}

// closeUntil takes the engine out of use up to a point.
func (eng *engine) closeUntil(until clock.Millis) {
	eng.open = false
	eng.closedUntil = until
	eng.opensAt = until + reportGrace
}

// addHeld changes the count of places given out.
func (eng *engine) addHeld(by int) {
	eng.held += by
	last := &eng.recentHeld[reportHistory-1]
	*last = max(*last, eng.held)
}
