package fleet

import (
	"context"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/rendezvous"
	"alderdyke/internal/usage"
)

const (
	// schedulerCount is how many VMs of a large fleet select engines for all VMs: one
	// that receives all requests, and two standbys with the same data for when it does
	// not answer. Failure domains don't count in their ranking, so that the next in line
	// is always a VM that has received usage reports before.
	schedulerCount = 3
	// schedulerRankKey is the rendezvous key by which they are ranked.
	schedulerRankKey = "schedulers"
)

// schedulers holds the VMs that select engines for all VMs, in the order in which they
// are tried; none in a fleet small enough for every VM to send its reports to all others.
type schedulers struct {
	vms []board.VM
	key string // IDs of the VMs, to detect changes
}

// selectSchedulers selects the schedulers from a view of the fleet. The fleet's size
// includes dead VMs, so that it does not change with each failure.
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

// isKnown reports whether the VM is this one, or its incarnation is known: a VM that is only
// listed has incarnation 0.
func isKnown(view *board.Fleet, vm *board.VM) bool {
	return vm.Incarnation != 0 || vm.ID == view.Self.ID
}

// eligible returns a predicate for the VMs that may act for the whole fleet: those that
// are alive and not leaving.
func eligible(view *board.Fleet) func(vm *board.VM) bool {
	return func(vm *board.VM) bool { return isKnown(view, vm) && vm.Health == board.Alive && !vm.Leaving }
}

// Schedulers returns the VMs that select engines for all VMs; none in a small fleet.
func (fl *Fleet) Schedulers() []board.VM {
	if sc := fl.schedulers.Load(); sc != nil {
		return sc.vms
	}
	return nil
}

// schedulersKey returns the IDs of the schedulers as one string.
func (fl *Fleet) schedulersKey() string {
	if sc := fl.schedulers.Load(); sc != nil {
		return sc.key
	}
	return ""
}

// SchedulerVMs lists the schedulers to request a placement from, in order, before this VM selects
// engines itself. The result here reports whether it may do that: it is a scheduler too, or
// all VMs receive all usage reports.
func (mb *Member) SchedulerVMs() (vms []string, here bool) {
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

// Ask requests a placement from a scheduler; it fails if the VM is not a scheduler any more.
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
