package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/pool"
	"alderdyke/pkg/refusal"
)

// errNoBodyRoom reports that this VM has as many bytes of bodies in flight to a server as
// it may (package inflight), so that the request was not sent there.
var errNoBodyRoom = errors.New("this VM has no room for the body at a server")

// vmsSharingServers returns the number of VMs among which the bytes in flight to a server
// are divided. One that has just started may know of fewer than there are. The lock is held.
func (rl *Relay) vmsSharingServers() int { return max(minVMs, rl.fleet.size(rl.now())) }

// claimBody makes sure that a body is counted as in flight to a server before it is sent
// there, and reports false if there is no room for it.
func (rl *Relay) claimBody(ex *exchange, server string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if slices.Contains(ex.claims, server) {
		return true
	}
	if !rl.bodies.Claim(server, int64(len(ex.req.Body)), rl.vmsSharingServers()) {
		rl.count("BodiesNotSent", map[string]string{"Service": ex.svc.Name})
		return false
	}
	ex.claims = append(ex.claims, server)
	return true
}

// takeClaim hands a claim over to a call. A call without one counts in any case: a run that
// was stopped to be moved has to continue. The lock is held.
func (rl *Relay) takeClaim(ex *exchange, server string) {
	if ix := slices.Index(ex.claims, server); ix >= 0 {
		ex.claims = slices.Delete(ex.claims, ix, ix+1)
		return
	}
	rl.bodies.Add(server, int64(len(ex.req.Body)))
}

// releaseBody ends the count of a body at a server. The lock is held.
func (rl *Relay) releaseBody(ex *exchange, server string) {
	if rl.bodies.Release(server, int64(len(ex.req.Body))) {
		rl.wakeWaiters()
	}
}

// returnClaim returns the claim for a server that was not called, if the request has one.
func (rl *Relay) returnClaim(ex *exchange, server string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if ix := slices.Index(ex.claims, server); ix >= 0 {
		ex.claims = slices.Delete(ex.claims, ix, ix+1)
		rl.releaseBody(ex, server)
	}
}

// returnClaims returns all claims that the request still has.
func (rl *Relay) returnClaims(ex *exchange) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, server := range ex.claims {
		rl.releaseBody(ex, server)
	}
	ex.claims = nil
}

// bodyRefusal refuses a request whose body has no room at a server.
func (rl *Relay) bodyRefusal(server string) error {
	return fmt.Errorf("%w: %w", errNoBodyRoom, refuse(refusal.QueueFull, rl.Settings.PlainRetryAfter,
		fmt.Sprintf("server %s has no room for the body: too many bytes of bodies are in flight to it", server)))
}

// serversWithoutRoom lists the servers that have no room for the request's body. The lock is
// held.
func (rl *Relay) serversWithoutRoom(ex *exchange) []string {
	return slices.DeleteFunc(rl.bodies.Without(int64(len(ex.req.Body)), rl.vmsSharingServers()), func(server string) bool {
		return slices.Contains(ex.claims, server)
	})
}

// hasRoomNowhere reports whether some decode engine accepts work, and none of these has room
// for the request's body.
func (rl *Relay) hasRoomNowhere(ex *exchange, po *pool.Pool) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	without := rl.serversWithoutRoom(ex)
	if len(without) == 0 {
		return false
	}
	working := false
	for _, bs := range rl.listedServers(ex.svc.Name) {
		accepts := bs.Role == board.Decode && po.AcceptsWork(rl.now(), bs.ID) && (ex.version == "" || bs.Version == ex.version)
		if accepts && !slices.Contains(without, bs.ID) {
			return false
		}
		working = working || accepts
	}
	return working
}

// pickServer chooses a server for which the request holds a permit, or which needs none,
// and which has room for its body. While no server has room, it waits as long as a new
// generation waits for a place.
func (rl *Relay) pickServer(ctx context.Context, ex *exchange) (board.BackendServer, error) {
	until := min(rl.now()+rl.placeWait(ex.rt, false), ex.deadline)
	for {
		rl.mu.Lock()
		freed := rl.placeFreed
		rl.mu.Unlock()
		bs, err := rl.pickPermitted(ctx, ex)
		if !errors.Is(err, errNoBodyRoom) || !awaitFreed(ctx, freed, (until-rl.now()).Std()) {
			return bs, err
		}
	}
}
