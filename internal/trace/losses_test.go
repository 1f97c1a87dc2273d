package trace_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/trace"
)

// Each case is the log of one generation; its lines are reduced to the fields that
// determine the outcome.
func TestOutcomes(t *testing.T) {
	const (
		placed   = `{"time":"2026-05-01T10:00:00.5Z","VM":"v","Event":2205,"Name":"RelayPlaced","Request":"r","Tokens":5000,"Returning":%t,"Waited":"%s"}`
		noPlace  = `{"time":"2026-05-01T10:00:00.5Z","VM":"v","Event":2206,"Name":"RelayNoPlace","Request":"r","Tokens":5000,"Returning":%t}`
		prefill  = `{"time":"2026-05-01T10:00:01Z","VM":"v","Event":2207,"Name":"RelayPrefill","Request":"r","Took":"%s"}`
		answered = `{"time":"2026-05-01T10:00:05Z","VM":"v","Event":2200,"Name":"RelayAnswered","Request":"r","First":"%s","Objective":"900ms"}`
		refused  = `{"time":"2026-05-01T10:00:01Z","VM":"v","Event":2201,"Name":"RelayRefused","Request":"r","Reason":"%s"}`
		cut      = `{"time":"2026-05-01T10:00:05Z","VM":"v","Event":2202,"Name":"RelayCut","Request":"r"}`
		gone     = `{"time":"2026-05-01T10:00:04Z","VM":"v","Event":2215,"Name":"RelayCallerGone","Request":"r"}`
	)
	sprintf := fmt.Sprintf
	for _, tc := range []struct {
		want  trace.Outcome
		lines []string
	}{
		{trace.InTime, []string{sprintf(placed, false, "5ms"), sprintf(prefill, "120ms"), sprintf(answered, "200ms")}},
		{trace.LatePlace, []string{sprintf(placed, false, "700ms"), sprintf(prefill, "120ms"), sprintf(answered, "950ms")}},
		{trace.LatePrompt, []string{sprintf(placed, false, "20ms"), sprintf(prefill, "800ms"), sprintf(answered, "950ms")}},
		{trace.LateBegin, []string{sprintf(placed, false, "20ms"), sprintf(prefill, "100ms"), sprintf(answered, "950ms")}},
		{trace.LateReturned, []string{sprintf(placed, true, "20ms"), sprintf(prefill, "100ms"), sprintf(answered, "200ms")}},
		{trace.Refused, []string{sprintf(noPlace, false), sprintf(refused, "QueueFull")}},
		{trace.RefusedAgain, []string{sprintf(noPlace, true), sprintf(refused, "QueueFull")}},
		{trace.Left, []string{sprintf(placed, false, "5ms"), gone, cut}},
		{trace.Broken, []string{sprintf(placed, false, "5ms"), cut}},
		{trace.NoEnd, []string{sprintf(placed, false, "5ms"), "a line of another process"}},
	} {
		t.Run(string(tc.want), func(t *testing.T) {
			var ls trace.Outcomes
			assert.NilError(t, ls.Read(strings.NewReader(strings.Join(tc.lines, "\n"))))
			table := ls.Counts()
			assert.Equal(t, len(table), 1)
			assert.Equal(t, table[0].Outcome, tc.want)
			assert.Equal(t, table[0].PromptTokens, 5000)
			assert.Equal(t, strings.HasSuffix(table[0].String(), "most at 10:00:00 (1)"), true, table[0].String())
		})
	}
	for _, why := range []string{"ShareExceeded", "QuotaAway"} {
		var ls trace.Outcomes
		assert.NilError(t, ls.Read(strings.NewReader(sprintf(refused, why))))
		assert.Equal(t, len(ls.Counts()), 1)
		assert.Equal(t, ls.Counts()[0].Outcome, trace.OverQuota)
	}
	var ls trace.Outcomes
	plain := `{"time":"2026-05-01T10:00:05Z","VM":"v","Event":2200,"Name":"RelayAnswered","Request":"p"}`
	assert.NilError(t, ls.Read(strings.NewReader(plain+"\nno line\n")))
	assert.Equal(t, len(ls.Counts()), 0, "a plain request is not a generation")
	assert.Equal(t, ls.SkippedLines, 1)
}
