package relay

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"slices"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
	"alderdyke/internal/origin"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// maxForwardTries limits the VMs that one request is forwarded to. A third of a large
	// fleet may be partitioned together, and such a VM declines within one round trip.
	maxForwardTries = 6
	// declinedAvoidPeerTime is how long a VM that could not take a request is not asked again.
	declinedAvoidPeerTime = clock.Second
	// unreachableRetryPart is the part of its remaining time after which a request that
	// no VM could take may come back: a partition lasts seconds.
	unreachableRetryPart = 0.25
)

// outcomeForwarded is the outcome of a request that another VM served.
const outcomeForwarded = "Forwarded"

// Peers forwards requests to other VMs.
type Peers interface {
	// Addresses lists the callers' addresses of the other VMs that accept requests.
	Addresses() []string
	// Forward sends a request to another VM, which must not forward it again, and returns
	// the VM's answer or refusal. The caller must close its body. Errors are those of
	// package backend; a VM that can't take the request declines it.
	Forward(ctx context.Context, address string, req *Request, left clock.Millis) (*http.Response, error)
}

// serve serves a request with this VM's servers, or forwards it to another VM if this
// one reaches none of them.
func (rl *Relay) serve(ctx context.Context, wr http.ResponseWriter, ex *exchange) error {
	if !rl.isPartitioned(ex.svc.Name) {
		err := rl.execute(ctx, wr, ex)
		if !rl.failedForPath(ex, err) {
			return err
		}
	}
	if passed, err := rl.forward(ctx, wr, ex); passed {
		return err
	}
	return refuse(refusal.ServersUnreachable, max(pathProbeInterval, clock.Millis(unreachableRetryPart*float64(rl.timeLeft(ex)))), "no path to a server of the service")
}

// failedForPath reports whether a request was refused because this VM reached no server
// in the end, and did not run.
func (rl *Relay) failedForPath(ex *exchange, err error) bool {
	rf, ok := errors.AsType[refusal.Refusal](err)
	if !ok || errors.Is(err, ErrCut) || rf.Ran != refusal.NotRun || ex.possibleRuns > 0 {
		return false
	}
	switch rf.Reason {
	case refusal.QueueFull, refusal.BackendFailed, refusal.NoBackend:
		return ex.pathLost || rl.isPartitioned(ex.svc.Name)
	}
	return false
}

// forward sends a request that has not run to another VM, and the VM's answer to the
// caller. It reports whether a VM took the request.
func (rl *Relay) forward(ctx context.Context, wr http.ResponseWriter, ex *exchange) (passed bool, err error) {
	if rl.Peers == nil || ex.req.Forwarded {
		return false, nil
	}
	ctx, stop := clock.WithDeadline(ctx, clock.OrBoottime(rl.Clock), ex.deadline)
	defer stop()
	if ex.version != "" {
		ex.req.Bound = origin.Record{Service: ex.svc.Name, Version: ex.version}
	}
	for _, address := range rl.forwardTargets() {
		if !ex.req.Memory.MayRun() {
			return true, memoryRefusal()
		}
		rsp, err := rl.Peers.Forward(ctx, address, ex.req, rl.timeLeft(ex))
		rl.Log.Log(event.RelayForwarded, event.F("Request", ex.req.ID), event.F("Route", ex.rt.Name), event.F("To", address),
			event.F("Since", (rl.now()-ex.req.Arrived).String()), event.F("Status", statusOf(rsp)), event.F("Error", errorText(err)))
		if err == nil {
			ex.forwarded = true
			return true, copyAnswer(wr, rsp)
		}
		if !backend.NotRun(err) {
			ex.possibleRuns++
			return true, rl.finalRefusal(ctx, ex, err)
		}
		if ctx.Err() != nil {
			return true, rl.finalRefusal(ctx, ex, err)
		}
		rl.avoidPeer(address)
	}
	return false, nil
}

// forwardTargets returns the VMs to ask, in random order, so that no VM gets all requests
// of a partitioned one.
func (rl *Relay) forwardTargets() []string {
	list := slices.Clone(rl.Peers.Addresses())
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	list = slices.DeleteFunc(list, func(address string) bool { return now < rl.avoidedPeers[address] })
	rl.Rand.Shuffle(len(list), func(ix, iy int) { list[ix], list[iy] = list[iy], list[ix] })
	return list[:min(len(list), maxForwardTries)]
}

// avoidPeer makes this VM forward no request to another VM for a while.
func (rl *Relay) avoidPeer(address string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	for old, until := range rl.avoidedPeers {
		if now >= until {
			delete(rl.avoidedPeers, old)
		}
	}
	rl.avoidedPeers[address] = now + declinedAvoidPeerTime
}

// copyAnswer sends another VM's answer to the caller, a stream event by event.
func copyAnswer(wr http.ResponseWriter, rsp *http.Response) error {
	defer rsp.Body.Close()
	writeHeader(wr, rsp.StatusCode, rsp.Header)
	media, _, _ := mime.ParseMediaType(rsp.Header.Get("Content-Type")) // an unknown type is no stream
	buf := make([]byte, copyBufferBytes)
	for {
		size, errRead := rsp.Body.Read(buf)
		if _, err := wr.Write(buf[:size]); err != nil {
			return wrapCut(err)
		}
		if media == eventStreamType && size > 0 {
			if err := http.NewResponseController(wr).Flush(); err != nil {
				return wrapCut(err)
			}
		}
		switch {
		case errors.Is(errRead, io.EOF):
			return nil
		case errRead != nil:
			return wrapCut(errRead)
		}
	}
}
