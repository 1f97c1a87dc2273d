package relay

import (
	"cmp"
	"context"

	"alderdyke/internal/explain"
	"alderdyke/internal/origin"
	"alderdyke/internal/route"
	"alderdyke/pkg/refusal"
)

// stateBound is the state of the origin of a stream that another VM has bound to a version.
const stateBound = "Bound"

// explainOrigin binds a request that resumes a stream as resolveOrigin does, tells to what, and
// adds the refusal if its origin is not known. Other VMs are asked as for a request.
func (rl *Relay) explainOrigin(ctx context.Context, ex *exchange, forOther bool, out *explain.Explanation) {
	switch {
	case ex.req.LastEventID == "":
		return
	case ex.rt.Kind != route.Stream:
		out.Notes = append(out.Notes, "the route has no streams, so that the ID of the last event means nothing")
		return
	}
	st := &explain.Stream{After: ex.req.LastEventID, Resumes: ex.req.Resumes}
	out.Stream = st
	rc, err := ex.req.Bound, error(nil)
	switch {
	case forOther: // without a version, the servers have none
		st.State, rc.Service = stateBound, cmp.Or(rc.Service, ex.svc.Name)
	default:
		list := rl.PreviewVersions
		if list == nil {
			list = rl.ListVersions
		}
		var an origin.Answer
		an, rc, err = rl.findOrigin(ctx, ex, list)
		st.State, st.By, st.Age, st.Silent, st.Sole = an.State.String(), an.By, an.Age, an.Silent, an.Sole
	}
	if err == nil {
		err = rl.bindOrigin(ex, rc)
	}
	if err != nil {
		*out = withRefusal(*out, err, 1)
		return
	}
	st.Service, st.Version = ex.svc.Name, ex.version
	st.Servers = rl.serversOfVersion(ex)
	out.Route.Service, out.Route.Others = ex.svc.Name, otherServices(ex.rt, ex.svc.Name)
}

// explainVersionGone adds the refusal of a request that is bound to a version of which no
// server is left.
func (rl *Relay) explainVersionGone(ex *exchange, out *explain.Explanation) {
	if ex.version == "" || len(rl.serversOfVersion(ex)) > 0 {
		return
	}
	*out = withRefusal(*out, refuse(refusal.VersionGone, rl.Settings.RetryAfter, versionGoneDetail(ex.version)), 1)
}

// serversOfVersion returns the IDs of the servers of a request's service and version that take
// it, as refuseIfVersionGone and hasPlainServer count them.
func (rl *Relay) serversOfVersion(ex *exchange) []string {
	if ex.svc.Engines != nil && ex.req.Prompt != nil {
		rl.mu.Lock()
		defer rl.mu.Unlock()
		if po := rl.pools[ex.svc.Name]; po != nil {
			return po.DecodersOf(ex.version)
		}
		return nil
	}
	var out []string
	for _, bs := range rl.Backends().Servers {
		if bs.Service == ex.svc.Name && (ex.version == "" || bs.Version == ex.version) && !bs.Leaving {
			out = append(out, bs.ID)
		}
	}
	return out
}
