package metrics_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/metrics"
	"alderdyke/pkg/refusal"
)

// closeAndScrape closes the metrics, so that all counts are reported, and returns
// the page that the handler serves.
func closeAndScrape(t *testing.T, mt *metrics.Metrics) string {
	assert.NilError(t, mt.Close())
	rec := httptest.NewRecorder()
	mt.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, rec.Code, 200)
	return rec.Body.String()
}

func TestRefusalsAndRetriesByReason(t *testing.T) {
	mt := metrics.New("vm-1")
	rf := &metrics.Refusals{Scope: mt.Scope.SubScope("Caller")}
	rt := &metrics.Retries{Scope: mt.Scope}
	full := refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull}
	rf.Inc("findings", full)
	rf.Inc("findings", full)
	rf.Inc("findings", full.WithRan(refusal.MayHaveRun))
	rf.Inc("field-note", full)
	rf.Inc("field_note", full)
	rt.Inc("feltapp", refusal.BackendFailed)

	page := closeAndScrape(t, mt)
	for _, want := range []string{
		`Caller_Refusals{Class="findings",Ran="NotRun",Reason="QueueFull",VM="vm-1"} 2`,
		`Caller_Refusals{Class="findings",Ran="MayHaveRun",Reason="QueueFull",VM="vm-1"} 1`,
		`Caller_Refusals{Class="field-note",Ran="NotRun",Reason="QueueFull",VM="vm-1"} 1`,
		`Caller_Refusals{Class="field_note",Ran="NotRun",Reason="QueueFull",VM="vm-1"} 1`,
		`Retries{Reason="BackendFailed",Service="feltapp",VM="vm-1"} 1`,
		"go_goroutines ",
	} {
		assert.Assert(t, strings.Contains(page, want), "%s not in\n%s", want, page)
	}
}

// Several VMs in one process must not share counts.
func TestVMsHaveSeparateRegistries(t *testing.T) {
	one, two := metrics.New("vm-1"), metrics.New("vm-2")
	one.Scope.Counter("Some").Inc(3)
	two.Scope.Counter("Some").Inc(5)
	assert.Assert(t, strings.Contains(closeAndScrape(t, one), `Some{VM="vm-1"} 3`))
	page := closeAndScrape(t, two)
	assert.Assert(t, strings.Contains(page, `Some{VM="vm-2"} 5`) && !strings.Contains(page, "vm-1"))
}

func TestNamesAreBounded(t *testing.T) {
	mt := metrics.New("vm-1")
	rt := &metrics.Retries{Scope: mt.Scope}
	for ix := range metrics.MaxNames + 7 {
		rt.Inc(fmt.Sprintf("service-%d", ix), refusal.BackendFailed)
	}
	rt.Inc("service-0", refusal.BackendFailed)
	page := closeAndScrape(t, mt)
	assert.Equal(t, strings.Count(page, "\nRetries{"), metrics.MaxNames+1)
	assert.Assert(t, strings.Contains(page, `Retries{Reason="BackendFailed",Service="Other",VM="vm-1"} 7`))
	assert.Assert(t, strings.Contains(page, `Retries{Reason="BackendFailed",Service="service-0",VM="vm-1"} 2`))
}

func TestNilScope(_ *testing.T) {
	(&metrics.Refusals{}).Inc("findings", refusal.Refusal{})
	(&metrics.Retries{}).Inc("feltapp", refusal.BackendFailed)
}

// If a name is used with two sets of tags, only the counts of the second set are lost.
func TestConflictingTags(t *testing.T) {
	mt := metrics.New("vm-1")
	mt.Scope.Counter("Some").Inc(1)
	mt.Scope.Tagged(map[string]string{"Class": "x"}).Counter("Some").Inc(1)
	assert.Assert(t, strings.Contains(closeAndScrape(t, mt), `Some{VM="vm-1"} 1`))
}
