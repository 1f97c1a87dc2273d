package claim

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/rendezvous"
	"alderdyke/pkg/clock"
)

// fleetWatch detects when the fleet has been stable for some time.
type fleetWatch struct {
	last          *board.Fleet
	deadSince     map[board.VMRef]clock.Millis
	minoritySince clock.Millis // when the minority began, if this VM is in one
	desired       []board.VM
	desiredSince  clock.Millis
	proposedAt    clock.Millis // when the last table was proposed
}

// observe records a view of the fleet.
func (fw *fleetWatch) observe(now clock.Millis, fl *board.Fleet) {
	if fw.last == nil || fw.last.Quorate {
		fw.minoritySince = now
	}
	fw.last = fl
	dead := map[board.VMRef]clock.Millis{}
	for _, vm := range fl.VMs {
		if vm.Health != board.Dead {
			continue
		}
		dead[vm.VMRef] = now
		if from, ok := fw.deadSince[vm.VMRef]; ok {
			dead[vm.VMRef] = from
		}
	}
	fw.deadSince = dead
}

// inMinorityFor reports whether this VM has been in a minority for longer than the
// span. By then the majority may no longer be waiting for its records.
func (fw *fleetWatch) inMinorityFor(now, span clock.Millis) bool {
	return fw.last != nil && !fw.last.Quorate && now-fw.minoritySince > span
}

// desiredSeats returns the VMs that should have seats: those that serve and are not
// leaving, and those that are considered dead but still keep their seat.
func (fw *fleetWatch) desiredSeats(now, keepDead clock.Millis, st *SeatTable) []board.VM {
	var out []board.VM
	for _, vm := range fw.last.VMs {
		serving := (vm.Health == board.Alive || vm.Health == board.Suspect) && !vm.Leaving
		kept := vm.Health == board.Dead && !vm.Leaving && st.hasSeat(vm.VMRef) && now < fw.deadSince[vm.VMRef]+keepDead
		if (serving || kept) && vm.FailureDomain != "" {
			out = append(out, board.VM{VMRef: vm.VMRef, FailureDomain: vm.FailureDomain})
		}
	}
	slices.SortFunc(out, func(va, vb board.VM) int { return cmp.Compare(va.ID, vb.ID) })
	return out
}

// propose proposes a table once the fleet has differed from the current table for the
// settle span. The VMs' turns follow one after another, in an order that all of them
// derive from the fleet, so that usually only one of them proposes.
func (bk *Book) propose(now clock.Millis) []Intent {
	fw := &bk.fleet
	if fw.last == nil || !fw.last.Quorate || (bk.seats == nil && !bk.FromLogStart) {
		return nil
	}
	want := fw.desiredSeats(now, cmp.Or(bk.Settings.DeadSeatTTL, defaultDeadSeatTTL), bk.seats)
	if len(want) == 0 || (bk.seats != nil && slices.Equal(want, bk.seats.VMs)) {
		fw.desired = nil
		return bk.wakeForExpiredSeat(now)
	}
	if !slices.Equal(want, fw.desired) {
		fw.desired, fw.desiredSince = want, now
	}
	settle := cmp.Or(bk.Settings.SettleSpan, defaultSettleSpan)
	position := slices.IndexFunc(rendezvous.Rank("seats", want), func(vm board.VM) bool { return vm.VMRef == bk.Self })
	if position < 0 {
		position = len(want)
	}
	due := max(fw.desiredSince, fw.proposedAt) + settle*clock.Millis(1+min(position, 8))
	if now < due {
		return []Intent{Wake{due}}
	}
	fw.proposedAt = now
	tb := &peerpb.SeatTable{Base: bk.seats.epoch()}
	for _, vm := range want {
		tb.Seats = append(tb.Seats, &peerpb.ClaimSeat{
			ID: vm.ID, Incarnation: vm.Incarnation, FailureDomain: vm.FailureDomain,
		})
	}
	return []Intent{Propose{tb}, Wake{now + settle*9}}
}

// wakeForExpiredSeat requests a wake when the next VM considered dead loses its seat.
func (bk *Book) wakeForExpiredSeat(now clock.Millis) []Intent {
	next := clock.Millis(0)
	for _, vm := range bk.fleet.last.VMs {
		from, ok := bk.fleet.deadSince[vm.VMRef]
		at := from + cmp.Or(bk.Settings.DeadSeatTTL, defaultDeadSeatTTL)
		if ok && at > now && (next == 0 || at < next) {
			next = at
		}
	}
	if next == 0 {
		return nil
	}
	return []Intent{Wake{next}}
}
