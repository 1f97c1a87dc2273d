package duration_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/duration"
	"alderdyke/pkg/clock"
)

// end records a request that took a time and ended at now.
func end(tr *duration.Tracker, now, took clock.Millis) {
	tr.End(now, tr.Begin(now-took, "r"))
}

func TestRecent(t *testing.T) {
	var tr duration.Tracker
	_, ok := tr.Recent(0, "r")
	assert.Assert(t, !ok, "nothing is known of the route")
	end(&tr, 100, 100)
	end(&tr, 400, 300)
	st, ok := tr.Recent(500, "r")
	assert.Assert(t, ok)
	assert.Equal(t, st, duration.Stats{Longest: 300, Mean: 200})
	_, ok = tr.Recent(500, "other")
	assert.Assert(t, !ok)
}

// Durations count for one to two windows.
func TestDurationsAreForgotten(t *testing.T) {
	var tr duration.Tracker
	end(&tr, clock.Second, 900)
	end(&tr, duration.DefaultWindow+clock.Second, 100)
	st, _ := tr.Recent(duration.DefaultWindow+2*clock.Second, "r")
	assert.Equal(t, st.Longest, clock.Millis(900))
	st, _ = tr.Recent(2*duration.DefaultWindow+2*clock.Second, "r")
	assert.Equal(t, st.Longest, clock.Millis(100))
	_, ok := tr.Recent(5*duration.DefaultWindow, "r")
	assert.Assert(t, !ok)
}

// Guards against a service that has become slow and is still held to be quick because
// no slow request has ended yet.
func TestOpenRequestsCountOnceTheyTakeLong(t *testing.T) {
	var tr duration.Tracker
	end(&tr, 100, 100)
	rq := tr.Begin(100, "r")
	st, _ := tr.Recent(150, "r")
	assert.Equal(t, st, duration.Stats{Longest: 100, Mean: 100})
	st, _ = tr.Recent(3100, "r")
	assert.Equal(t, st, duration.Stats{Longest: 3000, Mean: 1550})
	tr.Discard(rq)
	st, _ = tr.Recent(3100, "r")
	assert.Equal(t, st.Longest, clock.Millis(100))
}

// A request that was refused says nothing of how long served ones take.
func TestDiscardedRequestsDoNotCount(t *testing.T) {
	var tr duration.Tracker
	tr.Discard(tr.Begin(0, "r"))
	_, ok := tr.Recent(1, "r")
	assert.Assert(t, !ok)
}

// Guards against routes that are no longer configured and stay in memory.
func TestIdleRoutesAreEvicted(t *testing.T) {
	var tr duration.Tracker
	end(&tr, 100, 100)
	tr.Begin(10*duration.DefaultWindow, "other")
	_, ok := tr.Recent(10*duration.DefaultWindow, "r")
	assert.Assert(t, !ok)
	assert.Equal(t, tr.Routes(), 1)
}
