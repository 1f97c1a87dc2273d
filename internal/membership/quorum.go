package membership

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// samplingThreshold is the fleet size above which the acks within AckTTL are only
// a sample. A partition that crosses all failure domains is then visible in this
// side's suspicions earlier than in the sample.
const samplingThreshold = 16

type (
	// quorum holds the evidence that this VM reaches a majority of the roster.
	quorum struct {
		samples       []sample // sorted by the time when the probe was sent
		quorate       bool
		lostOnce      bool         // this VM was quorate and lost it
		majoritySince clock.Millis // start of the uninterrupted majority; zero if there is none
		until         clock.Millis // when the majority expires without new acks

		stale   bool // the counts below must be recomputed
		roster  int  // VMs over which a majority is counted, including Self
		alive   int  // of them, those not suspected, including Self
		domains map[string]*tally
	}

	// sample is the latest probe result of one VM. It is dated by when the
	// probe was sent, since an ack proves only that the VM was reached after
	// that point.
	sample struct {
		mb   *member
		sent clock.Millis
		ok   bool
	}

	// tally holds the counts of one failure domain.
	tally struct{ maybeAlive, acked, missed int }
)

// recordSample records the result of a probe. Direct-only probes, such as those of
// suspected VMs, are skipped because they would be overrepresented.
func (dt *Detector) recordSample(pr *probe, ok bool) {
	if pr.directOnly {
		return
	}
	qr := &dt.quorum
	at, _ := slices.BinarySearchFunc(qr.samples, pr.sent, func(sm sample, sent clock.Millis) int {
		return cmp.Compare(sm.sent, sent)
	})
	qr.samples = slices.Insert(qr.samples, at, sample{mb: pr.target, sent: pr.sent, ok: ok})
	last := lastSampleOf(qr.samples, pr.target)
	qr.samples = slices.DeleteFunc(qr.samples, func(sm sample) bool {
		return sm.mb == pr.target && sm.sent < last
	})
}

func lastSampleOf(samples []sample, mb *member) clock.Millis {
	var last clock.Millis
	for _, sm := range samples {
		if sm.mb == mb {
			last = max(last, sm.sent)
		}
	}
	return last
}

// updateQuorum estimates how many VMs of the roster are reached. In each failure
// domain, the share of acked probes among the recent ones stands for all VMs that
// may be alive there. A domain without a recent ack counts as not reached.
func (dt *Detector) updateQuorum() {
	qr := &dt.quorum
	oldest := dt.now - dt.Settings.AckTTL
	qr.samples = slices.DeleteFunc(qr.samples, func(sm sample) bool {
		return sm.sent <= oldest || !sm.mb.maybeAlive()
	})
	before, until := qr.quorate, qr.until
	dt.countDomains()
	for _, sm := range qr.samples {
		qr.domains[sm.mb.vm.FailureDomain].add(sm.ok, 1)
	}
	if !qr.majority() {
		qr.majoritySince = 0
	}
	qr.quorate = dt.listed && !dt.left && qr.majority() && dt.majoritySettled()
	qr.until = 0
	if qr.quorate {
		qr.until = dt.majorityExpiry()
	}
	if qr.until != until {
		dt.out = append(dt.out, QuorumDeadline{Until: qr.until})
	}
	if qr.quorate == before {
		return
	}
	qr.lostOnce = qr.lostOnce || before
	dt.dirty = true
	if qr.quorate {
		dt.restartSuspicions()
	}
}

// majoritySettled reports whether the majority has been reached for long enough. A
// VM that lost it waits for AckTTL: until then, a VM that it still cannot reach may
// be quorate through older acks of the same VMs, and may have declared this one dead.
func (dt *Detector) majoritySettled() bool {
	if dt.quorum.majoritySince == 0 {
		dt.quorum.majoritySince = dt.now
	}
	return !dt.quorum.lostOnce || dt.now-dt.quorum.majoritySince >= dt.Settings.AckTTL
}

func (ta *tally) add(ok bool, by int) {
	if ok {
		ta.acked += by
		return
	}
	ta.missed += by
}

// countDomains counts the roster including Self, and the VMs of each failure domain
// that may be alive, excluding Self. It resets the counts of probe results.
func (dt *Detector) countDomains() {
	qr := &dt.quorum
	if !qr.stale {
		for _, ta := range qr.domains {
			ta.acked, ta.missed = 0, 0
		}
		return
	}
	qr.stale = false
	qr.roster, qr.alive = 1, 1
	qr.domains = make(map[string]*tally)
	for _, mb := range dt.table.members {
		if mb.inRoster() {
			qr.roster++
		}
		if mb.vm.Health == board.Alive {
			qr.alive++
		}
		if !mb.maybeAlive() {
			continue
		}
		ta := qr.domains[mb.vm.FailureDomain]
		if ta == nil {
			ta = &tally{}
			qr.domains[mb.vm.FailureDomain] = ta
		}
		ta.maybeAlive++
	}
}

// majority reports whether more than half of the roster is reached.
func (qr *quorum) majority() bool {
	// The floating-point sum of shares is inexact. The slack is far below the
	// share of one VM and keeps exactly half from counting as a majority. It
	// also covers that the sum depends on the order of the map iteration.
	const slack = 1e-6
	if qr.roster > samplingThreshold && 2*qr.alive <= qr.roster {
		return false
	}
	reached := 1.0
	for _, ta := range qr.domains {
		if ta.acked > 0 {
			reached += float64(ta.maybeAlive*ta.acked) / float64(ta.acked+ta.missed)
		}
	}
	return 2*reached > float64(qr.roster)+slack
}

// majorityExpiry returns when the majority is lost if no further ack arrives.
func (dt *Detector) majorityExpiry() clock.Millis {
	qr := &dt.quorum
	for _, sm := range qr.samples {
		qr.domains[sm.mb.vm.FailureDomain].add(sm.ok, -1)
		if !qr.majority() {
			return sm.sent + dt.Settings.AckTTL
		}
	}
	return dt.now + dt.Settings.AckTTL // the roster is this VM alone
}

// memberOfStaleDomain returns a random VM of the failure domain whose last ack is the
// oldest, if it is so old that it will soon expire; nil otherwise.
func (dt *Detector) memberOfStaleDomain() *member {
	last := make(map[string]clock.Millis)
	for _, sm := range dt.quorum.samples {
		last[sm.mb.vm.FailureDomain] = max(last[sm.mb.vm.FailureDomain], sm.sent)
	}
	for _, pr := range dt.prober.open {
		if pr.directOnly {
			continue
		}
		last[pr.target.vm.FailureDomain] = max(last[pr.target.vm.FailureDomain], pr.sent)
	}
	var stale []*member
	oldest := dt.now - dt.Settings.AckTTL*staleNumerator/staleDenominator
	for _, mb := range dt.table.members {
		at := last[mb.vm.FailureDomain]
		if mb.vm.Health != board.Alive || at > oldest {
			continue
		}
		if len(stale) > 0 && at > last[stale[0].vm.FailureDomain] {
			continue
		}
		if len(stale) > 0 && at < last[stale[0].vm.FailureDomain] {
			stale = stale[:0]
		}
		stale = append(stale, mb)
	}
	if len(stale) == 0 {
		return nil
	}
	return stale[dt.Rand.IntN(len(stale))]
}
