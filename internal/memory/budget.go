package memory

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"alderdyke/pkg/clock"
)

// RetryAfter is when a caller may retry that was refused for lack of memory: the body of an
// ordinary request is there within that time.
const RetryAfter = clock.Second

// requestFraction is the part of a process's memory limit for the bodies and the held answers
// of all requests: 28 MB of 112 MB, which is 500 requests of 55 KB, the largest usual ones. The
// garbage collector lets the heap grow to about twice what is in use, so that a quarter becomes
// a half; the rest is for the VM's own state, kept answers and the connections' buffers.
const requestFraction = 0.25

// Errors of Reserve.
var (
	// ErrRefused reports that a request that has not run has to end for lack of memory.
	ErrRefused = errors.New("the memory for requests is used up")
	// ErrTooLarge reports that a request needs more than the whole budget.
	ErrTooLarge = errors.New("the request needs more than the memory for all requests")
)

type (
	// Budget is an Accountant for many goroutines. A nil Budget has no limit.
	Budget struct {
		mu       sync.Mutex // guards everything below
		ac       Accountant
		peak     int64
		holdings map[uint64]*Holding
		released chan struct{} // closed when bytes were released or a request was told to yield
	}

	// Holding is what one request holds. A nil Holding is granted everything.
	Holding struct {
		budget    *Budget
		id        uint64
		interrupt func()
	}
)

// NewBudget returns a budget in bytes, or nil if limit is not positive.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{ac: Accountant{Limit: limit}, holdings: make(map[uint64]*Holding), released: make(chan struct{})}
}

// LimitFor returns the bytes of the budget of a process with a memory limit; zero: there is none.
func LimitFor(processLimit int64) int64 { return int64(requestFraction * float64(processLimit)) }

// Held returns the bytes that all requests hold, and the most that they have held.
func (bg *Budget) Held() (now, peak int64) {
	if bg == nil {
		return 0, 0
	}
	bg.mu.Lock()
	defer bg.mu.Unlock()
	return bg.ac.Held(), bg.peak
}

// Limit returns the bytes of the budget; zero: there is no limit.
func (bg *Budget) Limit() int64 {
	if bg == nil {
		return 0
	}
	return bg.ac.Limit
}

// Begin adds a request. If it has to yield before it may run, interrupt is called once, with
// the lock held: it must not block or use the budget, and is never called after Complete,
// MayRun or End.
func (bg *Budget) Begin(priority int, interrupt func()) *Holding {
	if bg == nil {
		return nil
	}
	bg.mu.Lock()
	defer bg.mu.Unlock()
	hd := &Holding{budget: bg, id: bg.ac.Begin(priority), interrupt: interrupt}
	bg.holdings[hd.id] = hd
	return hd
}

// Hold begins to account something that is held in any case, also beyond the budget, and never
// yields.
func (bg *Budget) Hold(bytes int64) *Holding {
	hd := bg.Begin(0, nil)
	hd.MayRun()
	hd.Add(bytes)
	return hd
}

// wake wakes the requests that are paused. The lock is held.
func (bg *Budget) wake() {
	close(bg.released)
	bg.released = make(chan struct{})
}

// End releases everything. It may be called more than once.
func (hd *Holding) End() {
	if hd == nil {
		return
	}
	hd.budget.mu.Lock()
	defer hd.budget.mu.Unlock()
	hd.budget.ac.End(hd.id)
	delete(hd.budget.holdings, hd.id)
	hd.budget.wake()
}

// Release releases bytes.
func (hd *Holding) Release(bytes int64) {
	if hd == nil {
		return
	}
	hd.budget.mu.Lock()
	defer hd.budget.mu.Unlock()
	hd.budget.ac.Release(hd.id, bytes)
	hd.budget.wake()
}

// Held returns the bytes that the request holds.
func (hd *Holding) Held() int64 {
	if hd == nil {
		return 0
	}
	hd.budget.mu.Lock()
	defer hd.budget.mu.Unlock()
	return hd.budget.ac.HeldBy(hd.id)
}

// Add adds bytes that are held in any case, also beyond the budget.
func (hd *Holding) Add(bytes int64) {
	if hd == nil {
		return
	}
	hd.budget.mu.Lock()
	defer hd.budget.mu.Unlock()
	hd.budget.ac.Add(hd.id, bytes)
	hd.budget.peak = max(hd.budget.peak, hd.budget.ac.Held())
}

// Complete records that the body was read. If the request has to yield before it may run,
// interrupt is called once under the conditions of Begin, and is never called after MayRun or
// End. If Complete reports false, the request was refused.
func (hd *Holding) Complete(interrupt func()) bool {
	if hd == nil {
		return true
	}
	hd.budget.mu.Lock()
	defer hd.budget.mu.Unlock()
	hd.interrupt = interrupt
	return hd.budget.ac.Complete(hd.id)
}

// Transfer completes the body, like Complete, and moves the request to another holding with a
// priority that may have become known with the body. What hd holds from then on is nothing, so
// that hd.End releases nothing.
func (hd *Holding) Transfer(priority int, interrupt func()) (moved *Holding, ok bool) {
	if hd == nil {
		return nil, true
	}
	hd.budget.mu.Lock()
	defer hd.budget.mu.Unlock()
	moved = &Holding{budget: hd.budget, id: hd.id, interrupt: interrupt}
	delete(hd.budget.holdings, hd.id)
	hd.budget.holdings[moved.id] = moved
	hd.id = 0 // no request has this ID
	hd.budget.ac.Rank(moved.id, priority)
	return moved, hd.budget.ac.Complete(moved.id)
}

// MayRun records that the request may run from now on. If it reports false, the request was
// refused and must not run.
func (hd *Holding) MayRun() bool {
	if hd == nil {
		return true
	}
	hd.budget.mu.Lock()
	defer hd.budget.mu.Unlock()
	return hd.budget.ac.MayRun(hd.id)
}

// Reserve reserves bytes, and waits for them while others yield. A request that may run uses
// TryReserve instead, because nobody need yield to it. Its errors are ErrRefused,
// ErrTooLarge and the context's.
func (hd *Holding) Reserve(ctx context.Context, bytes int64) error {
	for hd != nil {
		vd, released := hd.ask(bytes)
		switch vd := vd.(type) {
		case Granted:
			return nil
		case Exceeds:
			return ErrTooLarge
		case Yields:
			if vd.ID == hd.id {
				return ErrRefused
			}
		}
		select {
		case <-released:
		case <-ctx.Done():
			return fmt.Errorf("wait for memory: %w", ctx.Err())
		}
	}
	return nil
}

// TryReserve reserves bytes of a request that may run, or reports false at once.
func (hd *Holding) TryReserve(bytes int64) bool {
	if hd == nil {
		return true
	}
	vd, _ := hd.ask(bytes)
	_, ok := vd.(Granted)
	return ok
}

// ask returns the verdict, and the channel that is closed when another may follow.
func (hd *Holding) ask(bytes int64) (Verdict, <-chan struct{}) {
	bg := hd.budget
	bg.mu.Lock()
	defer bg.mu.Unlock()
	vd := bg.ac.Reserve(hd.id, bytes)
	bg.peak = max(bg.peak, bg.ac.Held())
	released := bg.released
	if ys, ok := vd.(Yields); ok && ys.ID != hd.id {
		bg.holdings[ys.ID].interrupt()
		bg.wake() // it may be paused itself
	}
	return vd, released
}
