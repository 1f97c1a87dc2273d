package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// pausedClock runs ahead of the timers, as that of a process that stood still.
type pausedClock struct {
	clock.Monotonic
	paused atomic.Int64
}

func (pc *pausedClock) Now() clock.Millis { return pc.Monotonic.Now() + clock.Millis(pc.paused.Load()) }

// However long a VM stood still, and whenever, it waits for its callers anew when it
// goes on: none could be heard in between.
func TestAbsenceTimerRestartsAfterPause(t *testing.T) {
	const wait = 3 * clock.Second
	for _, row := range []struct {
		name          string
		active, pause clock.Millis // the wait goes on for so long, and then stands still
		least, most   clock.Millis // of the wait after it
	}{
		{"no pause", 0, 0, wait, wait},
		{"a short one", clock.Second, 100, wait - clock.Second - 100, wait - clock.Second},
		{"longer than the wait", clock.Second, 4 * clock.Second, wait, wait + wait/absenceChecks},
		{"right at its beginning", 0, clock.Minute, wait, wait + wait/absenceChecks},
		{"shortly before its end", wait - 1, clock.Minute, wait, wait + wait/absenceChecks},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clk := &pausedClock{}
				gone := make(chan time.Time, 1)
				ab := &absenceTimer{timeout: wait, clk: clk, onExpire: func() { gone <- time.Now() }}
				ab.Start()
				time.Sleep(row.active.Std())
				clk.paused.Add(int64(row.pause))
				woke := time.Now()
				after := clock.Of((<-gone).Sub(woke))
				assert.Assert(t, after >= row.least && after <= row.most, "%v", after)
			})
		})
	}
}

// A caller who is back is not waited for, and one who leaves again is waited for anew.
func TestAbsenceTimerStopsWhenCallerReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gone atomic.Int64
		ab := &absenceTimer{timeout: clock.Second, clk: clock.Monotonic{}, onExpire: func() { gone.Add(1) }}
		ab.Start()
		time.Sleep(900 * time.Millisecond)
		ab.Stop()
		time.Sleep(time.Second)
		ab.Start()
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, gone.Load(), int64(0))
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, gone.Load(), int64(1))
	})
}
