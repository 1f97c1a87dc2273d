package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"alderdyke/internal/standin"
)

// quantum is the maximum duration of one turn on a lane, and so the maximum
// time that work with a higher priority waits for work with a lower one.
const quantum = 5 * time.Millisecond

type (
	// lane schedules a resource that one job uses at a time, such as a link.
	// Turns are granted to quick runs first, then to the oldest run.
	lane struct {
		mu      sync.Mutex
		busy    bool
		turnEnd time.Time // scheduled end of the last turn
		waiting []*turn
	}

	turn struct {
		quick bool
		seq   uint64
		ready chan struct{}
	}

	// job is work that is done in as many turns as it needs.
	job struct {
		rn             *run
		length         time.Duration                         // duration at the engine's normal speed
		slowed         func(dur time.Duration) time.Duration // returns how long a turn takes at the current speed
		blocked        func() bool                           // reports whether the job must not continue now
		awaitUnblocked func(ctx context.Context) error       // waits until the job may continue
		onProgress     func(done time.Duration)              // called after every turn; must not block
	}
)

// run executes a job to its end. It releases the lane to other jobs while the
// job is blocked.
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

// precedesWaiting reports whether a run that holds the lane has priority over
// all that wait for it.
func (ln *lane) precedesWaiting(rn *run) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return len(ln.waiting) == 0 || compareTurns(&turn{quick: rn.quick, seq: rn.seq}, ln.waiting[0]) < 0
}

// nextTurnEnd returns when the next turn ends. A turn that starts immediately
// after another is timed from the scheduled end of the other, so that the
// delays of late timers do not accumulate.
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

// withdraw removes a turn from the queue. If the turn was granted meanwhile, it
// is released for the next in the queue.
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
