package relay_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/relay"
	"alderdyke/pkg/refusal"
)

// A planned stop cuts nothing, accepts what can still end in time, and refuses the
// rest before it runs.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		assert.Assert(t, !rl.Stopping() && !rl.MayExit())
		release := make(chan struct{})
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			<-release
			return newResponse(http.StatusOK, eventOne, nil), nil
		}
		done := make(chan error, 1)
		go func() {
			_, err := serve(t.Context(), rl, "draft")
			done <- err
		}()
		synctest.Wait()
		rl.BeginStop()
		rl.BeginStop() // a second call has no effect
		assert.Assert(t, rl.Stopping())
		time.Sleep(relay.DefaultStopGenerate.Std())
		_, err := serve(t.Context(), rl, "draft")
		rf := refusalOf(t, err)
		assert.Equal(t, rf.Reason, refusal.Draining)
		assert.Equal(t, rf.Ran, refusal.NotRun)
		assert.Assert(t, rf.RetryAfter > 0)
		time.Sleep(relay.DefaultStopAccept.Std())
		_, err = serve(t.Context(), rl, "again")
		assert.Equal(t, refusalOf(t, err).Reason, refusal.Draining)
		assert.Assert(t, !rl.MayExit(), "a generation is in progress")
		close(release)
		assert.NilError(t, <-done)
		assert.Assert(t, rl.MayExit())
	})
}

func TestShortRequestsAreAcceptedLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, _ := newRig(t)
		rl.BeginStop()
		time.Sleep(relay.DefaultStopGenerate.Std())
		_, err := serve(t.Context(), rl, "once")
		assert.NilError(t, err)
		assert.Assert(t, !rl.MayExit(), "callers may still use the address")
	})
}

// A stream of a plain service may last as long as a generation: if it were accepted
// late, the end of the stop would cut it.
func TestStreamsAreRefusedLikeGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		rl.BeginStop()
		time.Sleep(relay.DefaultStopGenerate.Std())
		_, err := serve(t.Context(), rl, "plain-stream")
		assert.Equal(t, refusalOf(t, err).Reason, refusal.Draining)
		assert.Equal(t, len(sv.sent), 0)
	})
}

// Everything held at an engine is freed before the process exits.
func TestExitWaitsForCleanUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return nil, backend.NotSentError{Server: "d1", Call: "Send", Err: errors.New("nobody is there")}
		}
		release := make(chan struct{})
		sv.onForget = func() { <-release }
		_, err := serve(t.Context(), rl, "draft")
		assert.Equal(t, refusalOf(t, err).Ran, refusal.NotRun)
		rl.BeginStop()
		time.Sleep(relay.DefaultStopAccept.Std())
		assert.Equal(t, rl.OpenRequests(), 0)
		assert.Assert(t, !rl.MayExit(), "a computed prompt is still held")
		close(release)
		synctest.Wait()
		assert.Assert(t, rl.MayExit())
	})
}
