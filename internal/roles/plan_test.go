package roles_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/roles"
	"alderdyke/pkg/clock"
)

// engines returns the engines of one service, spread over four failure domains.
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

func TestPlan(t *testing.T) {
	for _, tc := range []struct {
		name            string
		prefill, decode int
		want            board.Role
	}{
		{"too many prefill", 3, 5, board.Decode},
		{"balanced", 2, 6, ""},
		{"one lost", 1, 6, board.Prefill},
		{"all lost", 0, 5, board.Prefill},
		{"many engines, too many prefill", 13, 25, board.Decode},
		{"many engines, balanced", 9, 29, ""},
		{"two engines", 1, 1, ""},
		{"one engine", 0, 1, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var pl roles.Plan
			list := engines(tc.prefill, tc.decode)
			_, ok := pl.Next(0, list)
			assert.Assert(t, !ok, "a change must be needed for a while")
			ch, ok := pl.Next(roles.DefaultDwell, list)
			assert.Equal(t, ok, tc.want != "")
			assert.Equal(t, ch.To, tc.want)
		})
	}
}

// An ordered change is not ordered again while the list of engines may still show the
// old role. If the list shows it for longer, the change is due again.
func TestOrderedChangeCountsBeforeItIsListed(t *testing.T) {
	pl := roles.Plan{SwitchTime: 6 * clock.Second}
	list := engines(3, 5)
	pl.Next(0, list)
	ch, ok := pl.Next(2000, list)
	assert.Assert(t, ok)
	pl.RecordOrder(2000, ch)
	for now := clock.Millis(2000); now < 18000; now += 500 {
		_, ok = pl.Next(now, list)
		assert.Assert(t, !ok, "ordered twice at %s", now)
	}
	pl.Next(19000, list)
	_, ok = pl.Next(21000, list)
	assert.Assert(t, ok, "the order was not carried out")
}

func TestLeavingEnginesDoNotCount(t *testing.T) {
	var pl roles.Plan
	list := engines(2, 6)
	list[0].Leaving = true
	pl.Next(0, list)
	ch, ok := pl.Next(2000, list)
	assert.Assert(t, ok)
	assert.Equal(t, ch.To, board.Prefill)
}
