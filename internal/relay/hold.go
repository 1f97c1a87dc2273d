package relay

import (
	"context"
	"time"

	"alderdyke/internal/pool"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// finalWithin is the time before the end of its wait in which a request states that
	// it is refused unless it gets a place now.
	finalWithin = 5 * clock.Millis(1)
	// foreseenFor is how long the schedulers are taken to make forecasts after one that
	// did. As long as they do, all requests of a VM ask, and the scheduler orders them.
	foreseenFor = clock.Second
	// returnShare is the part of its remaining time that a caller waits at most before
	// it returns, and returnSlack what the refusal takes to reach it.
	returnShare = 3
	returnSlack = 20 * clock.Millis(1)
)

// hold is how long a request waits for a place: until a fixed time without a forecast,
// and with one for as long as the forecast place is in time. A stream that broke waits
// until its fixed time in any case, since a refusal would cut an answer.
type hold struct {
	until, latest clock.Millis // points in time
	returning     bool
	continues     bool         // a stream that broke: its caller has a part of the answer
	wait          clock.Millis // until the forecast place, as last asked; zero: no forecast
	askedAt       clock.Millis // when that was
	returnAfter   clock.Millis // proposed to the caller; zero: none
	held          bool         // it waited for a forecast place
}

// newHold returns the hold of a request that begins to wait. Its forecast place must
// leave time for the prompt and the first event within the objective.
func (rl *Relay) newHold(ex *exchange, po *pool.Pool, returning bool) hold {
	until := min(rl.placeDeadline(ex, returning), ex.deadline)
	hd := hold{until: until, latest: until, returning: returning, continues: ex.req.LastEventID != "" || ex.eventsSent > 0}
	if returning || ex.rt.Objective == 0 || hd.continues {
		return hd
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if start := po.StartTime(ex.req.Prompt.Tokens); start > 0 {
		hd.latest = max(until, min(ex.deadline, ex.req.Arrived+ex.rt.Objective-start))
	}
	return hd
}

// end returns until when the request waits, as far as known.
func (hd *hold) end(now clock.Millis) clock.Millis {
	if hd.wait == 0 {
		return hd.until
	}
	if hd.askedAt+hd.wait > hd.latest {
		return now
	}
	return hd.latest
}

// update records what a scheduler answered and returns until when the request waits. A
// request that was not asked for keeps its forecast.
func (hd *hold) update(now clock.Millis, ans usage.PlacementReply) clock.Millis {
	switch {
	case hd.continues:
	case ans.Foreseen:
		hd.wait, hd.askedAt, hd.returnAfter = ans.Wait, now, ans.ReturnAfter
	case ans.Informed:
		hd.wait, hd.returnAfter = 0, 0
	}
	end := hd.end(now)
	hd.held = hd.held || hd.wait > 0 && end > now
	return end
}

// extend adds to the request to a scheduler what it needs for its forecast.
func (hd *hold) extend(now clock.Millis, ex *exchange, ask usage.PlacementRequest) usage.PlacementRequest {
	if hd.continues {
		return ask // it is neither refused early nor does it return
	}
	if !hd.returning {
		ask.MaxWait = max(ask.MaxWait, hd.latest-now+ask.Waiting.Age)
	}
	ask.ReturnWithin = ex.returnWithin(now)
	ask.Final = now >= hd.latest-finalWithin
	return ask
}

// returnWithin returns the longest time after which the caller returns as told; zero if it is
// not known or too short.
func (ex *exchange) returnWithin(now clock.Millis) clock.Millis {
	if ex.req.WaitLimit == 0 {
		return 0
	}
	return max(0, (ex.req.Arrived+ex.req.WaitLimit-now)/returnShare-returnSlack)
}

// poll returns how long the request waits before it asks again: half of the forecast
// wait, between the interval without a forecast of a new and of a returning request.
func (hd *hold) poll(usual time.Duration, interval clock.Millis) time.Duration {
	if hd.wait == 0 {
		return usual
	}
	return min(max(hd.wait/2, interval/2), 2*interval).Std()
}

// String returns the forecast wait for the log; it is empty if there was none.
func (hd *hold) String() string {
	if hd.wait == 0 {
		return ""
	}
	return hd.wait.String()
}

// noteForecast records whether the schedulers make forecasts. The lock is held.
func (rl *Relay) noteForecast(now clock.Millis, ans usage.PlacementReply) {
	if ans.Foreseen {
		rl.foreseenUntil = now + foreseenFor
	}
}

// chooseAsScheduler chooses for this VM's own request like for that of another VM. The
// lock is held.
func (rl *Relay) chooseAsScheduler(now clock.Millis, ex *exchange, po *pool.Pool, tk *pool.Ticket) choice {
	ask := ex.hold.extend(now, ex, rl.placementRequest(now, ex, po, tk))
	ask.NeedsPrefill = false // the prefill engine is chosen when the place is confirmed
	ans := rl.answerPlace(now, "", ex.svc, ask)
	return choice{need: rl.needOf(ex, true), before: ans.RequestsAhead, short: ans.Shortage, doubtful: ans.Doubtful, bound: ans.Bound,
		list: rl.enginesOf(po, ans.Engines, ex.version), outlook: ans}
}

// refuseUntil refuses a request that found no place. Its caller is told the time that a
// scheduler reserved, or otherwise a random one.
func (rl *Relay) refuseUntil(ctx context.Context, ex *exchange, tk *pool.Ticket) error {
	after := ex.hold.returnAfter
	if after <= 0 {
		return rl.refuseNoPlace(ctx, ex)
	}
	pr := ex.req.Prompt
	rl.keepPromise(promise{service: ex.svc.Name, at: rl.now() + after, tokens: pr.Tokens + pr.Hint, turn: tk.Turn()})
	return rl.finalRefusal(ctx, ex, refuse(refusal.QueueFull, after, "no decode engine has room"))
}

// countHold counts how the wait for a forecast place ended.
func (rl *Relay) countHold(ex *exchange, placed bool) {
	if !ex.hold.held {
		return
	}
	outcome := "Expired"
	switch {
	case placed:
		outcome = "Placed"
	case ex.hold.askedAt+ex.hold.wait > ex.hold.latest:
		outcome = "Turned"
	}
	rl.count("Holds", map[string]string{"Outcome": outcome})
}
