package roles_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

// Guards against a version whose engines all compute prompts, so that its streams can't
// continue, and against prefill engines that are all of one version.
func TestPlanWithSeveralVersions(t *testing.T) {
	for _, tc := range []struct {
		name     string
		roles    map[string]string // by version: P and D
		want     board.Role
		version  string
		balanced map[string]string // after all changes
	}{
		{"one version", map[string]string{"v1": "PPDDDDDD"}, "", "", map[string]string{"v1": "PPDDDDDD"}},
		{"only prefill engines of a version", map[string]string{"v1": "PP", "v2": "DDDDDD"}, board.Decode, "v1", map[string]string{"v1": "DD", "v2": "DDDDPP"}},
		{"only prefill engines of a large version", map[string]string{"v1": "PPP", "v2": "DDDDDD"}, board.Decode, "v1", map[string]string{"v1": "DDP", "v2": "DDDDPP"}},
		{"prefill engines of one version", map[string]string{"v1": "PPDD", "v2": "DDDD"}, board.Prefill, "v2", map[string]string{"v1": "DDDP", "v2": "DDDP"}},
		{"a single engine of a version", map[string]string{"v1": "PPDDDDD", "v2": "P"}, board.Decode, "v2", map[string]string{"v1": "PPDDDDD", "v2": "D"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var list []board.BackendServer
			for version, roles := range tc.roles {
				for ix, role := range roles {
					bs := board.BackendServer{ID: fmt.Sprintf("%s-%d", version, ix), Service: "s", Version: version, Role: board.Decode}
					if role == 'P' {
						bs.Role = board.Prefill
					}
					list = append(list, bs)
				}
			}
			var pl roles.Plan
			pl.Next(0, list)
			ch, ok := pl.Next(roles.DefaultDwell, list)
			assert.Equal(t, ok, tc.want != "")
			assert.Equal(t, ch.To, tc.want)
			assert.Equal(t, ch.Server.Version, tc.version)
			for now := clock.Millis(0); now < clock.Minute; now += 500 {
				if ch, ok := pl.Next(now, list); ok {
					for ix := range list {
						if list[ix].ID == ch.Server.ID {
							list[ix].Role = ch.To
						}
					}
				}
			}
			for version, want := range tc.balanced {
				count := func(role board.Role) (got int) {
					for _, bs := range list {
						if bs.Version == version && bs.Role == role {
							got++
						}
					}
					return got
				}
				assert.Equal(t, count(board.Prefill), strings.Count(want, "P"), version)
				assert.Equal(t, count(board.Decode), strings.Count(want, "D"), version)
			}
		})
	}
}

// However engines are divided between versions and roles, the changes come to an end.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []board.BackendServer
		for ix := range rapid.IntRange(0, 40).Draw(t, "engines") {
			list = append(list, board.BackendServer{ID: fmt.Sprint(ix), Service: "s", Version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
				Role: rapid.SampledFrom([]board.Role{board.Prefill, board.Decode}).Draw(t, "role"), FailureDomain: fmt.Sprint(ix % 4)})
		}
		var pl roles.Plan
		changes := 0
		for now := clock.Millis(0); now < 5*clock.Minute; now += 500 {
			if ch, ok := pl.Next(now, list); ok {
				changes++
				for ix := range list {
					if list[ix].ID == ch.Server.ID {
						list[ix].Role = ch.To
					}
				}
			}
		}
		assert.Assert(t, changes <= len(list), "%d changes for %d engines", changes, len(list))
		decode, all := make(map[string]int), make(map[string]int)
		for _, bs := range list {
			all[bs.Version]++
			if bs.Role == board.Decode {
				decode[bs.Version]++
			}
		}
		for version, count := range all {
			assert.Assert(t, 2*decode[version] >= count, "%s has %d engines that decode of %d", version, decode[version], count)
		}
	})
}
