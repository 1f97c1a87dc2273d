package relay

import (
	"context"
	"errors"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/origin"
	"alderdyke/internal/pool"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// unlimitedStreamTime is how long a stream is assumed to last, over all attempts of
	// its caller, if it is not known how long the route's callers wait.
	unlimitedStreamTime = clock.Minute
	// originMargin is added to the time for which a record is kept, for callers that
	// come back at their last moment, and to the time in which a stream may have begun,
	// because VMs may use a server for two seconds after it left.
	originMargin = 2 * clock.Second
	// originRetryAfter is when a caller may come back whose stream another VM may know: it
	// then picks another VM, or the VMs that did not respond run again.
	originRetryAfter = 300 * clock.Millis(1)
)

// Origins knows the software versions at which streams began. [origin.Registry]
// implements it.
type Origins interface {
	Keep(id origin.ID, rc origin.Record, life clock.Millis)
	Lookup(ctx context.Context, id origin.ID, service string, span clock.Millis) origin.Answer
}

// Reasons why the origin of a stream is not known.
var (
	errSeveralVersions = errors.New("no VM knows the stream, and several versions served")
	errAmbiguous       = errors.New("different streams began under the same attempt ID")
	errListOutdated    = errors.New("the list of servers is not current")
	errSeveralServices = errors.New("no VM knows the stream, and its route leads to several services")
	errShortHistory    = errors.New("no VM knows the stream, and this VM has not known the servers for long enough")
)

// resolveOrigin binds a request that resumes a stream to the service and the software
// version at which the stream began. The error is a refusal.
func (rl *Relay) resolveOrigin(ctx context.Context, ex *exchange) error {
	switch {
	case ex.rt.Kind != route.Stream || ex.version != "":
		return nil
	case ex.req.Bound.Version != "":
		return rl.bindOrigin(ex, ex.req.Bound)
	case ex.req.LastEventID == "":
		rl.recordFirstWait(ex)
		return nil
	}
	an, rc, err := rl.findOrigin(ctx, ex, rl.ListVersions)
	rl.Log.Log(event.RelayOrigin, event.F("Request", ex.req.ID), event.F("Resumes", ex.req.Resumes), event.F("After", ex.req.LastEventID),
		event.F("State", an.State.String()), event.F("Service", rc.Service), event.F("Version", rc.Version), event.F("By", an.By),
		event.F("Age", an.Age.String()), event.F("Sole", an.Sole), event.F("Several", an.Several), event.F("Silent", an.Silent), event.F("Error", errorText(err)))
	rl.count("Origins", map[string]string{"State": an.State.String()})
	if err != nil {
		return err
	}
	return rl.bindOrigin(ex, rc)
}

// findOrigin returns where the stream that a request resumes began, and what the VMs know of
// it. The function is that of [Relay.ListVersions]. The error is a refusal.
func (rl *Relay) findOrigin(ctx context.Context, ex *exchange, list func(ctx context.Context, service string) ([]string, error)) (an origin.Answer, rc origin.Record, err error) {
	an = rl.lookUpOrigin(ctx, ex)
	if an.State == origin.Known {
		return an, an.Record, nil
	}
	rc, err = rl.inferOrigin(ctx, ex, an, list)
	if err == nil {
		return an, rc, nil
	}
	retryAfter := clock.Millis(0) // the other VMs know no more
	final := errors.Is(err, errSeveralVersions) || errors.Is(err, errSeveralServices) || errors.Is(err, errAmbiguous)
	if an.Silent > 0 || !final {
		retryAfter = originRetryAfter
	}
	return an, rc, refuse(refusal.VersionUnknown, retryAfter, err.Error())
}

// lookUpOrigin asks for the record of the stream that a request resumes. If the caller
// does not name the stream, the other VMs are asked only if this one has not followed the
// list of servers for long enough.
func (rl *Relay) lookUpOrigin(ctx context.Context, ex *exchange) origin.Answer {
	span := rl.originSpan(ex)
	sole, known := rl.SoleVersion(ex.svc.Name, span)
	if rl.Origins == nil || ex.req.Resumes == "" && known {
		return origin.Answer{Reply: origin.Reply{Sole: sole}}
	}
	attempt := ex.req.Resumes
	if attempt == "" {
		attempt = ex.req.ID // any ID that selects VMs: there is no record for it
	}
	return rl.Origins.Lookup(ctx, origin.IDOf(ex.configuredCustomer(), attempt), ex.svc.Name, span)
}

// inferOrigin returns the origin of a stream without a record: the only version that was
// listed for as long as the stream can have run, if the store lists no other now.
func (rl *Relay) inferOrigin(ctx context.Context, ex *exchange, an origin.Answer, list func(ctx context.Context, service string) ([]string, error)) (origin.Record, error) {
	rc := origin.Record{Service: ex.svc.Name, Version: an.Sole}
	switch {
	case an.State == origin.Ambiguous:
		return origin.Record{}, errAmbiguous
	case len(ex.rt.Shares) > 1:
		return origin.Record{}, errSeveralServices
	case an.Several:
		return origin.Record{}, errSeveralVersions
	case an.Sole == "":
		return rc, rl.checkVersionless(ex)
	case !rl.isListCurrent():
		return origin.Record{}, errListOutdated
	case list == nil:
		return rc, nil
	}
	versions, err := list(ctx, ex.svc.Name)
	if err != nil {
		return origin.Record{}, err
	}
	if slices.ContainsFunc(versions, func(version string) bool { return version != an.Sole }) {
		return origin.Record{}, errSeveralVersions
	}
	return rc, nil
}

// checkVersionless returns why the version of a stream without a record can't be inferred,
// or nil if the servers of its service do not tell versions.
func (rl *Relay) checkVersionless(ex *exchange) error {
	span := rl.originSpan(ex)
	rl.mu.Lock()
	versions := rl.versions.Versions(rl.now(), span, ex.svc.Name)
	rl.mu.Unlock()
	switch {
	case len(versions) > 1:
		return errSeveralVersions
	case !rl.isListCurrent():
		return errListOutdated
	case len(versions) == 1 && versions[0] == "":
		return nil
	default:
		return errShortHistory
	}
}

// bindOrigin binds a request to the service and version at which its stream began. If
// its route does not lead to the service any more, it is refused.
func (rl *Relay) bindOrigin(ex *exchange, rc origin.Record) error {
	if !slices.ContainsFunc(ex.rt.Shares, func(sh route.Share) bool { return sh.Service == rc.Service }) {
		return refuse(refusal.VersionGone, 0, "the route does not lead to the service that began the stream")
	}
	if rc.Service != ex.svc.Name {
		ex.svc = rl.table.Load().Service(rc.Service)
	}
	ex.version = rc.Version
	return nil
}

// bindVersion binds a stream that may be resumed to the software version of the first
// server that is to run it, and tells the other VMs: what two versions write does not fit
// together. The binding is final, because a record can't be withdrawn.
func (rl *Relay) bindVersion(ex *exchange, bs board.BackendServer) {
	if ex.originKept || ex.rt.Kind != route.Stream || !ex.rt.Resumable || bs.Version == "" {
		return
	}
	ex.version, ex.originKept = bs.Version, true
	attempt := ex.req.ID
	if ex.req.LastEventID != "" {
		attempt = ex.req.Resumes // which a caller names again if this attempt breaks too
	}
	if rl.Origins == nil || attempt == "" {
		return
	}
	rl.Origins.Keep(origin.IDOf(ex.configuredCustomer(), attempt), origin.Record{Service: ex.svc.Name, Version: bs.Version},
		rl.streamSpan(ex)+originMargin)
}

// streamSpan returns how long a stream can last, over all attempts of its caller.
func (rl *Relay) streamSpan(ex *exchange) clock.Millis {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	span := max(ex.rt.Timeout, ex.req.WaitLimit, rl.longestWait[ex.rt.Name])
	if span == 0 {
		return unlimitedStreamTime
	}
	return span
}

// recordFirstWait records how long the caller of a new stream waits in all.
func (rl *Relay) recordFirstWait(ex *exchange) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.firstWait[ex.rt.Name] = max(rl.firstWait[ex.rt.Name], ex.req.WaitLimit)
}

// originSpan returns how long ago the stream that a request resumes may have begun. The
// caller tells only how much of its time is left, and the route limits each attempt alone,
// so the time that callers of new streams have counts.
func (rl *Relay) originSpan(ex *exchange) clock.Millis {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	span := rl.firstWait[ex.rt.Name]
	if span == 0 {
		span = unlimitedStreamTime
	}
	return max(span, ex.rt.Timeout, ex.req.WaitLimit) + originMargin
}

// SoleVersion returns the only software version that the servers of a service had in the
// last span, if this VM knows that there was no other.
func (rl *Relay) SoleVersion(service string, span clock.Millis) (version string, ok bool) {
	if !rl.isListCurrent() {
		return "", false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.versions.Sole(rl.now(), span, service)
}

// KnowsSeveralVersions reports whether the servers of a service are known to have had
// several software versions in the last span.
func (rl *Relay) KnowsSeveralVersions(service string, span clock.Millis) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.versions.Several(rl.now(), span, service)
}

// RecordVersion records that a server of a service had a version, although the server may
// be gone before the list of servers is set.
func (rl *Relay) RecordVersion(now clock.Millis, service, version string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.versions = rl.versions.WithVersion(now, service, version)
}

// RecordListGap records that servers may have come and gone without being listed.
func (rl *Relay) RecordListGap(now clock.Millis) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.versions = rl.versions.WithGap(now)
}

func (rl *Relay) isListCurrent() bool { return rl.IsListCurrent == nil || rl.IsListCurrent() }

// refuseIfVersionGone refuses a request immediately if no decode engine of the version
// that it is bound to is left.
func (rl *Relay) refuseIfVersionGone(ctx context.Context, ex *exchange, po *pool.Pool) error {
	if ex.version == "" {
		return nil
	}
	rl.mu.Lock()
	left := po.HasDecoder(ex.version)
	rl.mu.Unlock()
	if left {
		return nil
	}
	return rl.finalRefusal(ctx, ex, rl.versionGone(ex))
}

// hasPlainServer reports whether a plain service has a server that takes new work, of the
// version that a request is bound to.
func (rl *Relay) hasPlainServer(ex *exchange) bool {
	return ex.version == "" || slices.ContainsFunc(rl.Backends().Servers, func(bs board.BackendServer) bool {
		return bs.Service == ex.svc.Name && bs.Version == ex.version && !bs.Leaving
	})
}

func (rl *Relay) versionGone(ex *exchange) refusal.Refusal {
	return refuse(refusal.VersionGone, rl.randomRetryAfter(), versionGoneDetail(ex.version))
}

func versionGoneDetail(version string) string { return "no server of version " + version + " is left" }
