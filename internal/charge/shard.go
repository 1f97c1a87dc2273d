package charge

import (
	"context"
	"sync"

	"alderdyke/internal/event"
	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

const (
	// askTimeout bounds one request to a keeper.
	askTimeout = 40 * clock.Millis(1)
	// unresponsiveFor is how long a keeper that did not answer is not asked again.
	unresponsiveFor = 200 * clock.Millis(1)
	// deniedFor bounds how long a keeper's word that there is no room stands
	// without asking again: a customer far beyond its limit would make it answer
	// each of its requests.
	deniedFor = 60 * clock.Millis(1)
)

type (
	// shard is what this VM has of one shard of the limits. The Charger's lock guards
	// it.
	shard struct {
		index   int
		keeper  quota.Keeper
		account quota.Account
		silent  map[string]clock.Millis // keepers that did not answer, until when they are not asked
		denied  map[string]denial       // by customer
		asking  map[string]bool         // customers for whom credit is being asked
		holder  string                  // VM that held the lease when that was looked at last
	}

	// denial is a keeper's word that there is no room.
	denial struct {
		tokens float64 // that were asked for
		until  clock.Millis
		room   clock.Millis // when there will be
	}
)

// askedAt is the VM to ask: the one that holds the lease on this VM's part, or else the
// shard's keeper as this VM sees the fleet.
func (sh *shard) askedAt(now clock.Millis, keeper string) string {
	if vm := sh.account.Holder(now); vm != "" {
		return vm
	}
	return keeper
}

// deniedAlready tells whether the keeper said just now that there is no room for so
// many tokens, and how long there will be none.
func (sh *shard) deniedAlready(now clock.Millis, customer string, tokens float64) (wait clock.Millis, denied bool) {
	de := sh.denied[customer]
	if now >= de.until || tokens < de.tokens {
		return 0, false
	}
	return de.room - now, true
}

// needsCredit tells whether credit is to be asked for now.
func (sh *shard) needsCredit(now clock.Millis, vms int, vm string, or Order) bool {
	return vm != "" && !sh.asking[or.Customer] && now >= sh.silent[vm] && now >= sh.denied[or.Customer].until &&
		sh.account.Low(vms, or.Customer, or.Limit.Shard(), or.Tokens/quota.Shards)
}

// forget drops what is kept of customers that are not wanted any more.
func (sh *shard) forget(wanted func(customer string) bool) {
	sh.keeper.Forget(wanted)
	sh.account.Forget(wanted)
	for customer := range sh.denied {
		if !wanted(customer) {
			delete(sh.denied, customer)
		}
	}
}

// ask asks a shard's keeper for tokens. The second result tells whether the keeper
// answered and knows what there is.
func (ch *Charger) ask(ctx context.Context, sh *shard, vm string, vms int, or Order) (quota.Answer, bool) {
	lim := or.Limit.Shard()
	ch.mu.Lock()
	ask := sh.account.Ask(ch.now(), vms, vm, or.Customer, lim, or.Tokens)
	ch.mu.Unlock()
	ans, err := ch.exchange(ctx, sh, vm, vms, ask, lim)
	return ans, err == nil && ans.Known
}

// askCredit asks for credit alone.
func (ch *Charger) askCredit(sh *shard, vm string, vms int, or Order) {
	_, _ = ch.ask(context.Background(), sh, vm, vms, or.withTokens(0)) // a request that finds none asks for itself
	ch.mu.Lock()
	defer ch.mu.Unlock()
	delete(sh.asking, or.Customer)
}

// exchange asks a keeper, which may be this VM, and takes its answer.
func (ch *Charger) exchange(ctx context.Context, sh *shard, vm string, vms int, ask quota.Ask, lim quota.Limit) (quota.Answer, error) {
	asked := ch.now()
	var ans quota.Answer
	var err error
	if vm == ch.Self {
		ans = ch.Answer(vm, 0, ask)
	} else {
		within, stop := context.WithTimeout(ctx, askTimeout.Std())
		ans, err = ch.Peers.AskQuota(within, vm, ask)
		stop()
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	if err != nil {
		if ctx.Err() == nil {
			ch.noteSilent(now, sh, vm, err)
		}
		return ans, err
	}
	sh.account.Answered(now, asked, vms, vm, ask, lim, ans)
	ch.noteHolder(now, sh)
	return ans, nil
}

// Answer answers another VM as the keeper of a shard.
func (ch *Charger) Answer(vm string, life uint64, ask quota.Ask) quota.Answer {
	ch.ready()
	var lim *quota.Limit
	if ask.Customer != "" {
		if known, ok := ch.Limit(ask.Customer); ok {
			part := known.Shard()
			lim = &part
		}
	}
	vms := ch.Peers.VMs()
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.shards[ask.Shard].keeper.Answer(ch.now(), vms, vm, life, ask, lim)
}

// giveBack gives back tokens of a shard that were not used.
func (ch *Charger) giveBack(sh *shard, customer string, lim quota.Limit, tokens float64) {
	vms := ch.Peers.VMs()
	ch.mu.Lock()
	now := ch.now()
	ask, tell := sh.account.GiveBack(now, vms, customer, lim, tokens)
	vm := sh.account.Holder(now)
	ch.mu.Unlock()
	switch {
	case !tell:
	case vm == ch.Self:
		ch.Answer(vm, 0, ask)
	default:
		ch.Peers.TellQuota(vm, ask)
	}
}

// renewAll renews the leases on all shards, each by itself: a keeper that does not
// answer holds up no other.
func (ch *Charger) renewAll(ctx context.Context) {
	keepers := ch.Peers.Keepers()
	var renewals sync.WaitGroup
	for ix, sh := range ch.shards {
		renewals.Go(func() { ch.renew(ctx, sh, keepers[ix]) })
	}
	renewals.Wait()
}

// renew renews the lease on a shard, or begins one. A lease that is held by another VM
// than the one that should keep the shard ends.
func (ch *Charger) renew(ctx context.Context, sh *shard, vm string) {
	vms := ch.Peers.VMs()
	if ask, holder, ends := ch.release(sh, vm, vms); ends {
		_, _ = ch.exchange(ctx, sh, holder, vms, ask, quota.Limit{}) // or it runs out
	}
	for range 2 { // a lease that begins is told at once
		ask, due := ch.renewal(sh, vm, vms)
		if !due {
			return
		}
		if _, err := ch.exchange(ctx, sh, vm, vms, ask, quota.Limit{}); err != nil {
			return // it is noted, and tried again
		}
	}
}

// renewal is the word by which a lease is renewed or begun, if it is time.
func (ch *Charger) renewal(sh *shard, vm string, vms int) (ask quota.Ask, due bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	ch.noteHolder(now, sh)
	holder := sh.account.Holder(now)
	if vm == "" || holder != "" && holder != vm || now < sh.silent[vm] || !sh.account.Due(now, vm) {
		return ask, false
	}
	return sh.account.Word(now, vms, vm), true
}

// release ends the lease of a VM that should not hold it.
func (ch *Charger) release(sh *shard, vm string, vms int) (ask quota.Ask, holder string, ends bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	holder = sh.account.Holder(now)
	if vm == "" || holder == "" || holder == vm {
		return ask, "", false
	}
	return sh.account.Release(now, vms), holder, now >= sh.silent[holder]
}

// noteDenied has a keeper's word that there is no room stand for a while.
func (ch *Charger) noteDenied(sh *shard, or Order, wait clock.Millis) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	sh.denied[or.Customer] = denial{tokens: or.Tokens, until: now + min(wait, deniedFor), room: now + wait}
}

// noteSilent has a keeper that did not answer not asked for a while. The lock is held.
func (ch *Charger) noteSilent(now clock.Millis, sh *shard, vm string, err error) {
	sh.silent[vm] = now + unresponsiveFor
	ch.Log.Log(event.QuotaSilent, event.F("Other", vm), event.F("Shard", sh.index),
		event.F("LeaseLeft", sh.account.LeaseLeft(now).String()), event.F("Error", err.Error()))
}

// noteHolder tells that another VM keeps a shard of the quotas for this one. The lock
// is held.
func (ch *Charger) noteHolder(now clock.Millis, sh *shard) {
	if vm := sh.account.Holder(now); vm != sh.holder {
		ch.Log.Log(event.QuotaKeeperChanged, event.F("Other", vm), event.F("Shard", sh.index), event.F("Before", sh.holder))
		sh.holder = vm
	}
}

// holders is the VMs that keep the shards for this VM. The lock is held.
func (ch *Charger) holders() []string {
	var vms []string
	for _, sh := range ch.shards {
		vms = append(vms, sh.holder)
	}
	return vms
}
