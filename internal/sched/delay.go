package sched

import (
	"math"

	"alderdyke/pkg/clock"
)

// Weights of a new measurement, and the deviations that a timeout allows for,
// as in RFC 6298.
const (
	delayWeight    = 0.125
	delayDevWeight = 0.25
	delayDevs      = 4
)

// delay estimates what transfers take beside the time on their links: the
// messages to the runner and the engines, and the engines' own work. The zero
// value has no measurement.
type delay struct {
	mean, dev float64 // milliseconds
	known     bool
	backoff   int // timeouts since the last measurement
}

// learn takes a measurement of a transfer that had one order. A transfer that
// was ordered twice does not tell which order it answers (Karn's algorithm).
func (dl *delay) learn(span float64) {
	span, dl.backoff = max(0, span), 0
	if !dl.known {
		dl.mean, dl.dev, dl.known = span, span/2, true
		return
	}
	dl.dev += delayDevWeight * (math.Abs(span-dl.mean) - dl.dev)
	dl.mean += delayWeight * (span - dl.mean)
}

// expired notes a transfer that took longer than the timeout.
func (dl *delay) expired() { dl.backoff++ }

// timeout is the longest delay of a transfer that is not held to be stalled.
// Without a measurement it is half of the most.
func (dl *delay) timeout(most clock.Millis) float64 {
	span := dl.mean + delayDevs*dl.dev
	if !dl.known {
		span = float64(most) / 2
	}
	span = max(float64(stallLeast), span)
	return min(math.Ldexp(span, min(dl.backoff, 8)), max(float64(stallLeast), float64(most)))
}
