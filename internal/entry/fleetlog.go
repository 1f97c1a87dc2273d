package entry

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

// logFleet writes what changed between two views of the fleet. A VM that is
// only listed and was never heard of is no news.
func (vm *VM) logFleet(old, now *board.Fleet) {
	for _, after := range now.VMs {
		before, known := old.VM(after.ID)
		news := !known || before.Health != after.Health || before.Incarnation != after.Incarnation
		if news && after.Incarnation != 0 && after.ID != now.Self.ID {
			vm.logVM(healthEvents[after.Health], after)
		}
		if after.Leaving && !before.Leaving {
			vm.logVM(event.VMLeaving, after)
		}
	}
	for _, before := range old.VMs {
		if _, known := now.VM(before.ID); !known {
			vm.logVM(event.VMRemoved, before)
		}
	}
	switch {
	case old.Quorate && !now.Quorate:
		vm.Log.Log(event.MajorityLost)
	case !old.Quorate && now.Quorate:
		vm.Log.Log(event.MajorityReached)
	}
}

func (vm *VM) logVM(ev event.Event, other board.VM) {
	vm.Log.Log(ev,
		event.F("Other", other.ID),
		event.F("Incarnation", other.Incarnation),
		event.F("FailureDomain", other.FailureDomain))
}
