package charge

import (
	"context"
	"maps"
	"sync"

	"alderdyke/internal/event"
	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

const (
	// requestTimeout bounds one request to a keeper.
	requestTimeout = 40 * clock.Millis(1)
	// unresponsiveFor is how long a keeper that did not respond gets no requests.
	unresponsiveFor = 200 * clock.Millis(1)
	// maxDenialTTL bounds how long a keeper's denial is reused without a new request.
	// Otherwise a customer far beyond its limit would make the keeper respond to each
	// of its requests.
	maxDenialTTL = 60 * clock.Millis(1)
)

type (
	// shard is this VM's state for one shard of the limits, guarded by the Charger's
	// lock.
	shard struct {
		index             int
		keeper            quota.Keeper
		account           quota.Account
		unresponsiveUntil map[string]clock.Millis // by keeper, until when it gets no requests
		denials           map[string]denial       // by customer
		permitDenials     map[string]denial       // by server; their tokens are those to be left
		requestingCredit  map[string]bool         // customers for whom a request for credit is under way
		bookedUp          map[string]bookedUp     // by customer
		holder            string                  // VM that held the lease at the last check

		returning sync.Mutex // taken before the Charger's lock, while a return is created and sent
	}

	// denial is a keeper's response that there is no room.
	denial struct {
		tokens float64      // that were requested
		until  clock.Millis // when the denial is no longer reused
		roomAt clock.Millis // when there will be room
		// returnAt is when the refused caller is to return.
		returnAt clock.Millis
	}
)

// keeperFor returns the VM to send requests to: the one that holds the lease on this
// VM's part, or else the shard's keeper in this VM's view of the fleet.
func (sh *shard) keeperFor(now clock.Millis, keeper string) string {
	if vm := sh.account.Holder(now); vm != "" {
		return vm
	}
	return keeper
}

// cachedDenial reports whether the keeper recently denied this number of tokens or
// fewer, the time until there is room for them, and the time after which the caller is to
// return.
func (sh *shard) cachedDenial(now clock.Millis, customer string, tokens float64) (wait, returnAfter clock.Millis, denied bool) {
	de := sh.denials[customer]
	if now >= de.until || tokens < de.tokens {
		return 0, 0, false
	}
	return de.roomAt - now, max(de.roomAt, de.returnAt) - now, true
}

// needsCredit reports whether credit should be requested now.
func (sh *shard) needsCredit(now clock.Millis, vms int, vm string, or Order) bool {
	return vm != "" && !sh.requestingCredit[or.Customer] && now >= sh.unresponsiveUntil[vm] && now >= sh.denials[or.Customer].until &&
		sh.account.NeedsCredit(vms, or.Customer, or.Limit.PerShard(), or.Tokens/quota.Shards)
}

// evict drops the state of all customers for which wanted returns false, and expired
// denials of permits.
func (sh *shard) evict(now clock.Millis, wanted func(customer string) bool) {
	sh.keeper.Evict(wanted)
	sh.account.Evict(wanted)
	maps.DeleteFunc(sh.permitDenials, func(_ string, de denial) bool { return now >= de.until })
	maps.DeleteFunc(sh.bookedUp, func(_ string, bu bookedUp) bool { return now >= bu.until })
	for customer := range sh.denials {
		if !wanted(customer) {
			delete(sh.denials, customer)
		}
	}
}

// requestTokens requests tokens from a shard's keeper. The second result reports
// whether the keeper responded and knows the customer's level.
func (ch *Charger) requestTokens(ctx context.Context, sh *shard, vm string, vms int, or Order) (quota.Response, bool) {
	lim := or.Limit.PerShard()
	ch.mu.Lock()
	req := or.describeCaller(sh.account.NewRequest(ch.now(), vms, vm, or.Customer, lim, or.Tokens))
	ch.mu.Unlock()
	rsp, err := ch.exchange(ctx, sh, vm, vms, req, lim)
	return rsp, err == nil && rsp.Known
}

// requestCredit requests credit without tokens for a request.
func (ch *Charger) requestCredit(sh *shard, vm string, vms int, or Order) {
	_, _ = ch.requestTokens(context.Background(), sh, vm, vms, or.withTokens(0)) // on failure, the next request without credit requests its own tokens
	ch.mu.Lock()
	defer ch.mu.Unlock()
	delete(sh.requestingCredit, or.Customer)
}

// exchange sends a request to a keeper, which may be this VM, and applies its response.
func (ch *Charger) exchange(ctx context.Context, sh *shard, vm string, vms int, req quota.Request, lim quota.Limit) (quota.Response, error) {
	requestedAt := ch.now()
	var rsp quota.Response
	var err error
	switch {
	case vm == ch.Self:
		rsp = ch.Handle(vm, 0, req)
	case req.Need > 0 || req.Credit > 0:
		rsp, err = ch.askForGrant(ctx, sh, vm, vms, req, lim)
	default:
		within, stop := context.WithTimeout(ctx, requestTimeout.Std())
		rsp, err = ch.Peers.AskQuota(within, vm, req)
		stop()
	}
	defer ch.tellSpent(sh)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	if err != nil {
		if ctx.Err() == nil {
			ch.markUnresponsive(now, sh, vm, err)
		}
		return rsp, err
	}
	sh.account.ApplyResponse(now, requestedAt, vms, vm, req, lim, rsp)
	ch.logHolderChange(now, sh)
	return rsp, nil
}

// Handle handles the request of a VM, which may be this one, as the keeper of a
// shard.
func (ch *Charger) Handle(vm string, incarnation uint64, req quota.Request) quota.Response {
	ch.ensureShards()
	var lim *quota.Limit
	if req.Customer != "" {
		if known, ok := ch.Limit(req.Customer); ok {
			part := known.PerShard()
			lim = &part
		}
	}
	if req.Server != "" && ch.ServerLimit != nil {
		if rate, ok := ch.ServerLimit(req.Server); ok {
			req.Rate = rate / quota.Shards
		}
	}
	vms := ch.Peers.VMs()
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.shards[req.Shard].keeper.Handle(ch.now(), vms, vm, incarnation, req, lim)
}

// giveBack returns unused tokens to a shard. What this VM does not keep as credit is
// sent to the keeper that holds the lease.
func (ch *Charger) giveBack(sh *shard, customer string, lim quota.Limit, tokens float64) {
	ch.sendReturn(sh, func(now clock.Millis, vms int) (quota.Request, bool) {
		return sh.account.GiveBack(now, vms, customer, lim, tokens)
	})
}

// renewAll renews the leases on all shards concurrently, so that an unresponsive
// keeper does not delay the others.
func (ch *Charger) renewAll(ctx context.Context) {
	keepers := ch.Peers.Keepers()
	var renewals sync.WaitGroup
	for ix, sh := range ch.shards {
		renewals.Go(func() { ch.renew(ctx, sh, keepers[ix]) })
	}
	renewals.Wait()
}

// renew renews or begins the lease on a shard. If a VM other than the shard's keeper
// holds the lease, it is released.
func (ch *Charger) renew(ctx context.Context, sh *shard, vm string) {
	vms := ch.Peers.VMs()
	if req, holder, ends := ch.release(sh, vm, vms); ends {
		_, _ = ch.exchange(ctx, sh, holder, vms, req, quota.Limit{}) // on failure the lease expires
	}
	for range 2 { // a new lease is announced to its keeper at once
		req, due := ch.renewalRequest(sh, vm, vms)
		if !due {
			return
		}
		if _, err := ch.exchange(ctx, sh, vm, vms, req, quota.Limit{}); err != nil {
			return // the keeper is marked unresponsive and is tried again later
		}
	}
}

// renewalRequest returns the request that renews or begins a lease, if one is due.
func (ch *Charger) renewalRequest(sh *shard, vm string, vms int) (req quota.Request, due bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	ch.logHolderChange(now, sh)
	holder := sh.account.Holder(now)
	if vm == "" || holder != "" && holder != vm || now < sh.unresponsiveUntil[vm] || !sh.account.RenewalDue(now, vm) {
		return req, false
	}
	return sh.account.LeaseRequest(now, vms, vm), true
}

// release returns the request that ends the lease of a VM that should not hold it.
func (ch *Charger) release(sh *shard, vm string, vms int) (req quota.Request, holder string, ends bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	holder = sh.account.Holder(now)
	if vm == "" || holder == "" || holder == vm {
		return req, "", false
	}
	return sh.account.ReleaseRequest(now, vms), holder, now >= sh.unresponsiveUntil[holder]
}

// cacheDenial stores a keeper's denial for a while.
func (ch *Charger) cacheDenial(sh *shard, or Order, rsp quota.Response) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	sh.denials[or.Customer] = denial{tokens: or.Tokens, until: now + min(rsp.Wait, maxDenialTTL), roomAt: now + rsp.Wait,
		returnAt: now + rsp.ReturnAfter}
}

// markUnresponsive excludes a keeper that did not respond from requests for a while.
// The lock must be held.
func (ch *Charger) markUnresponsive(now clock.Millis, sh *shard, vm string, err error) {
	sh.unresponsiveUntil[vm] = now + unresponsiveFor
	ch.Log.Log(event.QuotaSilent, event.F("Other", vm), event.F("Shard", sh.index),
		event.F("LeaseLeft", sh.account.LeaseLeft(now).String()), event.F("Error", err.Error()))
}

// logHolderChange logs if the holder of this VM's lease on a shard has changed. The
// lock must be held.
func (ch *Charger) logHolderChange(now clock.Millis, sh *shard) {
	if vm := sh.account.Holder(now); vm != sh.holder {
		ch.Log.Log(event.QuotaKeeperChanged, event.F("Other", vm), event.F("Shard", sh.index), event.F("Before", sh.holder))
		sh.holder = vm
	}
}

// holders returns the VM that holds this VM's lease on each shard. The lock must be
// held.
func (ch *Charger) holders() []string {
	var vms []string
	for _, sh := range ch.shards {
		vms = append(vms, sh.holder)
	}
	return vms
}
