package relay

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/rebalance"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// rebalancedDeviations is the margin, in standard deviations, of the memory that the runs
	// of an engine are expected to need while runs are moved from engines that fill up: it is
	// exceeded in 1 of 20 cases. With 1.0 callers lose less in the simulation without a limit
	// on moves, but a simulated burst needs three times as many, for which the VMs' retry
	// budgets do not suffice (docs/design/rebalancing.md).
	rebalancedDeviations = 1.645
	// marginHold is how long runs must be movable without a break until that margin is used:
	// a scheduler that misses reports now and then keeps the wider one.
	marginHold = clock.Second
)

// The values of [Rebalancing].
const (
	RebalanceOn  Rebalancing = "on"
	RebalanceOff Rebalancing = "off"
)

// Reasons for the margin; values of a field.
const (
	marginMoves        = "Moves" // runs are moved
	marginMovesFail    = "MovesFail"
	marginUsageUnknown = "UsageUnknown"
	marginNoScheduler  = "NoScheduler" // no VM asked this one for places recently
	marginOff          = "Off"         // by the setting, or the engines of the service can't move runs
)

type (
	// Rebalancing states whether schedulers move runs from engines that fill up, and whether
	// VMs carry out such moves; empty: RebalanceOn.
	Rebalancing string

	// rebalancer is what a scheduler knows of the moves of a service's runs.
	rebalancer struct {
		tracker    rebalance.Tracker
		deviations float64        // margin in force; zero: the default
		worksSince clock.Millis   // since when runs are movable; zero: they are not
		requested  map[string]int // moves requested since the last report, by VM
		ownMoves   int            // runs that this VM can move, as of the last decision
		immovable  bool           // there are runs to move, and the budget of no VM pays for any
		engines    []rebalance.Engine
		runs       []usage.VMRun
	}
)

// IsValid reports whether it is one of the known values, or empty.
func (rb Rebalancing) IsValid() bool { return rb == "" || rb == RebalanceOn || rb == RebalanceOff }

// rebalances reports whether this VM takes part in rebalancing. The lock is held.
func (rl *Relay) rebalances() bool {
	return rl.Settings.Rebalance == "" || rl.Settings.Rebalance == RebalanceOn
}

// RunRebalancing decides periodically, until the context ends, which runs move to other
// engines while this VM is a scheduler, and sends each move to the VM that serves the run.
func (rl *Relay) RunRebalancing(ctx context.Context, send func(ask usage.MoveRequest)) {
	for clock.Sleep(ctx, rebalance.Interval) {
		for _, ask := range rl.Rebalance(rl.now()) {
			if ask.VM == "" {
				rl.MoveRun(ask)
				continue
			}
			send(ask)
		}
	}
}

// Rebalance returns the moves to request now, and counts their runs at the destinations too.
// It also adjusts the margins. A VM that is no scheduler requests none.
func (rl *Relay) Rebalance(now clock.Millis) []usage.MoveRequest {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	tb, reason := rl.table.Load(), rl.whyNoMoves(now, rl.recentlyInSync)
	if tb == nil || reason != "" && len(rl.rebalancers) == 0 {
		return nil
	}
	var out []usage.MoveRequest
	for _, name := range slices.Sorted(maps.Keys(rl.pools)) {
		svc := tb.Service(name)
		movable := isMovable(svc)
		if movable && reason == "" {
			out = append(out, rl.planMoves(now, svc)...)
		}
		if rb := rl.rebalancers[name]; rb != nil {
			if !movable {
				rl.adjustMargin(now, name, rb, cmp.Or(reason, marginOff))
				delete(rl.rebalancers, name)
				continue
			}
			rl.adjustMargin(now, name, rb, reason)
		}
	}
	return out
}

// isMovable reports whether the runs of a service can be moved between its engines.
func isMovable(svc route.Service) bool {
	return svc.Engines != nil && svc.Engines.Migration && svc.Engines.MemoryTokens > 0
}

// whyNoMoves returns why this VM requests no moves; empty: it does. The function is
// recentlyInSync. The lock is held.
func (rl *Relay) whyNoMoves(now clock.Millis, inSync func(now clock.Millis) bool) string {
	switch {
	case !rl.rebalances():
		return marginOff
	case !rl.isScheduler(now):
		return marginNoScheduler
	case !inSync(now):
		return marginUsageUnknown
	default:
		return ""
	}
}

// planMoves returns the moves of a service's runs. The lock is held.
func (rl *Relay) planMoves(now clock.Millis, svc route.Service) []usage.MoveRequest {
	rb := rl.rebalancers[svc.Name]
	if rb == nil {
		if rl.rebalancers == nil {
			rl.rebalancers = make(map[string]*rebalancer)
		}
		rb = &rebalancer{requested: make(map[string]int)}
		rl.rebalancers[svc.Name] = rb
	}
	rl.observeMovesOf(now, rb, "")
	rb.ownMoves = rl.movesWithin(svc.Name)
	rl.listEngines(now, svc, rb)
	rb.tracker.Annotate(now, rb.engines)
	var out []usage.MoveRequest
	for _, mv := range rebalance.Plan(rb.engines, rebalance.Horizon) {
		if rl.movesLeft(rb, mv.VM) <= 0 {
			continue // another engine takes its last one
		}
		rb.tracker.Request(now, mv, rl.runCounts(mv.VM))
		rb.requested[mv.VM]++
		if mv.VM != "" { // this VM counts its own moves
			rl.ledger.AssumePlacement(now, mv.VM, rb.runOf(mv), "")
		}
		rl.count("MoveAsks", map[string]string{"Outcome": "Sent"})
		out = append(out, usage.MoveRequest{VM: mv.VM, Service: svc.Name, From: mv.From, To: mv.To, Tokens: mv.Tokens})
	}
	return out
}

// movesLeft returns how many more runs of a service a VM can move: its retry budget pays for
// the arrivals at the destinations. VMs of an earlier build state none. The empty VM is this
// one. The lock is held.
func (rl *Relay) movesLeft(rb *rebalancer, vm string) int {
	if vm == "" {
		return rb.ownMoves - rb.requested[vm]
	}
	return rl.ledger.ReportedMoves(vm) - rb.requested[vm]
}

// runCounts returns a function for the number of a VM's runs at an engine; the empty VM is
// this one. The lock is held, also when the function is called.
func (rl *Relay) runCounts(vm string) rebalance.Counts {
	if vm == "" {
		return rl.ledger.OwnRuns
	}
	return func(engine string) int { return rl.ledger.ReportedRuns(vm, engine) }
}

// listEngines lists the decode engines of a service with their runs. The lock is held.
func (rl *Relay) listEngines(now clock.Millis, svc route.Service, rb *rebalancer) {
	working := rl.poolOf(svc.Name).Decoders(now, "")
	rl.ledger.SetDeviations(rb.deviations) // the projection of runs depends on it
	list := rb.engines[:0]
	runs, payable := 0, 0 // of those that can be moved
	for _, bs := range rl.Backends().Servers {
		if bs.Service != svc.Name || bs.Role != board.Decode {
			continue
		}
		en := rebalance.Engine{ID: bs.ID, Version: bs.Version, Speed: rl.ledger.SpeedAt(bs.ID), Memory: svc.Engines.MemoryTokens, Slots: bs.Slots}
		if len(list) < cap(list) {
			en.Runs = list[:len(list)+1][len(list)].Runs[:0] // of an earlier decision
		}
		_, works := slices.BinarySearch(working, bs.ID)
		en.Closed = !works || rl.isClosed(now, bs.ID)
		rb.runs = rl.ledger.AppendVMRuns(rb.runs[:0], now, bs.ID)
		for _, run := range rb.runs {
			pinned := run.Pinned
			if !pinned {
				left := rl.movesLeft(rb, run.VM)
				if runs++; left+rb.requested[run.VM] > 0 {
					payable++
				}
				pinned = left <= 0
			}
			en.Runs = append(en.Runs, rebalance.Run{VM: run.VM, Tokens: run.Tokens, Left: run.Left, Deviation: run.Deviation, Pinned: pinned})
		}
		list = append(list, en)
	}
	rb.engines, rb.immovable = list, runs > 0 && payable == 0
}

// works reports whether moves are carried out. Where no VM can move a run, none is requested
// that could be seen to fail.
func (rb *rebalancer) works(now clock.Millis) bool { return rb.tracker.Works(now) && !rb.immovable }

// isClosed reports whether an engine that accepts work neither gives nor takes runs: it is
// avoided or failed another VM, has runs that are not known, or computes a prompt, which delays
// copies. The lock is held.
func (rl *Relay) isClosed(now clock.Millis, id string) bool {
	return rl.ledger.Avoided(now, id) || rl.ledger.Failing(now, id) || rl.ledger.Declined(now, id) || rl.ledger.PromptTokens(now, id) > 0
}

// runOf returns the run of a move at its destination.
func (rb *rebalancer) runOf(mv rebalance.Move) usage.Run {
	run := usage.Run{Engine: mv.To, Tokens: mv.Tokens}
	for _, en := range rb.engines {
		if en.ID != mv.From {
			continue
		}
		if ix := slices.IndexFunc(en.Runs, func(ru rebalance.Run) bool { return ru.VM == mv.VM && ru.Tokens == mv.Tokens }); ix >= 0 {
			run.Left, run.Deviation = en.Runs[ix].Left, en.Runs[ix].Deviation
		}
	}
	return run
}

// observeMoves matches the requested moves with a VM's new report. The lock is held.
func (rl *Relay) observeMoves(now clock.Millis, vm string) {
	for _, rb := range rl.rebalancers {
		rl.observeMovesOf(now, rb, vm)
	}
}

// observeMovesOf is observeMoves for one service.
func (rl *Relay) observeMovesOf(now clock.Millis, rb *rebalancer, vm string) {
	delete(rb.requested, vm)
	for range rb.tracker.Observe(now, vm, rl.runCounts(vm)) {
		rl.count("MoveAsks", map[string]string{"Outcome": "Seen"})
	}
}

// adjustMargin sets the margin of a service's engines. The default returns at once when runs
// are not moved. The lock is held.
func (rl *Relay) adjustMargin(now clock.Millis, service string, rb *rebalancer, reason string) {
	if reason == "" && !rb.works(now) {
		reason = marginMovesFail
	}
	deviations := 0.0
	switch {
	case reason != "":
		rb.worksSince = 0
	case rb.worksSince == 0:
		rb.worksSince = now
	}
	if reason == "" && now-rb.worksSince >= marginHold {
		deviations, reason = rebalancedDeviations, marginMoves
	}
	if deviations == rb.deviations {
		return
	}
	rb.deviations = deviations
	rl.ledger.SetDeviations(deviations)
	rl.Log.Log(event.MarginChanged, event.F("Service", service), event.F("Deviations", rl.ledger.Deviations()), event.F("Reason", reason))
	clear(rl.noRoom)
	rl.wakeWaiters()
}

// deviationsOf returns the margin of a service's engines; zero: the default. The ledger holds
// the engines of all services, so each evaluation sets the margin first. The lock is held.
func (rl *Relay) deviationsOf(service string) float64 {
	if rb := rl.rebalancers[service]; rb != nil {
		return rb.deviations
	}
	return 0
}
