package vmlist

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin/endless"
	"alderdyke/internal/wellformed"
)

const (
	// headBound and bodyBound are the limits of a response in these tests, and readAhead
	// is more than what the buffers of net/http hold beyond them.
	headBound = 64 << 10
	bodyBound = 64 << 10
	readAhead = 32 << 10
)

// fetchEndless fetches the list from a server and returns how many bytes were read. It
// fails the test if the call or its connection does not end.
func fetchEndless(t *testing.T, rsp endless.Response, within time.Duration) (int64, error) {
	t.Helper()
	res, err := endless.Call(t.Context(), rsp, endless.Limit{Within: within}, func(ctx context.Context, mt *endless.Meter, address string) error {
		cl := &Client{URL: "http://" + address, MaxBody: bodyBound}
		cl.client().Transport.(wellformed.Transport).Base.DialContext = mt.Dial
		_, err := cl.Fetch(ctx)
		return err
	})
	assert.NilError(t, err)
	return res.Read, res.Err
}

// A VM list that is sent without end must not make a VM read without limit.
func TestEndlessListsEndAtALimit(t *testing.T) {
	for _, rsp := range append(endless.Heads(), endless.Bodies("")...) {
		t.Run(rsp.Name, func(t *testing.T) {
			read, err := fetchEndless(t, rsp, endless.HangTimeout)
			assert.Assert(t, err != nil)
			assert.Assert(t, read <= headBound+bodyBound+readAhead, "read %d bytes", read)
		})
	}
}

// A VM list that comes slowly, or not at all, must not hold a fetch beyond its time.
func TestSlowListsEndInTime(t *testing.T) {
	for _, rsp := range endless.Slow("") {
		if rsp.IgnoreRequest {
			continue // a request fits in the buffers of the connection: the same as no response
		}
		t.Run(rsp.Name, func(t *testing.T) {
			t.Parallel()
			_, err := fetchEndless(t, rsp, 200*time.Millisecond)
			assert.Assert(t, err != nil)
		})
	}
}
