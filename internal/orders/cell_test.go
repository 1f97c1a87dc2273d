package orders

import (
	"fmt"
	"slices"
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
	neverIdle    bool           // a drained engine runs a request that never completes
	alwaysQueued bool           // quick requests are queued whatever the load is
	holdDrained  bool           // drains are not confirmed
	grants       map[string]int // granted requests that the engines do not have yet
	heldCaches   int            // KV caches that each prefill engine keeps unless it is drained

	changes []clock.Millis     // times of the changes of role
	fewest  map[board.Role]int // smallest number of usable engines of each role so far
	intents []Intent
	held    bool // whether the lease is held
	drained map[string]bool
}

func newHarness(se Settings, prefill, decode int) *harness {
	ha := &harness{
		cell: &Cell{Settings: se}, now: 1000, runs: map[string]int{},
		fewest:  map[board.Role]int{board.Prefill: prefill, board.Decode: decode},
		demand:  func(clock.Millis) (float64, float64) { return 0, 0 },
		drained: map[string]bool{},
		grants:  map[string]int{},
	}
	for ix := range prefill + decode {
		role := board.Prefill
		if ix >= prefill {
			role = board.Decode
		}
		ha.engines = append(ha.engines, Engine{ID: fmt.Sprintf("e%02d", ix), Role: role, Usable: true, ChecksFencing: ix%2 == 0, Slots: slots})
	}
	return ha
}

// run advances the time, with an observation in each step.
func (ha *harness) run(span clock.Millis) {
	for end := ha.now + span; ha.now < end; ha.now += step {
		ha.step(ha.observe())
	}
}

func (ha *harness) observe() Observed {
	prefill, decode := ha.demand(ha.now)
	po := poolsOf(ha.engines)
	busy := min(float64(po.prefill), prefill)
	full := min(1, decode/float64(max(1, po.decode)))
	ob := Observed{At: ha.now}
	for _, eng := range ha.engines {
		eng.RoleAt, eng.Granted = ha.now, ha.runs[eng.ID]+ha.grants[eng.ID]
		switch {
		case eng.Role == board.Decode:
			eng.Running = int(full * slots)
		case busy >= 1:
			eng.Queued, busy = 1, busy-1
		}
		if eng.Role == board.Prefill && !ha.drained[eng.ID] {
			eng.Granted += ha.heldCaches
		}
		ob.Engines = append(ob.Engines, eng)
	}
	if ha.alwaysQueued || prefill > float64(po.prefill) || decode > float64(po.decode) {
		ob.Quick = 3
	}
	return ob
}

func (ha *harness) step(ev Event) {
	for _, in := range ha.cell.Step(ha.now, ev) {
		ha.intents = append(ha.intents, in)
		switch in := in.(type) {
		case WantLease:
			if in.Hold && !ha.noLease {
				ha.held = true
				ha.step(LeaseHeld{Token: uint64(ha.now)})
			} else if ha.held {
				ha.held = false
				ha.step(LeaseLapsed{})
			}
		case Drain:
			ha.drained[in.Server] = in.Stop
			if ha.neverIdle && in.Stop {
				ha.runs[in.Server] = 1
			}
			if !in.Stop {
				delete(ha.runs, in.Server)
				break
			}
			if !ha.holdDrained {
				ha.step(Drained{Server: in.Server, At: ha.now})
			}
		case Inspect:
			eng := ha.engine(in.Server)
			ha.step(Inspected{Server: in.Server, Asked: ha.now, Runs: ha.runs[in.Server], Role: eng.Role, RoleAt: ha.now})
		case Send:
			ha.step(Sent{Server: in.Server, Outcome: ha.carryOut(in)})
		}
	}
}

func (ha *harness) carryOut(sd Send) Outcome {
	if ha.outcome != nil {
		if oc := ha.outcome(sd); oc.Reason != CarriedOut {
			return oc
		}
	}
	eng := ha.engine(sd.Server)
	if sd.Order.Kind == engine.ChangeRole && eng.Role != sd.Order.Role {
		eng.Role = sd.Order.Role
		ha.changes = append(ha.changes, ha.now)
		po := poolsOf(ha.engines)
		for role, few := range ha.fewest {
			ha.fewest[role] = min(few, po.count(role))
		}
	}
	return Outcome{Role: eng.Role}
}

func (ha *harness) engine(id string) *Engine {
	for ix := range ha.engines {
		if ha.engines[ix].ID == id {
			return &ha.engines[ix]
		}
	}
	panic("no engine " + id)
}

// swingingLoad returns a load that is all prefill for half of the period and all decode
// for the other half.
func swingingLoad(period clock.Millis, size float64) func(clock.Millis) (float64, float64) {
	return func(now clock.Millis) (float64, float64) {
		if now%period < period/2 {
			return size, 0.2
		}
		return 0.2, size
	}
}

func TestRolesFollowALastingLoad(t *testing.T) {
	ha := newHarness(Settings{Dwell: 2 * clock.Minute}, 6, 2)
	ha.demand = func(clock.Millis) (float64, float64) { return 1.5, 4.5 }
	ha.run(clock.Hour)
	po := poolsOf(ha.engines)
	assert.Assert(t, po.decode >= 4 && po.prefill >= 2, "%+v", po)
	// Once the roles fit the load they stay.
	assert.Assert(t, len(ha.changes) <= 3, "%d changes", len(ha.changes))
}

// If a cell is short of decode slots, KV caches wait at its prefill engines. These
// engines are idle all the same, and one of them can be spared.
func TestRolesFollowALoadWhoseKVCachesWait(t *testing.T) {
	ha := newHarness(Settings{Dwell: 2 * clock.Minute}, 6, 2)
	ha.demand = func(clock.Millis) (float64, float64) { return 1.5, 4.5 }
	ha.heldCaches = 2
	ha.run(clock.Hour)
	po := poolsOf(ha.engines)
	assert.Assert(t, po.decode >= 4 && po.prefill >= 2, "%+v", po)
	assert.Assert(t, len(ha.changes) <= 3, "%d changes", len(ha.changes))
}

// dippingLoad runs a cell close to the threshold until it wants the lease, and removes
// the load for a span at the moment at which the engine is chosen.
func dippingLoad(span clock.Millis) (ha *harness, wanted clock.Millis) {
	ha = newHarness(Settings{Dwell: 2 * clock.Minute}, 6, 2)
	ha.alwaysQueued = true
	load := func(clock.Millis) (float64, float64) { return 1.5, 1.9 }
	ha.demand = load
	for ha.cell.current == nil {
		ha.run(step)
	}
	wanted = ha.now
	ha.run(9 * clock.Second)
	ha.demand = func(clock.Millis) (float64, float64) { return 1.5, 0 }
	ha.run(span)
	ha.demand = load
	return ha, wanted
}

// If the load is below its threshold only briefly while the engine is chosen, the
// change is made a little later rather than abandoned.
func TestLoadThatDipsKeepsItsChange(t *testing.T) {
	ha, wanted := dippingLoad(clock.Second)
	ha.run(20 * clock.Second)
	assert.Equal(t, len(ha.changes), 1)
	assert.Assert(t, ha.changes[0]-wanted < 20*clock.Second, "%v", ha.changes[0]-wanted)
}

// If the load does not return, the change is abandoned and the lease is released.
func TestLoadThatDoesNotReturnAbandonsItsChange(t *testing.T) {
	ha, wanted := dippingLoad(21 * clock.Second)
	assert.Equal(t, len(ha.changes), 0)
	assert.Assert(t, ha.cell.current == nil && !ha.held)
	ha.run(wanted + 2*clock.Minute - ha.now)
	assert.Equal(t, len(ha.changes), 0, "a change before the next dwell is over")
}

// maxChangesPerHour runs the harness for some hours and returns the maximum number of
// changes in any hour.
func maxChangesPerHour(ha *harness, hours int) int {
	ha.run(clock.Millis(hours) * clock.Hour)
	most := 0
	for ix, from := range ha.changes {
		count := 0
		for _, at := range ha.changes[ix:] {
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
		ha := newHarness(Settings{Dwell: dwell}, 4, 4)
		ha.demand = swingingLoad(period, 7)
		most := maxChangesPerHour(ha, 4)
		t.Logf("period %v: %d changes in 4 h, at most %d in an hour, fewest %v", period, len(ha.changes), most, ha.fewest)
		assert.Assert(t, most <= bound, "period %v: %d changes in an hour", period, most)
		if period <= 6*dwell {
			assert.Equal(t, len(ha.changes), 0, "period %v", period)
		}
		assert.Assert(t, ha.fewest[board.Prefill] >= 1 && ha.fewest[board.Decode] >= 1)
	}
}

func TestGuardsAgainstThrashAreNeeded(t *testing.T) {
	dwell := 2 * clock.Minute
	for name, broken := range map[string]guards{"NoWindow": {noWindow: true, noSpareFor: true}, "NoSpareFor": {noSpareFor: true}} {
		ha := newHarness(Settings{Dwell: dwell}, 4, 4)
		ha.cell.disabled = broken
		ha.demand = swingingLoad(2*clock.Minute, 7)
		if broken.noWindow {
			assert.Assert(t, maxChangesPerHour(ha, 1) > 0, "%s is not caught", name)
			continue
		}
		assert.Equal(t, maxChangesPerHour(ha, 1), 0, "the window alone must prevent changes under this swing")
		ha = newHarness(Settings{Dwell: dwell}, 4, 4)
		ha.cell.disabled = broken
		ha.demand = swingingLoad(10*clock.Minute, 7)
		most := maxChangesPerHour(ha, 4)
		t.Logf("%s: period 10m: %d changes in 4 h, at most %d in an hour", name, len(ha.changes), most)
		assert.Assert(t, most > 0, "%s is not caught", name)
	}
	few := 0
	for _, noDwell := range []bool{false, true} {
		ha := newHarness(Settings{Dwell: dwell, Window: 5 * clock.Second, SpareFor: 1}, 8, 8)
		ha.cell.disabled = guards{noDwell: noDwell}
		ha.demand = swingingLoad(2*clock.Minute, 14)
		most := maxChangesPerHour(ha, 1)
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
		ha := newHarness(Settings{Dwell: 2 * clock.Minute, MinEngines: least}, prefill, decode)
		load := [2]float64{}
		ha.demand = func(clock.Millis) (float64, float64) { return load[0], load[1] }
		ha.outcome = func(sd Send) Outcome {
			if eng := ha.engine(sd.Server); sd.Order.Kind == engine.ChangeRole && eng.Role != sd.Order.Role && ha.runs[sd.Server] > 0 {
				rt.Fatalf("engine %s changes its role with %d running requests", sd.Server, ha.runs[sd.Server])
			}
			return Outcome{}
		}
		for range 12 {
			load = [2]float64{rapid.Float64Range(0, 9).Draw(rt, "PrefillLoad"), rapid.Float64Range(0, 9).Draw(rt, "DecodeLoad")}
			for _, eng := range ha.engines {
				ha.runs[eng.ID] = rapid.IntRange(0, 1).Draw(rt, "Runs")
			}
			ha.run(clock.Millis(rapid.IntRange(1, 6).Draw(rt, "Minutes")) * clock.Minute)
		}
		if ha.fewest[board.Prefill] < least || ha.fewest[board.Decode] < least {
			rt.Fatalf("fewest engines by role: %v", ha.fewest)
		}
		for ix := 1; ix < len(ha.changes); ix++ {
			if ha.changes[ix]-ha.changes[ix-1] < 2*clock.Minute {
				rt.Fatalf("changes less than a dwell apart: %v", ha.changes)
			}
		}
	})
}

// shortDecode returns a harness whose load requires decode engines.
func shortDecode(prefill, decode int) *harness {
	ha := newHarness(Settings{Dwell: 2 * clock.Minute, SpareFor: 1}, prefill, decode)
	ha.demand = func(clock.Millis) (float64, float64) { return 0, 99 }
	return ha
}

func TestMinimumIsKept(t *testing.T) {
	ha := shortDecode(3, 1)
	ha.run(4 * clock.Hour)
	assert.Equal(t, ha.fewest[board.Prefill], 1)
	assert.Equal(t, len(ha.changes), 2)

	ha = shortDecode(1, 1)
	ha.cell.disabled.noMinimum = true
	ha.cell.trend.shortRole = board.Decode
	_, ok := ha.cell.pickEngine(board.Decode)
	assert.Assert(t, !ok)
	ha.step(ha.observe())
	_, ok = ha.cell.pickEngine(board.Decode)
	assert.Assert(t, ok, "the last engine is kept even without the guard")
	ha.cell.disabled.noMinimum = false
	_, ok = ha.cell.pickEngine(board.Decode)
	assert.Assert(t, !ok)
}

func TestARoleThatLostItsEnginesGetsOne(t *testing.T) {
	ha := newHarness(Settings{Dwell: 2 * clock.Minute}, 3, 1)
	ha.engine("e03").Usable = false
	ha.run(30 * clock.Minute)
	assert.Equal(t, poolsOf(ha.engines).decode, 1)
	assert.Equal(t, len(ha.changes), 1)
}

func TestABusyEngineIsNotChanged(t *testing.T) {
	for _, noDrain := range []bool{false, true} {
		ha := shortDecode(2, 2)
		ha.neverIdle = true
		ha.cell.disabled.noDrain = noDrain
		ha.run(20 * clock.Minute)
		assert.Equal(t, len(ha.changes) > 0, noDrain)
		stops, resumes := 0, 0
		for _, in := range ha.intents {
			if dr, ok := in.(Drain); ok && dr.Stop {
				stops++
			} else if ok {
				resumes++
			}
		}
		assert.Assert(t, stops > 0)
		assert.Equal(t, stops, resumes, "not every drained engine gets new work again")
	}
}

// A grant that the scheduling loop decided on before it heeded the drain may be in no
// observation from before, and its runner may not have used it when the engine is asked
// what it runs.
func TestDrainIsConfirmedBeforeTheOrder(t *testing.T) {
	for _, unconfirmed := range []bool{false, true} {
		testUnconfirmedDrain(t, unconfirmed)
	}
}

// testUnconfirmedDrain plays a drain that is confirmed late. If the guard is disabled, the
// order must go out before that.
func testUnconfirmedDrain(t *testing.T, unconfirmed bool) {
	t.Helper()
	ha := shortDecode(3, 1)
	ha.cell.disabled = guards{noDrained: unconfirmed}
	ha.holdDrained = true
	sent := func() bool {
		return slices.ContainsFunc(ha.intents, func(in Intent) bool {
			sd, ok := in.(Send)
			return ok && sd.Order.Kind == engine.ChangeRole && sd.Order.Role == board.Decode && sd.Server == "e00"
		})
	}
	for !ha.drained["e00"] && !sent() {
		ha.run(step)
	}
	ha.run(5 * clock.Second)
	assert.Equal(t, sent(), unconfirmed, "the drain is not confirmed")
	if unconfirmed {
		return
	}
	ha.step(Drained{Server: "e00", At: ha.now})
	ha.step(Inspected{Server: "e00", Asked: ha.now, Role: board.Prefill, RoleAt: ha.now})
	assert.Assert(t, !sent(), "the last observation is older than the drain")
	ha.grants["e00"] = 1
	ha.now += step
	ha.run(5 * clock.Second)
	assert.Assert(t, !sent(), "a request is granted on the engine")
	ha.grants["e00"] = 0
	ha.run(5 * clock.Second)
	assert.Assert(t, sent())
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
			ha := shortDecode(3, 1)
			var fences []uint64
			ha.outcome = func(sd Send) Outcome {
				if !change(sd) {
					return Outcome{}
				}
				fences = append(fences, sd.Order.Fence)
				if len(fences) > len(tc.first) {
					return Outcome{}
				}
				if tc.effect {
					ha.engine(sd.Server).Role = sd.Order.Role
					ha.changes = append(ha.changes, ha.now)
				}
				return tc.first[len(fences)-1]
			}
			ha.run(4 * clock.Minute) // one change at most
			assert.Equal(t, len(ha.changes), tc.changes)
			assert.Equal(t, len(fences), tc.sends)
			for _, fence := range fences {
				assert.Equal(t, fence, fences[0], "a repeat must have the first token")
			}
			assert.Assert(t, !ha.held, "the lease was not released")
			assert.Assert(t, ha.cell.current == nil)
		})
	}
}

// While the effect of an order is in doubt, no other order is given.
func TestNoOtherOrderInDoubt(t *testing.T) {
	for _, noDoubt := range []bool{false, true} {
		ha := shortDecode(5, 1)
		ha.cell.disabled.noDoubt = noDoubt
		doubtful := map[string]bool{}
		ha.outcome = func(sd Send) Outcome {
			if sd.Order.Role == board.Decode && ha.engine(sd.Server).Role == board.Prefill {
				doubtful[sd.Server] = true
				return Outcome{Reason: InDoubt}
			}
			return Outcome{}
		}
		for len(doubtful) == 0 {
			ha.run(step)
		}
		// The engine no longer reports anything.
		for id := range doubtful {
			ha.engine(id).Role, ha.engine(id).Usable = "", false
		}
		ha.run(30 * clock.Minute)
		assert.Equal(t, len(doubtful) > 1, noDoubt)
	}
}

func TestWithoutTheLeaseNothingIsOrdered(t *testing.T) {
	ha := shortDecode(3, 1)
	ha.noLease = true
	ha.run(clock.Hour)
	for _, in := range ha.intents {
		switch in.(type) {
		case Send, Drain:
			t.Fatalf("intent %#v without the lease", in)
		}
	}
}

func TestOrdersOfOperators(t *testing.T) {
	ha := newHarness(Settings{NoRoleChanges: true}, 1, 1)
	ha.step(ha.observe())
	for ix, kind := range []engine.OrderKind{engine.LoadModel, engine.LoadAdapter, engine.LoadVersion} {
		ha.step(OperatorOrder{ID: fmt.Sprint(ix), Server: "e00", Order: engine.Order{Kind: kind, Name: "m"}})
	}
	ha.step(OperatorOrder{ID: "none", Server: "e77", Order: engine.Order{Kind: engine.LoadModel, Name: "m"}})
	ha.run(2 * clock.Minute)
	got := map[string]Reason{}
	for _, in := range ha.intents {
		if rep, ok := in.(OperatorReply); ok {
			got[rep.ID] = rep.Reason
		}
	}
	assert.DeepEqual(t, got, map[string]Reason{"0": CarriedOut, "1": CarriedOut, "2": CarriedOut, "none": UnknownEngine})
	assert.Assert(t, !ha.held)
}

// When a lease lapses, every order that was not yet sent under it ends, and an order in
// doubt is not sent again under another lease.
func TestLapsedLeaseEndsUnsentOrders(t *testing.T) {
	ha := shortDecode(3, 1)
	ha.neverIdle = true
	for ha.cell.current == nil || ha.cell.current.phase != draining {
		ha.run(step)
	}
	ha.step(LeaseLapsed{})
	assert.Assert(t, ha.cell.current == nil && len(ha.runs) == 0, "the drain continues")
	ha.step(LeaseHeld{Token: 1 << 40})
	ha.run(10 * clock.Second)
	assert.Equal(t, len(ha.changes), 0)

	ha = shortDecode(3, 1)
	sends := 0
	ha.outcome = func(sd Send) Outcome {
		if sd.Order.Role != board.Decode || sd.Server != "e00" {
			return Outcome{}
		}
		if sends++; sends == 1 {
			ha.step(LeaseLapsed{})
			ha.step(LeaseHeld{Token: 1 << 40})
		}
		return Outcome{Reason: InDoubt}
	}
	for sends == 0 {
		ha.run(step)
	}
	ha.run(30 * clock.Second)
	assert.Equal(t, sends, 1)
	assert.Assert(t, ha.cell.current == nil, "the engine's report did not resolve the doubt")
}
