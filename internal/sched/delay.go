package sched

import (
	"math"

	"alderdyke/pkg/clock"
)

// Weights of a new measurement, and the number of deviations that a timeout allows, as
// in RFC 6298.
const (
	delayWeight          = 0.125
	delayDeviationWeight = 0.25
	timeoutDeviations    = 4
)

// delayEstimate estimates the time that transfers take outside their links: the
// messages to the runner and the engines, and the engines' own work. The zero value has
// no measurement.
type delayEstimate struct {
	mean, dev float64 // milliseconds
	known     bool
	backoff   int // timeouts since the last measurement
}

// observe adds a measurement of a transfer that was ordered once. A transfer that was
// ordered twice is not measured, because it is unclear which order it answers (Karn's
// algorithm).
func (dl *delayEstimate) observe(span float64) {
	span, dl.backoff = max(0, span), 0
	if !dl.known {
		dl.mean, dl.dev, dl.known = span, span/2, true
		return
	}
	dl.dev += delayDeviationWeight * (math.Abs(span-dl.mean) - dl.dev)
	dl.mean += delayWeight * (span - dl.mean)
}

// recordTimeout records a transfer that took longer than the timeout.
func (dl *delayEstimate) recordTimeout() { dl.backoff++ }

// timeout returns the longest delay of a transfer that does not count as stalled.
// Without a measurement it is half of the upper bound.
func (dl *delayEstimate) timeout(upperBound clock.Millis) float64 {
	span := dl.mean + timeoutDeviations*dl.dev
	if !dl.known {
		span = float64(upperBound) / 2
	}
	span = max(float64(minStallTimeout), span)
	return min(math.Ldexp(span, min(dl.backoff, 8)), max(float64(minStallTimeout), float64(upperBound)))
}
