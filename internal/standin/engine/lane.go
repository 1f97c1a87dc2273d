package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"alderdyke/internal/standin"
)

// quantum is how long one turn on a lane lasts at most. Whoever has a higher
// priority waits no longer than this.
const quantum = 5 * time.Millisecond

type (
	// lane is something that one piece of work uses at a time, such as a
	// link. Turns go to quick work first, then to the oldest.
	lane struct {
		mu      sync.Mutex
		busy    bool
		free    time.Time // when the last turn was due to end
		waiting []*turn
	}

	turn struct {
		quick bool
		seq   uint64
		ready chan struct{}
	}
)

// use takes turns until work of the given length is done. Between turns it
// calls gate, which may hold it up without holding the lane.
func (ln *lane) use(rn *run, dur time.Duration, gate func(context.Context) error) error {
	for dur > 0 {
		if err := gate(rn.life); err != nil {
			return err
		}
		part := min(dur, quantum)
		if err := ln.one(rn, part); err != nil {
			return err
		}
		dur -= part
	}
	return nil
}

func (ln *lane) one(rn *run, dur time.Duration) error {
	if err := ln.take(rn); err != nil {
		return err
	}
	defer ln.release()
	return standin.Sleep(rn.life, time.Until(ln.due(dur)))
}

// due tells when a turn ends. A turn that begins right after another is
// measured from the other's end, so that late timers do not add up.
func (ln *lane) due(dur time.Duration) time.Time {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	from := time.Now()
	if late := from.Sub(ln.free); late >= 0 && late < quantum {
		from = ln.free
	}
	ln.free = from.Add(dur)
	return ln.free
}

func (ln *lane) take(rn *run) error {
	ln.mu.Lock()
	if !ln.busy {
		ln.busy = true
		ln.mu.Unlock()
		return nil
	}
	tn := &turn{quick: rn.quick, seq: rn.seq, ready: make(chan struct{})}
	ix, _ := slices.BinarySearchFunc(ln.waiting, tn, compare)
	ln.waiting = slices.Insert(ln.waiting, ix, tn)
	ln.mu.Unlock()
	select {
	case <-tn.ready:
		return nil
	case <-rn.life.Done():
		ln.leave(tn)
		return fmt.Errorf("wait for a turn: %w", rn.life.Err())
	}
}

// leave takes a turn back. If it was given meanwhile, it is passed on.
func (ln *lane) leave(tn *turn) {
	ln.mu.Lock()
	ix := slices.Index(ln.waiting, tn)
	if ix >= 0 {
		ln.waiting = slices.Delete(ln.waiting, ix, ix+1)
	}
	ln.mu.Unlock()
	if ix < 0 {
		ln.release()
	}
}

func (ln *lane) release() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.waiting) == 0 {
		ln.busy = false
		return
	}
	tn := ln.waiting[0]
	ln.waiting = slices.Delete(ln.waiting, 0, 1)
	close(tn.ready)
}

func compare(ta, tb *turn) int {
	if ta.quick != tb.quick {
		if ta.quick {
			return -1
		}
		return 1
	}
	if ta.seq < tb.seq {
		return -1
	}
	return 1
}
