package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/relay"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
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

// A planned stop serves the requests to plain services that can end before the process
// exits, and refuses the others. How long a route's requests take is known from its
// recent ones; the route's timeout alone would refuse all that are short.
func TestPlannedStopServesWhatItCanFinish(t *testing.T) {
	const stopTime = 7600 * clock.Millis(1)
	for _, tc := range []struct {
		name   string
		work   clock.Millis
		limit  clock.Millis // the route's timeout
		before int          // requests that were served before the stop
		served [3]bool      // of the requests 0.4, 2.4 and 4.4 s after the start of the stop
	}{
		{"short requests", 100, 5 * clock.Second, 1, [3]bool{true, true, true}},
		{"short requests, none before", 100, 5 * clock.Second, 0, [3]bool{true, true, true}},
		{"nothing is known", 4400, 9 * clock.Second, 0, [3]bool{}},
		{"as long as the stop", 6 * clock.Second, 9 * clock.Second, 1, [3]bool{}},
		{"half as long as the stop", 3 * clock.Second, 9 * clock.Second, 1, [3]bool{true, true, false}},
		{"deadline before the exit", 3 * clock.Second, 3200, 0, [3]bool{true, true, true}},
		{"deadline after the exit", 4400, 5 * clock.Second, 0, [3]bool{true, true, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newStoppingRig(t, tc.limit, stopTime)
				sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
					time.Sleep(tc.work.Std())
					return newResponse(http.StatusOK, eventOne, nil), nil
				}
				for range tc.before {
					_, err := serve(t.Context(), rl, "slow")
					assert.NilError(t, err)
				}
				rl.BeginStop()
				var got [3]bool
				var all sync.WaitGroup
				for ix, after := range []clock.Millis{400, 2400, 4400} {
					all.Go(func() {
						time.Sleep(after.Std())
						began := rl.Clock.Now()
						_, err := serve(t.Context(), rl, "slow")
						if got[ix] = err == nil; !got[ix] {
							rf := refusalOf(t, err)
							assert.Equal(t, rf.Reason, refusal.Draining)
							assert.Equal(t, rf.Ran, refusal.NotRun)
							assert.Equal(t, rl.Clock.Now(), began, "a request that is refused does not wait")
						}
					})
				}
				all.Wait()
				assert.Equal(t, got, tc.served)
			})
		})
	}
}

// A service that has become slow since its last answer is noticed by its open requests.
func TestPlannedStopNoticesSlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newStoppingRig(t, 9*clock.Second, 7600)
		work := 100 * time.Millisecond
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			time.Sleep(work)
			return newResponse(http.StatusOK, eventOne, nil), nil
		}
		_, err := serve(t.Context(), rl, "slow")
		assert.NilError(t, err)
		work = 6 * time.Second
		done := make(chan error, 1)
		go func() {
			_, err := serve(t.Context(), rl, "slow")
			done <- err
		}()
		time.Sleep(4 * time.Second)
		rl.BeginStop()
		time.Sleep(1800 * time.Millisecond)
		_, err = serve(t.Context(), rl, "slow")
		assert.Equal(t, refusalOf(t, err).Reason, refusal.Draining)
		assert.NilError(t, <-done)
	})
}

// Streams that usually last longer than the rest of the stop are refused, unless their
// callers can resume them at another VM.
func TestPlannedStopRefusesLongStreams(t *testing.T) {
	for _, tc := range []struct {
		route    string
		work     time.Duration
		accepted bool
	}{{"draft", 4 * time.Second, true}, {"draft", 9 * time.Second, false}, {"resumable", 9 * time.Second, true}} {
		t.Run(tc.route+"/"+tc.work.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newStoppingRig(t, 9*clock.Second, 7600)
				sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
					time.Sleep(tc.work)
					return newResponse(http.StatusOK, eventOne, nil), nil
				}
				_, err := serve(t.Context(), rl, tc.route)
				assert.NilError(t, err)
				rl.BeginStop()
				time.Sleep(time.Second)
				before := len(sv.sentTo())
				_, err = serve(t.Context(), rl, tc.route)
				assert.Equal(t, len(sv.sentTo()) > before, tc.accepted)
				if !tc.accepted {
					assert.Equal(t, refusalOf(t, err).Ran, refusal.NotRun)
				}
			})
		})
	}
}

// Requests that are still open when the process exits end with a refusal that says truly
// whether they may have run. Guards against connections that break without a word, after
// which the caller of a request that did not run can't repeat it.
func TestStopEndsOpenRequests(t *testing.T) {
	const stopTime = 2 * clock.Second
	for _, tc := range []struct {
		name, route string
		onSend      func(ctx context.Context, nth int, se sent) (*http.Response, error)
		ran         refusal.Ran
	}{
		{name: "an attempt in progress", route: "slow", ran: refusal.MayHaveRun,
			onSend: func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
				<-ctx.Done()
				return nil, backend.InDoubtError{Server: "p1", Call: "Send", Err: ctx.Err()}
			}},
		{name: "a call that has not left yet", route: "slow", ran: refusal.NotRun,
			onSend: func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
				<-ctx.Done()
				return nil, backend.NotSentError{Server: "p1", Call: "Send", Err: ctx.Err()}
			}},
		{name: "a stream before its first event", route: "draft", ran: refusal.MayHaveRun,
			onSend: func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
				rd, wr := io.Pipe()
				context.AfterFunc(ctx, func() { _ = wr.CloseWithError(ctx.Err()) })
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Seal": {"s"}}, Body: rd}, nil
			}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newStoppingRig(t, 9*clock.Second, stopTime)
				sv.onSend = tc.onSend
				done := make(chan error, 1)
				go func() {
					_, err := serve(t.Context(), rl, tc.route)
					done <- err
				}()
				time.Sleep(100 * time.Millisecond)
				began := rl.Clock.Now()
				rl.BeginStop()
				rf := refusalOf(t, <-done)
				assert.Equal(t, rl.Clock.Now()-began, stopTime)
				assert.Equal(t, rf.Reason, refusal.Draining)
				assert.Equal(t, rf.Ran, tc.ran)
				assert.Equal(t, rf.RetryAfter > 0, tc.ran == refusal.NotRun)
				synctest.Wait()
				assert.Equal(t, rl.OpenRequests(), 0)
				assert.Equal(t, sv.held(), 0)
			})
		})
	}
}

// newStoppingRig is newRig with the time that a planned stop lasts and a plain route "slow"
// whose requests must not be repeated.
func newStoppingRig(t *testing.T, limit, stopTime clock.Millis) (*relay.Relay, *servers) {
	t.Helper()
	rl, sv := newRigWith(t, 2, relay.Settings{StopTime: stopTime})
	tb := rl.Table()
	draft, _ := tb.Match("h", "/draft/")
	resumable, _ := tb.Match("h", "/resumable/")
	slow := route.Route{Name: "slow", Host: "h", Prefix: "/slow/", Kind: route.Once, Shares: []route.Share{{Service: "plain", Weight: 1}}, Timeout: limit, MaxAttempts: 1}
	next, err := route.New(tb.Version()+1, []route.Route{draft, resumable, slow}, []route.Service{tb.Service("plain"), tb.Service("model")})
	assert.NilError(t, err)
	assert.Assert(t, rl.Configure(next))
	return rl, sv
}
