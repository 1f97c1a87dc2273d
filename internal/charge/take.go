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
	sh      *shard
	vm      string // its keeper
	granted bool
	denied  bool
	away    bool         // it has no keeper that answers
	wait    clock.Millis // until there is room, if it denied
}

// try takes the tokens from what is here, or asks the keepers for them once.
func (ch *Charger) try(ctx context.Context, or Order) try {
	ch.ready()
	vms, keepers := ch.Peers.VMs(), ch.Peers.Keepers()
	if ch.takeCredit(vms, keepers, or) {
		return try{granted: true, answered: true}
	}
	replies := ch.known(keepers, or)
	open := askable(replies)
	part := or.withTokens(or.Tokens / float64(max(1, len(open))))
	ch.askEach(ctx, open, vms, part)
	if ch.complete(ctx, open, vms, part) || ch.takeAlone(replies, vms, or) {
		return try{granted: true, answered: true}
	}
	tr := try{answered: true}
	for _, re := range replies {
		tr.answered = tr.answered && !re.away
		tr.wait = max(tr.wait, re.wait)
	}
	return tr
}

// known is what the shards' replies to a request are without asking: those of which a
// denial stands, or whose keeper is silent, are not asked. The others share the tokens,
// which a shard may have denied that has room for its equal part.
func (ch *Charger) known(keepers [quota.Shards]string, or Order) []*reply {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	replies := make([]*reply, len(ch.shards))
	for ix, sh := range ch.shards {
		vm := sh.askedAt(now, keepers[ix])
		replies[ix] = &reply{sh: sh, vm: vm, away: vm == "" || now < sh.silent[vm]}
	}
	for open := askable(replies); len(open) > 0; open = askable(replies) {
		part := or.Tokens / float64(len(open))
		for _, re := range open {
			re.wait, re.denied = re.sh.deniedAlready(now, or.Customer, part)
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
		if !re.away && !re.denied {
			open = append(open, re)
		}
	}
	return open
}

// askEach asks the shards for a part each, at the same time.
func (ch *Charger) askEach(ctx context.Context, open []*reply, vms int, part Order) {
	var asks sync.WaitGroup
	for _, re := range open {
		asks.Go(func() {
			ans, known := ch.ask(ctx, re.sh, re.vm, vms, part)
			re.granted, re.denied, re.away = known && ans.Granted, known && !ans.Granted, !known
			if re.denied {
				re.wait = ans.Wait
				ch.noteDenied(re.sh, part, ans.Wait)
			}
		})
	}
	asks.Wait()
}

// complete tells whether the shards that were asked for a part each granted all. Where
// some granted theirs, the first of those is asked for what the others did not, and all
// of it is given back if that is not there either.
func (ch *Charger) complete(ctx context.Context, asked []*reply, vms int, part Order) bool {
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
	ans, known := ch.ask(ctx, granted[0].sh, granted[0].vm, vms, part.withTokens(part.Tokens*float64(missing)))
	if known && ans.Granted {
		return true
	}
	for _, re := range granted {
		ch.giveBack(re.sh, part.Customer, part.Limit.Shard(), part.Tokens)
	}
	return false
}

// takeCredit takes the tokens from the credit that this VM holds, and asks for more
// where that is low.
func (ch *Charger) takeCredit(vms int, keepers [quota.Shards]string, or Order) bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now, lim := ch.now(), or.Limit.Shard()
	taken := takeFrom(ch.shards[:], or.Tokens, func(sh *shard) float64 {
		return sh.account.Credit(now, vms, or.Customer, lim)
	}, func(sh *shard, tokens float64) {
		sh.account.Take(now, vms, or.Customer, lim, tokens)
	})
	if !taken {
		return false
	}
	for ix, sh := range ch.shards {
		if vm := sh.askedAt(now, keepers[ix]); sh.needsCredit(now, vms, vm, or) {
			sh.asking[or.Customer] = true
			go ch.askCredit(sh, vm, vms, or)
		}
	}
	return true
}

// takeAlone takes the tokens from this VM's own part of the shards whose keepers do not
// answer. The part's size is not known before the fleet's is.
func (ch *Charger) takeAlone(replies []*reply, vms int, or Order) bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now, lim := ch.now(), or.Limit.Shard()
	var away []*shard
	for _, re := range replies {
		if re.away {
			away = append(away, re.sh)
		}
	}
	return vms > 0 && len(away) > 0 && takeFrom(away, or.Tokens, func(sh *shard) float64 {
		return sh.account.Alone(now, vms, or.Customer, lim)
	}, func(sh *shard, tokens float64) {
		sh.account.TakeAlone(now, vms, or.Customer, lim, tokens)
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
