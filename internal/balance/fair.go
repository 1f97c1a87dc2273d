package balance

import (
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// senderHalf is how long it takes until half of a sender's requests are
	// forgotten: one VM of many sees a sender once in seconds.
	senderHalf = 2 * clock.Second
	// mostSenders bounds those that are remembered.
	mostSenders = 256
)

type (
	// senders is how many requests each sender made of late at one service through
	// this VM, so that one who sends many does not push the others out. The zero
	// value has none.
	senders struct {
		made map[string]made
	}

	// made is a number of requests, of which half is forgotten in senderHalf.
	made struct {
		count float64
		at    clock.Millis
	}
)

func (md made) now(now clock.Millis) float64 {
	return md.count * math.Exp2(-float64(now-md.at)/float64(senderHalf))
}

// note counts a request of a known sender.
func (se *senders) note(now clock.Millis, name string) {
	if name == "" {
		return
	}
	if se.made == nil {
		se.made = make(map[string]made)
	}
	if _, ok := se.made[name]; !ok && len(se.made) >= mostSenders {
		se.forget(now)
	}
	se.made[name] = made{count: se.made[name].now(now) + 1, at: now}
}

// forget drops who has made the fewest requests.
func (se *senders) forget(now clock.Millis) {
	least, fewest := "", math.Inf(1)
	for name, md := range se.made {
		if count := md.now(now); count < fewest {
			least, fewest = name, count
		}
	}
	delete(se.made, least)
}

// fits tells whether a sender makes so few requests that none of them would be refused if
// a part of all were, and each sender could have as many as the others.
func (se *senders) fits(now clock.Millis, name string, part float64) bool {
	if name == "" || len(se.made) < 2 {
		return false // it is nobody's, or there is nobody else
	}
	counts := make([]float64, 0, len(se.made))
	sum := 0.0
	for _, md := range se.made {
		count := md.now(now)
		counts = append(counts, count)
		sum += count
	}
	slices.Sort(counts)
	return se.made[name].now(now) <= levelOf(counts, (1-part)*sum)
}

// levelOf is how much each of some amounts, in rising order, may have at most if all
// together may have so much.
func levelOf(counts []float64, all float64) float64 {
	for ix, count := range counts {
		each := all / float64(len(counts)-ix)
		if count >= each {
			return each
		}
		all -= count
	}
	return math.Inf(1)
}
