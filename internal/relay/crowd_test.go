package relay_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/refusal"
)

// answerWithLoad returns the answer of a server that reports its load.
func answerWithLoad(status int, load string) *http.Response {
	rsp := newResponse(status, "a", nil)
	rsp.Header.Set("X-Load", load)
	return rsp
}

// While the servers report a long queue, an idempotent request that failed at one of
// them is not sent again, and other requests are refused at once with a retry-after.
// Once the queue is empty, requests are accepted and sent again as before.
func TestLongQueueRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		load, status := "6,0,6", http.StatusOK
		sv.onSend = func(_ context.Context, _ int, _ sent) (*http.Response, error) {
			time.Sleep(20 * time.Millisecond)
			return answerWithLoad(status, load), nil
		}
		for range 20 {
			_, err := serve(t.Context(), rl, "again")
			assert.NilError(t, err)
		}
		load, status = "6,24,6", http.StatusInternalServerError
		refused := 0
		for range 60 {
			before := len(sv.sentTo())
			_, err := serve(t.Context(), rl, "again")
			if rf, ok := errors.AsType[refusal.Refusal](err); ok {
				refused++
				assert.Equal(t, rf.Reason, refusal.TargetUnreachable)
				assert.Equal(t, rf.Ran, refusal.NotRun)
				assert.Assert(t, rf.RetryAfter > 0)
				assert.Equal(t, len(sv.sentTo()), before)
				continue
			}
			if refused > 0 {
				assert.Equal(t, len(sv.sentTo()), before+1, "a failed request is sent again")
			}
		}
		assert.Assert(t, refused > 30, "%d refused", refused)
		time.Sleep(10 * time.Second)
		load, status = "1,0,6", http.StatusInternalServerError
		before := len(sv.sentTo())
		_, err := serve(t.Context(), rl, "again")
		assert.NilError(t, err)
		assert.Equal(t, len(sv.sentTo()), before+2)
	})
}

// A route without an objective waits as long as necessary.
func TestLongQueueWithoutObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(_ context.Context, _ int, _ sent) (*http.Response, error) {
			return answerWithLoad(http.StatusOK, "6,24,6"), nil
		}
		for range 50 {
			_, err := serve(t.Context(), rl, "once")
			assert.NilError(t, err)
		}
	})
}
