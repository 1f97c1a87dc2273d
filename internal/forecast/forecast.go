// Package forecast computes when model engines will have room for further
// generations, and spreads refused callers over the times at which they will.
//
// A [Forecast] is built from a snapshot of the engines: the runs at each of them,
// the speed at which they grow, the memory and the slots. Each engine is played
// forward: whenever a run ends, as many runs of a typical size begin as fit. That
// gives the times of the next places under unbroken demand. The k-th request in
// order gets the k-th place. Runs end earlier or later than their estimates, so
// each time has an error bound that widens with the distance ([ErrorOf]).
//
// A [Calendar] holds the reservations of refused callers of one service. It learns
// how many new requests come ([Arrivals]) and which part of the callers return at
// their time, and proposes the earliest time at which the forecast has capacity
// that neither expected requests nor earlier reservations use. While places are scarce new
// requests are placed before callers that are due (package usage), so that a reservation is
// a time at which room is likely and no claim to it.
//
// # Usage
//
//	fc := forecast.New(forecast.Snapshot{Engines: engines, Limit: 70000, Margin: 1.06, Typical: run})
//	wait, ok := fc.PlaceAfter(run, func(at clock.Millis) float64 { return before + expected(at) })
//
//	var cal forecast.Calendar
//	cal.ObserveNew(now, priority)
//	after := cal.Propose(now, fc, forecast.Proposal{Waiting: 12, Earliest: 2250, Latest: 4600})
//	cal.Book(now, turn, now+after)
//	outcome := cal.Arrive(now, otherTurn) // a caller returned under a new turn
//	if cal.IsDue(otherTurn) { ... }
//	cal.Use(otherTurn)
//
// Nothing here does I/O or is safe for concurrent use.
package forecast

import (
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// Horizon is how far a forecast reaches. A caller that waits 14 s returns within
	// 4.6 s, and a run lasts about 4 s, so few runs that are still unknown end before
	// it.
	Horizon = 6 * clock.Second
	// baseError is the error of a forecast of the immediate future: the interval
	// between two events of a run, by which its end is known.
	baseError = 60 * clock.Millis(1)
	// errorPart is the part of a forecast wait by which it may be wrong.
	errorPart = 0.2
	// minRelativeSize is the least size of a request, in typical ones, that its place
	// is computed for: a smaller one still needs a slot.
	minRelativeSize = 0.5
	// maxRuns bounds the runs of one engine that are played forward.
	maxRuns = 256
	// maxPlaces bounds the places of one engine. A run lasts about 4 s, so that an engine of
	// 12 slots has about 30 within the horizon; far shorter runs would make a forecast cost
	// more than a scheduler has, and their requests hardly wait.
	maxPlaces = 128
)

type (
	// Run is a generation at an engine.
	Run struct {
		Tokens int // in the engine's memory now
		Left   int // expected number of tokens still to be generated
	}

	// Engine is a decode engine in a snapshot.
	Engine struct {
		Runs  []Run
		Speed float64 // tokens of each run per millisecond
		Slots int     // concurrent runs; zero: unknown
	}

	// Snapshot is the state from which a forecast is built.
	Snapshot struct {
		Engines []Engine
		Limit   int     // memory of an engine that its runs may come to need, in tokens
		Margin  float64 // part by which the growth of one run may exceed its expectation
		Typical Run     // the size of a usual request
	}

	// Forecast gives the times of the next places. It is immutable.
	Forecast struct {
		places  []clock.Millis // ascending, from the time of the snapshot
		typical float64        // weight of the usual request
	}

	// engineState is an engine while it is played forward.
	engineState struct {
		runs    []Run // by Left
		factors []float64
		limit   float64
	}
)

// New builds a forecast. Engines without a speed or a memory limit offer no places.
func New(sn Snapshot) *Forecast {
	fc := &Forecast{typical: weightOf(sn.Typical)}
	st := engineState{factors: growthFactors(sn), limit: float64(sn.Limit)}
	for _, en := range sn.Engines {
		if en.Speed > 0 && sn.Limit > 0 && sn.Typical.Tokens > 0 {
			st.runs = append(st.runs[:0], en.Runs...)
			fc.places = st.play(fc.places, en, sn.Typical)
		}
	}
	slices.Sort(fc.places)
	return fc
}

// growthFactors returns by what the growth of one run is multiplied for the joint
// growth of a number of runs. The margin is relatively smaller for many runs, since
// their lengths vary independently.
func growthFactors(sn Snapshot) []float64 {
	most := 0
	for _, en := range sn.Engines {
		most = max(most, len(en.Runs))
	}
	if sn.Typical.Tokens > 0 {
		most += min(maxRuns, sn.Limit/sn.Typical.Tokens)
	}
	out := make([]float64, most+2)
	for ix := range out {
		out[ix] = float64(ix) + sn.Margin*math.Sqrt(float64(ix))
	}
	return out
}

// play appends the times at which an engine has room for another usual request.
func (st *engineState) play(places []clock.Millis, en Engine, typical Run) []clock.Millis {
	slices.SortFunc(st.runs, func(ra, rb Run) int { return ra.Left - rb.Left })
	grown, end, most := 0, int(en.Speed*float64(Horizon)), len(places)+maxPlaces
	for grown <= end && len(places) < most {
		for (en.Slots == 0 || len(st.runs) < en.Slots) && len(st.runs)+2 < len(st.factors) && st.peakWith(typical) <= st.limit {
			at, _ := slices.BinarySearchFunc(st.runs, typical, func(ra, rb Run) int { return ra.Left - rb.Left })
			st.runs = slices.Insert(st.runs, at, typical)
			places = append(places, clock.Millis(float64(grown)/en.Speed))
		}
		if len(st.runs) == 0 {
			return places
		}
		step := max(1, st.runs[0].Left)
		grown += step
		st.advance(step)
	}
	return places
}

// advance lets all runs generate tokens and removes those that have ended.
func (st *engineState) advance(tokens int) {
	kept := st.runs[:0]
	for _, run := range st.runs {
		if run.Left > tokens {
			kept = append(kept, Run{Tokens: run.Tokens + tokens, Left: run.Left - tokens})
		}
	}
	st.runs = kept
}

// peakWith returns the most memory that the runs need at one time together with one
// that begins now. The need only grows between the ends of two runs, so it is
// evaluated just before each end.
func (st *engineState) peakWith(added Run) float64 {
	held := added.Tokens
	for _, run := range st.runs {
		held += run.Tokens
	}
	most, growing, pending := float64(held), len(st.runs)+1, true
	for _, run := range st.runs {
		if pending && added.Left <= run.Left {
			most = max(most, float64(held)+float64(added.Left)*st.factors[growing])
			held, growing, pending = held-added.Tokens, growing-1, false
		}
		most = max(most, float64(held)+float64(run.Left)*st.factors[growing])
		held, growing = held-run.Tokens, growing-1
	}
	if pending {
		most = max(most, float64(held)+float64(added.Left)*st.factors[growing])
	}
	return most
}

// weightOf returns the memory that a run needs on average over its life.
func weightOf(run Run) float64 { return float64(run.Tokens) + float64(run.Left)/2 }

// RelativeSize returns the size of a request in usual ones.
func (fc *Forecast) RelativeSize(run Run) float64 {
	if fc.typical == 0 {
		return 1
	}
	return max(minRelativeSize, weightOf(run)/fc.typical)
}

// Places returns how many usual requests find a place within a time, under unbroken
// demand.
func (fc *Forecast) Places(within clock.Millis) int {
	at, _ := slices.BinarySearch(fc.places, within+1)
	return at
}

// PlaceAfter returns the time until a request has a place. The function gives how many
// requests are placed before it if it is placed after a time. The result is [Horizon] and
// false if there is no place before that.
func (fc *Forecast) PlaceAfter(run Run, before func(at clock.Millis) float64) (clock.Millis, bool) {
	size := fc.RelativeSize(run)
	for ix, at := range fc.places {
		if float64(ix+1) >= before(at)+size {
			return at, true
		}
	}
	return Horizon, false
}

// ErrorOf returns by how much a forecast wait may be wrong.
func ErrorOf(wait clock.Millis) clock.Millis {
	return baseError + clock.Millis(errorPart*float64(wait))
}
