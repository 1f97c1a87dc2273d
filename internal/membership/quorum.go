package membership

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// samplingThreshold is the size of a fleet above which the acks within AckTTL are only a
// sample. A cut through all failure domains then shows in what this side
// doubts sooner than in the sample.
const samplingThreshold = 16

type (
	// quorum is the evidence that this VM reaches a majority of the roster.
	quorum struct {
		samples       []sample // sorted by when the probe was sent
		quorate       bool
		lostOnce      bool         // it was quorate, and then not
		majoritySince clock.Millis // since when a majority is reached without a break; zero is not
		until         clock.Millis // when the evidence runs out without new acks

		stale   bool // the counts below need to be made again
		roster  int  // VMs over which a majority is counted, with Self
		alive   int  // of them, those that nobody is known to doubt, with Self
		domains map[string]*tally
	}

	// sample is the last verdict about one VM. It dates from when its probe
	// was sent: an ack proves that the VM was reached after that point.
	sample struct {
		mb   *member
		sent clock.Millis
		ok   bool
	}

	// tally counts one failure domain.
	tally struct{ maybeAlive, acked, missed int }
)

// recordSample records the verdict of a probe. Probes of VMs that are doubted
// already are left out: they would weigh more than their share.
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

// updateQuorum estimates how many VMs of the roster are reached. In each
// failure domain the share of acked probes among the fresh ones stands for
// all VMs that may be alive there; a domain without a fresh ack counts as not
// reached.
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

// majoritySettled tells whether the majority is reached for long enough. A VM that
// lost it waits for AckTTL: until then, a VM that it still cannot reach may be
// quorate by older acks of the same VMs, and may hold this one dead.
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

// countDomains counts the roster with Self, and the VMs of each failure
// domain that may be alive, without Self. The verdicts start at zero.
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

// majority tells whether more than half of the roster is reached.
func (qr *quorum) majority() bool {
	// The sum of shares is not exact; the slack is far below the share of
	// one VM and keeps exactly half from counting as more. It also covers
	// that maps are walked, and so summed, in any order.
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

// majorityExpiry tells when the majority is lost if no further ack comes.
func (dt *Detector) majorityExpiry() clock.Millis {
	qr := &dt.quorum
	for _, sm := range qr.samples {
		qr.domains[sm.mb.vm.FailureDomain].add(sm.ok, -1)
		if !qr.majority() {
			return sm.sent + dt.Settings.AckTTL
		}
	}
	return dt.now + dt.Settings.AckTTL // a roster of this VM alone
}

// memberOfStaleDomain picks a VM of the failure domain that was without an ack for
// longest, if that is so long that its evidence will run out.
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
