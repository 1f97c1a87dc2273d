// Package clock defines the time type that all of alderdyke uses: whole
// milliseconds.
//
// A [Millis] is either a point on a monotonic clock or a span between two
// points. Points of different processes are never compared; only spans cross the
// network. Code that decides takes the point as a parameter, so that the same code
// runs in a process, in a test and in a benchmark. A process uses [Boottime], which
// also counts while the machine is suspended.
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

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// processStart is the zero point of Monotonic.
var processStart = time.Now()

type (
	// Millis is a point on a monotonic clock or a span, in milliseconds.
	Millis int64

	// Source returns the current point in time.
	Source interface {
		Now() Millis
	}

	// Monotonic is the runtime's monotonic clock, which timers use. It stops
	// while the machine is suspended. It counts from the start of the process,
	// so its points mean nothing to another process.
	Monotonic struct{}

	// Manual is a clock that a test or a benchmark advances explicitly. The zero
	// value is at zero and ready to use.
	Manual struct {
		now atomic.Int64
	}
)

// Of converts a [time.Duration] to milliseconds, rounding toward zero.
func Of(dur time.Duration) Millis { return Millis(dur / time.Millisecond) }

// Std converts to a [time.Duration].
func (ms Millis) Std() time.Duration { return time.Duration(ms) * time.Millisecond }

// String formats the span as [time.Duration] does.
func (ms Millis) String() string { return ms.Std().String() }

// MarshalText returns the form that UnmarshalText parses.
func (ms Millis) MarshalText() ([]byte, error) { return []byte(ms.String()), nil }

// UnmarshalText parses a span such as "250ms" or "1m30s". A span finer than
// a millisecond is rejected rather than rounded.
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

// OrBoottime returns the source, or [Boottime] if it is nil. A Clock field that is
// not set therefore means the boot clock.
func OrBoottime(src Source) Source {
	if src == nil {
		return Boottime{}
	}
	return src
}

// Now returns the time since the process started.
func (Monotonic) Now() Millis { return Of(time.Since(processStart)) }

// Now returns the point that the clock was advanced to.
func (mn *Manual) Now() Millis { return Millis(mn.now.Load()) }

// Advance advances the clock by a span and returns the new point.
func (mn *Manual) Advance(by Millis) Millis { return Millis(mn.now.Add(int64(by))) }
