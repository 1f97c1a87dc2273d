package clock

import (
	"context"
	"time"
)

// Sleep waits for a span or until the context ends, and reports whether the full span
// elapsed. A span of zero or less does not wait, and returns whether the context is
// still active.
func Sleep(ctx context.Context, span Millis) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
