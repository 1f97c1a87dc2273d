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

	// job is a piece of work that takes as many turns as it needs.
	job struct {
		rn      *run
		length  time.Duration                         // at the engine's usual pace
		stretch func(dur time.Duration) time.Duration // how long a turn takes now
		held    func() bool                           // tells whether the job must not go on now
		await   func(ctx context.Context) error       // waits until it may
		step    func(done time.Duration)              // is told of every turn; must not wait
	}
)

// use does a whole job. While the job is held up it leaves the lane to
// others.
func (ln *lane) use(jb job) error {
	holds := false
	for done := time.Duration(0); done < jb.length; {
		if !holds {
			if err := ln.enter(jb); err != nil {
				return err
			}
		}
		part := min(jb.length-done, quantum)
		if err := standin.Sleep(jb.rn.life, time.Until(ln.due(jb.stretch(part)))); err != nil {
			ln.release()
			return err
		}
		done += part
		jb.step(done)
		holds = done < jb.length && !jb.held() && ln.first(jb.rn)
		if !holds {
			ln.release()
		}
	}
	return nil
}

func (ln *lane) enter(jb job) error {
	if err := jb.await(jb.rn.life); err != nil {
		return err
	}
	return ln.take(jb.rn)
}

// first tells whether a run that holds the lane comes before all that wait.
func (ln *lane) first(rn *run) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return len(ln.waiting) == 0 || compare(&turn{quick: rn.quick, seq: rn.seq}, ln.waiting[0]) < 0
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
