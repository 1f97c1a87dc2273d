package entry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/internal/settings"
	"alderdyke/internal/standin"
	"alderdyke/pkg/clock"
)

// The only prefill engine of a cell loses two requests and is closed for a second. The
// caller can wait for twenty seconds, so it must get its answer.
func TestCallerWaitsForTheOnlyPrefillEngine(t *testing.T) {
	t.Parallel()
	fl := startFleetOf(t, 1, 1, true, settings.Roles{Dwell: clock.Minute})
	fl.dp.Engines[0].Control.Set(standin.Faults{Paths: []string{engine.PrefillPath}, Count: 2, Reset: true})
	stop := fl.startCallers(1)
	eventually(t, "the decode engine ran a request", func() bool { return len(fl.dp.Engines[1].History().Runs) > 0 || t.Failed() })
	assert.Assert(t, stop() >= 1)
	assert.Assert(t, fl.log.contains(event.EngineClosed))
}
