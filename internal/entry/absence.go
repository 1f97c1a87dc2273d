package entry

import (
	"sync"
	"time"

	"alderdyke/pkg/clock"
)

const (
	// absenceChecks is the number of checks that the timeout is divided into.
	absenceChecks = 8
	// pauseThreshold is the shortest interval between two checks that shows that
	// the process was paused. If the checks are further apart, the threshold is
	// twice their interval.
	pauseThreshold = 500 * clock.Millis(1)
)

// absenceTimer waits for a caller that has no open connection. A paused process
// can't accept connections, so the timer restarts after a pause.
type absenceTimer struct {
	timeout   clock.Millis
	clk       clock.Source
	onExpire  func()
	mu        sync.Mutex
	timer     *time.Timer
	active    bool
	elapsed   clock.Millis // since the caller disconnected, without pauses
	checkedAt clock.Millis // time of the last check
}

// Start starts or restarts the timer.
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

// Stop stops the timer.
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

// expired adds the time since the last check and reports whether the timeout has passed.
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
