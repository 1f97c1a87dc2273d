package relay

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"

	"alderdyke/internal/apikey"
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/charge"
	"alderdyke/internal/explain"
	"alderdyke/internal/origin"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Previewer tells what would become of a charge. A Charger may implement it.
type Previewer interface {
	// Preview returns what Charge would decide now, and takes nothing.
	Preview(or charge.Order) charge.Preview
}

// Explain tells where a request would go now and why. It changes nothing: it calls the
// functions that decide on requests, or has them decide on copies. It sends nothing, except that
// it asks other VMs for the origin of a stream that the request resumes, as the request does.
func (rl *Relay) Explain(ctx context.Context, rq explain.Request) explain.Explanation {
	rl.mu.Lock()
	rl.initialize()
	rl.mu.Unlock()
	tb := rl.table.Load()
	out := explain.Explanation{Version: tb.Version()}
	ex := &exchange{req: rl.requestOf(rq), tableVersion: tb.Version()}
	rt, err := rl.routeOf(tb, ex.req)
	if err != nil {
		return withRefusal(out, err, 1)
	}
	ex.rt, ex.priority, ex.deadline = rt, rt.Priority, ex.req.deadline(rt)
	ex.svc = tb.Service(likeliestService(rt))
	err = rl.identify(tb, ex, rt)
	out.Route = &explain.Route{Name: rt.Name, Kind: string(rt.Kind), Service: ex.svc.Name, Others: otherServices(rt, ex.svc.Name), Priority: ex.priority, Objective: rt.Objective}
	out.Customer = ex.configuredCustomer()
	if err != nil {
		return withRefusal(out, err, 1)
	}
	for _, explainStep := range rl.explainSteps(ctx, ex, rq.ForOther) {
		if explainStep(&out); out.Refusal != nil {
			return out
		}
	}
	if ex.svc.Engines != nil && ex.req.Prompt != nil {
		return rl.explainGeneration(ex, rq, out)
	}
	return rl.explainPlain(ex, rq, out)
}

// explainSteps returns what a request passes before a server is chosen, in order. The VM that
// has the request charges it, and checks whether servers crashed under it. A VM that reaches no
// server passes the request on before it looks for the origin of its stream.
func (rl *Relay) explainSteps(ctx context.Context, ex *exchange, forOther bool) (steps []func(out *explain.Explanation)) {
	if rl.isPartitioned(ex.svc.Name) {
		steps = append(steps, func(out *explain.Explanation) {
			out.Notes = append(out.Notes, "this VM reaches no server of the service, and passes the request on to another VM")
		})
	} else {
		steps = append(steps, func(out *explain.Explanation) { rl.explainOrigin(ctx, ex, forOther, out) })
	}
	if !forOther {
		steps = append(steps, func(out *explain.Explanation) { rl.explainQuota(ex, out) }, func(out *explain.Explanation) { rl.explainPoison(ex, out) })
	}
	return append(steps, func(out *explain.Explanation) { rl.explainVersionGone(ex, out) })
}

// requestOf returns the request that arrives now.
func (rl *Relay) requestOf(rq explain.Request) *Request {
	req := &Request{Method: rq.Method, Host: rq.Host, URI: rq.URI, Path: rq.Path, Content: rq.Content, Header: http.Header{}, Arrived: rl.now(), WaitLimit: rq.WaitLimit, KeyHash: rq.KeyHash,
		LastEventID: rq.LastEventID, Resumes: rq.Resumes}
	if rq.ForOther {
		req.Bound = origin.Record{Service: rq.BoundService, Version: rq.BoundVersion}
	}
	if rq.KeyFault != "" {
		req.KeyFault = apikey.Error(rq.KeyFault)
	}
	if rq.IsPrompt {
		req.Prompt = &Prompt{Tokens: max(0, rq.Tokens), MaxOutput: max(0, rq.MaxOutput), Hint: rq.Hint, Model: rq.Model, SharedParts: rq.SharedParts}
	}
	return req
}

// likeliestService returns the service that gets the most requests of a route.
func likeliestService(rt route.Route) string {
	return slices.MaxFunc(rt.Shares, func(sa, sb route.Share) int { return sa.Weight - sb.Weight }).Service
}

func otherServices(rt route.Route, service string) (out []string) {
	for _, sh := range rt.Shares {
		if sh.Service != service {
			out = append(out, sh.Service)
		}
	}
	return out
}

// withRefusal adds the refusal of a part of the requests to an explanation.
func withRefusal(out explain.Explanation, err error, part float64) explain.Explanation {
	rf, ok := errors.AsType[refusal.Refusal](err)
	if !ok {
		rf = refuse(refusal.BackendFailed, 0, errorText(err))
	}
	out.Refusal = &explain.Refusal{Reason: string(rf.Reason), Detail: rf.Detail, RetryAfter: rf.RetryAfter, Part: part}
	return out
}

// explainQuota tells whether the customer's quota has room for the request.
func (rl *Relay) explainQuota(ex *exchange, out *explain.Explanation) {
	pr, ok := rl.Charger.(Previewer)
	if ex.order == nil || !ok {
		return
	}
	pv := pr.Preview(rl.orderOf(ex, rl.allowsLess))
	out.Quota = &explain.Quota{Needed: ex.order.Tokens, Credit: pv.Credit, Local: pv.Local, Verdict: string(pv.Verdict), Wait: pv.Wait, Keepers: pv.Keepers}
	switch pv.Verdict {
	case charge.Denied:
		if pv.Wait >= ex.order.MaxWait {
			*out = withRefusal(*out, refuse(refusal.ShareExceeded, pv.Wait, "the customer's quota is used up"), 1)
			return
		}
		out.Notes = append(out.Notes, "the request waits for its customer's tokens first")
	case charge.Away:
		*out = withRefusal(*out, refuse(refusal.QuotaAway, 0, "the VM that keeps the customers' quotas does not answer, or has just begun"), 1)
	case charge.Granted, charge.Unknown:
	}
}

// explainPlain tells to which server of a plain service the request would go, or which one
// this VM would choose for another VM.
func (rl *Relay) explainPlain(ex *exchange, rq explain.Request, out explain.Explanation) explain.Explanation {
	out.Decision = &explain.Decision{By: explain.ThisVM}
	permits := rl.previewPermits(ex, rq.ForOther)
	denied := permits.denied()
	now, chooser, fleet := rl.planPlain(ex, rq.ForOther, slices.AppendSeq(slices.Clone(rq.Excluded), maps.Keys(denied)), out.Decision)
	pv, next, wait := previewPick(now, chooser, ex.serverRequest(nil), denied)
	switch {
	case pv.Choice == "" && next != "":
		out = withRefusal(out, rl.limitedRefusalAfter(next, wait), 1)
	case pv.Refused > 0:
		out = withRefusal(out, pv.Refusal, pv.Refused)
	}
	for _, ca := range pv.Candidates {
		out.Candidates = append(out.Candidates, rl.plainCandidate(now, ca, fleet))
		if ca.Server == pv.Choice {
			out.Decision.Choice, out.Decision.Chance = ca.Server, ca.Chance/(1-pv.Refused)
		}
	}
	return permits.addTo(out.WithFirst(pv.Choice))
}

// planPlain finds who decides, has this VM choose if it is a scheduler, and returns a copy
// of the chooser and what the scheduler knows of the servers. The denied servers would grant
// no permit.
func (rl *Relay) planPlain(ex *exchange, forOther bool, denied []string, de *explain.Decision) (now clock.Millis, chooser *balance.Chooser, fleet map[string]balance.AllocatorServer) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now = rl.now()
	if rl.hasAllocators() && (forOther || rl.chooser.WantsAsk(now, ex.svc.Name)) {
		vms, here := rl.allocatorVMs()
		vm, remote := rl.firstAllocator(now, vms)
		switch {
		case remote && !forOther:
			de.By, de.VM = explain.Scheduler, vm
		case here || forOther:
			pv := rl.allocations.allocator.Preview(now, rl.serverAsk(now, ex, denied))
			fleet = pv.Servers
			if pv.Known {
				ex.allocated.Allocation = pv.Allocation
			}
		}
	}
	return now, rl.chooser.CopyOf(ex.svc.Name), fleet
}

// plainCandidate returns a candidate with its figures.
func (rl *Relay) plainCandidate(now clock.Millis, ca balance.Candidate, fleet map[string]balance.AllocatorServer) explain.Candidate {
	pl := &explain.Plain{InFlight: ca.InFlight, Slots: ca.Slots, Pressure: ca.Pressure, Weight: ca.Weight, EjectedFor: ca.EjectedFor, RestsFor: ca.RestsFor}
	if ca.Stated.Slots > 0 {
		pl.Stated = &explain.StatedLoad{Running: ca.Stated.Running, Waiting: ca.Stated.Waiting, Slots: ca.Stated.Slots, Pace: ca.Stated.Pace, Age: max(0, ca.StatedAge)}
	}
	if fs, ok := fleet[ca.Server]; ok {
		pl.Fleet = &explain.FleetLoad{Assigned: fs.Assigned, Load: fs.Load, Slots: fs.Slots, Pace: fs.Pace, Age: fs.Age}
	}
	limit, _ := rl.limits.Rate(now, ca.Server)
	return explain.Candidate{Server: ca.Server, Version: ca.Version, Role: string(board.Plain), PassedOver: ca.PassedOver, Chance: ca.Chance, Plain: pl, CallLimit: limit}
}
