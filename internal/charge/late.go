package charge

import (
	"context"
	"fmt"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// lateGrantTimeout is how long the response to a request for tokens or a permit is awaited,
// although the caller stops waiting for it after requestTimeout. On a busy machine responses
// come up to 1.5 s late.
const lateGrantTimeout = 1700 * clock.Millis(1)

// askForGrant sends a request for tokens or a permit to another VM and waits for the response
// as long as for any other. What is granted later is returned, because no call uses it. Without
// that, a server on a busy machine got 35 of its 45 permits.
func (ch *Charger) askForGrant(ctx context.Context, sh *shard, vm string, vms int, req quota.Request, lim quota.Limit) (quota.Response, error) {
	type result struct {
		rsp quota.Response
		err error
	}
	within, stop := context.WithTimeout(ctx, requestTimeout.Std())
	defer stop()
	askedAt := ch.now()
	results := make(chan result) // unbuffered, so that either this call or the goroutine has the response
	go func() {
		late, end := context.WithTimeout(context.WithoutCancel(ctx), lateGrantTimeout.Std())
		defer end()
		rsp, err := ch.Peers.AskQuota(late, vm, req)
		select {
		case results <- result{rsp, err}:
		case <-within.Done():
			switch {
			case err != nil || !rsp.Granted:
			case req.Server != "" && ch.now()-askedAt >= permitTerm:
				ch.countPermit("Expired") // this VM did not run in the meantime
			default:
				ch.returnLateGrant(sh, vms, req, lim, rsp)
			}
		}
	}()
	select {
	case re := <-results:
		return re.rsp, re.err
	case <-within.Done():
		return quota.Response{}, fmt.Errorf("wait for the grant: %w", within.Err())
	}
}

// returnLateGrant returns what a late response grants for a request. Its credit is kept, as
// far as this VM may hold it.
func (ch *Charger) returnLateGrant(sh *shard, vms int, req quota.Request, lim quota.Limit, rsp quota.Response) {
	switch {
	case req.Server != "":
		ch.countPermit("Late")
	case req.Need > 0:
		ch.countOutcome("Late")
	}
	tokens := req.Need
	if rsp.Credit > 0 {
		ch.mu.Lock()
		tokens += sh.account.AddCredit(ch.now(), vms, req.Customer, lim, rsp.Credit)
		ch.mu.Unlock()
	}
	if tokens > 0 {
		ch.returnTo(sh, rsp.KeeperID, req, tokens)
	}
}

// returnTo returns tokens, or a permit, to the keeper process that granted them in response
// to a request.
func (ch *Charger) returnTo(sh *shard, process uint64, granted quota.Request, tokens float64) {
	ch.sendReturn(sh, func(now clock.Millis, vms int) (quota.Request, bool) {
		req, ok := sh.account.ReturnTo(now, vms, process, granted, tokens)
		switch {
		case !ok:
		case granted.Server != "":
			delete(sh.permitDenials, granted.Server)
		default:
			delete(sh.denials, granted.Customer)
		}
		return req, ok
	})
}

// sendReturn sends the request that create returns, if any, to the holder of the lease on a
// shard. Keepers ignore a return that is older than one that they accepted, so returns are
// sent in the order in which they are numbered.
func (ch *Charger) sendReturn(sh *shard, create func(now clock.Millis, vms int) (req quota.Request, send bool)) {
	vms := ch.Peers.VMs()
	sh.returning.Lock()
	defer sh.returning.Unlock()
	ch.mu.Lock()
	now := ch.now()
	req, send := create(now, vms)
	vm := sh.account.Holder(now)
	ch.mu.Unlock()
	if send {
		ch.tell(vm, req)
	}
}
