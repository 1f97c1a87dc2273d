package entry

import (
	"sync"
	"time"

	"alderdyke/pkg/clock"
)

const (
	// absenceChecks is how many looks at a missing caller make up the wait for it.
	absenceChecks = 8
	// pauseThreshold is the least span between two looks that shows that the process did
	// not run. Where looks are further apart it is twice their distance.
	pauseThreshold = 500 * clock.Millis(1)
)

// absenceTimer waits for a caller without a connection. A process that stood still could
// not hear one, so it waits anew from then on.
type absenceTimer struct {
	timeout  clock.Millis // after which the caller is gone
	clk      clock.Source
	onExpire func()

	mu        sync.Mutex
	timer     *time.Timer
	active    bool
	elapsed   clock.Millis // for which the caller has been missing
	checkedAt clock.Millis // when that was looked at last
}

// Start starts to wait anew.
func (ab *absenceTimer) Start() {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	ab.active, ab.elapsed, ab.checkedAt = true, 0, ab.clk.Now()
	if ab.timer == nil {
		ab.timer = time.AfterFunc(ab.checkInterval().Std(), ab.check)
		return
	}
	ab.timer.Reset(ab.checkInterval().Std())
}

// Stop ends the wait.
func (ab *absenceTimer) Stop() {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	ab.active = false
	if ab.timer != nil {
		ab.timer.Stop()
	}
}

func (ab *absenceTimer) check() {
	if ab.expired() {
		ab.onExpire()
	}
}

// expired counts the time since the last look, and tells whether the wait is expired.
func (ab *absenceTimer) expired() bool {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if !ab.active {
		return false
	}
	now := ab.clk.Now()
	ab.elapsed += now - ab.checkedAt
	if now-ab.checkedAt > max(pauseThreshold, 2*ab.checkInterval()) {
		ab.elapsed = 0
	}
	ab.checkedAt = now
	if ab.elapsed >= ab.timeout {
		ab.active = false
		return true
	}
	ab.timer.Reset(ab.checkInterval().Std())
	return false
}

func (ab *absenceTimer) checkInterval() clock.Millis { return max(1, ab.timeout/absenceChecks) }
