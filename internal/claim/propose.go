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
	last     *board.Fleet
	deadFrom map[board.VMRef]clock.Millis
	cutFrom  clock.Millis // since when in a minority, if it is
	wanted   []board.VM
	since    clock.Millis
	proposed clock.Millis // when the last table was proposed
}

// see notes what the fleet looks like.
func (fw *fleetWatch) see(now clock.Millis, fl *board.Fleet) {
	if fw.last == nil || fw.last.Quorate {
		fw.cutFrom = now
	}
	fw.last = fl
	dead := map[board.VMRef]clock.Millis{}
	for _, vm := range fl.VMs {
		if vm.Health != board.Dead {
			continue
		}
		dead[vm.VMRef] = now
		if from, ok := fw.deadFrom[vm.VMRef]; ok {
			dead[vm.VMRef] = from
		}
	}
	fw.deadFrom = dead
}

// cutOff tells whether this VM has been in a minority for longer than the
// span. The majority may by then have stopped to wait for its records.
func (fw *fleetWatch) cutOff(now, span clock.Millis) bool {
	return fw.last != nil && !fw.last.Quorate && now-fw.cutFrom > span
}

// want is the VMs that should have seats: those that serve and do not leave,
// and those that are held dead but keep their seat for a while yet.
func (fw *fleetWatch) want(now, keepDead clock.Millis, st *Seats) []board.VM {
	var out []board.VM
	for _, vm := range fw.last.VMs {
		serving := (vm.Health == board.Alive || vm.Health == board.Suspect) && !vm.Leaving
		kept := vm.Health == board.Dead && !vm.Leaving && st.holds(vm.VMRef) && now < fw.deadFrom[vm.VMRef]+keepDead
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
	if fw.last == nil || !fw.last.Quorate || (bk.seats == nil && !bk.FromStart) {
		return nil
	}
	want := fw.want(now, cmp.Or(bk.Settings.KeepDead, defaultKeepDead), bk.seats)
	if len(want) == 0 || (bk.seats != nil && slices.Equal(want, bk.seats.VMs)) {
		fw.wanted = nil
		return bk.wakeForLostSeat(now)
	}
	if !slices.Equal(want, fw.wanted) {
		fw.wanted, fw.since = want, now
	}
	settle := cmp.Or(bk.Settings.Settle, defaultSettle)
	place := slices.IndexFunc(rendezvous.Rank("seats", want), func(vm board.VM) bool { return vm.VMRef == bk.Self })
	if place < 0 {
		place = len(want)
	}
	due := max(fw.since, fw.proposed) + settle*clock.Millis(1+min(place, 8))
	if now < due {
		return []Intent{Wake{due}}
	}
	fw.proposed = now
	tb := &peerpb.SeatTable{Base: bk.seats.epoch()}
	for _, vm := range want {
		tb.Seats = append(tb.Seats, &peerpb.ClaimSeat{
			ID: vm.ID, Incarnation: vm.Incarnation, FailureDomain: vm.FailureDomain,
		})
	}
	return []Intent{Propose{tb}, Wake{now + settle*9}}
}

// wakeForLostSeat wakes when the next VM held dead loses its seat.
func (bk *Book) wakeForLostSeat(now clock.Millis) []Intent {
	next := clock.Millis(0)
	for _, vm := range bk.fleet.last.VMs {
		from, ok := bk.fleet.deadFrom[vm.VMRef]
		at := from + cmp.Or(bk.Settings.KeepDead, defaultKeepDead)
		if ok && at > now && (next == 0 || at < next) {
			next = at
		}
	}
	if next == 0 {
		return nil
	}
	return []Intent{Wake{next}}
}
