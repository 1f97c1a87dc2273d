// Package clock holds the one time type of alderdyke: whole milliseconds.
//
// A [Millis] is either a point on a monotonic clock or a span between two
// points. Points of different processes are never compared; what crosses the
// network is always a span. Decisions take the point as a parameter, so that
// the same code runs in a process, in a test and in a benchmark. A process goes
// by [Boottime], which counts also while the machine is suspended.
//
// # Usage
//
//	src := clock.Boottime{}
//	deadline := src.Now() + clock.Of(2*time.Second)
//	if src.Now() >= deadline { ... }
//
// The zero Millis is the start of the clock, or an empty span.
package clock

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Spans that are used often.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

var processStart = time.Now()

type (
	// Millis is a point on a monotonic clock or a span, in milliseconds.
	Millis int64

	// Source tells the current point in time.
	Source interface {
		Now() Millis
	}

	// Monotonic is the runtime's monotonic clock, by which timers go: it stands
	// while the machine is suspended. It counts from the start of the process,
	// so its points mean nothing to another process.
	Monotonic struct{}

	// Manual is a clock that a test or a benchmark moves by hand. The zero
	// value stands at zero and is ready to use.
	Manual struct {
		now atomic.Int64
	}
)

// Of converts a standard duration, rounding toward zero.
func Of(dur time.Duration) Millis { return Millis(dur / time.Millisecond) }

// Std converts to a standard duration.
func (ms Millis) Std() time.Duration { return time.Duration(ms) * time.Millisecond }

// String writes the span as [time.Duration] does.
func (ms Millis) String() string { return ms.Std().String() }

// MarshalText writes the form that UnmarshalText reads.
func (ms Millis) MarshalText() ([]byte, error) { return []byte(ms.String()), nil }

// UnmarshalText reads a span such as "250ms" or "1m30s". A span finer than
// a millisecond is refused rather than rounded.
func (ms *Millis) UnmarshalText(text []byte) error {
	dur, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("span %q: write a number with a unit such as 250ms or 2s: %w", text, err)
	}
	if dur%time.Millisecond != 0 {
		return fmt.Errorf("span %q: finer than a millisecond; round it", text)
	}
	*ms = Of(dur)
	return nil
}

// OrBoottime returns the source, or the boot clock in place of nil, which is what a
// Clock field that was not set stands for.
func OrBoottime(src Source) Source {
	if src == nil {
		return Boottime{}
	}
	return src
}

// Now tells the time since the process started.
func (Monotonic) Now() Millis { return Of(time.Since(processStart)) }

// Now tells the point that the clock was moved to.
func (mn *Manual) Now() Millis { return Millis(mn.now.Load()) }

// Advance moves the clock forward by a span and returns the new point.
func (mn *Manual) Advance(by Millis) Millis { return Millis(mn.now.Add(int64(by))) }
