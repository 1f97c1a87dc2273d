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

// suspendableClock is the clock of a machine that may be suspended: the time of that counts,
// and no timer does.
type suspendableClock struct {
	bubbleClock
	suspended atomic.Int64 // milliseconds
}

func (sc *suspendableClock) Now() clock.Millis {
	return sc.bubbleClock.Now() + clock.Millis(sc.suspended.Load())
}

// A machine that was suspended for 20 s woke with requests whose callers had long
// gone: the timers of their ends still had as long to run as before ("14s" on timers,
// 34 s after the request came), since timers stand while the machine does.
func TestRequestsEndWhenTheirVMResumes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		away    clock.Millis
		atLeast time.Duration // the end of the request, on timers
		atMost  time.Duration
	}{
		{"its time is over", 20 * clock.Second, time.Second, 1500 * time.Millisecond},
		{"some of it is left", 5 * clock.Second, 9 * time.Second, 9500 * time.Millisecond},
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
