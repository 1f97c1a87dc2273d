// Package charge has requests charged to their customers' quotas, before they go to
// a backend server.
//
// Two VMs keep the quotas for all, each a shard of every limit; each VM asks them, for
// a generation when it comes, and for plain requests ahead of need. Package quota
// decides; this one asks, waits for answers, renews leases, and tells what callers
// hear: that the quota is used up, and when there will be room, or that the quota
// can't be asked for now.
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
	// keeperRetryInterval is the pause of a request for which no keeper answered,
	// before it asks again.
	keeperRetryInterval = 30 * clock.Millis(1)
	// minRetryAfter is the least time after which a caller beyond its quota is told
	// to come back: it takes a new connection.
	minRetryAfter = 50 * clock.Millis(1)
	// retryAfterJitter is the part of the time that is added by chance, so that
	// callers who were refused together don't return together.
	retryAfterJitter = 0.25
	// leaseCheckInterval is how often leases are looked at.
	leaseCheckInterval = 100 * clock.Millis(1)
	// freeAfter is how long none of a customer's requests is refused before its
	// quota counts as free again: at its limit some pass and some don't.
	freeAfter = 2 * clock.Second
	// evictInterval is how often what is kept of customers and VMs that are gone
	// is dropped.
	evictInterval = 10 * clock.Second
)

type (
	// Peers is the other VMs.
	Peers interface {
		// Keepers is the VM that keeps each shard of the quotas as this VM sees the
		// fleet; empty: it does not see the fleet yet.
		Keepers() [quota.Shards]string
		// VMs is how many VMs there are, also those that are dead for now; 0: it
		// is not known yet.
		VMs() int
		// AskQuota asks a VM.
		AskQuota(ctx context.Context, vm string, ask quota.Request) (quota.Response, error)
		// TellQuota tells it what needs no answer.
		TellQuota(vm string, ask quota.Request)
	}

	// Order is what one request takes.
	Order struct {
		Customer string
		Limit    quota.Limit
		Tokens   float64
		MaxWait  clock.Millis // that the request may wait where no keeper answers
	}

	// Charger charges the requests of one VM, and keeps a shard of the quotas for all
	// where this VM is the one that does. Set the exported fields before use.
	Charger struct {
		Self     string // this VM
		ID       uint64 // of the process; not zero, and another one at each start
		Settings quota.Settings
		Peers    Peers
		// Limit is a customer's limit by the configuration in force; false: it
		// has none, or there is no such customer.
		Limit func(customer string) (quota.Limit, bool)
		// Limited tells whether any customer has one; without, no leases are kept:
		// at 300 VMs a keeper would hear 500 words a second for nothing.
		Limited func() bool
		Clock   clock.Source
		Log     event.Logger
		Scope   tally.Scope

		once      sync.Once  // makes the shards
		mu        sync.Mutex // guards all below
		shards    [quota.Shards]*shard
		exhausted map[string]clock.Millis // customers whose quota is used up, and when it last was
	}

	// attempt is what became of one attempt to charge a request.
	attempt struct {
		granted  bool
		answered bool         // by all keepers, now or just before; else one is not asked or silent
		wait     clock.Millis // until there is room, if they answered that there is none
	}
)

// withTokens is an order of so many tokens.
func (or Order) withTokens(tokens float64) Order {
	or.Tokens = tokens
	return or
}

// Charge takes a request's tokens. The error is a refusal.Refusal.
func (ch *Charger) Charge(ctx context.Context, or Order) error {
	until := ch.now() + or.MaxWait
	for {
		tr := ch.attempt(ctx, or)
		switch {
		case tr.granted:
			ch.record(or, tr)
			return nil
		case tr.answered:
			ch.record(or, tr)
			return refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.ShareExceeded, RetryAfter: retryAfter(tr.wait),
				Detail: "the customer's quota is used up"}
		case ctx.Err() != nil || ch.now()+keeperRetryInterval >= until:
			ch.countOutcome("Away")
			return refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QuotaAway, RetryAfter: ch.retryAfterUnavailable(),
				Detail: "the VM that keeps the customers' quotas does not answer, or has just begun"}
		}
		clock.Sleep(ctx, keeperRetryInterval)
	}
}

// retryAfter is when a caller is told to come back who finds room after a span.
func retryAfter(wait clock.Millis) clock.Millis {
	wait = max(minRetryAfter, wait)
	return wait + clock.Millis(retryAfterJitter*rand.Float64()*float64(wait))
}

// retryAfterUnavailable is when the quota can be asked for again: when a keeper that has begun
// has settled, or when the lease of one that is gone has run out.
func (ch *Charger) retryAfterUnavailable() clock.Millis {
	ch.ensureShards()
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now, left := ch.now(), clock.Millis(0)
	for _, sh := range ch.shards {
		if vm := sh.account.Holder(now); vm != "" && now >= sh.unresponsiveUntil[vm] {
			left = max(left, quota.SettleTime)
		} else {
			left = max(left, sh.account.LeaseLeft(now)+leaseCheckInterval)
		}
	}
	return retryAfter(left)
}

// ensureShards makes the shards.
func (ch *Charger) ensureShards() {
	ch.once.Do(func() {
		st := ch.Settings.PerShard()
		for ix := range ch.shards {
			ch.shards[ix] = &shard{index: ix, keeper: quota.Keeper{ID: ch.ID, Settings: st},
				account: quota.Account{Shard: ix, Settings: st}, unresponsiveUntil: make(map[string]clock.Millis),
				denials: make(map[string]denial), requestingCredit: make(map[string]bool)}
		}
	})
}

// GiveBack gives back what was taken for a request that did not run.
func (ch *Charger) GiveBack(or Order) {
	ch.ensureShards()
	for _, sh := range ch.shards {
		ch.giveBack(sh, or.Customer, or.Limit.PerShard(), or.Tokens/quota.Shards)
	}
}

// Run renews this VM's lease until the context ends.
func (ch *Charger) Run(ctx context.Context) {
	ch.ensureShards()
	forgot := ch.now()
	for clock.Sleep(ctx, leaseCheckInterval) {
		if ch.Limited() {
			ch.renewAll(ctx)
		}
		if now := ch.now(); now-forgot >= evictInterval {
			forgot = now
			ch.evict()
		}
	}
}

// evict drops what is kept of customers that have no limit any more.
func (ch *Charger) evict() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	limited := func(customer string) bool {
		lim, ok := ch.Limit(customer)
		return ok && lim.Limited()
	}
	for _, sh := range ch.shards {
		sh.evict(limited)
	}
}

func (ch *Charger) now() clock.Millis { return clock.OrBoottime(ch.Clock).Now() }

// record counts a request, and tells when a customer's quota is used up, and when it
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

// countOutcome counts a request by what became of it.
func (ch *Charger) countOutcome(outcome string) {
	if ch.Scope != nil {
		ch.Scope.Tagged(map[string]string{"Outcome": outcome}).Counter("Charges").Inc(1)
	}
}
