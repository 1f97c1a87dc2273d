package forecast

import "alderdyke/pkg/clock"

// Steps holds a count that grows with time, at the resolution of a calendar, so that it
// can be looked up for many times at little cost. The zero value is zero at all times.
type Steps struct{ values [buckets + 1]float64 }

// NewSteps evaluates a function of the time from now.
func NewSteps(count func(within clock.Millis) float64) *Steps {
	st := &Steps{}
	for ix := range st.values {
		st.values[ix] = count(clock.Millis(ix) * bucket)
	}
	return st
}

// At returns the count within a time, interpolated.
func (st *Steps) At(within clock.Millis) float64 {
	ix := min(max(0, int(within/bucket)), buckets)
	if ix == buckets {
		return st.values[buckets]
	}
	part := float64(within-clock.Millis(ix)*bucket) / float64(bucket)
	return st.values[ix] + part*(st.values[ix+1]-st.values[ix])
}
