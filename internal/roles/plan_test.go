package roles_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/roles"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

func engines(prefill, decode int) []board.BackendServer {
	var out []board.BackendServer
	for ix := range prefill + decode {
		bs := board.BackendServer{ID: fmt.Sprintf("e%02d", ix), Service: "s", Role: board.Decode, FailureDomain: fmt.Sprint(ix % 4)}
		if ix < prefill {
			bs.Role = board.Prefill
		}
		out = append(out, bs)
	}
	return out
}

// sixth is a load that keeps decode engines busy five times as long as prefill
// engines.
var sixth = usage.Demand{Prefill: 90, Decode: 450, Seen: 1000}

func TestPlan(t *testing.T) {
	for _, tc := range []struct {
		name            string
		prefill, decode int
		demand          usage.Demand
		want            board.Role
	}{
		{"too many prefill", 3, 5, sixth, board.Decode},
		{"right", 2, 6, sixth, ""},
		{"one lost", 1, 6, sixth, board.Prefill},
		{"all lost", 0, 5, sixth, board.Prefill},
		{"large", 13, 25, sixth, board.Decode},
		{"large and right", 8, 30, sixth, ""},
		{"two engines", 1, 1, sixth, ""},
		{"one engine", 0, 1, sixth, ""},
		{"prompts take longer", 3, 9, usage.Demand{Prefill: 130, Decode: 380, Seen: 1000}, board.Prefill},
		{"and have the engines for it", 4, 8, usage.Demand{Prefill: 130, Decode: 380, Seen: 1000}, ""},
		{"one more is one too many", 5, 7, usage.Demand{Prefill: 130, Decode: 380, Seen: 1000}, board.Decode},
		{"a load of prompts alone", 4, 4, usage.Demand{Prefill: 900, Decode: 1, Seen: 1000}, ""},
		{"nothing is known: far from the default", 5, 7, usage.Demand{}, board.Decode},
		{"nothing is known: near it", 3, 9, usage.Demand{}, ""},
		{"nothing is known: a role has no engine", 0, 5, usage.Demand{}, board.Prefill},
		{"one answer says little", 3, 9, usage.Demand{Prefill: 10, Decode: 1000, Seen: 1}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var pl roles.Plan
			list := engines(tc.prefill, tc.decode)
			_, ok := pl.Next(0, list, tc.demand)
			assert.Assert(t, !ok, "a change must be called for a while")
			ch, ok := pl.Next(roles.DefaultDwell, list, tc.demand)
			assert.Equal(t, ok, tc.want != "")
			assert.Equal(t, ch.To, tc.want)
		})
	}
}

// A VM that starts again leaves the engines as the fleet had divided them until
// it knows the load.
func TestDivisionOfTheFleetStays(t *testing.T) {
	for _, divided := range []bool{true, false} {
		pl := roles.Plan{Settings: roles.Settings{Divided: divided}}
		list := engines(4, 8)
		pl.Next(0, list, usage.Demand{})
		_, ok := pl.Next(roles.DefaultDwell, list, usage.Demand{})
		assert.Equal(t, ok, !divided)
	}
}

// The entries of engines appear one by one when a VM starts. What it finds
// first is not the division that was chosen.
func TestListThatGrowsIsNoDivision(t *testing.T) {
	var pl roles.Plan
	list := engines(3, 9)
	for count := range list {
		_, ok := pl.Next(clock.Millis(100*count), list[:count], usage.Demand{})
		assert.Assert(t, !ok)
	}
	for now := clock.Millis(1200); now < 20000; now += 500 {
		_, ok := pl.Next(now, list, usage.Demand{})
		assert.Assert(t, !ok, "three of twelve is near the default")
	}
}

// A change of load is followed once, without going back and forth, although
// the mean that is observed goes up and down by a tenth.
func TestShiftOfTheLoadChangesEnginesOnce(t *testing.T) {
	var pl roles.Plan
	list := engines(2, 10)
	changes := 0
	for step := range 400 {
		now := clock.Millis(step) * 500
		dm := usage.Demand{Prefill: 130, Decode: 380 * (1 + 0.1*float64(step%3-1)), Seen: 400}
		if ch, ok := pl.Next(now, list, dm); ok {
			pl.Ordered(now, ch)
			for ix := range list {
				if list[ix].ID == ch.Server.ID {
					list[ix].Role = ch.To
				}
			}
			changes++
		}
	}
	assert.Equal(t, changes, 2, "from two to four prefill engines of twelve")
}

func TestOrderedChangeCountsBeforeItShows(t *testing.T) {
	pl := roles.Plan{Switch: 6 * clock.Second}
	list := engines(3, 5)
	pl.Next(0, list, sixth)
	ch, ok := pl.Next(2000, list, sixth)
	assert.Assert(t, ok)
	pl.Ordered(2000, ch)
	for now := clock.Millis(2000); now < 18000; now += 500 {
		_, ok = pl.Next(now, list, sixth)
		assert.Assert(t, !ok, "ordered twice at %s", now)
	}
	pl.Next(19000, list, sixth)
	_, ok = pl.Next(21000, list, sixth)
	assert.Assert(t, ok, "the order was not carried out")
}

func TestLeavingEnginesDoNotCount(t *testing.T) {
	var pl roles.Plan
	list := engines(2, 6)
	list[0].Leaving = true
	pl.Next(0, list, sixth)
	ch, ok := pl.Next(2000, list, sixth)
	assert.Assert(t, ok)
	assert.Equal(t, ch.To, board.Prefill)
}
