package clock

import (
	"context"
	"errors"
	"time"
)

// recheckInterval is how often a deadline looks at its clock: a timer alone is late by as
// long as the machine was suspended.
const recheckInterval = 400 * Millis(1)

// WithDeadline returns a context that ends at a point of the source, or within half a
// second of that after the machine was suspended. Its cause is then a
// [context.DeadlineExceeded], and it is [Overdue]. The function ends it before.
func WithDeadline(parent context.Context, src Source, at Millis) (context.Context, context.CancelFunc) {
	return WithDeadlineCause(parent, src, at, context.DeadlineExceeded)
}

// WithDeadlineCause is WithDeadline with another cause, which [context.Cause] wraps.
func WithDeadlineCause(parent context.Context, src Source, at Millis, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	var timer *time.Timer
	check := func() {
		left := at - src.Now()
		switch {
		case ctx.Err() != nil:
		case left <= 0:
			cancel(overdueError{cause})
		default:
			timer.Reset(min(left, recheckInterval).Std())
		}
	}
	timer = time.AfterFunc(Hour.Std(), check)
	check()
	return ctx, func() {
		cancel(context.Canceled)
		timer.Stop()
	}
}

// overdueError is the cause of a context whose point passed.
type overdueError struct{ cause error }

// Error is the cause's own text.
func (od overdueError) Error() string { return od.cause.Error() }

// Unwrap returns the cause.
func (od overdueError) Unwrap() error { return od.cause }

// Overdue tells whether a context ended since its time, or that of one it came
// from, was over.
func Overdue(ctx context.Context) bool {
	cause := context.Cause(ctx)
	_, own := errors.AsType[overdueError](cause)
	return own || errors.Is(cause, context.DeadlineExceeded)
}
