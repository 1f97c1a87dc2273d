package entry

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/register"
	"alderdyke/pkg/clock"
)

// A status call that timed out must not read the result while the follower, which was
// busy, writes it.
func TestCancelledQueryDoesNotRun(t *testing.T) {
	fw := (&VM{Clock: clock.Monotonic{}}).newLogFollower("s", register.Templates)
	ctx, stop := context.WithCancel(t.Context())
	asked, given := false, make(chan bool)
	go func() { given <- fw.query(ctx, func(*register.Follower) { asked = true }) }()
	late := <-fw.ac.Events
	stop()
	assert.Assert(t, !<-given)
	fw.step(0, late)
	assert.Assert(t, !asked)
}
