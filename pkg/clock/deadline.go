package clock

import (
	"context"
	"errors"
	"time"
)

// recheckInterval is the maximum time between two checks of a deadline's clock: a
// timer alone would fire late by as long as the machine was suspended.
const recheckInterval = 400 * Millis(1)

// WithDeadline returns a context that ends at a point of the source, or, if the machine
// was suspended, within half a second of that point. Its cause is then a
// [context.DeadlineExceeded], and it is [Overdue]. Calling the returned function ends
// the context earlier.
func WithDeadline(parent context.Context, src Source, at Millis) (context.Context, context.CancelFunc) {
	return WithDeadlineCause(parent, src, at, context.DeadlineExceeded)
}

// WithDeadlineCause is [WithDeadline] with a custom cause, which [context.Cause] wraps.
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

// overdueError is the cause of a context whose deadline passed.
type overdueError struct{ cause error }

// Error returns the text of the cause.
func (od overdueError) Error() string { return od.cause.Error() }

// Unwrap returns the cause.
func (od overdueError) Unwrap() error { return od.cause }

// Overdue reports whether a context ended because its deadline, or that of a parent,
// passed.
func Overdue(ctx context.Context) bool {
	cause := context.Cause(ctx)
	_, own := errors.AsType[overdueError](cause)
	return own || errors.Is(cause, context.DeadlineExceeded)
}
