package relay

import (
	"alderdyke/internal/balance"
	"alderdyke/internal/charge"
	"alderdyke/internal/explain"
	"alderdyke/pkg/clock"
)

type (
	// PermitPreviewer tells whether a permit would be granted. Permits may implement it.
	PermitPreviewer interface {
		// PreviewPermit returns what TakePermit would return now, as far as this VM knows,
		// and takes nothing.
		PreviewPermit(or charge.PermitOrder) charge.PermitPreview
	}

	// permitPreviews describes the permits of the servers of a service that limit their calls,
	// by server.
	permitPreviews map[string]*explain.Permit
)

// previewPermits tells for each server of a request's service that limits its calls whether the
// request would get a permit. At a scheduler that is asked for another VM, that one takes the
// permit.
func (rl *Relay) previewPermits(ex *exchange, forOther bool) permitPreviews {
	out, now := make(permitPreviews), rl.now()
	previewer, ok := rl.Permits.(PermitPreviewer)
	for _, bs := range rl.Backends().Servers {
		rate, limited := rl.limits.Rate(now, bs.ID)
		if bs.Service != ex.svc.Name || !limited {
			continue
		}
		pm := &explain.Permit{Age: rl.limits.Age(now, bs.ID), Needed: rl.Permits != nil}
		out[bs.ID] = pm
		if !ok || forOther {
			continue
		}
		pv := previewer.PreviewPermit(charge.PermitOrder{Server: bs.ID, Rate: rate, Reserve: ex.reserve()})
		pm.Verdict, pm.Wait, pm.Keepers = string(pv.Verdict), pv.Wait, pv.Keepers
	}
	return out
}

// denied returns the servers that would grant no permit, and the time until each has room.
func (pp permitPreviews) denied() map[string]clock.Millis {
	out := make(map[string]clock.Millis)
	for id, pm := range pp {
		if pm.Verdict == string(charge.Denied) || pm.Verdict == string(charge.Away) {
			out[id] = pm.Wait
		}
	}
	return out
}

// addTo adds the permits to the candidates of an explanation.
func (pp permitPreviews) addTo(out explain.Explanation) explain.Explanation {
	for ix := range out.Candidates {
		out.Candidates[ix].Permit = pp[out.Candidates[ix].Server]
	}
	return out
}

// previewPick returns which server a request would get. A request that gets no permit of the
// server that was chosen chooses again without it, and is refused if none is left: then the
// preview has no choice, and the server with room first and the time until then are returned.
func previewPick(now clock.Millis, chooser *balance.Chooser, rq balance.Request, denied map[string]clock.Millis) (pv balance.Preview, next string, wait clock.Millis) {
	pv = chooser.Preview(now, rq)
	if len(denied) == 0 || pv.Choice == "" {
		return pv, "", 0
	}
	for id, left := range denied {
		rq.Unavailable = append(rq.Unavailable, id)
		if next == "" || left < wait || left == wait && id < next {
			next, wait = id, left
		}
	}
	refused, rf := pv.Refused, pv.Refusal
	pv = chooser.Preview(now, rq)
	pv.Refused, pv.Refusal = refused, rf
	for ix := range pv.Candidates {
		ca := &pv.Candidates[ix]
		ca.Chance *= 1 - refused
		if _, ok := denied[ca.Server]; ok && ca.PassedOver == explain.Unavailable {
			ca.PassedOver = explain.Limited
		}
	}
	return pv, next, wait
}
