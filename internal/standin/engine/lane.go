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
		turnEnd time.Time // when the last turn was due to end
		waiting []*turn
	}

	turn struct {
		quick bool
		seq   uint64
		ready chan struct{}
	}

	// job is a piece of work that takes as many turns as it needs.
	job struct {
		rn             *run
		length         time.Duration                         // at the engine's usual pace
		slowed         func(dur time.Duration) time.Duration // how long a turn takes now
		blocked        func() bool                           // tells whether the job must not go on now
		awaitUnblocked func(ctx context.Context) error       // waits until it may
		onProgress     func(done time.Duration)              // is told of every turn; must not wait
	}
)

// run does a whole job. While the job is held up it leaves the lane to
// others.
func (ln *lane) run(jb job) error {
	holds := false
	for done := time.Duration(0); done < jb.length; {
		if !holds {
			if err := ln.awaitTurn(jb); err != nil {
				return err
			}
		}
		part := min(jb.length-done, quantum)
		if err := standin.Sleep(jb.rn.ctx, time.Until(ln.nextTurnEnd(jb.slowed(part)))); err != nil {
			ln.release()
			return err
		}
		done += part
		jb.onProgress(done)
		holds = done < jb.length && !jb.blocked() && ln.precedesWaiting(jb.rn)
		if !holds {
			ln.release()
		}
	}
	return nil
}

func (ln *lane) awaitTurn(jb job) error {
	if err := jb.awaitUnblocked(jb.rn.ctx); err != nil {
		return err
	}
	return ln.acquire(jb.rn)
}

// precedesWaiting tells whether a run that holds the lane comes before all that wait.
func (ln *lane) precedesWaiting(rn *run) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return len(ln.waiting) == 0 || compareTurns(&turn{quick: rn.quick, seq: rn.seq}, ln.waiting[0]) < 0
}

// nextTurnEnd tells when a turn ends. A turn that begins right after another is
// measured from the other's end, so that late timers do not add up.
func (ln *lane) nextTurnEnd(dur time.Duration) time.Time {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	from := time.Now()
	if late := from.Sub(ln.turnEnd); late >= 0 && late < quantum {
		from = ln.turnEnd
	}
	ln.turnEnd = from.Add(dur)
	return ln.turnEnd
}

func (ln *lane) acquire(rn *run) error {
	ln.mu.Lock()
	if !ln.busy {
		ln.busy = true
		ln.mu.Unlock()
		return nil
	}
	tn := &turn{quick: rn.quick, seq: rn.seq, ready: make(chan struct{})}
	ix, _ := slices.BinarySearchFunc(ln.waiting, tn, compareTurns)
	ln.waiting = slices.Insert(ln.waiting, ix, tn)
	ln.mu.Unlock()
	select {
	case <-tn.ready:
		return nil
	case <-rn.ctx.Done():
		ln.withdraw(tn)
		return fmt.Errorf("wait for a turn: %w", rn.ctx.Err())
	}
}

// withdraw takes a turn back. If it was given meanwhile, it is passed on.
func (ln *lane) withdraw(tn *turn) {
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

func compareTurns(ta, tb *turn) int {
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
