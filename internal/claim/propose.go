package claim

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/rendezvous"
	"alderdyke/pkg/clock"
)

// fleetWatch waits until the fleet has looked the same for some time.
type fleetWatch struct {
	last          *board.Fleet
	deadSince     map[board.VMRef]clock.Millis
	minoritySince clock.Millis // since when in a minority, if it is
	desired       []board.VM
	desiredSince  clock.Millis
	proposedAt    clock.Millis // when the last table was proposed
}

// observe notes what the fleet looks like.
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

// inMinorityFor tells whether this VM has been in a minority for longer than the
// span. The majority may by then have stopped to wait for its records.
func (fw *fleetWatch) inMinorityFor(now, span clock.Millis) bool {
	return fw.last != nil && !fw.last.Quorate && now-fw.minoritySince > span
}

// desiredSeats is the VMs that should have seats: those that serve and do not leave,
// and those that are held dead but keep their seat for a while yet.
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

// propose proposes a table once the fleet has looked different from the one
// in force for the settle span. VMs do so one after the other, in an order
// that all know, so that as a rule one of them proposes.
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
	place := slices.IndexFunc(rendezvous.Rank("seats", want), func(vm board.VM) bool { return vm.VMRef == bk.Self })
	if place < 0 {
		place = len(want)
	}
	due := max(fw.desiredSince, fw.proposedAt) + settle*clock.Millis(1+min(place, 8))
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

// wakeForExpiredSeat wakes when the next VM held dead loses its seat.
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
