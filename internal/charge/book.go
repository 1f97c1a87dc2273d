package charge

import (
	"context"
	"math/rand/v2"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// maxBookedUpTTL bounds how long a keeper's response that it has no time left is reused.
// Otherwise a customer far beyond its limit would make the keeper respond to each of its
// refused requests.
const maxBookedUpTTL = 250 * clock.Millis(1)

// bookedUp is a keeper's response that it has no time left that a caller honours.
type bookedUp struct {
	tokens float64      // of the request
	within clock.Millis // that its caller honours
	until  clock.Millis // when the response is no longer reused
	freeAt clock.Millis // earliest time that is left
}

// returnAfter returns the RetryAfter of a request that is refused for lack of tokens: the
// time that a keeper books for its caller, which is the only one to get it, or the time of
// the denial. Nothing is booked for callers that return: they retry once.
func (ch *Charger) returnAfter(ctx context.Context, or Order, tr attempt) clock.Millis {
	if or.Returning || or.Limit.Short(or.Tokens) || ctx.Err() != nil {
		return retryAfter(tr.returnAfter)
	}
	sh, vm, left := ch.bookingShard(or)
	if sh == nil {
		return retryAfter(max(tr.returnAfter, left))
	}
	vms := ch.Peers.VMs()
	ch.mu.Lock()
	req := sh.account.BookingRequest(ch.now(), vms, vm, or.Customer, rand.Uint64()|1, or.Tokens, or.ReturnWithin)
	ch.mu.Unlock()
	rsp, err := ch.exchange(ctx, sh, vm, vms, req, or.Limit.PerShard())
	switch {
	case err != nil || !rsp.Known:
		return retryAfter(tr.returnAfter)
	case rsp.Booked:
		return max(minRetryAfter, rsp.ReturnAfter)
	case rsp.ReturnAfter <= or.returnWithin():
		return retryAfter(tr.returnAfter) // a keeper of an earlier build, which booked at its denial
	default:
		ch.cacheBookedUp(sh, or, rsp)
		return retryAfter(max(tr.returnAfter, rsp.ReturnAfter))
	}
}

// returnWithin returns the longest time that the order's caller honours.
func (or Order) returnWithin() clock.Millis {
	if or.ReturnWithin > 0 {
		return or.ReturnWithin
	}
	return quota.DefaultReturnWithin
}

// bookingShard returns a shard to book a return at, and its keeper. If there is none, it
// returns the time after which the first of them has a time left, or zero if no keeper
// responds.
func (ch *Charger) bookingShard(or Order) (sh *shard, vm string, left clock.Millis) {
	keepers := ch.Peers.Keepers()
	first := rand.IntN(len(ch.shards))
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := ch.now()
	for ix := range ch.shards {
		sh := ch.shards[(first+ix)%len(ch.shards)]
		vm := sh.keeperFor(now, keepers[sh.index])
		if vm == "" || now < sh.unresponsiveUntil[vm] {
			continue
		}
		bu := sh.bookedUp[or.Customer]
		if now >= bu.until || or.Tokens < bu.tokens || or.returnWithin() > bu.within {
			return sh, vm, 0
		}
		if left == 0 || bu.freeAt-now < left {
			left = bu.freeAt - now
		}
	}
	return nil, "", left
}

// cacheBookedUp stores a keeper's response that it has no time left until there may be one.
func (ch *Charger) cacheBookedUp(sh *shard, or Order, rsp quota.Response) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now, within := ch.now(), or.returnWithin()
	sh.bookedUp[or.Customer] = bookedUp{tokens: or.Tokens, within: within, until: now + min(rsp.ReturnAfter-within, maxBookedUpTTL),
		freeAt: now + rsp.ReturnAfter}
}
