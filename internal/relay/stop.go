package relay

import (
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// BeginStop begins a planned stop. Requests in progress continue. New ones are still
// served for a while, because callers keep an address for some time: generations as
// long as they can end within the stop, other requests for longer. After that, new
// requests are refused immediately, so that callers use another VM.
func (rl *Relay) BeginStop() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	if !rl.stopping {
		rl.stopping, rl.stopAt = true, rl.now()
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

// admitLongRequest refuses a new request that takes long, a generation or another
// stream, if this VM can't finish it before it exits.
func (rl *Relay) admitLongRequest(req *Request, rt route.Route) error {
	since, stopping := rl.stoppingFor()
	long := req.Prompt != nil || rt.Kind == route.Stream
	if stopping && long && since >= rl.Settings.StopGenerate {
		return rl.refuseDraining()
	}
	return nil
}

func (rl *Relay) refuseDraining() error {
	return refuse(refusal.Draining, rl.Settings.StopRetryAfter, "this VM is leaving")
}
