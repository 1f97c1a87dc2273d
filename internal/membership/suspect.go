package membership

import (
	"math"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// recheckInterval is how often a VM probes a member again that it suspects itself.
const recheckInterval = 2 * clock.Second

// suspicion is the state of a member from the first suspicion until it is refuted or the member is Dead.
type suspicion struct {
	started   clock.Millis
	deadline  clock.Millis // when the member counts as Dead
	reporters []uint32     // hashes of the VMs that suspect it independently
	recheck   clock.Millis // when this VM probes it again; zero: never
	ownProbe  bool         // a probe of this VM failed
}

// nextAction returns when the suspicion is due next.
func (su *suspicion) nextAction() clock.Millis {
	if su.recheck != 0 {
		return min(su.deadline, su.recheck)
	}
	return su.deadline
}

// suspect starts or confirms a suspicion of a member, reported by the VM whose hash
// is by.
func (dt *Detector) suspect(mb *member, by uint32) {
	if mb.vm.Health != board.Suspect {
		dt.setHealth(mb, board.Suspect)
		mb.suspicion = suspicion{started: dt.now}
		dt.table.suspects = append(dt.table.suspects, mb)
	}
	mb.localOnly = false
	su := &mb.suspicion
	if by == dt.selfHash && !su.ownProbe {
		su.ownProbe = true
		su.recheck = dt.now
	}
	if len(su.reporters) > confirmations || slices.Contains(su.reporters, by) {
		return
	}
	su.reporters = append(su.reporters, by)
	dt.scheduleSuspicion(su)
	if len(su.reporters) > 1 {
		dt.rumours.pushBrief(mb.vm.ID, by)
		return
	}
	dt.rumours.push(mb.vm.ID, by)
}

// scheduleSuspicion sets when a suspicion ends. A VM that only received the suspicion
// probes the member itself once during DeadDelay, in case it missed the refutation.
func (dt *Detector) scheduleSuspicion(su *suspicion) {
	timeoutAt := su.started + dt.suspicionSpan(len(su.reporters)-1)
	su.deadline = timeoutAt + dt.Settings.DeadDelay
	if !su.ownProbe {
		su.recheck = timeoutAt + clock.Millis(dt.Rand.Int64N(int64(dt.Settings.DeadDelay)/2+1))
	}
}

// suspicionSpan returns the suspicion timeout, which shrinks from the maximum to the
// minimum with the number of independent confirmations.
func (dt *Detector) suspicionSpan(confirmed int) clock.Millis {
	low, high := dt.Settings.SuspicionMin, dt.Settings.SuspicionMax
	wanted := min(confirmations, len(dt.table.members)-1)
	if wanted < 1 || dt.disabled.decay {
		return low
	}
	part := math.Log(float64(confirmed)+1) / math.Log(float64(wanted)+1)
	return max(low, high-clock.Millis(part*float64(high-low)))
}

func (dt *Detector) expireSuspicions() {
	for _, mb := range slices.Clone(dt.table.suspects) {
		su := &mb.suspicion
		if dt.now >= su.deadline && len(su.reporters) > 0 {
			dt.markDead(mb)
			continue
		}
		if dt.now >= su.deadline { // marked Dead during a partition and not reported since: only a probe with helpers decides
			su.deadline = dt.now + dt.Settings.DeadDelay
			dt.sendProbe(mb, false)
		}
		if su.recheck != 0 && dt.now >= su.recheck {
			su.recheck = dt.now + recheckInterval
			if !su.ownProbe {
				su.recheck = dt.now + dt.Settings.DeadDelay/2
			}
			dt.sendProbe(mb, true)
		}
	}
}

// markDead marks a member as Dead after its suspicion. The VM tells others only if it
// reaches a majority, since otherwise it may itself be the partitioned one.
func (dt *Detector) markDead(mb *member) {
	dt.setHealth(mb, board.Dead)
	if dt.updateQuorum(); dt.quorum.quorate {
		dt.rumours.pushBrief(mb.vm.ID, 0)
		return
	}
	mb.localOnly = true
	dt.rumours.drop(mb.vm.ID)
}

// restartSuspicions restarts all suspicions when this VM regains a majority, since the
// others may have refuted them while it could not receive that.
func (dt *Detector) restartSuspicions() {
	for _, mb := range dt.table.suspects {
		mb.suspicion.started = dt.now
		dt.scheduleSuspicion(&mb.suspicion)
	}
	for _, mb := range dt.table.members {
		if mb.vm.Health != board.Dead || !mb.localOnly {
			continue
		}
		dt.setHealth(mb, board.Suspect)
		mb.localOnly = true
		mb.suspicion = suspicion{
			started:  dt.now,
			deadline: dt.now + dt.Settings.SuspicionMax + dt.Settings.DeadDelay,
			recheck:  dt.now + clock.Millis(dt.Rand.Int64N(int64(dt.Settings.SuspicionMax))),
		}
		dt.table.suspects = append(dt.table.suspects, mb)
		dt.prober.addToRound(mb, dt.Rand)
	}
}

// refute answers a rumour that Self is suspect or dead. It normally keeps the incarnation, since
// that identifies this process to everything that it has in progress elsewhere. Claims (see
// package claim) decide about work that others took over meanwhile. A death starts a
// new generation. Only a rumour about a later incarnation, or that this one left,
// requires a new incarnation.
func (dt *Detector) refute(incarnation uint64, refutation uint32, hl board.Health) {
	if incarnation < dt.Self.Incarnation {
		return
	}
	same := incarnation == dt.Self.Incarnation && (hl == board.Suspect || hl == board.Dead)
	if same && dt.alreadyRefuted(refutation, hl) {
		dt.rumours.push(dt.Self.ID, 0) // the sender missed the refutation
		return
	}
	dt.Counters.Refutations++
	dt.adjustHealth(1)
	before := generationOf(dt.refutation)
	switch {
	case !same:
		dt.Self.Incarnation = incarnation + 1
		dt.refutation = 0
		dt.invalidate()
	case hl == board.Dead:
		dt.refutation = (generationOf(refutation) + 1) << generationShift
	default:
		dt.refutation = refutation + 1
	}
	if !same || generationOf(dt.refutation) != before {
		dt.out = append(dt.out, DeathRefuted{Incarnation: dt.Self.Incarnation})
	}
	dt.rumours.push(dt.Self.ID, 0)
}

// alreadyRefuted reports whether Self has already refuted the suspicion or death.
func (dt *Detector) alreadyRefuted(refutation uint32, hl board.Health) bool {
	if hl == board.Dead {
		return generationOf(refutation) < generationOf(dt.refutation)
	}
	return refutation < dt.refutation
}
