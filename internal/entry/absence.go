package entry

import (
	"sync"
	"time"

	"alderdyke/pkg/clock"
)

const (
	// absenceLooks is how many looks at a missing caller make up the wait for it.
	absenceLooks = 8
	// standstill is the least span between two looks that shows that the process did
	// not run. Where looks are further apart it is twice their distance.
	standstill = 500 * clock.Millis(1)
)

// absence waits for a caller without a connection. A process that stood still could
// not hear one, so it waits anew from then on.
type absence struct {
	wait clock.Millis // after which the caller is gone
	clk  clock.Source
	gone func()

	mu      sync.Mutex
	timer   *time.Timer
	missing bool
	missed  clock.Millis // for which the caller has been missing
	looked  clock.Millis // when that was looked at last
}

// Start starts to wait anew.
func (ab *absence) Start() {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	ab.missing, ab.missed, ab.looked = true, 0, ab.clk.Now()
	if ab.timer == nil {
		ab.timer = time.AfterFunc(ab.step().Std(), ab.look)
		return
	}
	ab.timer.Reset(ab.step().Std())
}

// Stop ends the wait.
func (ab *absence) Stop() {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	ab.missing = false
	if ab.timer != nil {
		ab.timer.Stop()
	}
}

func (ab *absence) look() {
	if ab.over() {
		ab.gone()
	}
}

// over counts the time since the last look, and tells whether the wait is over.
func (ab *absence) over() bool {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if !ab.missing {
		return false
	}
	now := ab.clk.Now()
	ab.missed += now - ab.looked
	if now-ab.looked > max(standstill, 2*ab.step()) {
		ab.missed = 0
	}
	ab.looked = now
	if ab.missed >= ab.wait {
		ab.missing = false
		return true
	}
	ab.timer.Reset(ab.step().Std())
	return false
}

func (ab *absence) step() clock.Millis { return max(1, ab.wait/absenceLooks) }
