package topic

import (
	"math"

	"alderdyke/pkg/clock"
)

const (
	// MaxReaders is how many VMs read for the others when those before them don't.
	// Where the store turns a third of the VMs away, one time in 240 it turns
	// away all five.
	MaxReaders = 5
	// RankAlone is the place of a VM that knows no other that lives: nobody reads for
	// it, and it may hear of others at any moment.
	RankAlone = math.MaxInt
)

const (
	// backoffMin and backoffMax bound the pause after a call that the store
	// did not answer. The longest leaves half of the two seconds in which a
	// change must be followed.
	backoffMin = 200 * clock.Millis(1)
	backoffMax = 700 * clock.Millis(1)
	// retryTimeout bounds a read after one that failed, so that a store that is back
	// is noticed soon though earlier calls hang.
	retryTimeout = 500 * clock.Millis(1)
	// standbyBackoffMin and standbyBackoffMax are the same for a VM that does not read for
	// others: those that do tell it when the store is back. In an outage of 8 s it
	// asks two or three times a topic, in place of ten with the pauses above.
	standbyBackoffMin = 2 * clock.Second
	standbyBackoffMax = 4 * clock.Second
)

// silenceLimit is how long this VM goes without news before it reads. The lock is
// held.
func (fo *Follower) silenceLimit() clock.Millis {
	rank := fo.rank()
	switch {
	case rank == 0 || fo.leading:
		return 0
	case rank >= MaxReaders:
		return fo.SelfReadAfter
	}
	// Each in line leaves half of the span that is left to those behind it.
	left := (fo.SelfReadAfter - fo.StandbyAfter) >> (rank - 1)
	return fo.SelfReadAfter - left
}

// rank is this VM's place; 0 if each VM reads for itself. The lock is held.
func (fo *Follower) rank() int {
	if fo.Rank == nil {
		return 0
	}
	return fo.Rank()
}

// broadcasts broadcasts whether this VM passes on what it read.
func (fo *Follower) broadcasts() bool {
	return fo.Broadcast != nil && fo.Rank != nil && fo.Rank() < MaxReaders
}

// backoff is the pause after a call that failed, and so many before it. The span
// for which a reader's call hung counts as a part of it, so that a silent store is
// asked as often as one that refuses.
func (fo *Follower) backoff(failures int, hung clock.Millis) clock.Millis {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	first, most := backoffMin, backoffMax
	rank := fo.rank()
	if fo.listed && rank >= MaxReaders && rank != RankAlone {
		first, most = standbyBackoffMin, standbyBackoffMax
	}
	pause := min(most, first<<min(failures, 10))
	if fo.listed && rank < MaxReaders {
		pause = max(backoffMin, pause-hung)
	}
	if fo.listed && rank > 0 && rank < MaxReaders && failures == 1 {
		// Readers lose the store together and would retry together, all of them
		// hanging as it returns. The first in line is ahead of the next by about a
		// step as it is.
		pause += clock.Millis(rank-1) * backoffMax / MaxReaders
	}
	return pause
}
