package relay_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// suspendableClock is the clock of a VM that may be suspended: the suspended time
// counts for it, but not for timers.
type suspendableClock struct {
	bubbleClock
	suspended atomic.Int64 // milliseconds
}

func (sc *suspendableClock) Now() clock.Millis {
	return sc.bubbleClock.Now() + clock.Millis(sc.suspended.Load())
}

// Guards against requests that outlive their deadline after their VM was suspended:
// timers do not run meanwhile, so after 20 s of suspension a timer of 14 s fires 34 s
// after the request came, when its caller disconnected long ago.
func TestRequestsEndAfterTheirVMWasSuspended(t *testing.T) {
	for _, tc := range []struct {
		name    string
		away    clock.Millis
		atLeast time.Duration // the end of the request, on timers
		atMost  time.Duration
	}{
		{"the deadline has passed", 20 * clock.Second, time.Second, 1500 * time.Millisecond},
		{"some time is left", 5 * clock.Second, 9 * time.Second, 9500 * time.Millisecond},
		{"never", 0, 14 * time.Second, 14 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, sv := newRig(t)
				sc := &suspendableClock{bubbleClock: bubbleClock{time.Now()}}
				rl.Clock = sc
				sv.onSend = func(ctx context.Context, _ int, _ sent) (*http.Response, error) {
					<-ctx.Done()
					return nil, errReset
				}
				time.AfterFunc(time.Second, func() { sc.suspended.Store(int64(tc.away)) })
				began := time.Now()
				_, err := serve(t.Context(), rl, "draft")
				took := time.Since(began)
				assert.Equal(t, refusalOf(t, err).Reason, refusal.DeadlinePassed)
				assert.Assert(t, took >= tc.atLeast && took <= tc.atMost, "%v", took)
			})
		})
	}
}
