package topic

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// The VM has been answered since 1,000 ms, and last at 10,000 ms.
func TestOutageDetection(t *testing.T) {
	const at = 10 * clock.Second
	failure := func(now clock.Millis) func(*availability) { return func(av *availability) { av.recordFailure(now) } }
	answer := func(now clock.Millis) func(*availability) { return func(av *availability) { av.recordAnswer(now) } }
	merge := func(now, span clock.Millis, ended bool) func(*availability) {
		return func(av *availability) { av.merge(now, span, ended, "vm-2") }
	}
	for _, tc := range []struct {
		name  string
		steps []func(*availability)
		want  Outage
		since clock.Millis
	}{
		{"one call failed", []func(*availability){failure(at + 900), answer(at + 1100)}, Outage{}, 1000},
		{"no call was answered", []func(*availability){failure(at + 900), failure(at + 2000), answer(at + 2200)}, Outage{Since: at, Until: at + 2200}, at + 2200},
		{"outage in progress", []func(*availability){failure(at + 900), failure(at + 2000)}, Outage{Since: at, Until: at + 2000}, 1000},
		{"short gap without calls", []func(*availability){answer(at + 1500)}, Outage{}, 1000},
		{"long gap without calls", []func(*availability){answer(at + 5000)}, Outage{Since: at, Until: at + 5000}, at + 5000},
		{"long gap without calls, others were answered", []func(*availability){answer(at + 5000), merge(at+5100, 9000, false)},
			Outage{}, at - 3900},
		{"others are answered meanwhile", []func(*availability){failure(at + 900), merge(at+1000, 9000, false), failure(at + 1900), failure(at + 2100)}, Outage{}, 1000},
		{"others were answered", []func(*availability){failure(at + 5000), answer(at + 5100), merge(at+5900, 9000, false)}, Outage{}, at - 3100},
		{"others were not answered", []func(*availability){failure(at + 5000), answer(at + 5100), merge(at+5900, 1000, true)},
			Outage{Since: at, Until: at + 4900, ReportedBy: "vm-2"}, at + 4900},
		{"another VM's calls failed", []func(*availability){merge(at+800, 1, true), merge(at+1600, 801, true)}, Outage{}, 1000},
		{"paused during an outage", []func(*availability){answer(at + 9000), merge(at+9100, 1100, true)}, Outage{Since: at, Until: at + 8000, ReportedBy: "vm-2"}, at + 8000},
		{"store restored from an older copy", []func(*availability){func(av *availability) { av.recordRestore(at + 100) }, answer(at + 200)}, Outage{Since: at, Until: at + 100}, at + 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			av := availability{since: 1000, lastAnswer: at}
			for _, step := range tc.steps {
				step(&av)
			}
			assert.Equal(t, av.latestOutage(), tc.want)
			assert.Equal(t, av.since, tc.since)
		})
	}
}

// Only a VM that was answered during an outage refutes it. A VM that made no calls
// during it accepts the report of the VM that did.
func TestUnseenOutageIsNotRefuted(t *testing.T) {
	const at = 10 * clock.Second
	for _, tc := range []struct {
		name    string
		until   clock.Millis // end of the outage
		refutes bool
		want    Outage
	}{
		{"answered at its end", at + 100, true, Outage{}},
		{"answered during it", at + outageMin - 1, true, Outage{}},
		{"no call during a short outage", at + outageMin, false, Outage{Since: at, Until: at + outageMin, ReportedBy: "vm-2"}},
		{"no call during a long outage", at + 1866, false, Outage{Since: at, Until: at + 1866, ReportedBy: "vm-2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			av := availability{since: 1000, lastAnswer: at}
			now := tc.until + 1
			assert.Equal(t, av.refutes(now, 1), tc.refutes)
			av.merge(now, 1, true, "vm-2")
			assert.Equal(t, av.latestOutage(), tc.want)
		})
	}
}

// The first answer ever gives no information about the time before it.
func TestFirstAnswerEndsNoOutage(t *testing.T) {
	var av availability
	av.recordAnswer(10 * clock.Second)
	assert.Equal(t, av.latestOutage(), Outage{})
}
