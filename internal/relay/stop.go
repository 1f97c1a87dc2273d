package relay

import (
	"context"
	"errors"
	"time"

	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// durationMargin is the multiple of the longest recent duration of a route's requests
// that a new one may take.
const durationMargin = 1.5

// errExiting ends the requests that are still open when the process exits.
var errExiting = errors.New("the process exits")

// BeginStop begins a planned stop. Requests in progress continue. New ones are still
// served for a while, because callers keep an address for some time, as long as they
// can end within the stop. The others are refused immediately, so that callers use
// another VM.
func (rl *Relay) BeginStop() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	if rl.stopping {
		return
	}
	rl.stopping, rl.stopAt = true, rl.now()
	if rl.Settings.StopTime > 0 {
		time.AfterFunc(rl.Settings.StopTime.Std(), rl.endOpenRequests)
	}
}

// untilExit returns a context that ends when the process is about to exit, with the cause
// errExiting. Its request then ends with a refusal in place of a broken connection, unless
// its answer has begun.
func (rl *Relay) untilExit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.lastOpen++
	id := rl.lastOpen
	rl.open[id] = cancel
	return ctx, func() {
		rl.mu.Lock()
		delete(rl.open, id)
		rl.mu.Unlock()
		cancel(context.Canceled)
	}
}

// endOpenRequests ends the requests that are still open.
func (rl *Relay) endOpenRequests() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, cancel := range rl.open {
		cancel(errExiting)
	}
}

// MayExit reports whether no caller uses the address any more, no request is in
// progress, and everything held at servers was freed. Answers of finished requests
// may still be on their way out of the process.
func (rl *Relay) MayExit() bool {
	since, stopping := rl.stoppingFor()
	return stopping && since >= rl.Settings.StopAccept && rl.OpenRequests() == 0 && rl.cleanups.Load() == 0
}

// Stopping reports whether a planned stop has begun.
func (rl *Relay) Stopping() bool {
	_, stopping := rl.stoppingFor()
	return stopping
}

func (rl *Relay) stoppingFor() (since clock.Millis, stopping bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize() // in any case, because the callers read the settings without the lock
	return rl.now() - rl.stopAt, rl.stopping
}

// admit refuses a new request that this VM can't finish before it exits.
func (rl *Relay) admit() error {
	if since, stopping := rl.stoppingFor(); stopping && since >= rl.Settings.StopAccept {
		return rl.refuseDraining()
	}
	return nil
}

// admitForRest refuses a new request of a route that this VM can't finish before it
// exits. The exit cuts off an answer whatever its deadline is.
func (rl *Relay) admitForRest(req *Request, rt route.Route) error {
	since, stopping := rl.stoppingFor()
	if !stopping {
		return nil
	}
	long := req.Prompt != nil || rt.Kind == route.Stream
	if long && since >= rl.Settings.StopGenerate || !rl.fitsIn(rl.Settings.StopTime-since, req, rt, long) {
		return rl.refuseDraining()
	}
	return nil
}

// fitsIn reports whether a new request is expected to end within the rest of the stop. A
// plain answer that is cut off is lost, so its request is served only if even a slow one
// ends in time; what has arrived of a stream is not lost, so the usual duration counts.
func (rl *Relay) fitsIn(rest clock.Millis, req *Request, rt route.Route, long bool) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	if rl.Settings.StopTime == 0 || req.deadline(rt)-now <= rest || long && rt.Resumable {
		return true
	}
	st, known := rl.durations.Recent(now, rt.Name)
	if long {
		return !known || st.Mean <= rest
	}
	return known && clock.Millis(durationMargin*float64(st.Longest)) <= rest
}

// trackDuration records the duration of a request until the returned function is called
// with its result. A request that was refused without running does not count.
func (rl *Relay) trackDuration(rt route.Route) (end func(err error)) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rq := rl.durations.Begin(rl.now(), rt.Name)
	return func(err error) {
		rl.mu.Lock()
		defer rl.mu.Unlock()
		if rf, ok := errors.AsType[refusal.Refusal](err); ok && rf.Ran == refusal.NotRun {
			rl.durations.Discard(rq)
			return
		}
		rl.durations.End(rl.now(), rq)
	}
}

func (rl *Relay) refuseDraining() error {
	return refuse(refusal.Draining, rl.Settings.StopRetryAfter, "this VM is leaving")
}
