package reach

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// step is an outcome of a call: an unreachable server, or an answer to a call that began then.
type step struct {
	at          clock.Millis
	unreachable string // empty: a server answered
}

func TestTracker(t *testing.T) {
	for _, tc := range []struct {
		name        string
		listed      int
		steps       []step
		partitioned bool
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
		{"unreachable long before", 4, []step{{1, "a"}, {2, "b"}, {2 + unreachableTTL, "c"}}, false},
		{"an answer since", 4, []step{{1, "a"}, {2, "b"}, {3, "c"}, {4, ""}}, false},
		{"an answer to a call from before the partition", 4, []step{{1, "a"}, {2, "b"}, {3, "c"}, {2, ""}}, true},
		{"partitioned again", 2, []step{{1, "a"}, {2, "b"}, {3, ""}, {4, "a"}, {5, "b"}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tr Tracker
			changes := 0
			for _, st := range tc.steps {
				if st.unreachable == "" && tr.RecordReached(st.at, "s") || st.unreachable != "" && tr.RecordUnreachable(st.at, "s", st.unreachable, tc.listed) {
					changes++
				}
			}
			assert.Equal(t, tr.IsPartitioned("s"), tc.partitioned)
			assert.Equal(t, len(tr.Partitions()) == 1, tc.partitioned)
			assert.Equal(t, changes%2 == 1, tc.partitioned)
			assert.Assert(t, !tr.IsPartitioned("another"))
		})
	}
}
