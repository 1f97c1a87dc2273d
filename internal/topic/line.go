package topic

import (
	"math"

	"alderdyke/pkg/clock"
)

const (
	// MaxReaders is how many VMs are ranked to read for the others, each in place
	// of those before it. If the store refuses a third of the VMs, it refuses all
	// five in one of 240 cases.
	MaxReaders = 5
	// RankAlone is the rank of a VM that knows no other live VM: no other VM reads for
	// it, and it may discover others at any time.
	RankAlone = math.MaxInt
)

const (
	// backoffMin and backoffMax bound the backoff after a call that the store did not
	// answer. The maximum leaves half of the two seconds within which a change must
	// be applied.
	backoffMin = 200 * clock.Millis(1)
	backoffMax = 700 * clock.Millis(1)
	// retryTimeout bounds a read after a failed one, so that the store's recovery is
	// noticed soon even if earlier calls hang.
	retryTimeout = 500 * clock.Millis(1)
	// nonReaderBackoffMin and nonReaderBackoffMax bound the backoff of a VM that does not
	// read for others, since the readers report to it when the store has recovered. In
	// an outage of 8 s it makes two or three calls for each topic instead of ten.
	nonReaderBackoffMin = 2 * clock.Second
	nonReaderBackoffMax = 4 * clock.Second
)

// silenceLimit returns how long this VM waits for updates before it reads. The caller
// holds the lock.
func (fo *Follower) silenceLimit() clock.Millis {
	rank := fo.rank()
	switch {
	case rank == 0 || fo.leading:
		return 0
	case rank >= MaxReaders:
		return fo.SelfReadAfter
	}
	// Each standby reader leaves half of the remaining span to those after it.
	left := (fo.SelfReadAfter - fo.StandbyAfter) >> (rank - 1)
	return fo.SelfReadAfter - left
}

// rank returns this VM's rank; 0 if each VM reads for itself. The caller holds the lock.
func (fo *Follower) rank() int {
	if fo.Rank == nil {
		return 0
	}
	return fo.Rank()
}

// broadcasts reports whether this VM passes on what it reads.
func (fo *Follower) broadcasts() bool {
	return fo.Broadcast != nil && fo.Rank != nil && fo.Rank() < MaxReaders
}

// backoff returns the pause after a failed call that followed the given number of
// failures. For a reader, the span for which the call hung counts towards the pause, so
// that it calls an unresponsive store as often as one that refuses.
func (fo *Follower) backoff(failures int, hung clock.Millis) clock.Millis {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	first, most := backoffMin, backoffMax
	rank := fo.rank()
	if fo.listed && rank >= MaxReaders && rank != RankAlone {
		first, most = nonReaderBackoffMin, nonReaderBackoffMax
	}
	pause := min(most, first<<min(failures, 10))
	if fo.listed && rank < MaxReaders {
		pause = max(backoffMin, pause-hung)
	}
	if fo.listed && rank > 0 && rank < MaxReaders && failures == 1 {
		// Readers lose the store at the same time. If they also retried at the same
		// time, all of them could be hanging when it recovers. The first reader is
		// already ahead of the second by about one step.
		pause += clock.Millis(rank-1) * backoffMax / MaxReaders
	}
	return pause
}
