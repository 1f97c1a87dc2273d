package event

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Throttle bounds the lines on something that clients may cause at will: the first is
// logged, and then one in each interval, which tells how often it happened since. Create it
// with [NewThrottle].
type Throttle struct {
	limiter *rate.Limiter
	count   atomic.Int64 // since the last line
}

// NewThrottle returns a throttle with an interval.
func NewThrottle(interval time.Duration) *Throttle {
	return &Throttle{limiter: rate.NewLimiter(rate.Every(interval), 1)}
}

// Count counts one occurrence. If a line is due, it returns how many it is about.
func (th *Throttle) Count() (count int64, due bool) {
	th.count.Add(1)
	if !th.limiter.Allow() {
		return 0, false
	}
	return th.count.Swap(0), true
}
