// Package charge has requests charged to their customers' quotas, before they go to
// a backend server.
//
// One VM keeps the quotas for all; each VM asks it, for a generation when it comes,
// and for plain requests ahead of need. Package quota decides; this one asks, waits
// for answers, renews leases, and tells what callers hear: that the quota is used up,
// and when there will be room, or that the quota can't be asked for now.
//
// # Usage
//
//	ch := &charge.Charger{Self: "vm-7", Keeper: quota.Keeper{ID: id, Settings: st}, Account: quota.Account{Settings: st},
//		Peers: peers, Limit: limit, Log: lg}
//	go ch.Run(ctx)
//	err := ch.Charge(ctx, charge.Order{Customer: "c", Limit: lim, Tokens: 7000, Patience: 180})
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
	// askWithin bounds one ask of the keeper, as that of a scheduler: it answers
	// in two crossings between failure domains, 3 ms, and in 15 ms where it is
	// five times slower.
	askWithin = 40 * clock.Millis(1)
	// silentFor is how long a keeper that did not answer is not asked again.
	silentFor = 200 * clock.Millis(1)
	// awaitKeeper is the pause of a request for which no keeper answered, before
	// it asks again.
	awaitKeeper = 30 * clock.Millis(1)
	// deniedFor bounds how long a keeper's word that there is no room stands
	// without asking again: a customer far beyond its limit would make it answer
	// each of its requests.
	deniedFor = 60 * clock.Millis(1)
	// leastBack is the least time after which a caller beyond its quota is told
	// to come back: it takes a new connection.
	leastBack = 50 * clock.Millis(1)
	// spreadBack of the time is added by chance, so that those who were turned
	// away together don't come back together.
	spreadBack = 0.25
	// lookEvery is how often leases are looked at: a few times while one lasts.
	lookEvery = 100 * clock.Millis(1)
	// freeAfter is how long none of a customer's requests is refused before its
	// quota counts as free again: at its limit some pass and some don't.
	freeAfter = 2 * clock.Second
	// forgetEvery is how often what is kept of customers and VMs that are gone
	// is dropped.
	forgetEvery = 10 * clock.Second
)

type (
	// Peers is the other VMs.
	Peers interface {
		// Keeper is the VM that keeps the quotas as this VM sees the fleet; empty:
		// it does not see the fleet yet.
		Keeper() string
		// VMs is how many VMs there are, also those that are dead for now; 0: it
		// is not known yet.
		VMs() int
		// AskQuota asks a VM.
		AskQuota(ctx context.Context, vm string, ask quota.Ask) (quota.Answer, error)
		// TellQuota tells it what needs no answer.
		TellQuota(vm string, ask quota.Ask)
	}

	// Order is what one request takes.
	Order struct {
		Customer string
		Limit    quota.Limit
		Tokens   float64
		Patience clock.Millis // that the request may wait where no keeper answers
	}

	// Charger charges the requests of one VM, and keeps the quotas for all where
	// this VM is the one that does. Set the exported fields before use.
	Charger struct {
		Self    string // this VM
		Keeper  quota.Keeper
		Account quota.Account
		Peers   Peers
		// Limit is a customer's limit by the configuration in force; false: it
		// has none, or there is no such customer.
		Limit func(customer string) (quota.Limit, bool)
		// Limited tells whether any customer has one; without, no leases are kept:
		// at 300 VMs the keeper would hear 500 words a second for nothing.
		Limited func() bool
		Clock   clock.Source
		Log     event.Logger
		Scope   tally.Scope

		mu      sync.Mutex              // guards all below, Keeper and Account
		silent  map[string]clock.Millis // keepers that did not answer, until when they are not asked
		denied  map[string]denial       // by customer
		asking  map[string]bool         // customers for whom credit is being asked
		holder  string                  // VM that held the lease when that was looked at last
		reached map[string]clock.Millis // customers whose quota is used up, and when it last was
	}

	// try is what became of one try to charge a request.
	try struct {
		granted  bool
		answered bool         // by the keeper, now or just before; else it is not asked or silent
		wait     clock.Millis // until there is room, if it answered that there is none
	}

	// denial is a keeper's word that there is no room.
	denial struct {
		tokens float64 // that were asked for
		until  clock.Millis
		room   clock.Millis // when there will be
	}
)

// Charge takes a request's tokens. The error is a refusal.Refusal.
func (ch *Charger) Charge(ctx context.Context, or Order) error {
	until := ch.now() + or.Patience
	for {
		tr := ch.try(ctx, or)
		switch {
		case tr.granted:
			ch.note(or, tr)
			return nil
		case tr.answered:
			ch.note(or, tr)
			return refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.ShareExceeded, RetryAfter: backAfter(tr.wait),
				Detail: "the customer's quota is used up"}
		case ctx.Err() != nil || ch.now()+awaitKeeper >= until:
			ch.count("Away")
			return refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QuotaAway, RetryAfter: ch.backLater(),
				Detail: "the VM that keeps the customers' quotas does not answer, or has just begun"}
		}
		clock.Sleep(ctx, awaitKeeper)
	}
}

// backAfter is when a caller is told to come back who finds room after a span.
func backAfter(wait clock.Millis) clock.Millis {
	wait = max(leastBack, wait)
	return wait + clock.Millis(spreadBack*rand.Float64()*float64(wait))
}

// backLater is when the quota can be asked for again: when a keeper that has begun
// has settled, or when the lease of one that is gone has run out.
func (ch *Charger) backLater() clock.Millis {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	if vm := ch.Account.Holder(now); vm != "" && now >= ch.silent[vm] {
		return backAfter(quota.Settle)
	}
	return backAfter(ch.Account.LeaseLeft(now) + lookEvery)
}

// try takes the tokens from what is here, or asks for them once.
func (ch *Charger) try(ctx context.Context, or Order) try {
	vms, vm := ch.Peers.VMs(), ch.keeper()
	if tr, decided := ch.tryHere(vms, vm, or); decided {
		return tr
	}
	ans, err := ch.ask(ctx, vm, vms, or)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	if err != nil || !ans.Known {
		return try{granted: ch.takeAlone(now, vms, or)}
	}
	if !ans.Granted {
		ch.noteDenied(now, or, ans.Wait)
	}
	return try{granted: ans.Granted, answered: true, wait: ans.Wait}
}

// tryHere decides by what is known here, if that is enough.
func (ch *Charger) tryHere(vms int, vm string, or Order) (tr try, decided bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	de := ch.denied[or.Customer]
	switch {
	case ch.Account.Take(now, vms, or.Customer, or.Limit, or.Tokens):
		if ch.mayAskCredit(now, vms, vm, or) {
			go ch.askCredit(vm, vms, or)
		}
		return try{granted: true, answered: true}, true
	case now < de.until && or.Tokens >= de.tokens:
		return try{answered: true, wait: de.room - now}, true
	case vm == "" || now < ch.silent[vm]:
		return try{granted: ch.takeAlone(now, vms, or)}, true
	default:
		return tr, false
	}
}

// noteDenied has a keeper's word that there is no room stand for a while. The lock is
// held.
func (ch *Charger) noteDenied(now clock.Millis, or Order, wait clock.Millis) {
	if ch.denied == nil {
		ch.denied = make(map[string]denial)
	}
	ch.denied[or.Customer] = denial{tokens: or.Tokens, until: now + min(wait, deniedFor), room: now + wait}
}

// takeAlone takes the tokens from this VM's own part, whose size is not known
// before the fleet's is. The lock is held.
func (ch *Charger) takeAlone(now clock.Millis, vms int, or Order) bool {
	return vms > 0 && ch.Account.TakeAlone(now, vms, or.Customer, or.Limit, or.Tokens)
}

// keeper is the VM to ask: the one that holds the lease on this VM's part, or else
// the one that keeps the quotas as this VM sees the fleet.
func (ch *Charger) keeper() string {
	ch.mu.Lock()
	vm := ch.Account.Holder(ch.now())
	ch.mu.Unlock()
	if vm != "" {
		return vm
	}
	return ch.Peers.Keeper()
}

// ask asks a keeper for a request's tokens.
func (ch *Charger) ask(ctx context.Context, vm string, vms int, or Order) (quota.Answer, error) {
	ch.mu.Lock()
	ask := ch.Account.Ask(ch.now(), vms, vm, or.Customer, or.Limit, or.Tokens)
	ch.mu.Unlock()
	return ch.exchange(ctx, vm, vms, ask, or.Limit)
}

// exchange asks a keeper, which may be this VM, and takes its answer.
func (ch *Charger) exchange(ctx context.Context, vm string, vms int, ask quota.Ask, lim quota.Limit) (quota.Answer, error) {
	asked := ch.now()
	var ans quota.Answer
	var err error
	if vm == ch.Self {
		ans = ch.Answer(vm, 0, ask)
	} else {
		within, stop := context.WithTimeout(ctx, askWithin.Std())
		ans, err = ch.Peers.AskQuota(within, vm, ask)
		stop()
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	if err != nil {
		if ctx.Err() == nil {
			ch.noteSilent(now, vm, err)
		}
		return ans, err
	}
	ch.Account.Answered(now, asked, vms, vm, ask, lim, ans)
	ch.noteHolder(now)
	return ans, nil
}

// Answer answers another VM as the keeper.
func (ch *Charger) Answer(vm string, life uint64, ask quota.Ask) quota.Answer {
	var lim *quota.Limit
	if ask.Customer != "" {
		if known, ok := ch.Limit(ask.Customer); ok {
			lim = &known
		}
	}
	vms := ch.Peers.VMs()
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.Keeper.Answer(ch.now(), vms, vm, life, ask, lim)
}

// mayAskCredit tells whether credit is to be asked for now. The lock is held.
func (ch *Charger) mayAskCredit(now clock.Millis, vms int, vm string, or Order) bool {
	if vm == "" || ch.asking[or.Customer] || now < ch.silent[vm] || now < ch.denied[or.Customer].until ||
		!ch.Account.Low(vms, or.Customer, or.Limit, or.Tokens) {
		return false
	}
	if ch.asking == nil {
		ch.asking = make(map[string]bool)
	}
	ch.asking[or.Customer] = true
	return true
}

// askCredit asks for credit alone.
func (ch *Charger) askCredit(vm string, vms int, or Order) {
	or.Tokens = 0
	_, _ = ch.ask(context.Background(), vm, vms, or) // a request that finds none asks for itself
	ch.mu.Lock()
	defer ch.mu.Unlock()
	delete(ch.asking, or.Customer)
}

// GiveBack gives back what was taken for a request that did not run.
func (ch *Charger) GiveBack(or Order) {
	vms := ch.Peers.VMs()
	ch.mu.Lock()
	now := ch.now()
	ask, tell := ch.Account.GiveBack(now, vms, or.Customer, or.Limit, or.Tokens)
	vm := ch.Account.Holder(now)
	ch.mu.Unlock()
	switch {
	case !tell:
	case vm == ch.Self:
		ch.Answer(vm, 0, ask)
	default:
		ch.Peers.TellQuota(vm, ask)
	}
}

// Run renews this VM's lease until the context ends.
func (ch *Charger) Run(ctx context.Context) {
	forgot := ch.now()
	for clock.Sleep(ctx, lookEvery) {
		if ch.Limited() {
			ch.renew(ctx)
		}
		if now := ch.now(); now-forgot >= forgetEvery {
			forgot = now
			ch.forget()
		}
	}
}

// renew renews the lease, or begins one. A lease that is held by another VM than the
// one that should keep the quotas ends.
func (ch *Charger) renew(ctx context.Context) {
	vm, vms := ch.Peers.Keeper(), ch.Peers.VMs()
	if ask, holder, ends := ch.release(vm, vms); ends {
		_, _ = ch.exchange(ctx, holder, vms, ask, quota.Limit{}) // or it runs out
	}
	for range 2 { // a lease that begins is told at once
		ask, due := ch.renewal(vm, vms)
		if !due {
			return
		}
		if _, err := ch.exchange(ctx, vm, vms, ask, quota.Limit{}); err != nil {
			return // it is noted, and tried again
		}
	}
}

// renewal is the word by which a lease is renewed or begun, if it is time.
func (ch *Charger) renewal(vm string, vms int) (ask quota.Ask, due bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	ch.noteHolder(now)
	holder := ch.Account.Holder(now)
	if vm == "" || holder != "" && holder != vm || now < ch.silent[vm] || !ch.Account.Due(now, vm) {
		return ask, false
	}
	return ch.Account.Word(now, vms, vm), true
}

// release ends the lease of a VM that should not hold it.
func (ch *Charger) release(vm string, vms int) (ask quota.Ask, holder string, ends bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	holder = ch.Account.Holder(now)
	if vm == "" || holder == "" || holder == vm {
		return ask, "", false
	}
	return ch.Account.Release(now, vms), holder, now >= ch.silent[holder]
}

// forget drops what is kept of customers that have no limit any more.
func (ch *Charger) forget() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	limited := func(customer string) bool {
		lim, ok := ch.Limit(customer)
		return ok && lim.Limited()
	}
	ch.Keeper.Forget(limited)
	ch.Account.Forget(limited)
	for customer := range ch.denied {
		if !limited(customer) {
			delete(ch.denied, customer)
		}
	}
}

func (ch *Charger) now() clock.Millis { return clock.Or(ch.Clock).Now() }

// noteSilent has a keeper that did not answer not asked for a while. The lock is
// held.
func (ch *Charger) noteSilent(now clock.Millis, vm string, err error) {
	if ch.silent == nil {
		ch.silent = make(map[string]clock.Millis)
	}
	ch.silent[vm] = now + silentFor
	ch.Log.Log(event.QuotaSilent, event.F("Other", vm), event.F("LeaseLeft", ch.Account.LeaseLeft(now).String()), event.F("Error", err.Error()))
}

// noteHolder tells that another VM keeps the quotas for this one. The lock is held.
func (ch *Charger) noteHolder(now clock.Millis) {
	if vm := ch.Account.Holder(now); vm != ch.holder {
		ch.Log.Log(event.QuotaKeeperChanged, event.F("Other", vm), event.F("Before", ch.holder))
		ch.holder = vm
	}
}

// note counts a request, and tells when a customer's quota is used up, and when it
// has been free again for a while.
func (ch *Charger) note(or Order, tr try) {
	if tr.granted {
		ch.count("Granted")
	} else {
		ch.count("Exceeded")
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	last, reached := ch.reached[or.Customer]
	switch {
	case tr.granted && (!reached || now-last < freeAfter):
		return
	case tr.granted:
		delete(ch.reached, or.Customer)
		ch.Log.Log(event.QuotaFree, event.F("Customer", or.Customer), event.F("Keeper", ch.holder))
		return
	case ch.reached == nil:
		ch.reached = make(map[string]clock.Millis)
	}
	ch.reached[or.Customer] = now
	if !reached {
		ch.Log.Log(event.QuotaReached, event.F("Customer", or.Customer), event.F("Tokens", or.Tokens), event.F("Rate", or.Limit.Rate),
			event.F("Burst", or.Limit.Burst), event.F("Wait", tr.wait.String()), event.F("Keeper", ch.holder))
	}
}

// count counts a request by what became of it.
func (ch *Charger) count(outcome string) {
	if ch.Scope != nil {
		ch.Scope.Tagged(map[string]string{"Outcome": outcome}).Counter("Charges").Inc(1)
	}
}
