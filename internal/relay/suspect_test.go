package relay_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// crashServersOnSend makes each server that runs the request crash before its first
// event.
func crashServersOnSend(sv *servers) {
	sv.ended = make(map[string]bool)
	sv.onSend = func(_ context.Context, _ int, se sent) (*http.Response, error) {
		time.Sleep(60 * time.Millisecond)
		sv.mu.Lock()
		sv.ended[se.server] = true
		sv.mu.Unlock()
		return newResponse(http.StatusOK, "", io.ErrUnexpectedEOF), nil
	}
}

// Guards against one request that crashes ten engines: each attempt of its callers is
// a new request to each VM, and each would be started and resumed at the remaining
// engines. All that identifies the request, except the ID of the attempt, is the same
// in its attempts.
func TestRequestThatCrashesServersIsNotResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		withDecoders(rl, "d3", "d4", "d5", "d6", "d7", "d8", "d9", "d10")
		crashServersOnSend(sv)
		for range 6 { // callers, each with two attempts
			for range 2 {
				_, _ = serve(t.Context(), rl, "resumable")
				time.Sleep(500 * time.Millisecond)
			}
		}
		ended := sv.sentTo()
		slices.Sort(ended)
		ended = slices.Compact(ended)
		assert.Assert(t, len(ended) <= 3, "%d engines ended: %v", len(ended), ended)
	})
}
