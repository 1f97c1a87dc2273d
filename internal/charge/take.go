package charge

import (
	"context"
	"sync"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// reply is what one shard says to a request. It may be asked, unless it has denied the
// request or has no keeper to ask.
type reply struct {
	sh          *shard
	vm          string // its keeper
	granted     bool
	denied      bool
	unavailable bool         // it has no keeper that answers
	wait        clock.Millis // until there is room, if it denied
}

// attempt takes the tokens from what is here, or asks the keepers for them once.
func (ch *Charger) attempt(ctx context.Context, or Order) attempt {
	ch.ensureShards()
	vms, keepers := ch.Peers.VMs(), ch.Peers.Keepers()
	if ch.takeCredit(vms, keepers, or) {
		return attempt{granted: true, answered: true}
	}
	replies := ch.localReplies(keepers, or)
	open := askable(replies)
	part := or.withTokens(or.Tokens / float64(max(1, len(open))))
	ch.requestEach(ctx, open, vms, part)
	if ch.completeGrants(ctx, open, vms, part) || ch.takeLocal(replies, vms, or) {
		return attempt{granted: true, answered: true}
	}
	tr := attempt{answered: true}
	for _, re := range replies {
		tr.answered = tr.answered && !re.unavailable
		tr.wait = max(tr.wait, re.wait)
	}
	return tr
}

// localReplies is what the shards' replies to a request are without asking: those of which a
// denial stands, or whose keeper is silent, are not asked. The others share the tokens,
// which a shard may have denied that has room for its equal part.
func (ch *Charger) localReplies(keepers [quota.Shards]string, or Order) []*reply {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	replies := make([]*reply, len(ch.shards))
	for ix, sh := range ch.shards {
		vm := sh.keeperFor(now, keepers[ix])
		replies[ix] = &reply{sh: sh, vm: vm, unavailable: vm == "" || now < sh.unresponsiveUntil[vm]}
	}
	for open := askable(replies); len(open) > 0; open = askable(replies) {
		part := or.Tokens / float64(len(open))
		for _, re := range open {
			re.wait, re.denied = re.sh.cachedDenial(now, or.Customer, part)
		}
		if len(askable(replies)) == len(open) {
			break
		}
	}
	return replies
}

// askable is the replies of shards that may be asked.
func askable(replies []*reply) []*reply {
	var open []*reply
	for _, re := range replies {
		if !re.unavailable && !re.denied {
			open = append(open, re)
		}
	}
	return open
}

// requestEach asks the shards for a part each, at the same time.
func (ch *Charger) requestEach(ctx context.Context, open []*reply, vms int, part Order) {
	var asks sync.WaitGroup
	for _, re := range open {
		asks.Go(func() {
			ans, known := ch.requestTokens(ctx, re.sh, re.vm, vms, part)
			re.granted, re.denied, re.unavailable = known && ans.Granted, known && !ans.Granted, !known
			if re.denied {
				re.wait = ans.Wait
				ch.cacheDenial(re.sh, part, ans.Wait)
			}
		})
	}
	asks.Wait()
}

// completeGrants tells whether the shards that were asked for a part each granted all. Where
// some granted theirs, the first of those is asked for what the others did not, and all
// of it is given back if that is not there either.
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
	ans, known := ch.requestTokens(ctx, granted[0].sh, granted[0].vm, vms, part.withTokens(part.Tokens*float64(missing)))
	if known && ans.Granted {
		return true
	}
	for _, re := range granted {
		ch.giveBack(re.sh, part.Customer, part.Limit.PerShard(), part.Tokens)
	}
	return false
}

// takeCredit takes the tokens from the credit that this VM holds, and asks for more
// where that is low.
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

// takeLocal takes the tokens from this VM's own part of the shards whose keepers do not
// answer. The part's size is not known before the fleet's is.
func (ch *Charger) takeLocal(replies []*reply, vms int, or Order) bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now, lim := ch.now(), or.Limit.PerShard()
	var away []*shard
	for _, re := range replies {
		if re.unavailable {
			away = append(away, re.sh)
		}
	}
	return vms > 0 && len(away) > 0 && takeFrom(away, or.Tokens, func(sh *shard) float64 {
		return sh.account.LocalTokens(now, vms, or.Customer, lim)
	}, func(sh *shard, tokens float64) {
		sh.account.TakeLocal(now, vms, or.Customer, lim, tokens)
	})
}

// takeFrom takes tokens from shards that together have them, equal parts where each
// has its own. The lock is held.
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
