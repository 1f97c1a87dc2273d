package balance

import (
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// senderHalfLife is the time in which a sender's count halves without further
	// requests. In a large fleet, one VM gets a request of a sender only every few
	// seconds.
	senderHalfLife = 2 * clock.Second
	// maxSenders bounds the number of senders that are counted.
	maxSenders = 256
)

type (
	// senders counts the recent requests of each sender to one service through this
	// VM, so that a sender with many requests does not displace the others. The zero
	// value has none.
	senders struct {
		counts map[string]decayingCount
	}

	// decayingCount is a count of requests with the half-life senderHalfLife.
	decayingCount struct {
		count float64
		at    clock.Millis
	}
)

// valueAt returns the count as it has decayed by now.
func (dc decayingCount) valueAt(now clock.Millis) float64 {
	return dc.count * math.Exp2(-float64(now-dc.at)/float64(senderHalfLife))
}

// add counts a request if its sender is known.
func (se *senders) add(now clock.Millis, name string) {
	if name == "" {
		return
	}
	if se.counts == nil {
		se.counts = make(map[string]decayingCount)
	}
	if _, ok := se.counts[name]; !ok && len(se.counts) >= maxSenders {
		se.evictSmallest(now)
	}
	se.counts[name] = decayingCount{count: se.counts[name].valueAt(now) + 1, at: now}
}

// evictSmallest drops the sender with the smallest count.
func (se *senders) evictSmallest(now clock.Millis) {
	least, fewest := "", math.Inf(1)
	for name, dc := range se.counts {
		if count := dc.valueAt(now); count < fewest {
			least, fewest = name, count
		}
	}
	delete(se.counts, least)
}

// withinFairShare reports whether a sender has so few requests that none of them would
// be refused if the given part of all requests were refused and all senders were
// limited to the same number.
func (se *senders) withinFairShare(now clock.Millis, name string, part float64) bool {
	if name == "" || len(se.counts) < 2 {
		return false // the sender is unknown, or there is no other
	}
	counts := make([]float64, 0, len(se.counts))
	sum := 0.0
	for _, dc := range se.counts {
		count := dc.valueAt(now)
		counts = append(counts, count)
		sum += count
	}
	slices.Sort(counts)
	return se.counts[name].valueAt(now) <= fairLevel(counts, (1-part)*sum)
}

// fairLevel returns the largest limit such that the counts, each capped at the limit,
// sum up to at most total. The counts must be in ascending order.
func fairLevel(counts []float64, total float64) float64 {
	for ix, count := range counts {
		each := total / float64(len(counts)-ix)
		if count >= each {
			return each
		}
		total -= count
	}
	return math.Inf(1)
}
