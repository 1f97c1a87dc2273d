package fleet

import (
	"context"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/rendezvous"
	"alderdyke/internal/usage"
)

const (
	// schedulerCount is how many VMs of a large fleet choose engines for all: one
	// that all ask, and two that know the same and are asked when it does not
	// answer. They are ranked without regard to failure domains, so that the next
	// in line is always one that was told before.
	schedulerCount = 3
	// schedulerRankKey ranks them.
	schedulerRankKey = "schedulers"
)

// schedulers is the VMs that choose engines for all, in the order in which they
// are asked; none in a fleet that is small enough for all to tell all.
type schedulers struct {
	vms []board.VM
	key string // of the VMs' names, to tell whether they changed
}

// selectSchedulers chooses by a view of the fleet. The fleet's size counts also the
// VMs that are dead for now, so that it does not change with each fault.
func selectSchedulers(view *board.Fleet) *schedulers {
	size := 0
	for ix := range view.VMs {
		if vm := &view.VMs[ix]; isKnown(view, vm) && vm.Health != board.Left {
			size++
		}
	}
	if size <= maxDirectVMs+1 {
		return &schedulers{}
	}
	sc := &schedulers{vms: rendezvous.Top(schedulerRankKey, view.VMs, schedulerCount, eligible(view))}
	for _, vm := range sc.vms {
		sc.key += vm.ID + " "
	}
	return sc
}

// isKnown tells whether a VM was heard of, and is not only listed.
func isKnown(view *board.Fleet, vm *board.VM) bool {
	return vm.Incarnation != 0 || vm.ID == view.Self.ID
}

// eligible tells of a VM whether it may do for all what one or a few do: it
// lives and stays.
func eligible(view *board.Fleet) func(vm *board.VM) bool {
	return func(vm *board.VM) bool { return isKnown(view, vm) && vm.Health == board.Alive && !vm.Leaving }
}

// Schedulers is the VMs that choose engines for all; none in a small fleet.
func (fl *Fleet) Schedulers() []board.VM {
	if sc := fl.schedulers.Load(); sc != nil {
		return sc.vms
	}
	return nil
}

// schedulersKey names them.
func (fl *Fleet) schedulersKey() string {
	if sc := fl.schedulers.Load(); sc != nil {
		return sc.key
	}
	return ""
}

// Before lists the VMs that are asked for a place before this one chooses by
// itself, and tells whether it may: it is a scheduler too, or all VMs tell all.
func (mb *Member) Before() (vms []string, here bool) {
	fl := mb.currentFleet()
	if fl == nil {
		return nil, true
	}
	list := fl.Schedulers()
	for _, vm := range list {
		if vm.ID == mb.Self.ID {
			return vms, true
		}
		vms = append(vms, vm.ID)
	}
	return vms, len(list) == 0
}

// Ask asks a scheduler for a place.
func (mb *Member) Ask(ctx context.Context, vm string, ask usage.PlacementRequest) (usage.PlacementReply, error) {
	fl := mb.currentFleet()
	if fl == nil {
		return usage.PlacementReply{}, errNotJoined
	}
	list := fl.Schedulers()
	at := slices.IndexFunc(list, func(other board.VM) bool { return other.ID == vm })
	if at < 0 {
		return usage.PlacementReply{}, errNotScheduler
	}
	return fl.requestPlacement(ctx, list[at], ask)
}
