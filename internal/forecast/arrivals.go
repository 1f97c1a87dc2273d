package forecast

import (
	"math"

	"alderdyke/pkg/clock"
)

const (
	// recentSpan is the time constant of the recent rate: a burst shows in it within
	// a tenth of its length.
	recentSpan = 400 * clock.Millis(1)
	// usualSpan is the time constant of the usual rate, in which a burst of 4 s
	// counts little.
	usualSpan = 60 * clock.Second
	// burstRemainder is the expected time for which the recent rate lasts. Bursts
	// last about 4 s, so half of that is left on average.
	burstRemainder = 2 * clock.Second
	// priorities is the number of priorities that are told apart; the last one also
	// stands for all lower ones.
	priorities = 16
)

type (
	// Arrivals learns the rate of new requests by priority. The zero value has seen
	// none.
	Arrivals struct {
		rates [priorities]struct{ recent, usual counter }
		since clock.Millis // of the first request; zero: none came
	}

	// counter is an exponentially decaying count.
	counter struct {
		count float64
		at    clock.Millis
	}
)

// Observe records a new request.
func (ar *Arrivals) Observe(now clock.Millis, priority int) {
	if ar.since == 0 {
		ar.since = max(1, now)
	}
	rt := &ar.rates[indexOf(priority)]
	rt.recent.add(now, recentSpan)
	rt.usual.add(now, usualSpan)
}

// Expected returns how many requests of the priorities from first to last come within
// a time. The recent rate decays to the usual one.
func (ar *Arrivals) Expected(now, within clock.Millis, first, last int) float64 {
	if ar.since == 0 || within <= 0 || last < first {
		return 0
	}
	remainder := float64(burstRemainder) * (1 - math.Exp(-float64(within)/float64(burstRemainder)))
	sum := 0.0
	for ix := max(0, first); ix <= indexOf(last); ix++ {
		rt := &ar.rates[ix]
		if rt.usual.count == 0 {
			continue
		}
		recent, usual := rt.recent.rate(now, recentSpan, ar.since), rt.usual.rate(now, usualSpan, ar.since)
		sum += usual*float64(within) + (recent-usual)*remainder
	}
	return max(0, sum)
}

// Sustained returns how many requests of the priorities from first to last come within
// a time at least: at the recent or the usual rate, whichever is lower.
func (ar *Arrivals) Sustained(now, within clock.Millis, first, last int) float64 {
	if ar.since == 0 || within <= 0 || last < first {
		return 0
	}
	sum := 0.0
	for ix := max(0, first); ix <= indexOf(last); ix++ {
		rt := &ar.rates[ix]
		sum += min(rt.recent.rate(now, recentSpan, ar.since), rt.usual.rate(now, usualSpan, ar.since))
	}
	return sum * float64(within)
}

func indexOf(priority int) int { return min(max(priority, 0), priorities-1) }

func (ct *counter) add(now, span clock.Millis) {
	ct.count = ct.count*decay(now-ct.at, span) + 1
	ct.at = now
}

// rate returns the events per millisecond. While the count is younger than its span,
// it is divided by the part of the span that it covers.
func (ct *counter) rate(now, span, since clock.Millis) float64 {
	covered := 1 - decay(max(now-since, recentSpan), span)
	return ct.count * decay(now-ct.at, span) / (float64(span) * covered)
}

func decay(age, span clock.Millis) float64 { return math.Exp(-float64(age) / float64(span)) }
