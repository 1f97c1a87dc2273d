package usage

import (
	"testing"

	"gotest.tools/v3/assert"
)

// An engine that failed another VM counts as failing for as long as that VM
// reports it. Engines that failed this VM itself are left to its pool.
func TestFailingEngines(t *testing.T) {
	var le, other Ledger
	other.MarkFailed("e1", 2000)
	other.MarkFailed("e2", 5000)
	le.ApplyReport(1000, "vm-2", other.Report(1000))
	assert.Assert(t, le.Failing(1000, "e1") && le.Failing(1000, "e2"))
	assert.Assert(t, !le.Failing(1000, "e3"))
	assert.Assert(t, !other.Failing(1000, "e1"))
	other.ClearFailed("e2")
	le.ApplyReport(2000, "vm-2", other.Report(2000))
	assert.Assert(t, !le.Failing(2000, "e1"), "the failure has expired")
	assert.Assert(t, !le.Failing(2000, "e2"), "the engine has worked since")
	le.ApplyReport(3000, "vm-2", Report{Failing: []string{"e1"}})
	assert.Assert(t, !le.Failing(3000+ReportTTL, "e1"), "the report has expired")
}
