package logsvc

import (
	"context"
	"errors"
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

// callEndless calls a server and returns the error and how many bytes were read. It fails
// the test if the call or its connection does not end.
func callEndless(t *testing.T, rsp endless.Response, call func(ctx context.Context, cl *Client) error, within time.Duration) (int64, error) {
	t.Helper()
	res, err := endless.Call(t.Context(), rsp, endless.Limit{Within: within}, func(ctx context.Context, mt *endless.Meter, address string) error {
		cl := &Client{URL: "http://" + address, MaxBatch: bodyBound}
		cl.client().Transport.(wellformed.Transport).Base.DialContext = mt.Dial
		return call(ctx, cl)
	})
	assert.NilError(t, err)
	return res.Read, res.Err
}

func readOne(ctx context.Context, cl *Client) error {
	_, err := cl.Read(ctx, "s", 0, 1, 0)
	return err
}

func appendOne(ctx context.Context, cl *Client) error {
	_, err := cl.Append(ctx, "s", []byte("{}"))
	return err
}

// A log service that sends without end must not make a VM read without limit, and an
// append without an answer may have had its effect.
func TestEndlessResponsesEndAtALimit(t *testing.T) {
	for _, rsp := range append(endless.Heads(), endless.Bodies("")...) {
		t.Run("read, "+rsp.Name, func(t *testing.T) {
			read, err := callEndless(t, rsp, readOne, endless.HangTimeout)
			assert.Assert(t, err != nil)
			assert.Assert(t, read <= headBound+bodyBound+readAhead, "read %d bytes", read)
		})
		t.Run("append, "+rsp.Name, func(t *testing.T) {
			read, err := callEndless(t, rsp, appendOne, endless.HangTimeout)
			ae, ok := errors.AsType[*AppendError](err)
			assert.Assert(t, ok, "%v", err)
			assert.Equal(t, ae.Effect, MayBeAppended)
			assert.Assert(t, read <= headBound+bodyBound+readAhead, "read %d bytes", read)
		})
	}
}

// A log service that sends one byte a second, falls silent or does not read a request must
// not hold a call beyond its time.
func TestSlowResponsesEndInTime(t *testing.T) {
	for _, rsp := range endless.Slow("") {
		if rsp.IgnoreRequest {
			continue // a request fits in the buffers of the connection: the same as no response
		}
		t.Run(rsp.Name, func(t *testing.T) {
			t.Parallel()
			_, err := callEndless(t, rsp, readOne, 200*time.Millisecond)
			assert.Assert(t, err != nil)
		})
	}
}
