package sched

import (
	"math"

	"alderdyke/pkg/clock"
)

// Weights of a new measurement, and the deviations that a timeout allows for,
// as in RFC 6298.
const (
	delayWeight          = 0.125
	delayDeviationWeight = 0.25
	timeoutDeviations    = 4
)

// delayEstimate estimates what transfers take beside the time on their links: the
// messages to the runner and the engines, and the engines' own work. The zero
// value has no measurement.
type delayEstimate struct {
	mean, dev float64 // milliseconds
	known     bool
	backoff   int // timeouts since the last measurement
}

// observe takes a measurement of a transfer that had one order. A transfer that
// was ordered twice does not tell which order it answers (Karn's algorithm).
func (dl *delayEstimate) observe(span float64) {
	span, dl.backoff = max(0, span), 0
	if !dl.known {
		dl.mean, dl.dev, dl.known = span, span/2, true
		return
	}
	dl.dev += delayDeviationWeight * (math.Abs(span-dl.mean) - dl.dev)
	dl.mean += delayWeight * (span - dl.mean)
}

// recordTimeout notes a transfer that took longer than the timeout.
func (dl *delayEstimate) recordTimeout() { dl.backoff++ }

// timeout is the longest delay of a transfer that is not held to be stalled.
// Without a measurement it is half of the most.
func (dl *delayEstimate) timeout(upperBound clock.Millis) float64 {
	span := dl.mean + timeoutDeviations*dl.dev
	if !dl.known {
		span = float64(upperBound) / 2
	}
	span = max(float64(minStallTimeout), span)
	return min(math.Ldexp(span, min(dl.backoff, 8)), max(float64(minStallTimeout), float64(upperBound)))
}
