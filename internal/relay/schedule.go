package relay

import (
	"context"
	"slices"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/pool"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// askTimeout bounds one request to a scheduler. Two without an answer take a
	// third of the time that a new request waits.
	askTimeout = 30 * clock.Millis(1)
	// unresponsiveFor is how long a VM that did not answer is not asked again. A dead
	// VM is detected within a second.
	unresponsiveFor = 500 * clock.Millis(1)
	// noRoomTTL is how long the result is cached that no engine has room for a
	// request of a size, so that a scheduler on a small VM answers in time during a
	// burst (BenchmarkAnswerPlace).
	noRoomTTL = 15 * clock.Millis(1)
	// syncCacheTime is how long a scheduler relies on having recent reports from all
	// others; the reports are valid for fifty times that.
	syncCacheTime = 50 * clock.Millis(1)
	// maxChoices is the number of engines in one answer: engines rarely decline, and
	// the choice of each further one is less reliable.
	maxChoices = 3
	// maxExcluded limits the engines that a request excludes, so that it fits into a
	// datagram.
	maxExcluded = 12
)

type (
	// Schedulers gives access to the other VMs that choose engines for the whole
	// fleet. In a fleet of hundreds each VM places a request every few seconds, and
	// processing the reports of all others would be most of the work of a VM. Instead
	// a few VMs receive all reports, and the others ask them. No guarantee to callers
	// depends on that: an engine confirms each place itself, and a VM without an
	// answer reserves the size that a run may reach.
	Schedulers interface {
		// SchedulerVMs lists the VMs to ask before this VM chooses by itself. The
		// second result reports whether this VM may choose by itself.
		SchedulerVMs() (vms []string, here bool)
		// Ask asks one of them for a place.
		Ask(ctx context.Context, vm string, ask usage.PlacementRequest) (usage.PlacementReply, error)
	}

	// roomKey is a service, a version of its engines, and the number of further requests
	// that must have room.
	roomKey struct {
		service string
		version string // empty: any
		spare   int
	}

	// noRoom is a size for which no engine had room, and how long that holds.
	noRoom struct {
		until  clock.Millis
		tokens int
		bound  usage.Bound // the limiting factor
	}

	// room is what a scheduler finds of the room for a request.
	room struct {
		outlook *outlook // nil: there is no forecast
		spare   int      // further requests for which a place must leave room
		short   bool     // places are scarce
		bound   usage.Bound
	}

	// choice is where a generation may find a place.
	choice struct {
		chosenBy string // the VM that chose; empty: this one
		need     memoryNeed
		list     []board.BackendServer // to be asked in this order
		before   int                   // requests at other VMs that get a place before this one
		short    bool                  // the fleet has a shortage of places
		prefill  *pool.Prefill         // for the first engine of the list; nil: not chosen yet
		doubtful bool                  // the first engine of the list may be down
		outlook  usage.PlacementReply  // its forecast, if there is one
		bound    usage.Bound           // what kept the request from a place, if the list is empty; empty: not known
	}
)

// choose chooses engines for a request, if it is next in turn at this VM.
func (rl *Relay) choose(ctx context.Context, ex *exchange, po *pool.Pool, tk *pool.Ticket) choice {
	vms, here := rl.schedulers()
	rl.mu.Lock()
	now := rl.now()
	short := rl.ledger.HasShortage(now)
	if now >= rl.foreseenUntil && !po.IsFirst(now, tk, short) {
		rl.mu.Unlock()
		return choice{short: short, bound: usage.BoundTurn}
	}
	if len(vms) == 0 && here {
		defer rl.mu.Unlock()
		return rl.chooseHere(now, ex, po, tk)
	}
	ask := ex.hold.extend(now, ex, rl.placementRequest(now, ex, po, tk))
	rl.mu.Unlock()
	ans, by, ok := rl.askSchedulers(ctx, vms, ask)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	switch {
	case ok && (len(ans.Engines) == 0 || len(rl.enginesOf(po, ans.Engines, ex.version)) > 0):
		return rl.acceptAnswer(ex, po, by, ans)
	case here:
		return rl.chooseHere(rl.now(), ex, po, tk)
	default:
		return rl.chooseByOwnRuns(rl.now(), ex, po)
	}
}

// schedulers lists the VMs to ask, without those that recently did not answer, and
// reports whether this VM may choose engines itself.
func (rl *Relay) schedulers() (vms []string, here bool) {
	if rl.Schedulers == nil {
		return nil, true
	}
	vms, here = rl.Schedulers.SchedulerVMs()
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	return slices.DeleteFunc(vms, func(vm string) bool { return now < rl.silentSchedulers[vm] }), here
}

// chooseHere chooses by the usage of all VMs. The lock is held.
func (rl *Relay) chooseHere(now clock.Millis, ex *exchange, po *pool.Pool, tk *pool.Ticket) choice {
	scheduler := rl.isScheduler(now)
	known := rl.inSync(scheduler)
	if scheduler && known {
		return rl.chooseAsScheduler(now, ex, po, tk)
	}
	ch, _ := rl.planHere(now, ex, po, tk, known)
	return ch
}

// planHere is chooseHere for a VM that is no scheduler, with what the request needs of an
// engine. It changes nothing but the random numbers of the pool. The lock is held.
func (rl *Relay) planHere(now clock.Millis, ex *exchange, po *pool.Pool, tk *pool.Ticket, known bool) (choice, pool.Requirements) {
	ch := choice{need: rl.needOf(ex, known), short: rl.ledger.HasShortage(now)}
	if ch.need.limit != noLimit {
		ch.before = rl.ledger.CountAhead(now, waitingRequestOf(now, ex.svc.Name, tk), func(returning bool) clock.Millis { return rl.placeWait(ex.rt, returning) })
	}
	rq := rl.decodeRequirements(now, ex.svc.Name, ch.need, ex.version, ch.before, rl.spareFor(now, waitingRequestOf(now, ex.svc.Name, tk), ch.short))
	ch.list = po.DecodeCandidates(now, rq)
	ch.doubtful = len(ch.list) > 0 && rl.ledger.Doubtful(now, ch.list[0].ID)
	if len(ch.list) == 0 && ch.need.limit != noLimit {
		ch.bound = po.Bound(now, rq)
	}
	return ch, rq
}

// chooseByOwnRuns chooses by this VM's own runs alone. The lock is held.
func (rl *Relay) chooseByOwnRuns(now clock.Millis, ex *exchange, po *pool.Pool) choice {
	rl.setInSync(false, 0, 0, false)
	ch := choice{need: rl.needOf(ex, false), short: rl.ledger.HasShortage(now)}
	ch.list = po.DecodeCandidates(now, rl.decodeRequirements(now, ex.svc.Name, ch.need, ex.version, 0, 0))
	return ch
}

// decodeRequirements returns what a request needs of the decode engines. The lock is
// held.
func (rl *Relay) decodeRequirements(now clock.Millis, service string, nd memoryNeed, version string, before, spare int) pool.Requirements {
	return pool.Requirements{Tokens: nd.reserve, Version: version, Limit: nd.limit, Ahead: before, Headroom: spare,
		Peak: rl.peakAt(now, service, nd.run), Fits: rl.fitsAt(now, service, nd.run), MostFitting: rl.mostFittingAt(now, service, nd.run), Runs: rl.runsAt(now), CertainRuns: rl.certainRunsAt(now), LastResort: rl.askedLast(now)}
}

// placementRequest returns the request to a scheduler. The lock is held.
func (rl *Relay) placementRequest(now clock.Millis, ex *exchange, po *pool.Pool, tk *pool.Ticket) usage.PlacementRequest {
	nd := rl.needOf(ex, true)
	skip := slices.Concat(rl.serversWithoutRoom(ex), po.Unavailable(now))
	return usage.PlacementRequest{Waiting: waitingRequestOf(now, ex.svc.Name, tk), Run: nd.run, ReserveTokens: nd.reserve, NeedsPrefill: true,
		MaxWait: rl.placeWait(ex.rt, false), MaxWaitReturning: rl.placeWait(ex.rt, true), Excluded: skip[:min(len(skip), maxExcluded)], Version: ex.version}
}

// askSchedulers asks the VMs in turn until one has an answer.
func (rl *Relay) askSchedulers(ctx context.Context, vms []string, ask usage.PlacementRequest) (ans usage.PlacementReply, by string, ok bool) {
	for _, vm := range vms {
		within, stop := context.WithTimeout(ctx, askTimeout.Std())
		ans, err := rl.Schedulers.Ask(within, vm, ask)
		stop()
		if ctx.Err() != nil {
			return usage.PlacementReply{}, "", false
		}
		if err == nil && ans.Informed {
			rl.count("Asks", map[string]string{"Outcome": "Known"})
			if ans.ReturnAfter > ask.ReturnWithin {
				ans.ReturnAfter = 0 // of a faulty VM: the caller does not return so late
			}
			return ans, vm, true
		}
		rl.recordSilentScheduler(vm, err)
	}
	return usage.PlacementReply{}, "", false
}

// recordSilentScheduler makes this VM skip a scheduler for a while that did not
// answer or has no full view of the usage.
func (rl *Relay) recordSilentScheduler(vm string, err error) {
	outcome := "Unknown"
	if err != nil {
		outcome = "Silent"
	}
	rl.count("Asks", map[string]string{"Outcome": outcome})
	rl.Log.Log(event.SchedulerSilent, event.F("Other", vm), event.F("Outcome", outcome), event.F("Error", errorText(err)))
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.silentSchedulers == nil {
		rl.silentSchedulers = make(map[string]clock.Millis)
	}
	rl.silentSchedulers[vm] = rl.now() + unresponsiveFor
}

// acceptAnswer applies the answer of a scheduler. The lock is held.
func (rl *Relay) acceptAnswer(ex *exchange, po *pool.Pool, by string, ans usage.PlacementReply) choice {
	now := rl.now()
	rl.setInSync(true, 0, 0, true)
	if ans.Shortage {
		rl.ledger.MarkRemoteShortage(now)
	}
	rl.noteForecast(now, ans)
	ch := choice{chosenBy: by, need: rl.needOf(ex, true), before: ans.RequestsAhead, short: ans.Shortage, doubtful: ans.Doubtful, bound: ans.Bound,
		list: rl.enginesOf(po, ans.Engines, ex.version), outlook: ans}
	if pf, ok := po.PrefillAt(ans.Prefill, ans.QueuedTokens, ex.req.Prompt.Tokens); ok {
		ch.prefill = &pf
	}
	return ch
}

// enginesOf returns the engines with the given IDs that accept new work as far as this VM
// knows and have a version; the empty version stands for any. A scheduler of an earlier
// build ignores the version that it is asked for. The lock is held.
func (rl *Relay) enginesOf(po *pool.Pool, ids []string, version string) []board.BackendServer {
	var out []board.BackendServer
	for _, id := range ids {
		bs, ok := rl.Backends().Server(id)
		if ok && po.AcceptsWork(rl.now(), id) && (version == "" || bs.Version == version) {
			out = append(out, bs)
		}
	}
	return out
}

// AnswerPlace chooses engines for a request of another VM, and counts a place at the
// first as taken.
func (rl *Relay) AnswerPlace(vm string, ask usage.PlacementRequest) usage.PlacementReply {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	now, tb := rl.now(), rl.table.Load()
	if tb == nil || !rl.recentlyInSync(now) {
		return usage.PlacementReply{}
	}
	svc := tb.Service(ask.Waiting.Service)
	if svc.Engines == nil || svc.Engines.MemoryTokens <= 0 {
		return usage.PlacementReply{}
	}
	rl.askedAt = max(1, now)
	rl.ledger.ObserveDeclines(now, ask.Excluded)
	return rl.answerPlace(now, vm, svc, ask)
}

// CountLateAsk counts a request of another VM that was dropped because that VM will have
// stopped waiting before the answer arrives.
func (rl *Relay) CountLateAsk() { rl.count("Asks", map[string]string{"Outcome": "Late"}) }

// answerPlace is AnswerPlace for a VM with reports of the others; the empty VM is this one.
// The lock is held.
func (rl *Relay) answerPlace(now clock.Millis, vm string, svc route.Service, ask usage.PlacementRequest) usage.PlacementReply {
	po, pn := rl.poolOf(svc.Name), rl.planOf(svc.Name)
	rl.observe(now, pn, ask)
	pn.observeSlots(now, po, ask.Waiting.Turn)
	rm := rl.roomFor(now, pn, po, svc, ask)
	rm.bound = rl.roomBound(now, po, svc, ask, rm.spare)
	ans, list := rl.planPlace(now, pn, po, svc, ask, rm)
	if len(list) == 0 {
		return ans
	}
	rl.assignReader(now, po, svc, ask, list, (*usage.Ledger).PromptTime, &ans)
	list = list[:min(len(list), maxChoices)]
	rl.noteBeyondSlots(now, pn, ask.Waiting.Turn, list)
	if vm != "" { // this VM counts its own places
		run := ask.Run
		run.Engine = list[0].ID
		rl.ledger.AssumePlacement(now, vm, run, ans.Prefill)
	}
	for _, bs := range list {
		ans.Engines = append(ans.Engines, bs.ID)
	}
	return ans
}

// roomFor returns the room for a request, without its bound. It changes only the plan. The
// lock is held.
func (rl *Relay) roomFor(now clock.Millis, pn *plan, po *pool.Pool, svc route.Service, ask usage.PlacementRequest) room {
	rm := room{outlook: rl.outlookOf(now, pn, po, svc, ask.Version)}
	rm.spare, rm.short = rl.spareByOutlook(now, rm.outlook, ask.Waiting, rl.ledger.HasShortage(now))
	return rm
}

// planPlace returns the engines for a request in the order in which to try them. Without an
// engine, the answer has the forecast, and the plan the time that is proposed to the caller.
// It changes only the plan and the random numbers of the pool. The lock is held.
func (rl *Relay) planPlace(now clock.Millis, pn *plan, po *pool.Pool, svc route.Service, ask usage.PlacementRequest, rm room) (ans usage.PlacementReply, list []board.BackendServer) {
	ans = usage.PlacementReply{Informed: true, Shortage: rm.short, Bound: rm.bound}
	if ans.Bound != "" {
		pn.foresee(now, rl.minRetryAfter(), rm.outlook, ask, &ans)
		return ans, nil
	}
	ans.RequestsAhead = rl.ahead(now, pn, ask, ans.Shortage)
	rq := rl.scheduledRequirements(now, svc, ask, ans.RequestsAhead, rm.spare)
	list = po.DecodeCandidates(now, rq)
	ans.Bound = usage.BoundDeclined
	if len(list) == 0 {
		ans.Bound = po.Bound(now, rq)
	}
	list = slices.DeleteFunc(list, func(bs board.BackendServer) bool {
		return slices.Contains(ask.Excluded, bs.ID) || rl.ledger.Declined(now, bs.ID)
	})
	if len(list) == 0 {
		pn.foresee(now, rl.minRetryAfter(), rm.outlook, ask, &ans)
		return ans, nil
	}
	ans.Bound = ""
	return ans, list
}

// scheduledRequirements returns what the request of a VM needs of the decode engines. The
// lock is held.
func (rl *Relay) scheduledRequirements(now clock.Millis, svc route.Service, ask usage.PlacementRequest, before, spare int) pool.Requirements {
	nd := memoryNeed{run: ask.Run, reserve: ask.ReserveTokens, limit: rl.memoryLimit(svc)}
	return rl.decodeRequirements(now, svc.Name, nd, ask.Version, before, spare)
}

// roomBound returns the limiting factor if no engine has room for a request; empty if one
// has. At the end of a burst hundreds of requests per second find none, so a request is
// taken to find no room if one of the same or a smaller size just found none. The lock is
// held.
func (rl *Relay) roomBound(now clock.Millis, po *pool.Pool, svc route.Service, ask usage.PlacementRequest, spare int) usage.Bound {
	bound, cached := rl.findRoomBound(now, po, svc, ask, spare)
	if bound == "" || cached {
		return bound
	}
	if rl.noRoom == nil {
		rl.noRoom = make(map[roomKey]noRoom)
	}
	rl.noRoom[roomKey{svc.Name, ask.Version, spare}] = noRoom{until: now + noRoomTTL, tokens: ask.Run.Tokens, bound: bound}
	return bound
}

// findRoomBound is roomBound without caching the result, and reports whether it was cached.
func (rl *Relay) findRoomBound(now clock.Millis, po *pool.Pool, svc route.Service, ask usage.PlacementRequest, spare int) (bound usage.Bound, cached bool) {
	if none := rl.noRoom[roomKey{svc.Name, ask.Version, spare}]; now < none.until && ask.Run.Tokens >= none.tokens {
		return none.bound, true
	}
	rq := rl.scheduledRequirements(now, svc, ask, 0, spare)
	if po.HasRoom(now, rq) {
		return "", false
	}
	return po.Bound(now, rq), false
}

// recentlyInSync caches the result of inSync, which checks each VM. The lock is held.
func (rl *Relay) recentlyInSync(now clock.Millis) bool {
	if rl.synced && now < rl.syncedUntil {
		return true
	}
	rl.syncedUntil = now + syncCacheTime
	return rl.inSync(true)
}

// assignReader adds the engine that is to compute the prompt to an answer. It may change the
// order of the list. The function is PromptTime of the ledger. The lock is held.
func (rl *Relay) assignReader(now clock.Millis, po *pool.Pool, svc route.Service, ask usage.PlacementRequest, list []board.BackendServer,
	promptTime func(le *usage.Ledger, now clock.Millis, engine string, tokens int) clock.Millis, ans *usage.PlacementReply,
) {
	if ask.NeedsPrefill && !rl.ledger.Doubtful(now, list[0].ID) {
		pf := rl.chooseReader(now, po, svc, ask, list, promptTime)
		ans.Prefill, ans.QueuedTokens = pf.Server.ID, pf.QueuedTokens
	}
	ans.Doubtful = rl.ledger.Doubtful(now, list[0].ID)
}

// moveTargets lists the engines that a run may move to: those of its version.
func (rl *Relay) moveTargets(from place) []board.BackendServer {
	vms, here := rl.schedulers()
	run, po, version := from.entry.Run(), rl.lockedPool(from.service), from.server.Version
	if !here || len(vms) > 0 {
		ctx, stop := context.WithTimeout(context.Background(), 2*askTimeout.Std())
		defer stop()
		ask := usage.PlacementRequest{Waiting: usage.WaitingRequest{Service: from.service, Turn: 1}, Run: usage.Run{Tokens: run.Tokens, Left: run.Left, Deviation: run.Deviation}, ReserveTokens: run.Tokens, Version: version}
		if ans, _, ok := rl.askSchedulers(ctx, vms, ask); ok && len(ans.Engines) > 0 {
			rl.mu.Lock()
			defer rl.mu.Unlock()
			return rl.enginesOf(po, ans.Engines, version)
		}
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	return po.DecodeCandidates(now, pool.Requirements{Limit: noLimit, Version: version, Peak: rl.peakAt(now, from.service, run)})
}

// lockedPool is poolOf for callers that do not hold the lock.
func (rl *Relay) lockedPool(service string) *pool.Pool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.poolOf(service)
}

// turnPollInterval returns how long a request that found no place waits before it
// asks again, if no place is known to have become free. A VM that asks a scheduler is
// not notified of free places, so a new request asks twice as often as it otherwise
// would. A returning request waits for seconds.
func (rl *Relay) turnPollInterval(returning bool) time.Duration {
	_, here := rl.schedulers()
	switch {
	case here:
		return rl.Settings.PollInterval.Std()
	case returning:
		return (2 * rl.Settings.PollInterval).Std()
	default:
		return (rl.Settings.PollInterval / 2).Std()
	}
}
