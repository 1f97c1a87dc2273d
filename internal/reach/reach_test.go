package reach

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// step is an outcome of a call: a missed server, or an answer to a call that began then.
type step struct {
	at     clock.Millis
	missed string // empty: a server answered
}

func TestTracker(t *testing.T) {
	for _, tc := range []struct {
		name   string
		listed int
		steps  []step
		cutOff bool
	}{
		{"no call", 4, nil, false},
		{"one server again and again", 4, []step{{1, "a"}, {2, "a"}, {3, "a"}}, false},
		{"two of four", 4, []step{{1, "a"}, {2, "b"}}, false},
		{"three of four", 4, []step{{1, "a"}, {2, "b"}, {3, "c"}}, true},
		{"three of sixty", 60, []step{{1, "a"}, {2, "b"}, {3, "c"}}, true},
		{"both of two", 2, []step{{1, "a"}, {2, "b"}}, true},
		{"the only one", 1, []step{{1, "a"}}, true},
		{"none is listed any more", 0, []step{{1, "a"}, {2, "b"}, {3, "c"}}, false},
		{"an answer between", 4, []step{{1, "a"}, {2, "b"}, {3, ""}, {4, "c"}}, false},
		{"an answer to an earlier call between", 4, []step{{10, "a"}, {11, "b"}, {5, ""}, {12, "c"}}, true},
		{"misses from long before", 4, []step{{1, "a"}, {2, "b"}, {2 + missTTL, "c"}}, false},
		{"an answer since", 4, []step{{1, "a"}, {2, "b"}, {3, "c"}, {4, ""}}, false},
		{"an answer to a call from before the cut", 4, []step{{1, "a"}, {2, "b"}, {3, "c"}, {2, ""}}, true},
		{"cut off again", 2, []step{{1, "a"}, {2, "b"}, {3, ""}, {4, "a"}, {5, "b"}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tr Tracker
			changes := 0
			for _, st := range tc.steps {
				if st.missed == "" && tr.Reached(st.at, "s") || st.missed != "" && tr.Missed(st.at, "s", st.missed, tc.listed) {
					changes++
				}
			}
			assert.Equal(t, tr.CutOff("s"), tc.cutOff)
			assert.Equal(t, len(tr.Services()) == 1, tc.cutOff)
			assert.Equal(t, changes%2 == 1, tc.cutOff)
			assert.Assert(t, !tr.CutOff("another"))
		})
	}
}
