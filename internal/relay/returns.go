package relay

import (
	"maps"
	"sync"

	"alderdyke/internal/forecast"
	"alderdyke/internal/pool"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// forecastTTL is how long a scheduler uses a forecast. Several hundred requests ask
	// in a second, and a scheduler may have an eighth of a core.
	forecastTTL = 25 * clock.Millis(1)
	// schedulerTTL is how long a VM counts as a scheduler after another one asked it.
	schedulerTTL = 10 * clock.Second
	// seenTTL is how long a scheduler remembers a request, so that it counts each new
	// one once: longer than any request waits.
	seenTTL = 6 * clock.Second
	// maxSeen bounds the requests that are remembered.
	maxSeen = 8192
	// typicalGain is the weight of a new request in the size of a typical one.
	typicalGain = 0.02
	// firstAskAge is the age up to which a request counts as not held yet.
	firstAskAge = 30 * clock.Millis(1)
	// scarceWithin is the time in which expected requests must find places, or places
	// are scarce: about what a new request may wait.
	scarceWithin = 500 * clock.Millis(1)
	// maxOutlooks bounds the versions for which forecasts are kept.
	maxOutlooks = 8
	// lowestPriority is the last of the priorities of requests.
	lowestPriority = 15
	// maxPromises limits the return times in one report, so that it fits into a
	// datagram.
	maxPromises = 16
)

type (
	// plan is what a scheduler knows of the demand for a service.
	plan struct {
		calendar forecast.Calendar
		seen     map[usage.Turn]clock.Millis // requests that asked, and when they first did
		beyond   map[usage.Turn]beyondSlots  // requests that were sent to engines beyond their counted slots
		typical  struct{ tokens, left float64 }
		outlooks map[string]*outlook // by version
	}

	// outlook is a forecast and the requests that wait, as of one moment.
	outlook struct {
		at       clock.Millis
		forecast *forecast.Forecast // nil: not known
		// optimistic makes the forecast with half the margin on the growth of runs, on its first
		// call only. A request is refused for good only if it finds no place in that either.
		optimistic func() *forecast.Forecast
		waiting    []usage.WaitingRequest
		scarce     bool
		reserved   *forecast.Steps              // expected returns
		arrivals   map[stepsKey]*forecast.Steps // expected new requests
	}

	// stepsKey identifies expected new requests.
	stepsKey struct {
		priority  int
		higher    bool // of all higher priorities instead
		sustained bool // at least that many
	}

	// promise is the time at which a caller that this VM refused is to return.
	promise struct {
		service string
		at      clock.Millis
		tokens  int
		turn    usage.Turn
	}
)

// planOf returns the plan of a service. The lock is held.
func (rl *Relay) planOf(service string) *plan {
	if rl.plans == nil {
		rl.plans = make(map[string]*plan)
	}
	if rl.plans[service] == nil {
		rl.plans[service] = newPlan()
	}
	return rl.plans[service]
}

// isScheduler reports whether other VMs ask this one for places. The lock is held.
func (rl *Relay) isScheduler(now clock.Millis) bool {
	return rl.askedAt > 0 && now-rl.askedAt < schedulerTTL
}

// observe records a request at the first time that it asks, and how a returning one
// compares with the reservations. The lock is held.
func (rl *Relay) observe(now clock.Millis, pn *plan, ask usage.PlacementRequest) {
	if outcome := pn.observe(now, ask); outcome != "" {
		rl.count("Returns", map[string]string{"Outcome": string(outcome)})
	}
}

// observe returns how a request that returns compares with the reservations; empty: it is
// new, or asked before.
func (pn *plan) observe(now clock.Millis, ask usage.PlacementRequest) forecast.Outcome {
	turn := ask.Waiting.Turn
	if _, ok := pn.seen[turn]; ok {
		return ""
	}
	if len(pn.seen) >= maxSeen {
		maps.DeleteFunc(pn.seen, func(_ usage.Turn, at clock.Millis) bool { return now-at >= seenTTL })
		if len(pn.seen) >= maxSeen {
			clear(pn.seen)
		}
	}
	pn.seen[turn] = now
	pn.learnSize(ask.Run)
	if ask.Waiting.Returning {
		return pn.calendar.Arrive(now, turn)
	}
	pn.calendar.ObserveNew(now, usage.PriorityOf(turn))
	return ""
}

// newPlan returns a plan that has seen no request.
func newPlan() *plan {
	return &plan{seen: make(map[usage.Turn]clock.Millis), beyond: make(map[usage.Turn]beyondSlots), outlooks: make(map[string]*outlook)}
}

// clone returns a plan with the same demand, whose calls change nothing at this one. It
// makes forecasts of its own, as those of this plan refer to its calendar.
func (pn *plan) clone() *plan {
	out := newPlan()
	out.calendar, out.typical = pn.calendar.Clone(), pn.typical
	maps.Copy(out.seen, pn.seen)
	return out
}

// learnSize averages the sizes of requests.
func (pn *plan) learnSize(run usage.Run) {
	if pn.typical.tokens == 0 {
		pn.typical.tokens, pn.typical.left = float64(run.Tokens), float64(run.Left)
	}
	pn.typical.tokens += typicalGain * (float64(run.Tokens) - pn.typical.tokens)
	pn.typical.left += typicalGain * (float64(run.Left) - pn.typical.left)
}

// outlookOf returns the outlook for a service and a version; nil if the speed of runs is
// not known yet. The lock is held.
func (rl *Relay) outlookOf(now clock.Millis, pn *plan, po *pool.Pool, svc route.Service, version string) *outlook {
	ol := pn.outlooks[version]
	if ol == nil || now-ol.at >= forecastTTL {
		if len(pn.outlooks) >= maxOutlooks {
			clear(pn.outlooks)
		}
		ol = rl.newOutlook(now, pn, po, svc, version)
		pn.outlooks[version] = ol
	}
	if ol.forecast == nil {
		return nil
	}
	return ol
}

// newOutlook builds an outlook, without a forecast if the speed of runs is not known. The
// lock is held.
func (rl *Relay) newOutlook(now clock.Millis, pn *plan, po *pool.Pool, svc route.Service, version string) *outlook {
	ol := &outlook{at: now}
	rl.ledger.SetDeviations(rl.deviationsOf(svc.Name))
	sn := forecast.Snapshot{Limit: rl.memoryLimit(svc), Margin: rl.ledger.GrowthMargin(),
		Typical: forecast.Run{Tokens: int(pn.typical.tokens), Left: int(pn.typical.left)}}
	var runs []usage.Run
	for _, id := range po.Decoders(now, version) {
		// An engine that crashed has no runs. Counted as empty, it promises a place at once to
		// requests that are then held and refused.
		if rl.ledger.Avoided(now, id) || rl.ledger.Doubtful(now, id) {
			continue
		}
		bs, _ := rl.Backends().Server(id)
		en := forecast.Engine{Speed: rl.ledger.SpeedAt(id), Slots: bs.Slots}
		if en.Speed <= 0 {
			return ol // no run was observed yet
		}
		runs = rl.ledger.AppendRuns(runs[:0], now, id)
		en.Runs = make([]forecast.Run, 0, len(runs))
		for _, run := range runs {
			en.Runs = append(en.Runs, forecast.Run{Tokens: run.Tokens, Left: run.Left})
		}
		sn.Engines = append(sn.Engines, en)
	}
	ol.forecast, ol.waiting = forecast.New(sn), rl.ledger.WaitingElsewhere(now)
	sn.Margin /= 2
	ol.optimistic = sync.OnceValue(func() *forecast.Forecast { return forecast.New(sn) })
	ol.arrivals = make(map[stepsKey]*forecast.Steps)
	ol.reserved = forecast.NewSteps(func(within clock.Millis) float64 { return pn.calendar.Reserved(now, within) })
	expected := pn.calendar.Expected(now, scarceWithin, 0, lowestPriority) + ol.reserved.At(scarceWithin) + float64(len(ol.waiting))
	ol.scarce = float64(ol.forecast.Places(scarceWithin)) < expected
	return ol
}

// demand returns how many requests are placed before one that waits, if it is placed
// after a time: those that wait, and of those still to come all of a higher priority, and
// of its own the new ones or the due callers, by which of them go first. Before a returning
// request only those are counted that come at least, since it is refused for good.
func (ol *outlook) demand(now clock.Millis, pn *plan, ask usage.PlacementRequest) func(at clock.Millis) float64 {
	wt, prio := ask.Waiting, usage.PriorityOf(ask.Waiting.Turn)
	wt.Due = pn.calendar.IsDue(wt.Turn)
	ahead := float64(usage.CountPreceding(ol.waiting, wt, ol.scarce, ask.WaitOf, pn.calendar.IsDue))
	urgent := ol.stepsOf(now, pn, stepsKey{prio, true, wt.Returning})
	same := ol.stepsOf(now, pn, stepsKey{prio, false, wt.Returning})
	overtaken, reserved := usage.RankOf(wt.Turn), 1.0
	switch {
	case wt.Returning && ol.scarce:
		overtaken, reserved = 1, 0
	case wt.Returning:
		overtaken, reserved = 0, 0
	case ol.scarce:
		reserved = 0
	}
	return func(at clock.Millis) float64 {
		return ahead + urgent.At(at) + overtaken*same.At(at) + reserved*ol.reserved.At(at)
	}
}

// stepsOf returns the expected new requests of a key.
func (ol *outlook) stepsOf(now clock.Millis, pn *plan, key stepsKey) *forecast.Steps {
	if ol.arrivals[key] == nil {
		first, last := key.priority, key.priority
		if key.higher {
			first, last = 0, key.priority-1
		}
		expected := pn.calendar.Expected
		if key.sustained {
			expected = pn.calendar.Sustained
		}
		ol.arrivals[key] = forecast.NewSteps(func(within clock.Millis) float64 { return expected(now, within, first, last) })
	}
	return ol.arrivals[key]
}

// spareByOutlook returns for how many further requests a place must leave room, and
// whether places are scarce. With an outlook a returning request needs no more room than
// its own: the new requests that go before it are counted as they come. The lock is held.
func (rl *Relay) spareByOutlook(now clock.Millis, ol *outlook, wt usage.WaitingRequest, short bool) (spare int, scarce bool) {
	if ol == nil {
		return rl.spareFor(now, wt, short), short
	}
	return rl.spareFor(now, wt, false), ol.scarce
}

// ahead counts the requests that are placed before one: those that wait elsewhere, and
// the due callers that have not come yet. The lock is held.
func (rl *Relay) ahead(now clock.Millis, pn *plan, ask usage.PlacementRequest, scarce bool) int {
	wt := ask.Waiting
	wt.Due = pn.calendar.IsDue(wt.Turn)
	count := usage.CountPreceding(rl.ledger.WaitingElsewhere(now), wt, scarce, ask.WaitOf, pn.calendar.IsDue)
	if !wt.Due && (wt.Returning || !scarce) {
		count += int(pn.calendar.Reserved(now, 0))
	}
	return count
}

// foresee adds to an answer without a place when there will be one. If that is too late
// for the request, or it is refused in any case, its caller is proposed a time to return,
// and the time is reserved, not before the earliest. A VM recognizes a returning caller
// by the time that it waited (isReturning), so it must wait that long.
func (pn *plan) foresee(now, earliest clock.Millis, ol *outlook, ask usage.PlacementRequest, ans *usage.PlacementReply) {
	if ol == nil {
		return
	}
	run := forecast.Run{Tokens: ask.Run.Tokens, Left: ask.Run.Left}
	places := ol.forecast
	if ask.Waiting.Returning {
		places = ol.optimistic()
	}
	wait, ok := places.PlaceAfter(run, ol.demand(now, pn, ask))
	switch margin := forecast.ErrorOf(wait); {
	case !ok:
	case ask.Waiting.Age < firstAskAge:
		wait += margin // a request is held only if the forecast is likely to hold
	default:
		wait = max(0, wait-margin) // and refused only if it is likely not to
	}
	ans.Wait, ans.Foreseen = max(1, wait), true
	if left := ask.WaitOf(ask.Waiting.Returning) - ask.Waiting.Age; ans.Wait <= left && !ask.Final {
		return
	}
	if ask.Waiting.Returning {
		pn.calendar.Use(ask.Waiting.Turn) // callers retry once
		return
	}
	if ask.ReturnWithin <= 0 {
		return
	}
	ans.ReturnAfter = max(1, pn.calendar.Propose(now, ol.forecast, forecast.Proposal{Waiting: len(ol.waiting), Size: ol.forecast.RelativeSize(run),
		Earliest: min(earliest, ask.ReturnWithin), Latest: ask.ReturnWithin, Turn: ask.Waiting.Turn}))
	pn.calendar.Book(now, ask.Waiting.Turn, now+ans.ReturnAfter)
}

// keepPromise remembers that a refused caller is to return, for the reports to the
// schedulers.
func (rl *Relay) keepPromise(pr promise) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.dropPassedPromises(rl.now())
	if len(rl.promises) >= maxPromises {
		rl.promises = rl.promises[1:]
	}
	rl.promises = append(rl.promises, pr)
	rl.notifyUsageChanged()
}

// dropPassedPromises forgets the promises whose time has passed. The lock is held.
func (rl *Relay) dropPassedPromises(now clock.Millis) {
	kept := rl.promises[:0]
	for _, pr := range rl.promises {
		if now < pr.at {
			kept = append(kept, pr)
		}
	}
	rl.promises = kept
}

// promisedReturns lists the promises for a report. The lock is held.
func (rl *Relay) promisedReturns(now clock.Millis) []usage.Return {
	rl.dropPassedPromises(now)
	var out []usage.Return
	for _, pr := range rl.promises {
		out = append(out, usage.Return{Service: pr.service, After: pr.at - now, Tokens: pr.tokens, Turn: pr.turn})
	}
	return out
}

// receiveReturns reserves the times that another VM promised, for services whose engines
// this VM schedules. The lock is held.
func (rl *Relay) receiveReturns(now clock.Millis, list []usage.Return) {
	tb := rl.table.Load()
	for _, rt := range list {
		if tb.Service(rt.Service).Engines == nil {
			continue
		}
		rl.planOf(rt.Service).calendar.Book(now, rt.Turn, now+rt.After)
	}
}
