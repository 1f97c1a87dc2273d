package fleet

import (
	"context"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/rendezvous"
	"alderdyke/internal/usage"
)

const (
	// accountants is how many VMs of a large fleet account for the engines: one
	// that all ask, and two that know the same and are asked when it does not
	// answer. They are ranked without regard to failure domains, so that the next
	// in line is always one that was told before.
	accountants = 3
	// rankAccounts ranks them.
	rankAccounts = "accounts"
)

// accounts is the VMs that account for the engines, in the order in which they
// are asked; none in a fleet that is small enough for all to tell all.
type accounts struct {
	vms []board.VM
	key string // of the VMs' names, to tell whether they changed
}

// accountsOf chooses by a view of the fleet. The fleet's size counts also the
// VMs that are dead for now, so that it does not change with each fault.
func accountsOf(view *board.Fleet) *accounts {
	size := 0
	for ix := range view.VMs {
		if vm := &view.VMs[ix]; isKnown(view, vm) && vm.Health != board.Left {
			size++
		}
	}
	if size <= mostDirect+1 {
		return &accounts{}
	}
	ac := &accounts{vms: rendezvous.Top(rankAccounts, view.VMs, accountants, func(vm *board.VM) bool {
		return isKnown(view, vm) && vm.Health == board.Alive && !vm.Leaving
	})}
	for _, vm := range ac.vms {
		ac.key += vm.ID + " "
	}
	return ac
}

// isKnown tells whether a VM was heard of, and is not only listed.
func isKnown(view *board.Fleet, vm *board.VM) bool {
	return vm.Incarnation != 0 || vm.ID == view.Self.ID
}

// Accounts is the VMs that account for the engines.
func (fl *Fleet) Accounts() []board.VM {
	if ac := fl.accounts.Load(); ac != nil {
		return ac.vms
	}
	return nil
}

// accountsKey names them.
func (fl *Fleet) accountsKey() string {
	if ac := fl.accounts.Load(); ac != nil {
		return ac.key
	}
	return ""
}

// Before lists the VMs that are asked for a place before this one chooses by
// itself, and tells whether it may: it accounts for the engines too, or all VMs
// tell all.
func (ne *Neighbours) Before() (vms []string, here bool) {
	fl := ne.joined()
	if fl == nil {
		return nil, true
	}
	list := fl.Accounts()
	for _, vm := range list {
		if vm.ID == ne.Self.ID {
			return vms, true
		}
		vms = append(vms, vm.ID)
	}
	return vms, len(list) == 0
}

// Ask asks a VM that accounts for the engines for a place.
func (ne *Neighbours) Ask(ctx context.Context, vm string, ask usage.PlaceAsk) (usage.PlaceAnswer, error) {
	fl := ne.joined()
	if fl == nil {
		return usage.PlaceAnswer{}, errNotJoined
	}
	list := fl.Accounts()
	at := slices.IndexFunc(list, func(other board.VM) bool { return other.ID == vm })
	if at < 0 {
		return usage.PlaceAnswer{}, errNoAccount
	}
	return fl.ask(ctx, list[at], ask)
}
