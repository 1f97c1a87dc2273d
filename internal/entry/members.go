package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"alderdyke/internal/actor"
	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/event"
	"alderdyke/internal/fleet"
	"alderdyke/internal/membership"
	"alderdyke/internal/register"
	"alderdyke/internal/vmlist"
	"alderdyke/pkg/clock"
)

// Intervals of the loops that read the platform.
const (
	listInterval = 1 * clock.Second
	// listIntervalPerEntry is added to the interval between two fetches for each
	// entry of the list, up to maxListInterval, so that a long list that changes
	// often is not fetched in full every second, and the VMs of a large fleet poll
	// less often.
	listIntervalPerEntry = 5 * clock.Millis(1)
	maxListInterval      = 5 * clock.Second
	memberTick           = 100 * clock.Millis(1)
	loggedListFailures   = 5 // consecutive failures before one is logged
)

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

func (vm *VM) initMembers() {
	set := vm.Settings
	dt := &membership.Detector{
		Self: board.VM{
			VMRef:         vm.Self,
			FailureDomain: set.FailureDomain,
			Region:        set.Region,
			Caller:        set.Caller.Advertise.String(),
			Peer:          set.Peer.Advertise.String(),
		},
		Rand: vm.rand(3),
	}
	vm.members = actor.New[membership.Event, membership.Intent](vm.Clock, membership.Tick{}, memberTick)
	vm.members.Step = func(now clock.Millis, ev membership.Event) []membership.Intent {
		pauses := dt.Counters.Pauses
		out := dt.Step(now, ev)
		if dt.Counters.Pauses > pauses {
			vm.Log.Log(event.ProcessPaused)
		}
		return out
	}
	vm.members.Execute = vm.handleMembershipIntent
	vm.members.WakeTime = actor.WakeTimeFunc[membership.Intent](func(wk membership.Wake) clock.Millis { return wk.At })
}

// handleMembershipIntent executes an intent of the failure detector.
func (vm *VM) handleMembershipIntent(in membership.Intent) {
	switch in := in.(type) {
	case membership.Send:
		vm.Peers.SendDatagram(in.To, in.Datagram) // errors are ignored: membership tolerates lost datagrams
	case membership.QuorumDeadline:
		vm.quorateUntil.Store(int64(in.Until))
	case membership.DeathRefuted:
		vm.Log.Log(event.HeldDead)
		vm.refuted.raise()
	case membership.Replaced:
		vm.Log.Log(event.Replaced, event.F("Incarnation", in.Incarnation))
		vm.beginStop()
	case membership.FleetChanged:
		old := vm.Board.Fleet()
		fleet.LogChanges(vm.Log, old, in.Fleet)
		vm.Board.SetFleet(in.Fleet)
		vm.sendCatchUp(old, in.Fleet)
		vm.fleetChanged.raise()
	}
}

// startLoops starts the decision loops and the loops that supply their events.
func (vm *VM) startLoops(ctx context.Context) {
	for _, run := range []func(context.Context){
		vm.members.Run, vm.templateFollower.ac.Run, vm.leaseFollower.ac.Run,
		vm.forwardFleet, vm.pollList, vm.readSeats, vm.pollPlainLoad, vm.poison.Share,
	} {
		vm.wg.Go(func() { run(ctx) })
	}
	if seeds := vm.seedVMs(); len(seeds) > 0 {
		vm.members.Send(ctx, membership.Listed{VMs: seeds})
	}
}

// seedVMs returns the VMs from the settings. Only their addresses are known until
// they respond.
func (vm *VM) seedVMs() []board.VM {
	var out []board.VM
	for _, addr := range vm.Settings.Peer.Seeds {
		if addr != vm.Settings.Peer.Advertise {
			out = append(out, board.VM{VMRef: board.VMRef{ID: seedID(addr)}, Peer: addr.String()})
		}
	}
	return out
}

func seedID(addr netip.AddrPort) string { return fmt.Sprintf("seed-%s", addr) }

// forwardFleet forwards each change of the fleet to the decision loops that need it.
func (vm *VM) forwardFleet(ctx context.Context) {
	for {
		moved := vm.fleetChanged.wait()
		fl := vm.Board.Fleet()
		vm.templateFollower.ac.Send(ctx, register.FleetChanged{Fleet: fl})
		vm.leaseFollower.ac.Send(ctx, register.FleetChanged{Fleet: fl})
		vm.book.Send(ctx, claim.FleetChanged{Fleet: fl})
		vm.scheduler.updateCells(ctx)
		select {
		case <-ctx.Done():
			return
		case <-moved:
		}
	}
}

// pollList polls the platform's VM list. If a fetch fails, the last list stays in
// use.
func (vm *VM) pollList(ctx context.Context) {
	misses := 0
	rnd := vm.rand(5)
	pause := listInterval
	for {
		list, err := vm.List.Fetch(ctx)
		if err == nil {
			misses = 0
			vm.applyList(ctx, list)
			pause = listDelay(len(list.VMs)+len(list.Servers), rnd)
		} else if misses++; misses == loggedListFailures {
			vm.Log.Log(event.ListUnreachable, event.F("Error", err.Error()))
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// listDelay returns the delay until the next fetch, with jitter so that the VMs do
// not all poll at the same time.
func listDelay(entries int, rnd *rand.Rand) clock.Millis {
	span := min(maxListInterval, max(listInterval, clock.Millis(entries)*listIntervalPerEntry))
	return span - clock.Millis(rnd.Int64N(int64(span)/4))
}

func (vm *VM) applyList(ctx context.Context, list vmlist.List) {
	vm.members.Send(ctx, membership.Listed{VMs: list.VMs})
	vm.backendsMu.Lock()
	old := vm.Board.Backends()
	same := sameServers(old.Servers, list.Servers)
	if !same {
		vm.Board.SetBackends(old.WithServers(list.Servers))
	}
	vm.backendsMu.Unlock()
	if !same {
		vm.incarnations.Retain(func(id string) bool { _, listed := vm.Board.Backends().Server(id); return listed })
		vm.scheduler.updateCells(ctx)
	}
}

// recordReport puts an engine's load report on the board.
func (vm *VM) recordReport(rp board.LoadReport) {
	vm.backendsMu.Lock()
	defer vm.backendsMu.Unlock()
	vm.Board.SetBackends(vm.Board.Backends().WithReport(rp))
}

func sameServers(la, lb []board.BackendServer) bool {
	if len(la) != len(lb) {
		return false
	}
	for ix := range la {
		if la[ix] != lb[ix] {
			return false
		}
	}
	return true
}
