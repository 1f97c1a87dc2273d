package balance

import (
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// senderHalfLife is how long it takes until half of a sender's requests are
	// forgotten: one VM of many sees a sender once in seconds.
	senderHalfLife = 2 * clock.Second
	// maxSenders bounds those that are remembered.
	maxSenders = 256
)

type (
	// senders is how many requests each sender made of late at one service through
	// this VM, so that one who sends many does not push the others out. The zero
	// value has none.
	senders struct {
		counts map[string]decayingCount
	}

	// decayingCount is a number of requests, of which half is forgotten in senderHalfLife.
	decayingCount struct {
		count float64
		at    clock.Millis
	}
)

func (dc decayingCount) valueAt(now clock.Millis) float64 {
	return dc.count * math.Exp2(-float64(now-dc.at)/float64(senderHalfLife))
}

// add counts a request of a known sender.
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

// evictSmallest drops who has made the fewest requests.
func (se *senders) evictSmallest(now clock.Millis) {
	least, fewest := "", math.Inf(1)
	for name, md := range se.counts {
		if count := md.valueAt(now); count < fewest {
			least, fewest = name, count
		}
	}
	delete(se.counts, least)
}

// withinFairShare tells whether a sender makes so few requests that none of them would be refused if
// a part of all were, and each sender could have as many as the others.
func (se *senders) withinFairShare(now clock.Millis, name string, part float64) bool {
	if name == "" || len(se.counts) < 2 {
		return false // it is nobody's, or there is nobody else
	}
	counts := make([]float64, 0, len(se.counts))
	sum := 0.0
	for _, md := range se.counts {
		count := md.valueAt(now)
		counts = append(counts, count)
		sum += count
	}
	slices.Sort(counts)
	return se.counts[name].valueAt(now) <= fairLevel(counts, (1-part)*sum)
}

// fairLevel is how much each of some amounts, in rising order, may have at most if all
// together may have so much.
func fairLevel(counts []float64, all float64) float64 {
	for ix, count := range counts {
		each := all / float64(len(counts)-ix)
		if count >= each {
			return each
		}
		all -= count
	}
	return math.Inf(1)
}
