package limit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

var server = Server{ID: "s", Incarnation: 3}

func named(rate float64) Observation { return Observation{Named: true, Rate: rate, Final: true} }

// Each step is an answer at this VM, or a notice of another one, and what it leads to.
func TestTracker(t *testing.T) {
	final := Observation{Final: true}
	type step struct {
		run        uint64 // of the server that answers; zero: the usual one
		at, sentAt clock.Millis
		seen       Observation
		notice     *Notice // instead of an observation
		notifies   bool
		changes    bool
		rate       float64 // afterwards; zero: there is no limit
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"no limit", []step{{at: 1000, sentAt: 990, seen: final}}},
		{"begins, is repeated, and lapses", []step{
			{at: 1000, sentAt: 990, seen: named(3.5), notifies: true, changes: true, rate: 3.5},
			{at: 1400, sentAt: 1390, seen: named(3.5), rate: 3.5},
			{at: 1500, sentAt: 1490, seen: named(3.5), notifies: true, rate: 3.5},
			{at: 3499, sentAt: 1000, seen: Observation{}, rate: 3.5},
			{at: 3500, sentAt: 1000, seen: Observation{}},
		}},
		{"changes", []step{
			{at: 1000, sentAt: 990, seen: named(35), notifies: true, changes: true, rate: 35},
			{at: 1001, sentAt: 990, seen: named(3.5), notifies: true, changes: true, rate: 3.5},
			{at: 1002, sentAt: 990, seen: named(35), notifies: true, changes: true, rate: 35},
		}},
		{"ends with an answer to a later call", []step{
			{at: 1000, sentAt: 990, seen: named(3.5), notifies: true, changes: true, rate: 3.5},
			{at: 1010, sentAt: 1000, seen: final, rate: 3.5},
			{at: 1020, sentAt: 1001, seen: Observation{}, rate: 3.5},
			{at: 1030, sentAt: 1001, seen: final, notifies: true, changes: true},
		}},
		{"zero is tried once in five seconds", []step{
			{at: 1000, sentAt: 990, seen: named(0), notifies: true, changes: true, rate: MinRate},
			{at: 10999, sentAt: 0, seen: Observation{}, rate: MinRate},
			{at: 11000, sentAt: 0, seen: Observation{}},
		}},
		{"heard of, and ended elsewhere", []step{
			{at: 1000, notice: &Notice{Server: server, Rate: 4, Age: 10}, changes: true, rate: 4},
			{at: 1100, notice: &Notice{Server: server, Rate: 4, Age: 200}, rate: 4},
			{at: 1200, notice: &Notice{Server: server, Ended: true, Age: 300}, rate: 4},
			{at: 1300, notice: &Notice{Server: server, Ended: true, Age: 3}, changes: true},
			{at: 1301, notice: &Notice{Server: server, Rate: 4, Age: 100}},
			{at: 1400, notice: &Notice{Server: server, Rate: 4, Age: 1}, changes: true, rate: 4},
		}},
		{"too old when it is heard of", []step{{at: 5000, notice: &Notice{Server: server, Rate: 4, Age: 2000}}}},
		{"another VM repeats it", []step{
			{at: 1000, notice: &Notice{Server: server, Rate: 4}, changes: true, rate: 4},
			{at: 1499, sentAt: 1300, seen: named(4), rate: 4},
			{at: 1500, sentAt: 1300, seen: named(4), notifies: true, rate: 4},
		}},
		{"an earlier run", []step{
			{at: 1000, sentAt: 990, seen: named(4), notifies: true, changes: true, rate: 4},
			{at: 1100, notice: &Notice{Server: Server{ID: "s", Incarnation: 2}, Rate: 1}, rate: 4},
			{at: 1200, notice: &Notice{Server: Server{ID: "s", Incarnation: 4}, Rate: 1}, changes: true, rate: 1},
			{at: 1300, sentAt: 1290, seen: named(4), rate: 1},
			{at: 1400, run: 5, sentAt: 1390, seen: named(6), notifies: true, changes: true, rate: 6},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := &Tracker{}
			for ix, sp := range tc.steps {
				var nt *Notice
				var ch *Change
				if sp.notice != nil {
					ch = tr.Receive(sp.at, *sp.notice)
				} else {
					nt, ch = tr.Observe(sp.at, sp.sentAt, Server{ID: server.ID, Incarnation: cmp.Or(sp.run, server.Incarnation)}, sp.seen)
				}
				assert.Equal(t, nt != nil, sp.notifies, "step %d", ix)
				assert.Equal(t, ch != nil, sp.changes, "step %d", ix)
				rate, ok := tr.Rate(sp.at, server.ID)
				assert.Equal(t, rate, sp.rate, "step %d", ix)
				assert.Equal(t, ok, sp.rate > 0, "step %d", ix)
			}
		})
	}
}

// While calls are withheld, a server can't repeat its limit.
func TestWithheldCallsProlongALimit(t *testing.T) {
	tr := &Tracker{}
	tr.Observe(0, 0, server, named(2))
	tr.Deny(1900, server.ID)
	_, ok := tr.Rate(3899, server.ID)
	assert.Assert(t, ok)
	_, ok = tr.Rate(3900, server.ID)
	assert.Assert(t, !ok)
	tr.Deny(3900, server.ID)
	_, ok = tr.Rate(3900, server.ID)
	assert.Assert(t, !ok)
}

func TestLapse(t *testing.T) {
	tr := &Tracker{}
	all := func(Server) bool { return true }
	tr.Observe(0, 0, server, named(2))
	lapsed, active := tr.Lapse(1999, all)
	assert.Assert(t, len(lapsed) == 0 && active)
	lapsed, active = tr.Lapse(2000, all)
	assert.DeepEqual(t, lapsed, []Change{{Server: server, Rate: 2, Ended: true, Before: 2, Known: true, Age: 2000}})
	assert.Assert(t, !active)
	tr.Observe(3000, 3000, server, named(2))
	lapsed, active = tr.Lapse(3001, func(Server) bool { return false })
	assert.Assert(t, len(lapsed) == 1 && !active)
}

func TestRecentCalls(t *testing.T) {
	tr := &Tracker{}
	assert.Equal(t, tr.RecentCalls(0, "s"), 0)
	for at := clock.Millis(100000); at < 103000; at += 10 {
		tr.CountCall(at, "s")
	}
	got := tr.RecentCalls(103000, "s")
	assert.Assert(t, got >= 105 && got <= 120, "%d", got)
	assert.Equal(t, tr.RecentCalls(104200, "s"), 0)
	tr.Retain(func(string) bool { return false })
	assert.Equal(t, len(tr.recent), 0)
}

func TestTerm(t *testing.T) {
	for rate, want := range map[float64]clock.Millis{0: 10000, 0.4: 5000, 1: 2000, 300: 2000, math.Inf(1): 2000} {
		assert.Equal(t, Term(rate), want, "%v", rate)
	}
}

// Answers reach one VM each; the notices that follow keep all VMs informed, and their
// number does not grow with the fleet.
func TestNoticesOfAFleet(t *testing.T) {
	const span = 20 * clock.Second
	for _, vms := range []int{7, 69, 300} {
		rnd := rand.New(rand.NewPCG(uint64(vms), 1))
		fleet := make([]Tracker, vms)
		notices, uninformed := 0, 0
		for now := clock.Millis(0); now < span; now += 285 {
			if nt, _ := fleet[rnd.IntN(vms)].Observe(now, now-10, server, named(3.5)); nt != nil {
				notices++
				tellFleet(rnd, fleet, now, *nt)
			}
			for ix := range fleet {
				if _, ok := fleet[ix].Rate(now+3, server.ID); !ok {
					uninformed++
				}
			}
		}
		perSecond := float64(notices) / float64(span/clock.Second)
		t.Logf("%d VMs: %.2f notices a second, a VM did not know the limit %d times of %d", vms, perSecond, uninformed, 71*vms)
		assert.Check(t, perSecond <= 2.2)
		assert.Check(t, uninformed*100 <= 71*vms)
	}
}

// tellFleet passes a notice to all VMs that do not miss it.
func tellFleet(rnd *rand.Rand, fleet []Tracker, now clock.Millis, nt Notice) {
	for ix := range fleet {
		if rnd.IntN(20) > 0 {
			fleet[ix].Receive(now+2, nt)
		}
	}
}

// The cost of a call to a server without a limit.
func BenchmarkUnlimitedCall(b *testing.B) {
	tr := &Tracker{}
	for range b.N {
		if _, limited := tr.Rate(1000, "s"); limited {
			b.Fatal("there is no limit")
		}
		tr.CountCall(1000, "s")
	}
}
