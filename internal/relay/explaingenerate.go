package relay

import (
	"math"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/explain"
	"alderdyke/internal/pool"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// previewDraws is how many times engines with similar loads are shuffled to tell the chance
// of each.
const previewDraws = 32

// generationPlan is what a VM would do with a generation.
type generationPlan struct {
	choice
	rq       pool.Requirements
	excluded []string // engines that the scheduler is told not to choose
	reader   pool.Prefill
	decoder  bool // the decode engine computes the prompt
	fixed    bool // the first engine of the list was chosen for that
}

// explainGeneration tells which engines a generation would get, or which ones this VM would
// choose for another VM. The lock is not held.
func (rl *Relay) explainGeneration(ex *exchange, rq explain.Request, out explain.Explanation) explain.Explanation {
	permits, forOther := rl.previewPermits(ex, rq.ForOther), rq.ForOther
	vms, here := rl.schedulers()
	rl.mu.Lock()
	po, returning := rl.pools[ex.svc.Name], rl.allowsLess(ex)
	if po == nil {
		po = &pool.Pool{}
	}
	po = po.WithRand(rand.New(rand.NewPCG(1, 1))).WithLimits(rl.now(), permits.denied())
	rl.mu.Unlock()
	ex.hold = rl.newHold(ex, po, returning)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	var estimate func(now clock.Millis, alive []string) int
	estimated, unknown := 0, 0
	if rl.isScheduler(now) {
		estimate = func(now clock.Millis, alive []string) int {
			estimated, unknown = rl.ledger.CountEstimated(now, alive), rl.ledger.CountUnknown(now, alive)
			return unknown
		}
	}
	known, _, _, _ := rl.reportsOfOthers(now, estimate)
	tk := po.Preview(now, rl.rankOf(now, ex, returning))
	out.Decision = &explain.Decision{By: explain.ThisVM}
	remote := !forOther && (len(vms) > 0 || !here)
	if remote {
		out.Decision.By = explain.Scheduler
		if len(vms) > 0 {
			out.Decision.VM = vms[0]
		}
	}
	var gp generationPlan
	if forOther && known {
		gp = rl.planForOther(now, ex, po, tk, rq.Excluded)
	} else {
		gp = rl.planGeneration(now, ex, po, tk, known)
	}
	until := gp.end(now, ex)
	out.Generation = &explain.Generation{Tokens: gp.need.run.Tokens, Left: gp.need.run.Left, Reserve: gp.need.reserve, Informed: known && !remote, Estimated: estimated, Unknown: unknown,
		Wait: gp.outlook.Wait, Foreseen: gp.outlook.Foreseen, Bound: string(gp.bound), ReturnAfter: gp.outlook.ReturnAfter, Ahead: gp.before, MaxWait: max(0, until-now)}
	if gp.need.limit != noLimit {
		out.Generation.Limit = gp.need.limit
	}
	if len(gp.list) > 0 && !remote {
		out.Generation.Prefill, out.Generation.PrefillTime, out.Generation.AtDecoder = gp.reader.Server.ID, gp.reader.ExpectedTime, gp.decoder
	}
	out.Rebalancing = rl.explainRebalancing(now, ex.svc, known)
	out = permits.addTo(rl.withEngines(now, po, gp, remote, out))
	return rl.withEngineRefusal(now, ex, po, until, out)
}

// planGeneration returns what this VM would do with a generation by itself. It changes
// nothing: the demand that a scheduler learns is recorded in a copy of its plan. The lock is
// held.
func (rl *Relay) planGeneration(now clock.Millis, ex *exchange, po *pool.Pool, tk *pool.Ticket, known bool) generationPlan {
	if short := rl.ledger.HasShortage(now); now >= rl.foreseenUntil && !po.WouldBeFirst(now, tk, short) {
		gp := generationPlan{choice: choice{need: rl.needOf(ex, known), short: short, bound: usage.BoundTurn}}
		gp.rq = rl.decodeRequirements(now, ex.svc.Name, gp.need, ex.version, 0, 0)
		return gp
	}
	var gp generationPlan
	if rl.isScheduler(now) && known {
		gp = rl.planAsScheduler(now, ex, po, tk)
	} else {
		gp.choice, gp.rq = rl.planHere(now, ex, po, tk, known)
	}
	if len(gp.list) == 0 {
		return gp
	}
	pl := place{server: gp.list[0], service: ex.svc.Name, doubtful: gp.doubtful}
	// The first attempt of a request pays nothing.
	gp.reader, gp.decoder = rl.planPrefill(now, ex, po, pl, pool.StartBudget{Objective: ex.rt.Objective}, func(*exchange) bool { return true })
	return gp
}

// planAsScheduler is chooseAsScheduler on a copy of the plan. The lock is held.
func (rl *Relay) planAsScheduler(now clock.Millis, ex *exchange, po *pool.Pool, tk *pool.Ticket) generationPlan {
	pn := rl.planCopy(ex.svc.Name)
	ask := ex.hold.extend(now, ex, rl.placementRequest(now, ex, po, tk))
	gp, _ := rl.planBySchedule(now, pn, ex, po, ask)
	return gp
}

// planForOther returns what this VM as a scheduler would answer another VM, which excludes some
// engines. The lock is held.
func (rl *Relay) planForOther(now clock.Millis, ex *exchange, po *pool.Pool, tk *pool.Ticket, excluded []string) generationPlan {
	pn := rl.planCopy(ex.svc.Name)
	ask := ex.hold.extend(now, ex, rl.placementRequest(now, ex, po, tk))
	ask.Excluded = excluded // those of this VM mean nothing to the other one
	gp, ans := rl.planBySchedule(now, pn, ex, po, ask)
	if len(gp.list) == 0 {
		return gp
	}
	rl.assignReader(now, po, ex.svc, ask, gp.list, (*usage.Ledger).PreviewPromptTime, &ans)
	gp.decoder = ans.Prefill == gp.list[0].ID
	gp.fixed = gp.decoder
	gp.reader, _ = po.PrefillAt(ans.Prefill, ans.QueuedTokens, ex.req.Prompt.Tokens)
	return gp
}

// planBySchedule returns what this VM as a scheduler would choose for a request. It changes
// the plan. The lock is held.
func (rl *Relay) planBySchedule(now clock.Millis, pn *plan, ex *exchange, po *pool.Pool, ask usage.PlacementRequest) (generationPlan, usage.PlacementReply) {
	pn.observe(now, ask)
	rm := rl.roomFor(now, pn, po, ex.svc, ask)
	rm.bound, _ = rl.findRoomBound(now, po, ex.svc, ask, rm.spare)
	ans, list := rl.planPlace(now, pn, po, ex.svc, ask, rm)
	rq := rl.scheduledRequirements(now, ex.svc, ask, ans.RequestsAhead, rm.spare)
	ch := choice{need: rl.needOf(ex, true), before: ans.RequestsAhead, short: ans.Shortage, bound: ans.Bound, list: list, outlook: ans}
	ch.doubtful = len(list) > 0 && rl.ledger.Doubtful(now, list[0].ID)
	return generationPlan{choice: ch, rq: rq, excluded: ask.Excluded}, ans
}

// planCopy returns a copy of the plan of a service. The lock is held.
func (rl *Relay) planCopy(service string) *plan {
	if pn := rl.plans[service]; pn != nil {
		return pn.clone()
	}
	return newPlan()
}

// end returns until when the request would wait for a place.
func (gp generationPlan) end(now clock.Millis, ex *exchange) clock.Millis {
	hd := ex.hold
	return hd.update(now, gp.outlook)
}

// withEngines adds the engines with their figures, and the choice unless another VM decides.
// The lock is held.
func (rl *Relay) withEngines(now clock.Millis, po *pool.Pool, gp generationPlan, remote bool, out explain.Explanation) explain.Explanation {
	chosen := make(map[string]int)
	for ix := range previewDraws {
		if len(gp.list) == 0 || remote {
			break
		}
		if gp.fixed {
			chosen[gp.list[0].ID]++
			continue
		}
		list := po.WithRand(rand.New(rand.NewPCG(1, uint64(ix)))).DecodeCandidates(now, gp.rq)
		list = slices.DeleteFunc(list, func(bs board.BackendServer) bool {
			return slices.Contains(gp.excluded, bs.ID) || rl.ledger.Declined(now, bs.ID)
		})
		if len(list) > 0 {
			chosen[list[0].ID]++
		}
	}
	engines := po.Engines(now, gp.rq)
	for _, es := range engines {
		if chosen[es.Server.ID] > chosen[out.Decision.Choice] {
			out.Decision.Choice = es.Server.ID
		}
	}
	out.Decision.Chance = float64(chosen[out.Decision.Choice]) / previewDraws
	for _, es := range engines {
		ca := rl.engineCandidate(now, es, gp)
		ca.Chance = float64(chosen[ca.Server]) / previewDraws
		switch {
		case ca.Server == out.Decision.Choice:
			ca.PassedOver = ""
		case ca.Server == out.Generation.Prefill:
			ca.PassedOver = explain.Reads
		case ca.PassedOver != "":
		case remote:
			ca.PassedOver = explain.Undecided
		case slices.Contains(gp.excluded, ca.Server):
			ca.PassedOver = explain.Excluded
		case rl.ledger.Declined(now, ca.Server):
			ca.PassedOver = explain.PassedOver(usage.BoundDeclined)
		case out.Decision.Choice == "":
			ca.PassedOver = explain.PassedOver(usage.BoundTurn)
		case ca.Chance > 0:
			ca.PassedOver = explain.NotDrawn
		default:
			ca.PassedOver = explain.Busier
		}
		out.Candidates = append(out.Candidates, ca)
	}
	return out.WithFirst(out.Decision.Choice)
}

// engineCandidate returns an engine with its figures. The lock is held.
func (rl *Relay) engineCandidate(now clock.Millis, es pool.EngineState, gp generationPlan) explain.Candidate {
	id := es.Server.ID
	runs := rl.ledger.AppendRuns(nil, now, id)
	en := &explain.Engine{Runs: len(runs), Slots: es.Server.Slots, PromptTokens: rl.ledger.PromptTokens(now, id), Pace: es.Pace, Age: rl.ledger.ReportAge(now, id),
		FailedFor: es.FailedFor, RestsFor: es.RestsFor}
	for _, run := range runs {
		en.Tokens += run.Tokens
	}
	if es.Server.Role == board.Decode {
		en.Pace = rl.ledger.SpeedAt(id)
		if peak := gp.rq.Peak(id, 1); peak != math.MaxInt {
			en.Peak = peak
		}
		if gp.need.limit != noLimit {
			en.Limit = gp.need.limit
		}
	}
	limit, _ := rl.limits.Rate(now, id)
	return explain.Candidate{Server: id, Version: es.Server.Version, Role: string(es.Server.Role), PassedOver: es.PassedOver, Engine: en, CallLimit: limit}
}

// withEngineRefusal adds the refusal of a request at once, because all engines ask for rest
// or are limited for longer than it may wait. The lock is held.
func (rl *Relay) withEngineRefusal(now clock.Millis, ex *exchange, po *pool.Pool, until clock.Millis, out explain.Explanation) explain.Explanation {
	if out.Decision.Choice != "" {
		return out
	}
	if left := po.BackoffLeft(now); left > 0 && now+left > until {
		return withRefusal(out, refuse(refusal.NoBackend, left, "all decode engines asked for rest"), 1)
	}
	if server, left := po.LimitLeft(now, ex.version); left > 0 && now+left > until {
		return withRefusal(out, rl.limitedRefusalAfter(server, left), 1)
	}
	if _, left := po.LimitLeft(now, ex.version); left > 0 && now+left <= until {
		out.Notes = append(out.Notes, "the request waits for room in the limit of a server")
	}
	if out.Decision.By == explain.ThisVM && until <= now {
		return withRefusal(out, refuse(refusal.QueueFull, out.Generation.ReturnAfter, "no decode engine has room"), 1)
	}
	return out
}
