package membership

import (
	"math"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// recheckEvery is how often a VM probes again what it suspects itself.
const recheckEvery = 2 * clock.Second

// suspicion is the state of a member between the first doubt and its death.
type suspicion struct {
	started  clock.Millis
	deadline clock.Millis // when the member counts as Dead
	by       []uint32     // hashes of the VMs that found it suspect, each on its own
	recheck  clock.Millis // when this VM probes it again; zero is never
	own      bool         // this VM itself found it suspect
}

// next is when the suspicion wants attention.
func (su *suspicion) next() clock.Millis {
	if su.recheck != 0 {
		return min(su.deadline, su.recheck)
	}
	return su.deadline
}

// suspect begins or confirms a suspicion that the VM with the hash by has of
// a member.
func (dt *Detector) suspect(mb *member, by uint32) {
	if mb.vm.Health != board.Suspect {
		dt.setHealth(mb, board.Suspect)
		mb.suspicion = suspicion{started: dt.now}
		dt.tb.suspects = append(dt.tb.suspects, mb)
	}
	mb.private = false
	su := &mb.suspicion
	if by == dt.self && !su.own {
		su.own = true
		su.recheck = dt.now
	}
	if len(su.by) > confirmations || slices.Contains(su.by, by) {
		return
	}
	su.by = append(su.by, by)
	dt.schedule(su)
	if len(su.by) > 1 {
		dt.rm.pushBrief(mb.vm.ID, by)
		return
	}
	dt.rm.push(mb.vm.ID, by)
}

// schedule sets when a suspicion ends. A VM that only heard of it probes once
// itself while DeadHold passes, in case that it missed the refutation.
func (dt *Detector) schedule(su *suspicion) {
	ranOut := su.started + dt.suspicionSpan(len(su.by)-1)
	su.deadline = ranOut + dt.Settings.DeadHold
	if !su.own {
		su.recheck = ranOut + clock.Millis(dt.Rand.Int64N(int64(dt.Settings.DeadHold)/2+1))
	}
}

// suspicionSpan shrinks from the maximum to the minimum with the number of
// independent confirmations.
func (dt *Detector) suspicionSpan(confirmed int) clock.Millis {
	low, high := dt.Settings.SuspicionMin, dt.Settings.SuspicionMax
	wanted := min(confirmations, len(dt.tb.members)-1)
	if wanted < 1 || dt.without.decay {
		return low
	}
	part := math.Log(float64(confirmed)+1) / math.Log(float64(wanted)+1)
	return max(low, high-clock.Millis(part*float64(high-low)))
}

func (dt *Detector) expireSuspicions() {
	for _, mb := range slices.Clone(dt.tb.suspects) {
		su := &mb.suspicion
		if dt.now >= su.deadline && len(su.by) > 0 {
			dt.die(mb)
			continue
		}
		if dt.now >= su.deadline { // left from when this VM was cut off: only a probe with helpers decides
			su.deadline = dt.now + dt.Settings.DeadHold
			dt.launch(mb, false)
		}
		if su.recheck != 0 && dt.now >= su.recheck {
			su.recheck = dt.now + recheckEvery
			if !su.own {
				su.recheck = dt.now + dt.Settings.DeadHold/2
			}
			dt.launch(mb, true)
		}
	}
}

// die marks a member as Dead after its suspicion. Others are told only by a
// VM that reaches a majority: else it may be the one that is cut off.
func (dt *Detector) die(mb *member) {
	dt.setHealth(mb, board.Dead)
	if dt.measureQuorum(); dt.qr.quorate {
		dt.rm.pushBrief(mb.vm.ID, 0)
		return
	}
	mb.private = true
	dt.rm.drop(mb.vm.ID)
}

// regain begins all doubts again when this VM reaches a majority again: while
// it did not, the others may have answered without its hearing it.
func (dt *Detector) regain() {
	for _, mb := range dt.tb.suspects {
		mb.suspicion.started = dt.now
		dt.schedule(&mb.suspicion)
	}
	for _, mb := range dt.tb.members {
		if mb.vm.Health != board.Dead || !mb.private {
			continue
		}
		dt.setHealth(mb, board.Suspect)
		mb.private = true
		mb.suspicion = suspicion{
			started:  dt.now,
			deadline: dt.now + dt.Settings.SuspicionMax + dt.Settings.DeadHold,
			recheck:  dt.now + clock.Millis(dt.Rand.Int64N(int64(dt.Settings.SuspicionMax))),
		}
		dt.tb.suspects = append(dt.tb.suspects, mb)
		dt.pb.enrol(mb, dt.Rand)
	}
}

// refute answers a rumour that doubts Self. Doubts and deaths are answered
// within the incarnation, which names this process to everything that it has
// in progress elsewhere; what others took over meanwhile is for claims to
// decide. A death begins a new life. Only a later incarnation, or word that
// this one left, needs a new incarnation.
func (dt *Detector) refute(incarnation uint64, refutation uint32, hl board.Health) {
	if incarnation < dt.Self.Incarnation {
		return
	}
	same := incarnation == dt.Self.Incarnation && (hl == board.Suspect || hl == board.Dead)
	if same && dt.refuted(refutation, hl) {
		dt.rm.push(dt.Self.ID, 0) // who told it missed that
		return
	}
	dt.Counters.Refutations++
	dt.ail(1)
	before := lifeOf(dt.refutation)
	switch {
	case !same:
		dt.Self.Incarnation = incarnation + 1
		dt.refutation = 0
		dt.touch()
	case hl == board.Dead:
		dt.refutation = (lifeOf(refutation) + 1) << lifeShift
	default:
		dt.refutation = refutation + 1
	}
	if !same || lifeOf(dt.refutation) != before {
		dt.out = append(dt.out, Refuted{Incarnation: dt.Self.Incarnation})
	}
	dt.rm.push(dt.Self.ID, 0)
}

// refuted tells whether Self has answered the doubt or death already.
func (dt *Detector) refuted(refutation uint32, hl board.Health) bool {
	if hl == board.Dead {
		return lifeOf(refutation) < lifeOf(dt.refutation)
	}
	return refutation < dt.refutation
}
