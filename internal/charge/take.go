package charge

import (
	"context"
	"sync"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// reply is the outcome of a request at one shard, as far as it is known.
type reply struct {
	sh          *shard
	vm          string // its keeper
	process     uint64 // of the keeper that granted a permit
	granted     bool
	denied      bool
	unavailable bool         // the shard has no responding keeper
	wait        clock.Millis // until there is room, if the keeper denied the request
	returnAfter clock.Millis // after which the caller is to return, if the keeper denied its tokens
}

// attempt takes the tokens held by this VM, or requests them once from the keepers.
func (ch *Charger) attempt(ctx context.Context, or Order) attempt {
	ch.ensureShards()
	vms, keepers := ch.Peers.VMs(), ch.Peers.Keepers()
	if ch.takeCredit(vms, keepers, or) {
		return attempt{granted: true, answered: true}
	}
	replies := ch.localReplies(keepers, or)
	open := eligible(replies)
	part := or.withTokens(or.Tokens / float64(max(1, len(open))))
	ch.requestEach(ctx, open, vms, part)
	if ch.completeGrants(ctx, open, vms, part) || ch.takeLocal(replies, vms, or) {
		return attempt{granted: true, answered: true}
	}
	tr := attempt{answered: true}
	for _, re := range replies {
		tr.answered = tr.answered && !re.unavailable
		tr.wait, tr.returnAfter = max(tr.wait, re.wait), max(tr.returnAfter, re.returnAfter)
	}
	return tr
}

// localReplies returns the replies that are known without a request to the keepers.
// Nothing is requested from shards with an unresponsive keeper or a cached denial, so
// the others must grant larger parts of the tokens. A shard with room for the smaller
// part may have denied the larger one, so the check is repeated with that part. Denials
// say nothing about a returning caller, for whom either shard may have left tokens.
func (ch *Charger) localReplies(keepers [quota.Shards]string, or Order) []*reply {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	replies := make([]*reply, len(ch.shards))
	for ix, sh := range ch.shards {
		vm := sh.keeperFor(now, keepers[ix])
		replies[ix] = &reply{sh: sh, vm: vm, unavailable: vm == "" || now < sh.unresponsiveUntil[vm]}
	}
	for open := eligible(replies); len(open) > 0 && !or.Returning; open = eligible(replies) {
		part := or.Tokens / float64(len(open))
		for _, re := range open {
			re.wait, re.returnAfter, re.denied = re.sh.cachedDenial(now, or.Customer, part)
		}
		if len(eligible(replies)) == len(open) {
			break
		}
	}
	return replies
}

// eligible returns the replies of the shards from which tokens may be requested:
// those that have a responding keeper and did not deny the request.
func eligible(replies []*reply) []*reply {
	var open []*reply
	for _, re := range replies {
		if !re.unavailable && !re.denied {
			open = append(open, re)
		}
	}
	return open
}

// requestEach requests a part of the tokens from each of the shards concurrently.
func (ch *Charger) requestEach(ctx context.Context, open []*reply, vms int, part Order) {
	var requests sync.WaitGroup
	for _, re := range open {
		requests.Go(func() {
			rsp, known := ch.requestTokens(ctx, re.sh, re.vm, vms, part)
			re.granted, re.denied, re.unavailable = known && rsp.Granted, known && !rsp.Granted, !known
			if re.denied {
				re.wait, re.returnAfter = rsp.Wait, max(rsp.Wait, rsp.ReturnAfter)
				ch.cacheDenial(re.sh, part, rsp)
			}
		})
	}
	requests.Wait()
}

// completeGrants reports whether the shards granted all of the tokens. If only some
// granted their parts, the missing tokens are requested from the first of these. If it
// does not grant them, all granted parts are given back.
func (ch *Charger) completeGrants(ctx context.Context, asked []*reply, vms int, part Order) bool {
	var granted []*reply
	for _, re := range asked {
		if re.granted {
			granted = append(granted, re)
		}
	}
	missing := len(asked) - len(granted)
	switch {
	case len(granted) == 0:
		return false
	case missing == 0:
		return true
	}
	rsp, known := ch.requestTokens(ctx, granted[0].sh, granted[0].vm, vms, part.withTokens(part.Tokens*float64(missing)))
	if known && rsp.Granted {
		return true
	}
	for _, re := range granted {
		ch.giveBack(re.sh, part.Customer, part.Limit.PerShard(), part.Tokens)
	}
	return false
}

// takeCredit takes the tokens from the credit that this VM holds, and requests more
// credit if it is low.
func (ch *Charger) takeCredit(vms int, keepers [quota.Shards]string, or Order) bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now, lim := ch.now(), or.Limit.PerShard()
	taken := takeFrom(ch.shards[:], or.Tokens, func(sh *shard) float64 {
		return sh.account.Credit(now, vms, or.Customer, lim)
	}, func(sh *shard, tokens float64) {
		sh.account.Take(now, vms, or.Customer, lim, tokens)
	})
	if !taken {
		return false
	}
	for ix, sh := range ch.shards {
		if vm := sh.keeperFor(now, keepers[ix]); sh.needsCredit(now, vms, vm, or) {
			sh.requestingCredit[or.Customer] = true
			go ch.requestCredit(sh, vm, vms, or)
		}
	}
	return true
}

// takeLocal takes the tokens from this VM's own part of the shards whose keepers are
// unavailable. The size of the part is unknown until the fleet's size is known.
func (ch *Charger) takeLocal(replies []*reply, vms int, or Order) bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now, lim := ch.now(), or.Limit.PerShard()
	var unavailable []*shard
	for _, re := range replies {
		if re.unavailable {
			unavailable = append(unavailable, re.sh)
		}
	}
	return vms > 0 && len(unavailable) > 0 && takeFrom(unavailable, or.Tokens, func(sh *shard) float64 {
		return sh.account.LocalTokens(now, vms, or.Customer, lim)
	}, func(sh *shard, tokens float64) {
		sh.account.TakeLocal(now, vms, or.Customer, lim, tokens)
	})
}

// takeFrom takes tokens from shards in equal parts. What a shard lacks of its part is
// taken from the others. It reports whether the shards together have enough tokens;
// otherwise nothing is taken. The lock must be held.
func takeFrom(shards []*shard, tokens float64, has func(*shard) float64, take func(*shard, float64)) bool {
	sum := 0.0
	for _, sh := range shards {
		sum += has(sh)
	}
	if sum < tokens {
		return false
	}
	for ix, sh := range shards {
		there := has(sh)
		sum -= there
		part := min(there, max(tokens/float64(len(shards)-ix), tokens-sum))
		take(sh, part)
		tokens -= part
	}
	return true
}
