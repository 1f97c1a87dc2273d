package charge

import (
	"context"
	"math/rand/v2"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

const (
	// maxPermitDenialTTL bounds how long a keeper's denial of a permit is reused.
	maxPermitDenialTTL = 250 * clock.Millis(1)
	// spentTTL is how long the calls that this VM made before it knew a server's limit
	// are reported to new keepers.
	spentTTL = 3 * clock.Second
	// permitTerm is how long a permit may be used or returned, from the request for it. The
	// permits of a window of four seconds and of this term before it, with the four that may
	// have accrued, are what a server is promised at most: six seconds of its limit and five
	// calls.
	permitTerm = 2 * clock.Second
)

type (
	// PermitOrder asks for the permit to call a server that limits its calls.
	PermitOrder struct {
		Server  string
		Rate    float64 // calls per second that the server takes from the whole fleet
		Reserve float64 // permits to be left for calls that go first
	}

	// Permit allows one call to a server.
	Permit struct {
		PermitOrder
		Keeper  string       // VM that granted it
		Until   clock.Millis // when it expires, by this VM's clock; zero: never
		process uint64       // of the keeper
		shard   int
	}

	// spentCalls are calls that this VM made before it knew a server's limit.
	spentCalls struct {
		calls, rate float64
		until       clock.Millis         // when they no longer count
		reportedTo  [quota.Shards]uint64 // keeper process that has the report, by shard
	}
)

// Expired reports whether it is too late to use or return the permit.
func (pm Permit) Expired(now clock.Millis) bool { return pm.Until > 0 && now >= pm.Until }

// TakePermit takes a permit from one of the keepers. If none grants it, it returns the
// time until there is room.
func (ch *Charger) TakePermit(ctx context.Context, or PermitOrder) (pm Permit, wait clock.Millis, ok bool) {
	ch.ensureShards()
	vms, keepers := ch.Peers.VMs(), ch.Peers.Keepers()
	answered := false
	first := rand.IntN(len(ch.shards))
	for ix := range ch.shards {
		sh := ch.shards[(first+ix)%len(ch.shards)]
		until := ch.now() + permitTerm
		re := ch.requestPermit(ctx, sh, keepers[sh.index], vms, or)
		switch {
		case re.granted && ch.now() >= until:
			ch.countPermit("Expired") // this VM did not run while the response came
		case re.granted:
			ch.countPermit("Granted")
			return Permit{PermitOrder: or, Keeper: re.vm, Until: until, process: re.process, shard: sh.index}, 0, true
		case !re.denied:
		case !answered || re.wait < wait:
			wait, answered = re.wait, true
		}
	}
	if !answered {
		ch.countPermit("Away")
		return Permit{}, ch.retryAfterUnavailable(), false
	}
	ch.countPermit("Denied")
	return Permit{}, wait, false
}

// requestPermit requests a permit from a shard's keeper, unless it just denied one.
func (ch *Charger) requestPermit(ctx context.Context, sh *shard, keeper string, vms int, or PermitOrder) reply {
	ch.mu.Lock()
	now := ch.now()
	re := reply{sh: sh, vm: sh.keeperFor(now, keeper)}
	if de := sh.permitDenials[or.Server]; now < de.until && or.Reserve >= de.tokens {
		re.denied, re.wait = true, de.roomAt-now
	}
	if re.denied || re.vm == "" || now < sh.unresponsiveUntil[re.vm] {
		ch.mu.Unlock()
		return re
	}
	req := sh.account.ServerRequest(now, vms, re.vm, or.Server, or.Rate/quota.Shards, or.Reserve)
	ch.mu.Unlock()
	rsp, err := ch.exchange(ctx, sh, re.vm, vms, req, quota.Limit{})
	if err != nil || !rsp.Known {
		return re
	}
	re.granted, re.denied, re.wait, re.process = rsp.Granted, !rsp.Granted, rsp.Wait, rsp.KeeperID
	if re.denied {
		ch.mu.Lock()
		now = ch.now()
		sh.permitDenials[or.Server] = denial{tokens: or.Reserve, until: now + min(re.wait, maxPermitDenialTTL), roomAt: now + re.wait}
		ch.mu.Unlock()
	}
	return re
}

// ReturnPermit returns a permit whose call was not sent. One that has expired is lost: its
// keeper would grant it again beside what has accrued since.
func (ch *Charger) ReturnPermit(pm Permit) {
	if pm.Expired(ch.now()) {
		ch.countPermit("Expired")
		return
	}
	ch.countPermit("Returned")
	ch.returnTo(ch.shards[pm.shard], pm.process, quota.Request{Server: pm.Server, Rate: pm.Rate / quota.Shards}, 1)
}

// ReportCalls reports the calls that this VM made to a server just before it knew the
// server's limit.
func (ch *Charger) ReportCalls(server string, rate float64, calls int) {
	ch.ensureShards()
	if calls == 0 {
		return
	}
	ch.mu.Lock()
	if ch.spent == nil {
		ch.spent = make(map[string]*spentCalls)
	}
	ch.spent[server] = &spentCalls{calls: float64(calls) / quota.Shards, rate: rate / quota.Shards, until: ch.now() + spentTTL}
	ch.mu.Unlock()
	for _, sh := range ch.shards {
		ch.tellSpent(sh)
	}
}

// tellSpent reports the calls that were made without permits to the holder of the lease
// on a shard, if it does not know them. A new keeper does not.
func (ch *Charger) tellSpent(sh *shard) {
	if !ch.hasSpent() {
		return
	}
	vms := ch.Peers.VMs()
	ch.mu.Lock()
	now := ch.now()
	vm, process := sh.account.Holder(now), sh.account.HolderProcess(now)
	var reports []quota.Request
	for server, sc := range ch.spent {
		switch {
		case now >= sc.until:
			delete(ch.spent, server)
		case process != 0 && sc.reportedTo[sh.index] != process:
			sc.reportedTo[sh.index] = process
			reports = append(reports, sh.account.SpentReport(now, vms, vm, server, sc.rate, sc.calls))
		}
	}
	ch.mu.Unlock()
	for _, req := range reports {
		ch.tell(vm, req)
	}
}

func (ch *Charger) hasSpent() bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return len(ch.spent) > 0
}

// tell sends a request that needs no response to a keeper, which may be this VM.
func (ch *Charger) tell(vm string, req quota.Request) {
	if vm == ch.Self {
		ch.Handle(vm, 0, req)
		return
	}
	ch.Peers.TellQuota(vm, req)
}

// countPermit counts a permit by what became of it.
func (ch *Charger) countPermit(outcome string) {
	if ch.Scope != nil {
		ch.Scope.Tagged(map[string]string{"Outcome": outcome}).Counter("Permits").Inc(1)
	}
}
