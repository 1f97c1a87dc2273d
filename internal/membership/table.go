package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// maxJoinProbes is the number of probes to a listed VM that never answered. After
// that it is probed as rarely as a dead VM.
const maxJoinProbes = 3

type (
	// table holds all VMs that this VM knows of, except Self.
	table struct {
		members  []*member // sorted by ID
		byID     map[string]*member
		suspects []*member // in the order in which suspicion began
		removed  map[string]removedVM
	}

	// member is one VM of the table.
	member struct {
		vm            board.VM // as it appears in the snapshot
		refutation    uint32
		observed      bool         // it sent a datagram, or a rumour about it was received
		missedProbes  int          // probes that it missed before it was observed
		leaving       bool         // it announced its stop
		listedLeaving bool         // the VM list marks it as leaving
		localOnly     bool         // Dead or Suspect by this VM's decision alone while it was not quorate
		healthSince   clock.Millis // when its Health last changed
		joinedAt      clock.Millis // when it became known or recovered
		unlistedAt    clock.Millis // when the VM list dropped it
		suspicion     suspicion    // while it is Suspect
	}

	// removedVM remembers a removed VM, so that late rumours do not add it
	// again.
	removedVM struct {
		incarnation uint64
		at          clock.Millis
	}
)

func (tb *table) add(mb *member) {
	at, _ := slices.BinarySearchFunc(tb.members, mb.vm.ID, func(mb *member, id string) int {
		return cmp.Compare(mb.vm.ID, id)
	})
	tb.members = slices.Insert(tb.members, at, mb)
	tb.byID[mb.vm.ID] = mb
}

func (tb *table) remove(mb *member) {
	tb.members = slices.DeleteFunc(tb.members, func(other *member) bool { return other == mb })
	tb.unsuspect(mb)
	delete(tb.byID, mb.vm.ID)
}

func (tb *table) unsuspect(mb *member) {
	tb.suspects = slices.DeleteFunc(tb.suspects, func(other *member) bool { return other == mb })
}

// compareVersion compares the member's version with another one: by incarnation,
// then by refutation.
func (mb *member) compareVersion(incarnation uint64, refutation uint32) int {
	return cmp.Or(
		cmp.Compare(mb.vm.Incarnation, incarnation),
		cmp.Compare(mb.refutation, refutation))
}

// maybeAlive reports whether the member is Alive or Suspect.
func (mb *member) maybeAlive() bool {
	return mb.vm.Health == board.Alive || mb.vm.Health == board.Suspect
}

// generationShift divides a refutation: the low bits count the suspicions refuted in
// one generation, the high bits the deaths.
const generationShift = 16

// generationOf returns the number of deaths that a VM learned of and refuted within its
// incarnation. It distinguishes a VM that knows that it was declared dead from one that
// only refuted the suspicion before.
func generationOf(refutation uint32) uint32 { return refutation >> generationShift }

// confirmedDead reports whether the member is dead to others as well. No refutation
// within the same generation reverts that.
func (mb *member) confirmedDead() bool {
	return mb.observed && mb.vm.Health == board.Dead && !mb.localOnly
}

// inProbeRound reports whether the member is part of the regular probe round.
func (mb *member) inProbeRound() bool {
	return mb.maybeAlive() || (!mb.observed && mb.missedProbes < maxJoinProbes)
}

// inRoster reports whether the member counts towards the size of a majority.
func (mb *member) inRoster() bool { return mb.vm.Health != board.Left }

// hashVM hashes the fields on which two tables must agree. Fields that change with
// every suspicion are left out.
func hashVM(vm board.VM) uint64 {
	var buf [9]byte
	binary.LittleEndian.PutUint64(buf[:], vm.Incarnation)
	if vm.Leaving {
		buf[8] = 1
	}
	var dg xxhash.Digest
	dg.Reset()
	_, _ = dg.WriteString(vm.ID)
	_, _ = dg.Write(buf[:])
	return dg.Sum64()
}

// invalidate marks everything derived from the table as outdated.
func (dt *Detector) invalidate() {
	dt.dirty = true
	dt.syncer.stale = true
	dt.quorum.stale = true
}

// setHealth changes the health of a member and updates what depends on it.
func (dt *Detector) setHealth(mb *member, hl board.Health) {
	if mb.vm.Health == board.Suspect && hl != board.Suspect {
		dt.table.unsuspect(mb)
		mb.suspicion = suspicion{}
	}
	if hl == board.Dead && mb.vm.Health != board.Dead {
		dt.Counters.MarkedDead++
	}
	if mb.vm.Health != hl {
		mb.healthSince = dt.now
	}
	if mb.vm.Health == board.Dead && hl == board.Alive {
		mb.joinedAt = dt.now
	}
	mb.vm.Health = hl
	mb.localOnly = false
	dt.invalidate()
}

// applyList applies the VM list. VMs that it no longer contains are unlisted, and removed
// if they were never observed.
func (dt *Detector) applyList(vms []board.VM) {
	if len(vms) == 0 {
		return // an empty list is invalid, since at least Self exists
	}
	first := !dt.listed
	dt.listed = true
	named := make(map[string]bool, len(vms))
	for _, vm := range vms {
		named[vm.ID] = true
		dt.applyListed(vm)
	}
	for _, mb := range slices.Clone(dt.table.members) {
		if named[mb.vm.ID] || !mb.vm.Listed {
			continue
		}
		dt.invalidate()
		mb.vm.Listed = false
		mb.unlistedAt = dt.now
		if !mb.observed {
			dt.table.remove(mb)
		}
	}
	if first {
		dt.probeNewMembers()
	}
}

// applyListed adds or updates a listed VM. The addresses of an observed VM stay as it
// announced them.
func (dt *Detector) applyListed(vm board.VM) {
	if vm.ID == dt.Self.ID {
		dt.dirty = dt.dirty || !dt.Self.Listed
		dt.Self.Listed = true
		return
	}
	mb := dt.table.byID[vm.ID]
	if mb == nil {
		if vm.ID == "" || vm.Peer == "" {
			return
		}
		mb = &member{vm: vm, healthSince: dt.now}
		mb.vm.Incarnation = 0
		mb.vm.Health = board.Dead
		mb.vm.Listed = false
		dt.table.add(mb)
		dt.prober.addToRound(mb, dt.Rand)
	}
	if !mb.observed {
		mb.vm.Peer, mb.vm.Caller = vm.Peer, vm.Caller
		mb.vm.FailureDomain, mb.vm.Region = vm.FailureDomain, vm.Region
	}
	leaves := mb.leaving || vm.Leaving
	if mb.vm.Listed && mb.vm.Leaving == leaves {
		return
	}
	mb.vm.Listed = true
	mb.listedLeaving = vm.Leaving
	mb.vm.Leaving = leaves
	dt.invalidate()
}

// probeNewMembers probes a few VMs at once, so that a new VM need not wait for its round.
func (dt *Detector) probeNewMembers() {
	probed := 0
	for _, mb := range dt.shuffled(dt.table.members) {
		if mb.observed {
			continue
		}
		dt.sendProbe(mb, true)
		if probed++; probed == dt.Settings.Helpers {
			return
		}
	}
}

// removeExpired removes VMs from the roster that are dead or left, and not listed, for RemoveAfter.
func (dt *Detector) removeExpired() {
	for _, mb := range slices.Clone(dt.table.members) {
		if mb.maybeAlive() || mb.vm.Listed || !mb.observed {
			continue
		}
		if dt.now-max(mb.healthSince, mb.unlistedAt) < dt.Settings.RemoveAfter {
			continue
		}
		dt.table.removed[mb.vm.ID] = removedVM{incarnation: mb.vm.Incarnation, at: dt.now}
		dt.table.remove(mb)
		dt.invalidate()
	}
	for id, gv := range dt.table.removed {
		if dt.now-gv.at >= removedRetention {
			delete(dt.table.removed, id)
		}
	}
}

// snapshot builds the fleet snapshot for the board.
func (dt *Detector) snapshot() *board.Fleet {
	fl := &board.Fleet{
		Self:    dt.Self.VMRef,
		VMs:     make([]board.VM, 0, len(dt.table.members)+1),
		Epoch:   1,
		Quorate: dt.quorum.quorate,
	}
	if dt.fleet != nil {
		fl.Epoch = dt.fleet.Epoch + 1
	}
	at := 0
	for ; at < len(dt.table.members) && dt.table.members[at].vm.ID < dt.Self.ID; at++ {
		fl.VMs = append(fl.VMs, dt.table.members[at].vm)
	}
	fl.VMs = append(fl.VMs, dt.Self)
	for ; at < len(dt.table.members); at++ {
		fl.VMs = append(fl.VMs, dt.table.members[at].vm)
	}
	return fl
}

func (dt *Detector) shuffled(members []*member) []*member {
	out := slices.Clone(members)
	dt.Rand.Shuffle(len(out), func(ia, ib int) { out[ia], out[ib] = out[ib], out[ia] })
	return out
}
