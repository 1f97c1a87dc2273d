package clock_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// jumpingClock is a clock that a test can advance without the timers.
type jumpingClock struct {
	start time.Time
	ahead atomic.Int64
}

func (jp *jumpingClock) Now() clock.Millis {
	return clock.Of(time.Since(jp.start)) + clock.Millis(jp.ahead.Load())
}

func TestWithDeadline(t *testing.T) {
	for _, tc := range []struct {
		name  string
		at    clock.Millis
		ahead clock.Millis // how far the clock is ahead of the timers after 500 ms
		want  time.Duration
	}{
		{"in time", 4 * clock.Second, 0, 4 * time.Second},
		{"passed", -1, 0, 0},
		{"passed while the machine was suspended", 20 * clock.Second, clock.Minute, 800 * time.Millisecond},
		{"clock jumps closer to the deadline", 4 * clock.Second, 2 * clock.Second, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				jp := &jumpingClock{start: time.Now()}
				time.AfterFunc(500*time.Millisecond, func() { jp.ahead.Store(int64(tc.ahead)) })
				ctx, stop := clock.WithDeadline(t.Context(), jp, tc.at)
				defer stop()
				<-ctx.Done()
				assert.Equal(t, time.Since(jp.start), tc.want)
				assert.Assert(t, clock.Overdue(ctx))
				child, end := context.WithCancel(ctx)
				defer end()
				assert.Assert(t, clock.Overdue(child))
			})
		})
	}
}

func TestStoppedDeadlineIsNotOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := clock.WithDeadline(t.Context(), &jumpingClock{start: time.Now()}, clock.Second)
		assert.Assert(t, !clock.Overdue(ctx))
		stop()
		time.Sleep(2 * time.Second)
		assert.ErrorIs(t, ctx.Err(), context.Canceled)
		assert.Assert(t, !clock.Overdue(ctx))
	})
}

func TestWithDeadlineCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		why := errors.New("the request's deadline passed")
		ctx, stop := clock.WithDeadlineCause(t.Context(), &jumpingClock{start: time.Now()}, clock.Second, why)
		defer stop()
		<-ctx.Done()
		assert.Assert(t, clock.Overdue(ctx))
		assert.ErrorIs(t, context.Cause(ctx), why)
		assert.Error(t, context.Cause(ctx), why.Error())
	})
}

// Boottime reads the kernel's clock that also counts while the machine is suspended.
func TestBoottimeMatchesKernel(t *testing.T) {
	boot := func() clock.Millis {
		var ts unix.Timespec
		assert.NilError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts))
		return clock.Of(time.Duration(ts.Nano()))
	}
	var src clock.Boottime
	first, before := src.Now(), boot()
	time.Sleep(20 * time.Millisecond)
	second, after := src.Now(), boot()
	assert.Assert(t, second-first >= 20-1)
	assert.Assert(t, second-first <= after-before+1, "%v, %v", second-first, after-before)
}
