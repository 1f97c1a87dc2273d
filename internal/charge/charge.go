// Package charge charges requests to their customers' quotas before they are sent
// to a backend server.
//
// Two VMs are the keepers of the quotas, each for one shard of every limit. Every
// VM requests tokens from them: for a generation on its arrival, for plain
// requests in advance. Package quota makes the decisions. This package sends the
// requests, waits for responses, renews leases, and refuses callers: because the
// quota is used up, with the time after which there will be room, or because the
// keepers can't be reached now.
//
// # Usage
//
//	ch := &charge.Charger{Self: "vm-7", ID: rand.Uint64() | 1, Settings: st, Peers: peers, Limit: limit, Log: lg}
//	go ch.Run(ctx)
//	err := ch.Charge(ctx, charge.Order{Customer: "c", Limit: lim, Tokens: 7000, MaxWait: 180})
//	if err != nil { ... } // a refusal.Refusal
//	ch.GiveBack(order) // it did not run
package charge

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/event"
	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// keeperRetryInterval is the pause before a request without a response from any
	// keeper tries again.
	keeperRetryInterval = 30 * clock.Millis(1)
	// minTokenWait is the shortest time after which a request that waits for tokens tries
	// again. A keeper's denial is reused for up to 60 ms.
	minTokenWait = 20 * clock.Millis(1)
	// minRetryAfter is the shortest RetryAfter of a refusal because of the quota. It
	// bounds how often a caller returns, because each return takes a new connection.
	minRetryAfter = 50 * clock.Millis(1)
	// retryAfterJitter is the largest random part that is added to RetryAfter, as a
	// fraction of it, so that callers who were refused together don't return together.
	retryAfterJitter = 0.25
	// leaseCheckInterval is the interval at which leases are checked for renewal.
	leaseCheckInterval = 100 * clock.Millis(1)
	// freeAfter is how long no request of a customer must be refused before its
	// quota counts as free again. At the limit, some requests are granted and others
	// are refused.
	freeAfter = 2 * clock.Second
	// evictInterval is the interval at which the state of removed customers and VMs
	// is dropped.
	evictInterval = 10 * clock.Second
)

type (
	// Peers gives access to the other VMs.
	Peers interface {
		// Keepers returns the keeper of each shard in this VM's view of the fleet. An
		// empty name means that this VM has no view of the fleet yet.
		Keepers() [quota.Shards]string
		// VMs returns the number of VMs, including those that are dead at present; 0 if
		// it is not known yet.
		VMs() int
		// AskQuota sends a request to a VM and returns the response.
		AskQuota(ctx context.Context, vm string, req quota.Request) (quota.Response, error)
		// TellQuota sends a request to a VM without waiting for a response.
		TellQuota(vm string, req quota.Request)
	}

	// Order is the charge for one request.
	Order struct {
		Customer string
		Limit    quota.Limit
		Tokens   float64
		MaxWait  clock.Millis // how long the request may wait for tokens, and while no keeper responds
		// ReturnWithin is the longest time after which the caller returns as told; zero: not
		// known.
		ReturnWithin clock.Millis
		Returning    bool // the caller was refused before, by this VM or another one

		whole float64 // Tokens of the whole request, where Tokens are a part of them
	}

	// Charger charges the requests of one VM. While this VM is the keeper of a shard,
	// it also grants that shard's tokens to all VMs. Set the exported fields before
	// use.
	Charger struct {
		Self     string // name of this VM
		ID       uint64 // of the process; not zero, and different after each start
		Settings quota.Settings
		Peers    Peers
		// Limit returns a customer's limit in the configuration in force, or false if
		// the customer has none or does not exist.
		Limit func(customer string) (quota.Limit, bool)
		// ServerLimit returns the calls per second that a server takes from the whole
		// fleet, as this VM knows it, or false if it knows no limit. Nil: it knows none.
		ServerLimit func(server string) (float64, bool)
		// Limited reports whether any customer or server has a limit. If none has, no
		// leases are kept: with 300 VMs, a keeper would receive 500 useless renewals per
		// second.
		Limited func() bool
		Clock   clock.Source
		Log     event.Logger
		Scope   tally.Scope

		once      sync.Once  // creates the shards
		mu        sync.Mutex // guards all fields below
		shards    [quota.Shards]*shard
		exhausted map[string]clock.Millis // last refusal of each customer whose quota is used up
		spent     map[string]*spentCalls  // by server
	}

	// attempt is the result of one attempt to charge a request.
	attempt struct {
		granted  bool
		answered bool         // all keepers responded, now or recently; otherwise one is missing or unresponsive
		wait     clock.Millis // until there is room, if all responded and there is none
		// returnAfter is the time after which the caller is to return then, if it is not
		// booked.
		returnAfter clock.Millis
	}
)

// withTokens returns the order with another number of tokens.
func (or Order) withTokens(tokens float64) Order {
	or.Tokens = tokens
	return or
}

// describeCaller adds to a request to a keeper what is known of the order's caller.
func (or Order) describeCaller(req quota.Request) quota.Request {
	req.ReturnWithin, req.Returning = or.ReturnWithin, or.Returning
	if or.Returning {
		req.Whole = or.whole
	}
	return req
}

// Charge takes a request's tokens. A non-nil error is a refusal.Refusal.
func (ch *Charger) Charge(ctx context.Context, or Order) error {
	until := ch.now() + or.MaxWait
	or.whole = or.Tokens
	for {
		tr := ch.attempt(ctx, or)
		switch {
		case tr.granted:
			ch.record(or, tr)
			return nil
		case tr.answered && ch.now()+max(minTokenWait, tr.wait) < until && clock.Sleep(ctx, max(minTokenWait, tr.wait)):
			continue // a caller that returns after so short a time uses up its retry
		case tr.answered:
			ch.record(or, tr)
			return refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.ShareExceeded, RetryAfter: ch.returnAfter(ctx, or, tr),
				Detail: "the customer's quota is used up"}
		case ctx.Err() != nil || ch.now()+keeperRetryInterval >= until:
			ch.countOutcome("Away")
			return refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QuotaAway, RetryAfter: ch.retryAfterUnavailable(),
				Detail: "the VM that keeps the customers' quotas does not answer, or has just begun"}
		}
		clock.Sleep(ctx, keeperRetryInterval)
	}
}

// retryAfter returns the RetryAfter of a refusal if there will be room after a span.
func retryAfter(wait clock.Millis) clock.Millis {
	wait = max(minRetryAfter, wait)
	return wait + clock.Millis(retryAfterJitter*rand.Float64()*float64(wait))
}

// retryAfterUnavailable returns the RetryAfter of a refusal because no keeper
// responded: the time until a new keeper has settled, or until the lease of an
// unresponsive one has expired.
func (ch *Charger) retryAfterUnavailable() clock.Millis {
	ch.ensureShards()
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return retryAfter(ch.unavailableFor(ch.now()))
}

// unavailableFor returns the time until a keeper is expected to respond, after none did. The
// lock must be held.
func (ch *Charger) unavailableFor(now clock.Millis) clock.Millis {
	left := clock.Millis(0)
	for _, sh := range ch.shards {
		if vm := sh.account.Holder(now); vm != "" && now >= sh.unresponsiveUntil[vm] {
			left = max(left, quota.SettleTime)
		} else {
			left = max(left, sh.account.LeaseLeft(now)+leaseCheckInterval)
		}
	}
	return left
}

// ensureShards creates the shards at the first call.
func (ch *Charger) ensureShards() {
	ch.once.Do(func() {
		st := ch.Settings.PerShard()
		for ix := range ch.shards {
			ch.shards[ix] = &shard{index: ix, keeper: quota.Keeper{ID: ch.ID, Settings: st},
				account: quota.Account{Shard: ix, Settings: st}, unresponsiveUntil: make(map[string]clock.Millis),
				denials: make(map[string]denial), permitDenials: make(map[string]denial), requestingCredit: make(map[string]bool),
				bookedUp: make(map[string]bookedUp)}
		}
	})
}

// GiveBack returns the tokens of a request that did not run.
func (ch *Charger) GiveBack(or Order) {
	ch.ensureShards()
	for _, sh := range ch.shards {
		ch.giveBack(sh, or.Customer, or.Limit.PerShard(), or.Tokens/quota.Shards)
	}
}

// Run renews this VM's leases until the context ends.
func (ch *Charger) Run(ctx context.Context) {
	ch.ensureShards()
	evictedAt := ch.now()
	for clock.Sleep(ctx, leaseCheckInterval) {
		if ch.Limited() {
			ch.renewAll(ctx)
		}
		if now := ch.now(); now-evictedAt >= evictInterval {
			evictedAt = now
			ch.evict()
		}
	}
}

// evict drops the state of customers that no longer have a limit.
func (ch *Charger) evict() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	limited := func(customer string) bool {
		lim, ok := ch.Limit(customer)
		return ok && lim.Limited()
	}
	for _, sh := range ch.shards {
		sh.evict(ch.now(), limited)
	}
}

func (ch *Charger) now() clock.Millis { return clock.OrBoottime(ch.Clock).Now() }

// record counts a request. It logs when a customer's quota is used up, and when it
// has been free again for a while.
func (ch *Charger) record(or Order, tr attempt) {
	if tr.granted {
		ch.countOutcome("Granted")
	} else {
		ch.countOutcome("Exceeded")
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	last, reached := ch.exhausted[or.Customer]
	switch {
	case tr.granted && (!reached || now-last < freeAfter):
		return
	case tr.granted:
		delete(ch.exhausted, or.Customer)
		ch.Log.Log(event.QuotaFree, event.F("Customer", or.Customer), event.F("Keepers", ch.holders()))
		return
	case ch.exhausted == nil:
		ch.exhausted = make(map[string]clock.Millis)
	}
	ch.exhausted[or.Customer] = now
	if !reached {
		ch.Log.Log(event.QuotaReached, event.F("Customer", or.Customer), event.F("Tokens", or.Tokens), event.F("Rate", or.Limit.Rate),
			event.F("Burst", or.Limit.Burst), event.F("Wait", tr.wait.String()), event.F("Keepers", ch.holders()))
	}
}

// countOutcome counts a request by its outcome.
func (ch *Charger) countOutcome(outcome string) {
	if ch.Scope != nil {
		ch.Scope.Tagged(map[string]string{"Outcome": outcome}).Counter("Charges").Inc(1)
	}
}
