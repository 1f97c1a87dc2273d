package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// pausedClock runs ahead of the timers, like the clock of a process that was paused.
type pausedClock struct {
	clock.Monotonic
	paused atomic.Int64
}

func (pc *pausedClock) Now() clock.Millis { return pc.Monotonic.Now() + clock.Millis(pc.paused.Load()) }

// After a pause of any length, at any time, a VM waits for its callers for the whole
// timeout again, because it could accept no connections during the pause.
func TestAbsenceTimerRestartsAfterPause(t *testing.T) {
	const wait = 3 * clock.Second
	for _, row := range []struct {
		name          string
		active, pause clock.Millis // the timer runs for the first, then the process is paused
		least, most   clock.Millis // bounds of the remaining wait
	}{
		{"no pause", 0, 0, wait, wait},
		{"short pause", clock.Second, 100, wait - clock.Second - 100, wait - clock.Second},
		{"pause longer than the timeout", clock.Second, 4 * clock.Second, wait, wait + wait/absenceChecks},
		{"pause at the start", 0, clock.Minute, wait, wait + wait/absenceChecks},
		{"pause shortly before the end", wait - 1, clock.Minute, wait, wait + wait/absenceChecks},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clk := &pausedClock{}
				expired := make(chan time.Time, 1)
				ab := &absenceTimer{timeout: wait, clk: clk, onExpire: func() { expired <- time.Now() }}
				ab.Start()
				time.Sleep(row.active.Std())
				clk.paused.Add(int64(row.pause))
				woke := time.Now()
				after := clock.Of((<-expired).Sub(woke))
				assert.Assert(t, after >= row.least && after <= row.most, "%v", after)
			})
		})
	}
}

// The timer stops when the caller returns, and restarts when the caller leaves again.
func TestAbsenceTimerStopsWhenCallerReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var expirations atomic.Int64
		ab := &absenceTimer{timeout: clock.Second, clk: clock.Monotonic{}, onExpire: func() { expirations.Add(1) }}
		ab.Start()
		time.Sleep(900 * time.Millisecond)
		ab.Stop()
		time.Sleep(time.Second)
		ab.Start()
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, expirations.Load(), int64(0))
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, expirations.Load(), int64(1))
	})
}
