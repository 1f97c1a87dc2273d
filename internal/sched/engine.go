package sched

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// Bounds on the per-engine accounting.
const (
	maxPrefixes       = 64   // recent prompt prefixes kept per prefill engine
	rateWeight        = 0.2  // weight of a new measurement in an engine's learned rate
	maxPendingPatient = 2    // patient prefills sent to one engine and not complete
	maxLinkShare      = 0.85 // share of the KV cache's TTL that a transfer may take
	linkRecoveryRate  = 0.01 // share of the gap to the default link rate that is recovered per report
	lossesToClose     = 2    // consecutive losses that close an engine
	minClosed         = clock.Second
	maxClosed         = 8 * clock.Second
	reportHistory     = 6 // reports by which the state that an engine reports may lag behind
)

type (
	// engine is the cell's accounting for one engine.
	engine struct {
		id          string
		role        board.Role
		delisted    bool // not in the list of backend servers
		leaving     bool
		open        bool         // takes new work: it has reported, or the grace period has passed
		opensAt     clock.Millis // without a report it is opened at this time
		closedUntil clock.Millis // after losses or a rest; reports do not open it before this time
		losses      int          // consecutive requests lost on it
		lastLossAt  clock.Millis

		// Fields of a prefill engine.
		pendingFrom      clock.Millis // time from which pendingMS counts
		pendingMS        float64      // milliseconds of prefill sent and not complete
		pendingQuickMS   float64      // quick share of pendingMS
		pendingPatient   int          // number of patient prefills in pendingMS
		prefillRate      float64      // learned, in prompt tokens per millisecond
		linkRate         float64      // learned, in prompt tokens of KV cache per millisecond
		activeTransfers  int          // patient transfers on its link
		activeTransferMS float64      // expected duration of those transfers on the link
		prefixes         []uint64     // recent prefixes, latest last

		// Fields of a decode engine.
		slots        int
		held         int                // slots that this cell has assigned
		heldByOthers int                // slots held by others, from reports
		recentHeld   [reportHistory]int // maximum of held between reports, latest last
		orphans      int                // of held, requests whose runner has failed
		countedFree  int                // free slots included in the cell's total
		countedSlots int                // slots included in the cell's total
	}
)

// free returns the number of slots of a decode engine that this cell may assign.
func (eng *engine) free() int {
	if !eng.usable() {
		return 0
	}
	return max(0, eng.slots-eng.held-eng.heldByOthers)
}

func (eng *engine) usable() bool { return eng.open && !eng.delisted && !eng.leaving }

// readyAt returns when a prefill engine completes all prefills sent to it.
func (eng *engine) readyAt() float64 { return float64(eng.pendingFrom) + eng.pendingMS }

// quickReadyAt returns when the engine could start a quick prefill, which overtakes
// patient prefills at the end of the current chunk.
func (eng *engine) quickReadyAt(chunk int) float64 {
	return float64(eng.pendingFrom) + eng.pendingQuickMS + min(eng.pendingMS-eng.pendingQuickMS, float64(chunk)/eng.prefillRate)
}

// addPrefill accounts for a prefill that is sent to the engine.
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

// removePrefill removes a prefill from the accounting, whether complete or not.
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

// learnPrefill updates the engine's prefill rate with a measured prefill.
func (eng *engine) learnPrefill(tokens int, took clock.Millis) {
	if took > 0 && tokens >= 256 {
		eng.prefillRate += rateWeight * (clampMeasurement(float64(tokens)/float64(took), eng.prefillRate) - eng.prefillRate)
	}
}

// learnLink updates the link rate with a measured transfer.
func (eng *engine) learnLink(tokens int, took clock.Millis) {
	if took > 0 && tokens >= 2048 {
		eng.linkRate += rateWeight * (clampMeasurement(float64(tokens)/float64(took), eng.linkRate) - eng.linkRate)
	}
}

// clampMeasurement limits a measurement to within a factor of two of the learned rate,
// so that an outlier counts little, such as a prefix that was cached without the cell's
// knowledge.
func clampMeasurement(measured, known float64) float64 { return min(2*known, max(known/2, measured)) }

// capLinkRate lowers the link rate for a transfer that is still incomplete after the
// given time.
func (eng *engine) capLinkRate(tokens int, spent clock.Millis) {
	if spent > 0 && tokens >= 2048 {
		eng.linkRate = min(eng.linkRate, float64(tokens)/float64(spent))
	}
}

// addTransfer accounts for a patient transfer on the link.
func (eng *engine) addTransfer(linkMS float64) {
	eng.activeTransfers++
	eng.activeTransferMS += linkMS
}

// removeTransfer ends the accounting for a transfer, whether complete or not.
func (eng *engine) removeTransfer(linkMS float64) {
	eng.activeTransfers--
	eng.activeTransferMS -= linkMS
	if eng.activeTransfers == 0 {
		eng.activeTransferMS = 0
	}
}

// linkCarries reports whether the link moves a prompt's KV cache well before the cache
// expires.
func (eng *engine) linkCarries(tokens int, ttl clock.Millis) bool {
	return float64(tokens)/eng.linkRate <= maxLinkShare*float64(ttl)
}

// recoverLinkRate slowly raises a low link rate, so that a slow link is tried again.
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

// rememberPrefix records that the engine computed the prefix and returns the prefix
// that was evicted for it, or zero.
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

// reconcile compares a report with the cell's own accounting. Reports lag: only load
// above the maximum that this cell held during the last few reports belongs to others.
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

// recordLoss records that a request was lost on the engine and reports whether the
// engine is closed for a while: from the second consecutive loss within a short time,
// for longer each time.
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

// closeUntil gives the engine no new work until the given time.
func (eng *engine) closeUntil(until clock.Millis) {
	eng.open = false
	eng.closedUntil = until
	eng.opensAt = until + reportGrace
}

// addHeld changes the number of assigned slots.
func (eng *engine) addHeld(by int) {
	eng.held += by
	last := &eng.recentHeld[reportHistory-1]
	*last = max(*last, eng.held)
}
