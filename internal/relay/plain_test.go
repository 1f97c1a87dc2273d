package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/relay"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

func TestPlainAnswerIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return newResponse(http.StatusTeapot, "body", nil), nil
		}
		rec, err := serve(t.Context(), rl, "once")
		assert.NilError(t, err)
		assert.Equal(t, rec.Code, http.StatusTeapot)
		assert.Equal(t, rec.Body.String(), "body")
		assert.Equal(t, rec.Header().Get("X-Seal"), "s")
		assert.Equal(t, rl.OpenRequests(), 0)
	})
}

// A non-idempotent request is not sent again once it may have run; one that did not
// run may be sent again.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first error
		end   error // of the first answer's body
		sends int
		ran   refusal.Ran
	}{
		{"lost response", errReset, nil, 1, refusal.MayHaveRun},
		{"truncated answer", nil, io.ErrUnexpectedEOF, 1, refusal.MayHaveRun},
		{"declined", errFull, nil, 2, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
					if nth > 1 {
						return newResponse(http.StatusOK, "whole", nil), nil
					}
					if tc.first != nil {
						return nil, tc.first
					}
					return newResponse(http.StatusOK, "torn", tc.end), nil
				}
				rec, err := serve(t.Context(), rl, "once")
				assert.Equal(t, len(sv.sentTo()), tc.sends)
				if tc.ran == "" {
					assert.NilError(t, err)
					assert.Equal(t, rec.Body.String(), "whole")
					assert.Equal(t, distinct(sv.sentTo()), 2, "another server")
					return
				}
				rf := refusalOf(t, err)
				assert.Equal(t, rf.Ran, tc.ran)
				assert.Equal(t, rf.RetryAfter, clock.Millis(0))
				assert.Equal(t, rec.Body.Len(), 0)
			})
		})
	}
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(_ context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == 1 {
				return newResponse(http.StatusInternalServerError, "failed", nil), nil
			}
			return newResponse(http.StatusOK, "whole", nil), nil
		}
		rec, err := serve(t.Context(), rl, "again")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), "whole")
		assert.Equal(t, distinct(sv.sentTo()), 2)
	})
}

// A server's failure is returned unchanged to the caller when no attempt is left.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) {
			return newResponse(http.StatusInternalServerError, "failed", nil), nil
		}
		rec, err := serve(t.Context(), rl, "again")
		assert.NilError(t, err)
		assert.Equal(t, rec.Code, http.StatusInternalServerError)
		assert.Equal(t, len(sv.sentTo()), 2)
	})
}

// No retries are made beyond the budget, however many requests fail.
func TestBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(context.Context, int, sent) (*http.Response, error) { return nil, errReset }
		const requests = 200
		for range requests {
			_, err := serve(t.Context(), rl, "again")
			refusalOf(t, err)
		}
		extra := len(sv.sentTo()) - requests
		assert.Assert(t, extra >= 3 && extra <= 3+requests/10+1, "%d", extra)
	})
}

// A server that hangs does not use up the time of an idempotent request.
func TestIdempotentRequestIsRetriedAfterAServerHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(ctx context.Context, nth int, _ sent) (*http.Response, error) {
			if nth == 1 {
				<-ctx.Done()
				return nil, errReset
			}
			return newResponse(http.StatusOK, "whole", nil), nil
		}
		began := time.Now()
		rec, err := serve(t.Context(), rl, "again")
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), "whole")
		assert.Assert(t, time.Since(began) < 300*time.Millisecond)
		assert.Equal(t, distinct(sv.sentTo()), 2)
	})
}

func TestTimeoutOfTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		sv.onSend = func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
			<-ctx.Done()
			return nil, errReset
		}
		began := time.Now()
		_, err := serve(t.Context(), rl, "once")
		assert.Equal(t, refusalOf(t, err).Reason, refusal.DeadlinePassed)
		assert.Equal(t, time.Since(began), time.Second)
	})
}

func TestCallerDeadlineIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		_, err := serveWithLimit(t.Context(), rl, "once", 300)
		assert.NilError(t, err)
		assert.Equal(t, sv.sent[0].op.TimeLeft, clock.Millis(300))
	})
}

func TestWithoutConfigurationOrRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		_, err := serve(t.Context(), rl, "nowhere")
		assert.Equal(t, refusalOf(t, err).Reason, refusal.UnknownService)
		fresh := &relay.Relay{Servers: sv, Rand: rl.Rand, Clock: rl.Clock}
		_, err = serve(t.Context(), fresh, "once")
		assert.Equal(t, refusalOf(t, err).Reason, refusal.Starting)
		assert.Equal(t, len(sv.sentTo()), 0)
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, _ := newRig(t)
		same := rl.Table()
		assert.Assert(t, !rl.Configure(same))
		assert.Assert(t, !rl.Configure(nil))
		assert.Equal(t, rl.Table().Version(), uint64(4))
	})
}

func TestNoServerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		rl.SetBackends(rl.Clock.Now(), nil)
		for _, name := range []string{"once", "draft"} {
			_, err := serve(t.Context(), rl, name)
			rf := refusalOf(t, err)
			assert.Equal(t, rf.Ran, refusal.NotRun)
			assert.Assert(t, rf.RetryAfter > 0)
		}
		assert.Equal(t, len(sv.sentTo()), 0)
	})
}

func TestRequestOfADisconnectedCallerIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, sv := newRig(t)
		cancelled := false
		sv.onSend = func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
			<-ctx.Done()
			cancelled = errors.Is(ctx.Err(), context.Canceled)
			return nil, errReset
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		_, err := serve(ctx, rl, "again")
		assert.Equal(t, refusalOf(t, err).Reason, refusal.CallerGone)
		assert.Assert(t, cancelled)
		assert.Equal(t, len(sv.sentTo()), 1, "nothing is sent for a caller that disconnected")
	})
}
