package trace_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/trace"
)

// The recorded lines are those of requests of played days.
func TestRecordedRequests(t *testing.T) {
	for _, tc := range []struct{ request, want string }{
		{"refused", "it was refused after 181ms: no decode engine had room (3 requests waited here, 12 asks were declined)"},
		{"behind", "it was refused after 183ms: no decode engine had room (1 requests waited here, 6 at other VMs went first, 0 asks were declined)"},
		{"lost", "its answer was cut off after 2.1s: backend server i-8047a56e40 broke off: the stream broke off\nunexpected EOF"},
		{"left", "its answer was cut off after 4.1s: its caller left, or its time was over, 3.6s after backend server i-3 was last heard of"},
		{"late", "it was answered whole after 1.204s"},
		{"starting", "it was refused after 0s: the VM did not know the configuration yet; look for StoreLost of that VM before it"},
		{"deadly", "it was refused after 0s: servers ended when they ran it; look for RelayEndsServers of any VM before it"},
		{"open", "its end is not in these files: the VM edge-1 stopped before it, or the file does"},
	} {
		t.Run(tc.request, func(t *testing.T) {
			tr := trace.Trace{Request: tc.request}
			file, err := os.Open("testdata/day.log")
			assert.NilError(t, err)
			defer file.Close()
			assert.NilError(t, tr.Read(file))
			verdict, err := tr.Summary()
			assert.NilError(t, err)
			assert.Equal(t, verdict, tc.want)
			assert.Equal(t, tr.SkippedLines, 2, "a line of another program, and one that is cut off")
		})
	}
}

func TestUnknownRequest(t *testing.T) {
	tr := trace.Trace{Request: "nobody"}
	assert.NilError(t, tr.Read(strings.NewReader("")))
	_, err := tr.Summary()
	assert.Assert(t, errors.Is(err, trace.ErrRequestNotFound))
}

func FuzzRead(f *testing.F) {
	f.Add(`{"time":"t","VM":"v","Event":2201,"Name":"RelayRefused","Request":"r","Reason":"QueueFull"}`)
	f.Fuzz(func(t *testing.T, text string) {
		tr := trace.Trace{Request: "r"}
		if tr.Read(strings.NewReader(text)) != nil {
			return
		}
		if verdict, err := tr.Summary(); err == nil {
			assert.Assert(t, verdict != "")
		}
	})
}
