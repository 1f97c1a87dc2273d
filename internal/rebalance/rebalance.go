// Package rebalance decides which runs move between the decode engines of a service.
//
// The lengths of answers are uncertain, so some engines run out of memory while others
// have room. An engine that does so preempts a run, which pauses for longer than its
// caller accepts. [Plan] looks a short time ahead, in which the growth of runs is almost
// certain, and moves a run from each engine that will be full to one that will have room.
// With that, admission needs a smaller margin for the uncertainty of lengths. A [Tracker]
// remembers the requested moves and tells whether they are carried out, without which the
// smaller margin must not be used.
//
// # Usage
//
//	var tr rebalance.Tracker
//	tr.Annotate(now, engines) // closes engines with a pending move, counts the moves of runs
//	for _, mv := range rebalance.Plan(engines, rebalance.Horizon) {
//		tr.Request(now, mv, counts)
//		send(mv) // to mv.VM
//	}
//	tr.Observe(now, vm, counts) // on each report of a VM
//	if tr.Works(now) { ... }    // admission may use the smaller margin
//
// Nothing here does I/O or is safe for concurrent use. The zero Tracker is ready.
package rebalance

import (
	"cmp"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// Horizon is how far ahead the memory of the engines is projected. It covers the time
	// from one decision to the next and that of a move, in which an engine of 9 runs grows
	// by 3% of its memory.
	Horizon = 200 * clock.Millis(1)
	// Interval is the time between two decisions.
	Interval = 50 * clock.Millis(1)
	// SourceLimit is the part of its memory that an engine is expected to hold above which
	// it gives a run away.
	SourceLimit = 0.985
	// DestinationLimit is the same up to which an engine takes a run, with the run included.
	// The distance to SourceLimit keeps runs from being moved back and forth: an engine
	// that took a run has to grow before it gives one.
	DestinationLimit = 0.97
	// MaxMoves is how often a run is moved in its lifetime. Each move pauses its stream.
	MaxMoves = 2
)

type (
	// Run is a generation at a decode engine.
	Run struct {
		VM        string // that serves it
		Tokens    int    // in the engine's memory now
		Left      int    // expected number of tokens still to be generated
		Deviation int    // standard deviation of Left; zero: unknown
		Moves     int    // how often it was moved
		Pinned    bool   // it cannot be moved, for example because its prompt is being computed
	}

	// Engine is a decode engine of a service.
	Engine struct {
		ID, Version string
		Runs        []Run
		Speed       float64 // tokens per millisecond and run; zero: not known, no growth is assumed
		Memory      int     // in tokens
		Slots       int     // most runs at a time; zero: unlimited
		// Closed engines neither give nor take runs: they are avoided, failing, leaving,
		// compute a prompt themselves or have a move pending.
		Closed bool
	}

	// Move is a run that is to be moved between two engines.
	Move struct {
		VM, From, To string
		Tokens       int // of the run now
	}

	// engineState is an engine while moves are planned.
	engineState struct {
		*Engine
		need float64 // memory that is expected to be held within the horizon
		used bool    // it already gives or takes a run
	}
)

// Plan returns the moves to request now. The fullest engine comes first; its smallest run
// moves to the engine that will hold the least. An engine gives or takes at most one run.
// The result depends on the state alone, not on the order of the engines or runs.
func Plan(engines []Engine, horizon clock.Millis) []Move {
	states := make([]engineState, 0, len(engines))
	full := false
	for ix := range engines {
		if en := &engines[ix]; !en.Closed && en.Memory > 0 {
			es := engineState{Engine: en, need: en.needWithin(horizon)}
			full = full || es.isFull()
			states = append(states, es)
		}
	}
	if !full {
		return nil
	}
	slices.SortFunc(states, func(ea, eb engineState) int {
		return cmp.Or(cmp.Compare(eb.fill(eb.need), ea.fill(ea.need)), cmp.Compare(ea.ID, eb.ID))
	})
	var moves []Move
	for ix := range states {
		src := &states[ix]
		if !src.isFull() {
			break
		}
		run := src.runToMove(horizon)
		if run == nil || src.used {
			continue
		}
		if dst := destinationOf(states[ix+1:], src, run, horizon); dst != nil {
			src.used, dst.used = true, true
			moves = append(moves, Move{VM: run.VM, From: src.ID, To: dst.ID, Tokens: run.Tokens})
		}
	}
	return moves
}

// destinationOf returns the engine that holds the least with the run included and that
// has room for it; nil if there is none. The engines are sorted by their fill, the fullest first.
func destinationOf(states []engineState, src *engineState, run *Run, horizon clock.Millis) *engineState {
	var best *engineState
	least := DestinationLimit
	for ix := range states {
		es := &states[ix]
		if es.used || es.Version != src.Version || es.Slots > 0 && len(es.Runs) >= es.Slots {
			continue
		}
		if with := es.fill(es.need + run.needAfter(es.growthWithin(horizon))); with <= least && (best == nil || with < least) {
			best, least = es, with
		}
	}
	return best
}

func (es *engineState) isFull() bool { return es.fill(es.need) > SourceLimit }

// fill returns the part of the engine's memory that some tokens take.
func (es *engineState) fill(tokens float64) float64 { return tokens / float64(es.Memory) }

// growthWithin returns the tokens that each run of the engine generates within a time.
func (en *Engine) growthWithin(span clock.Millis) float64 { return en.Speed * float64(span) }

// needWithin returns the memory that the runs of the engine need within a time.
func (en *Engine) needWithin(horizon clock.Millis) float64 {
	grown, sum := en.growthWithin(horizon), 0.0
	for ix := range en.Runs {
		sum += en.Runs[ix].needAfter(grown)
	}
	return sum
}

// needAfter returns the tokens of a run in memory after it has generated some, at most
// those that it has left.
func (ru *Run) needAfter(grown float64) float64 {
	return float64(ru.Tokens) + min(grown, float64(max(ru.Left, 0)))
}

// runToMove returns the smallest run of the engine that can be moved and does not end
// within the horizon; nil if there is none.
func (en *Engine) runToMove(horizon clock.Millis) *Run {
	var best *Run
	grown := en.growthWithin(horizon)
	for ix := range en.Runs {
		ru := &en.Runs[ix]
		if ru.Pinned || ru.Moves >= MaxMoves || float64(ru.Left) <= grown {
			continue
		}
		if best == nil || ru.compare(best) < 0 {
			best = ru
		}
	}
	return best
}

// compare orders the runs of an engine by the preference to move them.
func (ru *Run) compare(other *Run) int {
	return cmp.Or(cmp.Compare(ru.Tokens, other.Tokens), cmp.Compare(other.Left, ru.Left), cmp.Compare(ru.Moves, other.Moves), cmp.Compare(ru.VM, other.VM))
}
