package orders

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/pkg/clock"
)

const (
	slots = 20
	step  = 500 * clock.Millis(1)
)

// harness drives one cell with simulated engines that carry out its orders.
type harness struct {
	cell         *Cell
	now          clock.Millis
	engines      []Engine
	demand       func(now clock.Millis) (prefill, decode float64) // work, in units of engines
	runs         map[string]int                                   // requests that never complete on their own
	outcome      func(sd Send) Outcome                            // nil: orders are carried out
	noLease      bool
	neverIdle    bool // a drained engine turns out to run a request that never completes
	alwaysQueued bool // quick requests are queued whatever the load is
	heldCaches   int  // KV caches that each prefill engine keeps unless it is drained

	changes []clock.Millis
	fewest  map[board.Role]int
	intents []Intent
	held    bool
	drained map[string]bool
}

func newHarness(se Settings, prefill, decode int) *harness {
	bn := &harness{
		cell: &Cell{Settings: se}, now: 1000, runs: map[string]int{},
		fewest:  map[board.Role]int{board.Prefill: prefill, board.Decode: decode},
		demand:  func(clock.Millis) (float64, float64) { return 0, 0 },
		drained: map[string]bool{},
	}
	for ix := range prefill + decode {
		role := board.Prefill
		if ix >= prefill {
			role = board.Decode
		}
		bn.engines = append(bn.engines, Engine{ID: fmt.Sprintf("e%02d", ix), Role: role, Usable: true, ChecksFencing: ix%2 == 0, Slots: slots})
	}
	return bn
}

// run advances the time, with an observation in each step.
func (bn *harness) run(span clock.Millis) {
	for end := bn.now + span; bn.now < end; bn.now += step {
		bn.step(bn.observe())
	}
}

func (bn *harness) observe() Observed {
	prefill, decode := bn.demand(bn.now)
	po := poolsOf(bn.engines)
	busy := min(float64(po.prefill), prefill)
	full := min(1, decode/float64(max(1, po.decode)))
	ob := Observed{}
	for _, eng := range bn.engines {
		eng.RoleAt, eng.Granted = bn.now, bn.runs[eng.ID]
		switch {
		case eng.Role == board.Decode:
			eng.Running = int(full * slots)
		case busy >= 1:
			eng.Queued, busy = 1, busy-1
		}
		if eng.Role == board.Prefill && !bn.drained[eng.ID] {
			eng.Granted += bn.heldCaches
		}
		ob.Engines = append(ob.Engines, eng)
	}
	if bn.alwaysQueued || prefill > float64(po.prefill) || decode > float64(po.decode) {
		ob.Quick = 3
	}
	return ob
}

func (bn *harness) step(ev Event) {
	for _, in := range bn.cell.Step(bn.now, ev) {
		bn.intents = append(bn.intents, in)
		switch in := in.(type) {
		case WantLease:
			if in.Hold && !bn.noLease {
				bn.held = true
				bn.step(LeaseHeld{Token: uint64(bn.now)})
			} else if bn.held {
				bn.held = false
				bn.step(LeaseLapsed{})
			}
		case Drain:
			bn.drained[in.Server] = in.Stop
			if bn.neverIdle && in.Stop {
				bn.runs[in.Server] = 1
			}
			if !in.Stop {
				delete(bn.runs, in.Server)
			}
		case Inspect:
			eng := bn.engine(in.Server)
			bn.step(Inspected{Server: in.Server, Asked: bn.now, Runs: bn.runs[in.Server], Role: eng.Role, RoleAt: bn.now})
		case Send:
			bn.step(Sent{Server: in.Server, Outcome: bn.carryOut(in)})
		}
	}
}

func (bn *harness) carryOut(sd Send) Outcome {
	if bn.outcome != nil {
		if oc := bn.outcome(sd); oc.Reason != CarriedOut {
			return oc
		}
	}
	eng := bn.engine(sd.Server)
	if sd.Order.Kind == engine.ChangeRole && eng.Role != sd.Order.Role {
		eng.Role = sd.Order.Role
		bn.changes = append(bn.changes, bn.now)
		po := poolsOf(bn.engines)
		for role, few := range bn.fewest {
			bn.fewest[role] = min(few, po.count(role))
		}
	}
	return Outcome{Role: eng.Role}
}

func (bn *harness) engine(id string) *Engine {
	for ix := range bn.engines {
		if bn.engines[ix].ID == id {
			return &bn.engines[ix]
		}
	}
	panic("no engine " + id)
}

// swing returns a load that is all prefill for half of the period and all decode for
// the other half.
func swing(period clock.Millis, size float64) func(clock.Millis) (float64, float64) {
	return func(now clock.Millis) (float64, float64) {
		if now%period < period/2 {
			return size, 0.2
		}
		return 0.2, size
	}
}

func TestRolesFollowALastingLoad(t *testing.T) {
	bn := newHarness(Settings{Dwell: 2 * clock.Minute}, 6, 2)
	bn.demand = func(clock.Millis) (float64, float64) { return 1.5, 4.5 }
	bn.run(clock.Hour)
	po := poolsOf(bn.engines)
	assert.Assert(t, po.decode >= 4 && po.prefill >= 2, "%+v", po)
	// Once the roles fit the load they stay.
	assert.Assert(t, len(bn.changes) <= 3, "%d changes", len(bn.changes))
}

// If a cell is short of decode slots, KV caches wait at its prefill engines. These
// engines are idle all the same, and one of them can be spared.
func TestRolesFollowALoadWhoseKVCachesWait(t *testing.T) {
	bn := newHarness(Settings{Dwell: 2 * clock.Minute}, 6, 2)
	bn.demand = func(clock.Millis) (float64, float64) { return 1.5, 4.5 }
	bn.heldCaches = 2
	bn.run(clock.Hour)
	po := poolsOf(bn.engines)
	assert.Assert(t, po.decode >= 4 && po.prefill >= 2, "%+v", po)
	assert.Assert(t, len(bn.changes) <= 3, "%d changes", len(bn.changes))
}

// dippingLoad runs a cell close to the threshold until it wants the lease, and removes
// the load for a span at the moment at which the engine is chosen.
func dippingLoad(span clock.Millis) (bn *harness, wanted clock.Millis) {
	bn = newHarness(Settings{Dwell: 2 * clock.Minute}, 6, 2)
	bn.alwaysQueued = true
	load := func(clock.Millis) (float64, float64) { return 1.5, 1.9 }
	bn.demand = load
	for bn.cell.current == nil {
		bn.run(step)
	}
	wanted = bn.now
	bn.run(9 * clock.Second)
	bn.demand = func(clock.Millis) (float64, float64) { return 1.5, 0 }
	bn.run(span)
	bn.demand = load
	return bn, wanted
}

// If the load is below its threshold only briefly while the engine is chosen, the
// change is made a little later rather than abandoned.
func TestLoadThatDipsKeepsItsChange(t *testing.T) {
	bn, wanted := dippingLoad(clock.Second)
	bn.run(20 * clock.Second)
	assert.Equal(t, len(bn.changes), 1)
	assert.Assert(t, bn.changes[0]-wanted < 20*clock.Second, "%v", bn.changes[0]-wanted)
}

// If the load does not return, the change is abandoned and the lease is released.
func TestLoadThatIsGoneEndsItsChange(t *testing.T) {
	bn, wanted := dippingLoad(21 * clock.Second)
	assert.Equal(t, len(bn.changes), 0)
	assert.Assert(t, bn.cell.current == nil && !bn.held)
	bn.run(wanted + 2*clock.Minute - bn.now)
	assert.Equal(t, len(bn.changes), 0, "a change before the next dwell is over")
}

// hourly runs a swinging load for some hours and returns the maximum number of changes
// in any hour.
func hourly(bn *harness, hours int) int {
	bn.run(clock.Millis(hours) * clock.Hour)
	most := 0
	for ix, from := range bn.changes {
		count := 0
		for _, at := range bn.changes[ix:] {
			if at < from+clock.Hour {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func TestNoThrashUnderASwingingLoad(t *testing.T) {
	dwell := 2 * clock.Minute
	// Two changes that undo each other are at least SpareFor apart, and a change in the
	// same direction as the last one waits for the dwell: with four engines of each
	// role at most three follow one another.
	bound := 3*int(clock.Hour/(3*dwell+2*dwell)) + 3
	for _, period := range []clock.Millis{5 * clock.Second, 20 * clock.Second, clock.Minute, 2 * clock.Minute, 4 * clock.Minute, 10 * clock.Minute, clock.Hour} {
		bn := newHarness(Settings{Dwell: dwell}, 4, 4)
		bn.demand = swing(period, 7)
		most := hourly(bn, 4)
		t.Logf("period %v: %d changes in 4 h, at most %d in an hour, fewest %v", period, len(bn.changes), most, bn.fewest)
		assert.Assert(t, most <= bound, "period %v: %d changes in an hour", period, most)
		if period <= 6*dwell {
			assert.Equal(t, len(bn.changes), 0, "period %v", period)
		}
		assert.Assert(t, bn.fewest[board.Prefill] >= 1 && bn.fewest[board.Decode] >= 1)
	}
}

func TestGuardsAgainstThrashAreNeeded(t *testing.T) {
	dwell := 2 * clock.Minute
	for name, broken := range map[string]guards{"NoWindow": {noWindow: true, noSpareFor: true}, "NoSpareFor": {noSpareFor: true}} {
		bn := newHarness(Settings{Dwell: dwell}, 4, 4)
		bn.cell.disabled = broken
		bn.demand = swing(2*clock.Minute, 7)
		if broken.noWindow {
			assert.Assert(t, hourly(bn, 1) > 0, "%s is not caught", name)
			continue
		}
		assert.Equal(t, hourly(bn, 1), 0, "the window alone must prevent changes under this swing")
		bn = newHarness(Settings{Dwell: dwell}, 4, 4)
		bn.cell.disabled = broken
		bn.demand = swing(10*clock.Minute, 7)
		most := hourly(bn, 4)
		t.Logf("%s: period 10m: %d changes in 4 h, at most %d in an hour", name, len(bn.changes), most)
		assert.Assert(t, most > 0, "%s is not caught", name)
	}
	few := 0
	for _, noDwell := range []bool{false, true} {
		bn := newHarness(Settings{Dwell: dwell, Window: 5 * clock.Second, SpareFor: 1}, 8, 8)
		bn.cell.disabled = guards{noDwell: noDwell}
		bn.demand = swing(2*clock.Minute, 14)
		most := hourly(bn, 1)
		if !noDwell {
			few = most
			assert.Assert(t, most <= int(clock.Hour/dwell)+1)
			continue
		}
		assert.Assert(t, most > int(clock.Hour/dwell)+1, "%d changes in an hour without the dwell, %d with it", most, few)
	}
}

// Under any load, each role keeps its minimum of engines, no engine changes while it
// runs something, and one order of the cell is in progress at a time.
func TestBoundsUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		least := rapid.IntRange(1, 3).Draw(rt, "Least")
		prefill := rapid.IntRange(least, 8).Draw(rt, "Prefill")
		decode := rapid.IntRange(least, 8).Draw(rt, "Decode")
		bn := newHarness(Settings{Dwell: 2 * clock.Minute, MinEngines: least}, prefill, decode)
		load := [2]float64{}
		bn.demand = func(clock.Millis) (float64, float64) { return load[0], load[1] }
		bn.outcome = func(sd Send) Outcome {
			if eng := bn.engine(sd.Server); eng.Role != sd.Order.Role && bn.runs[sd.Server] > 0 {
				rt.Fatalf("engine %s changes its role with %d running requests", sd.Server, bn.runs[sd.Server])
			}
			return Outcome{}
		}
		for range 12 {
			load = [2]float64{rapid.Float64Range(0, 9).Draw(rt, "PrefillLoad"), rapid.Float64Range(0, 9).Draw(rt, "DecodeLoad")}
			for _, eng := range bn.engines {
				bn.runs[eng.ID] = rapid.IntRange(0, 1).Draw(rt, "Runs")
			}
			bn.run(clock.Millis(rapid.IntRange(1, 6).Draw(rt, "Minutes")) * clock.Minute)
		}
		if bn.fewest[board.Prefill] < least || bn.fewest[board.Decode] < least {
			rt.Fatalf("fewest engines by role: %v", bn.fewest)
		}
		for ix := 1; ix < len(bn.changes); ix++ {
			if bn.changes[ix]-bn.changes[ix-1] < 2*clock.Minute {
				rt.Fatalf("changes less than a dwell apart: %v", bn.changes)
			}
		}
	})
}

// shortDecode returns a harness whose load requires decode engines.
func shortDecode(prefill, decode int) *harness {
	bn := newHarness(Settings{Dwell: 2 * clock.Minute, SpareFor: 1}, prefill, decode)
	bn.demand = func(clock.Millis) (float64, float64) { return 0, 99 }
	return bn
}

func TestMinimumIsKept(t *testing.T) {
	bn := shortDecode(3, 1)
	bn.run(4 * clock.Hour)
	assert.Equal(t, bn.fewest[board.Prefill], 1)
	assert.Equal(t, len(bn.changes), 2)

	bn = shortDecode(1, 1)
	bn.cell.disabled.noMinimum = true
	bn.cell.trend.shortRole = board.Decode
	_, ok := bn.cell.pickEngine(board.Decode)
	assert.Assert(t, !ok)
	bn.step(bn.observe())
	_, ok = bn.cell.pickEngine(board.Decode)
	assert.Assert(t, ok, "the last engine is kept even without the guard")
	bn.cell.disabled.noMinimum = false
	_, ok = bn.cell.pickEngine(board.Decode)
	assert.Assert(t, !ok)
}

func TestARoleThatLostItsEnginesGetsOne(t *testing.T) {
	bn := newHarness(Settings{Dwell: 2 * clock.Minute}, 3, 1)
	bn.engine("e03").Usable = false
	bn.run(30 * clock.Minute)
	assert.Equal(t, poolsOf(bn.engines).decode, 1)
	assert.Equal(t, len(bn.changes), 1)
}

func TestABusyEngineIsNotChanged(t *testing.T) {
	for _, noDrain := range []bool{false, true} {
		bn := shortDecode(2, 2)
		bn.neverIdle = true
		bn.cell.disabled.noDrain = noDrain
		bn.run(20 * clock.Minute)
		assert.Equal(t, len(bn.changes) > 0, noDrain)
		stops, goes := 0, 0
		for _, in := range bn.intents {
			if dr, ok := in.(Drain); ok && dr.Stop {
				stops++
			} else if ok {
				goes++
			}
		}
		assert.Assert(t, stops > 0)
		assert.Equal(t, stops, goes, "not every drained engine gets new work again")
	}
}

func TestOutcomesOfAnOrder(t *testing.T) {
	change := func(sd Send) bool { return sd.Order.Role == board.Decode && sd.Server == "e00" }
	for _, tc := range []struct {
		name    string
		first   []Outcome
		effect  bool // of the first order, although its reply says otherwise
		changes int
		sends   int
	}{
		{"CarriedOut", nil, false, 1, 1},
		{"ReplyLostAfterEffect", []Outcome{{Reason: InDoubt}}, true, 1, 1},
		{"LostBeforeEffect", []Outcome{{Reason: InDoubt}}, false, 1, 2},
		{"LostTwice", []Outcome{{Reason: InDoubt}, {Reason: InDoubt}}, false, 1, 3},
		{"NotSent", []Outcome{{Reason: Declined}}, false, 1, 2},
		{"Fenced", []Outcome{{Reason: Fenced}}, false, 0, 1},
		{"DoubtThenFenced", []Outcome{{Reason: InDoubt}, {Reason: Fenced}}, false, 0, 2},
		{"Withheld", []Outcome{{Reason: LeaseLost}}, false, 0, 1},
		{"Refused", []Outcome{{Reason: Declined, Decline: "Refused"}}, false, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bn := shortDecode(3, 1)
			var fences []uint64
			bn.outcome = func(sd Send) Outcome {
				if !change(sd) {
					return Outcome{}
				}
				fences = append(fences, sd.Order.Fence)
				if len(fences) > len(tc.first) {
					return Outcome{}
				}
				if tc.effect {
					bn.engine(sd.Server).Role = sd.Order.Role
					bn.changes = append(bn.changes, bn.now)
				}
				return tc.first[len(fences)-1]
			}
			bn.run(4 * clock.Minute) // one change at most
			assert.Equal(t, len(bn.changes), tc.changes)
			assert.Equal(t, len(fences), tc.sends)
			for _, fence := range fences {
				assert.Equal(t, fence, fences[0], "a repeat must have the first token")
			}
			assert.Assert(t, !bn.held, "the lease was not released")
			assert.Assert(t, bn.cell.current == nil)
		})
	}
}

// While the effect of an order is in doubt, no other order is given.
func TestNoOtherOrderInDoubt(t *testing.T) {
	for _, noDoubt := range []bool{false, true} {
		bn := shortDecode(5, 1)
		bn.cell.disabled.noDoubt = noDoubt
		doubtful := map[string]bool{}
		bn.outcome = func(sd Send) Outcome {
			if sd.Order.Role == board.Decode && bn.engine(sd.Server).Role == board.Prefill {
				doubtful[sd.Server] = true
				return Outcome{Reason: InDoubt}
			}
			return Outcome{}
		}
		for len(doubtful) == 0 {
			bn.run(step)
		}
		// The engine no longer reports anything.
		for id := range doubtful {
			bn.engine(id).Role, bn.engine(id).Usable = "", false
		}
		bn.run(30 * clock.Minute)
		assert.Equal(t, len(doubtful) > 1, noDoubt)
	}
}

func TestWithoutTheLeaseNothingIsOrdered(t *testing.T) {
	bn := shortDecode(3, 1)
	bn.noLease = true
	bn.run(clock.Hour)
	for _, in := range bn.intents {
		switch in.(type) {
		case Send, Drain:
			t.Fatalf("intent %#v without the lease", in)
		}
	}
}

func TestOrdersOfOperators(t *testing.T) {
	bn := newHarness(Settings{NoRoleChanges: true}, 1, 1)
	bn.step(bn.observe())
	for ix, kind := range []engine.OrderKind{engine.LoadModel, engine.LoadAdapter, engine.LoadVersion} {
		bn.step(OperatorOrder{ID: fmt.Sprint(ix), Server: "e00", Order: engine.Order{Kind: kind, Name: "m"}})
	}
	bn.step(OperatorOrder{ID: "none", Server: "e77", Order: engine.Order{Kind: engine.LoadModel, Name: "m"}})
	bn.run(2 * clock.Minute)
	got := map[string]Reason{}
	for _, in := range bn.intents {
		if an, ok := in.(OperatorReply); ok {
			got[an.ID] = an.Reason
		}
	}
	assert.DeepEqual(t, got, map[string]Reason{"0": CarriedOut, "1": CarriedOut, "2": CarriedOut, "none": UnknownEngine})
	assert.Assert(t, !bn.held)
}

// When a lease lapses, every order that was not sent under it ends, and an order in
// doubt is not sent again under another lease.
func TestALapsedLeaseEndsWhatItBegan(t *testing.T) {
	bn := shortDecode(3, 1)
	bn.neverIdle = true
	for bn.cell.current == nil || bn.cell.current.phase != draining {
		bn.run(step)
	}
	bn.step(LeaseLapsed{})
	assert.Assert(t, bn.cell.current == nil && len(bn.runs) == 0, "the drain continues")
	bn.step(LeaseHeld{Token: 1 << 40})
	bn.run(10 * clock.Second)
	assert.Equal(t, len(bn.changes), 0)

	bn = shortDecode(3, 1)
	sends := 0
	bn.outcome = func(sd Send) Outcome {
		if sd.Order.Role != board.Decode || sd.Server != "e00" {
			return Outcome{}
		}
		if sends++; sends == 1 {
			bn.step(LeaseLapsed{})
			bn.step(LeaseHeld{Token: 1 << 40})
		}
		return Outcome{Reason: InDoubt}
	}
	for sends == 0 {
		bn.run(step)
	}
	bn.run(30 * clock.Second)
	assert.Equal(t, sends, 1)
	assert.Assert(t, bn.cell.current == nil, "the engine's report did not resolve the doubt")
}
