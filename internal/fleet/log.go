package fleet

import (
	"alderdyke/internal/board"
	"alderdyke/internal/event"
)

var healthEvents = map[board.Health]event.Event{
	board.Alive:   event.VMAlive,
	board.Suspect: event.VMSuspect,
	board.Dead:    event.VMDead,
	board.Left:    event.VMLeft,
}

// LogChanges logs the differences between two views of the fleet. A VM that is only
// listed, so that its incarnation is not known, is not logged.
func LogChanges(lg event.Logger, old, now *board.Fleet) {
	// Both views are sorted by ID, so one pass over each suffices (BenchmarkView).
	walk := vmWalk{vms: old.VMs}
	for _, after := range now.VMs {
		before, known := walk.find(after.ID)
		news := !known || before.Health != after.Health || before.Incarnation != after.Incarnation
		if news && after.Incarnation != 0 && after.ID != now.Self.ID {
			logVM(lg, healthEvents[after.Health], after)
		}
		if after.Leaving && !before.Leaving {
			logVM(lg, event.VMLeaving, after)
		}
	}
	walk = vmWalk{vms: now.VMs}
	for _, before := range old.VMs {
		if _, known := walk.find(before.ID); !known {
			logVM(lg, event.VMRemoved, before)
		}
	}
	switch {
	case old.Quorate && !now.Quorate:
		lg.Log(event.MajorityLost)
	case !old.Quorate && now.Quorate:
		lg.Log(event.MajorityReached)
	}
}

// vmWalk finds VMs in a list that is sorted by ID. The IDs must be looked up in
// ascending order.
type vmWalk struct{ vms []board.VM }

// find returns the VM with an ID, and false if there is none. It skips the VMs before it.
func (vw *vmWalk) find(id string) (board.VM, bool) {
	for len(vw.vms) > 0 && vw.vms[0].ID < id {
		vw.vms = vw.vms[1:]
	}
	if len(vw.vms) == 0 || vw.vms[0].ID != id {
		return board.VM{}, false
	}
	return vw.vms[0], true
}

func logVM(lg event.Logger, ev event.Event, other board.VM) {
	lg.Log(ev,
		event.F("Other", other.ID),
		event.F("Incarnation", other.Incarnation),
		event.F("FailureDomain", other.FailureDomain))
}
