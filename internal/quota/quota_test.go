package quota_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// quotaPair is a fleet of two VMs, one of which is the keeper.
type quotaPair struct {
	ke            *quota.Keeper
	otherAccount  *quota.Account // of the other VM
	keeperAccount *quota.Account // of the keeper's VM
	lim           quota.Limit
	keeperVM      string
}

const (
	vmA      = "a" // the keeper
	vmB      = "b"
	pairSize = 2
	// renewEvery is the interval at which these tests renew leases.
	renewEvery = 400 * clock.Millis(1)
)

var (
	// withoutSlack permits no slack, so that tests observe the limit itself.
	withoutSlack = quota.Settings{Window: 8 * clock.Second}
	pairLimit    = quota.Limit{Rate: 1000, Burst: 500}
)

// newPair returns a pair whose VMs hold no leases yet.
func newPair(st quota.Settings) *quotaPair {
	return &quotaPair{ke: &quota.Keeper{ID: 1, Settings: st}, otherAccount: &quota.Account{Settings: st}, keeperAccount: &quota.Account{Settings: st}, lim: pairLimit, keeperVM: vmA}
}

// renew has both VMs renew their leases.
func (pa *quotaPair) renew(now clock.Millis) {
	for vm, ac := range map[string]*quota.Account{vmA: pa.keeperAccount, vmB: pa.otherAccount} {
		req := ac.LeaseRequest(now, pairSize, pa.keeperVM)
		ac.ApplyResponse(now, now, pairSize, pa.keeperVM, req, pa.lim, pa.ke.Handle(now, pairSize, vm, 1, req, &pa.lim))
	}
}

// renewUntil renews the leases of both VMs regularly.
func (pa *quotaPair) renewUntil(from, to clock.Millis) {
	for now := from; now <= to; now += renewEvery {
		pa.renew(now)
	}
}

// requestTokens requests tokens from the keeper.
func (pa *quotaPair) requestTokens(now clock.Millis, tokens float64) quota.Response {
	req := pa.otherAccount.NewRequest(now, pairSize, pa.keeperVM, customer, pa.lim, tokens)
	rsp := pa.ke.Handle(now, pairSize, vmB, 1, req, &pa.lim)
	pa.otherAccount.ApplyResponse(now, now, pairSize, pa.keeperVM, req, pa.lim, rsp)
	return rsp
}

// A keeper that takes over does not know what was granted before, so it starts with
// empty buckets.
func TestKeeperStartsEmpty(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800) // the first leases count from 400
	assert.Assert(t, !pa.requestTokens(800, 401).Granted)
	assert.Assert(t, pa.requestTokens(800, 400).Granted)
	pa.renewUntil(1200, 4000)
	assert.Assert(t, pa.requestTokens(4000, 500).Granted)
	assert.Assert(t, !pa.requestTokens(4000, 1).Granted)
}

// The wait in a denial ends when the requested tokens have accrued.
func TestWaitIsUntilThereIsRoom(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	assert.Assert(t, pa.requestTokens(800, 400).Granted)
	rsp := pa.requestTokens(800, 300)
	assert.Equal(t, rsp.Wait, 300*clock.Millis(1))
	assert.Assert(t, !pa.requestTokens(1099, 300).Granted)
	assert.Assert(t, pa.requestTokens(1100, 300).Granted)
}

// A keeper that was paused or partitioned grants no more than its leases covered.
func TestKeeperResumesWithoutLeases(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.requestTokens(4000, 500).Granted)
	// The leases end at 5500, so no tokens accrue after that.
	req := quota.Request{Sequence: 100, Customer: customer, Need: 1}
	assert.Assert(t, !pa.ke.Handle(60*clock.Second, pairSize, vmB, 1, req, &pa.lim).Granted)
	// Tokens from before the keeper lost its leases may have been granted by others since.
	pa = newPair(withoutSlack)
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.requestTokens(4000, 1).Granted)
	pa.otherAccount, pa.keeperAccount = &quota.Account{Settings: withoutSlack}, &quota.Account{Settings: withoutSlack}
	for _, now := range []clock.Millis{60 * clock.Second, 60*clock.Second + 1} {
		pa.renew(now)
	}
	assert.Assert(t, !pa.ke.Handle(60*clock.Second+1, pairSize, vmB, 1, quota.Request{Sequence: 200, Customer: customer, Need: 2}, &pa.lim).Granted)
}

// The keeper counts a lease from the time of its own response, not from the arrival
// of the renewal, and the VM counts it from a later time. So the VM's part is never
// used by both at once.
func TestLeaseEndsAtTheKeeperFirst(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	late := pa.otherAccount.LeaseRequest(1000, pairSize, vmA) // echoes the keeper's time, 800
	assert.Equal(t, late.KeeperTime, 800*clock.Millis(1))
	pa.requestTokens(1000, 1)
	for now := 2 * clock.Second; now < 10*clock.Second; now += renewEvery {
		pa.ke.Handle(now, pairSize, vmB, 1, late, &pa.lim) // is delivered repeatedly
	}
	rsp := pa.ke.Handle(10*clock.Second, pairSize, vmB, 1, quota.Request{Sequence: 99, Customer: customer, Need: 1e6}, &pa.lim)
	assert.Equal(t, rsp.Wait, quota.LeaseDuration, "the keeper holds no leases: %v", rsp)
	assert.Equal(t, pa.otherAccount.LeaseLeft(1000), quota.LeaseDuration, "the VM counts from the keeper's last response")
}

// A VM lends its part to one keeper at a time.
func TestPartIsLentOnce(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	other := quota.Keeper{ID: 2, Settings: withoutSlack}
	renewAtOther := func(now clock.Millis) quota.Request {
		req := pa.otherAccount.LeaseRequest(now, pairSize, "c")
		pa.otherAccount.ApplyResponse(now, now, pairSize, "c", req, pa.lim, other.Handle(now, pairSize, vmB, 1, req, &pa.lim))
		return req
	}
	renewAtOther(900)
	assert.Equal(t, pa.otherAccount.Holder(1000), vmA)
	assert.Equal(t, renewAtOther(1000).KeeperID, uint64(0))
	renewAtOther(2400)
	assert.Equal(t, pa.otherAccount.Holder(2400), "c")
	assert.Equal(t, renewAtOther(2500).KeeperID, uint64(2))
	// Tokens of its own part accrue while no keeper holds a lease on it.
	assert.Assert(t, !pa.otherAccount.TakeLocal(2500, pairSize, customer, pa.lim, 100))
	assert.Assert(t, !pa.otherAccount.TakeLocal(2500+quota.LeaseDuration+199, pairSize, customer, pa.lim, 100))
	assert.Assert(t, pa.otherAccount.TakeLocal(2500+quota.LeaseDuration+200, pairSize, customer, pa.lim, 100))
}

// A released lease ends at once, and earlier requests that arrive late don't renew it.
func TestRelease(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	late := pa.otherAccount.LeaseRequest(850, pairSize, vmA)
	req := pa.otherAccount.ReleaseRequest(900, pairSize)
	assert.Equal(t, pa.otherAccount.LeaseRequest(900, pairSize, vmA).KeeperID, uint64(0), "a lease being released is not renewed")
	rsp := pa.ke.Handle(900, pairSize, vmB, 1, req, &pa.lim)
	assert.Equal(t, pa.otherAccount.Holder(900), vmA)
	pa.otherAccount.ApplyResponse(901, 900, pairSize, vmA, req, pa.lim, rsp)
	assert.Equal(t, pa.otherAccount.Holder(901), "")
	pa.keeperAccount.ReleaseRequest(900, pairSize)
	before := pa.ke.Handle(902, pairSize, vmA, 1, quota.Request{Sequence: 50, Release: true}, &pa.lim)
	assert.Assert(t, !before.Known)
	pa.ke.Handle(903, pairSize, vmB, 1, late, &pa.lim)
	rsp = pa.ke.Handle(903, pairSize, vmB, 1, quota.Request{Sequence: 99, Customer: customer, Need: 1e6}, &pa.lim)
	assert.Equal(t, rsp.Wait, quota.LeaseDuration, "the keeper holds no leases")
}

// Unused tokens are returned once, even if the request is delivered repeatedly.
func TestTokensAreReturnedOnce(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.requestTokens(4000, 400).Granted)
	req, send := pa.otherAccount.GiveBack(4000, pairSize, customer, pa.lim, 300)
	assert.Assert(t, send && req.Returned == 300)
	for range 3 {
		pa.ke.Handle(4000, pairSize, vmB, 1, req, &pa.lim)
	}
	assert.Assert(t, !pa.requestTokens(4000, 401).Granted)
	assert.Assert(t, pa.requestTokens(4000, 400).Granted)
	// A return never fills a bucket beyond its size.
	pa.renewUntil(4000, 8000)
	req, _ = pa.otherAccount.GiveBack(8000, pairSize, customer, pa.lim, 300)
	pa.ke.Handle(8000, pairSize, vmB, 1, req, &pa.lim)
	assert.Assert(t, pa.requestTokens(8000, 500).Granted)
	assert.Assert(t, !pa.requestTokens(8000, 1).Granted)
}

// Credit is deducted when it is granted, and can be used only for its customer.
func TestCredit(t *testing.T) {
	st := quota.Settings{Window: 8 * clock.Second, Slack: 4000}
	pa := newPair(st)
	pa.renewUntil(0, 4000)
	rsp := pa.requestTokens(4000, 100)
	assert.Assert(t, rsp.Granted)
	assert.Equal(t, rsp.Credit, 500.0-100-500/4, "a quarter of the burst is kept for present requests")
	assert.Assert(t, pa.otherAccount.Take(4000, pairSize, customer, pa.lim, 200))
	assert.Assert(t, !pa.otherAccount.Take(4000, pairSize, customer, pa.lim, 200))
	assert.Assert(t, !pa.otherAccount.Take(4000, pairSize, "another", pa.lim, 1))
	assert.Assert(t, pa.otherAccount.NeedsCredit(pairSize, customer, pa.lim, 100))
	// What the keeper has left, including its part of the slack below empty.
	left := 500 - 100 - rsp.Credit + 0.15*4000
	assert.Assert(t, !pa.requestTokens(4000, left+1).Granted)
	assert.Assert(t, pa.requestTokens(4000, left).Granted)
	// A smaller part of the slack caps the credit that was granted before.
	assert.Assert(t, !pa.otherAccount.Take(4000, 100*pairSize, customer, pa.lim, 50))
}

// A VM without a responding keeper may use a part of the slack, again in each window.
func TestTakeLocalWhileLent(t *testing.T) {
	st := quota.Settings{Window: 8 * clock.Second, Slack: 8000}
	pa := newPair(st)
	for now := clock.Millis(0); now <= 40*clock.Second; now += renewEvery {
		pa.renew(now)
	}
	most := 0.15 * 8000 / pairSize
	assert.Assert(t, !pa.otherAccount.TakeLocal(40000, pairSize, customer, pa.lim, most+1))
	assert.Assert(t, pa.otherAccount.TakeLocal(40000, pairSize, customer, pa.lim, most))
	assert.Assert(t, !pa.otherAccount.TakeLocal(40400, pairSize, customer, pa.lim, most/2))
	pa.renewUntil(40400, 48000)
	assert.Assert(t, !pa.otherAccount.TakeLocal(44000, pairSize, customer, pa.lim, 0.6*most))
	assert.Assert(t, pa.otherAccount.TakeLocal(48000, pairSize, customer, pa.lim, 0.9*most))
}

// A keeper without a limit for the customer responds that it knows none. Evicted
// customers start with empty buckets.
func TestUnknownLimitAndEviction(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	for _, lim := range []*quota.Limit{nil, {}} {
		assert.Assert(t, !pa.ke.Handle(800, pairSize, vmB, 1, quota.Request{Sequence: 90, Customer: customer, Need: 1}, lim).Known)
	}
	pa.requestTokens(800, 1)
	pa.renewUntil(800, 4000)
	pa.ke.Evict(func(string) bool { return false })
	pa.otherAccount.Evict(func(string) bool { return false })
	assert.Assert(t, !pa.requestTokens(4000, 1).Granted, "the customer starts with an empty bucket")
}

// A request that is larger than the burst is granted when the bucket is full, and
// its excess must accrue before the next one. A keeper with less than half of the
// parts grants no such request.
func TestRequestLargerThanTheBurst(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.lim = quota.Limit{Rate: 1000}
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.requestTokens(4000, 700).Granted)
	rsp := pa.requestTokens(4000, 700)
	assert.Assert(t, !rsp.Granted)
	assert.Equal(t, rsp.Wait, 700*clock.Millis(1))
	pa.renewUntil(4000, 4700)
	pa.renew(4700)
	assert.Assert(t, pa.requestTokens(4700, 700).Granted)
	pa = newPair(withoutSlack)
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.requestTokens(4000, 1500).Granted)
	pa.renewUntil(4000, 5400)
	assert.Assert(t, !pa.requestTokens(5499, 1500).Granted)
	assert.Assert(t, pa.requestTokens(5500, 1500).Granted)

	few := quota.Keeper{ID: 1, Settings: withoutSlack}
	var ac quota.Account
	for now := clock.Millis(0); now < 9000; now += renewEvery {
		req := ac.LeaseRequest(now, 2*pairSize, vmA)
		ac.ApplyResponse(now, now, 2*pairSize, vmA, req, pairLimit, few.Handle(now, 2*pairSize, vmB, 1, req, &pairLimit))
	}
	assert.Assert(t, few.Handle(9000, 2*pairSize, vmB, 1, quota.Request{Sequence: 99, Customer: customer, Need: 100}, &pairLimit).Granted)
	assert.Assert(t, !few.Handle(9000, 2*pairSize, vmB, 1, quota.Request{Sequence: 99, Customer: customer, Need: 600}, &pairLimit).Granted)
}

// A keeper that has just received its first leases does not deny tokens, because its
// buckets are still empty for lack of time.
func TestKeeperSettles(t *testing.T) {
	pa := newPair(withoutSlack)
	rsp := pa.ke.Handle(0, pairSize, vmB, 1, quota.Request{Sequence: 1, Customer: customer, Need: 1}, &pa.lim)
	assert.Assert(t, !rsp.Known && !rsp.Granted)
	pa.renewUntil(0, 800)
	rsp = pa.ke.Handle(800, pairSize, vmB, 1, quota.Request{Sequence: 90, Customer: customer, Need: 450}, &pa.lim)
	assert.Assert(t, !rsp.Known && !rsp.Granted)
	rsp = pa.ke.Handle(800, pairSize, vmB, 1, quota.Request{Sequence: 91, Customer: customer, Need: 300}, &pa.lim)
	assert.Assert(t, rsp.Known && rsp.Granted, "tokens that have accrued may be granted")
	rsp = pa.ke.Handle(1000, pairSize, vmB, 1, quota.Request{Sequence: 92, Customer: customer, Need: 450}, &pa.lim)
	assert.Assert(t, rsp.Known && !rsp.Granted)
}

// Successive keepers do not each spend the VMs' parts of the slack; otherwise a fleet
// whose keepers change often would exceed its limits. A VM lends its part to the next
// keeper when a window is over, or at once if the previous keeper was not in debt.
func TestSlackIsLentOnceInAWindow(t *testing.T) {
	for _, tc := range []struct {
		name   string
		inDebt bool
		wait   clock.Millis // until the next keeper is used
		want   bool
	}{
		{"the first keeper is in debt", true, clock.Second, false},
		{"the first keeper was in debt a window ago", true, 9 * clock.Second, true},
		{"the first keeper is not in debt", false, clock.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := quota.Settings{Window: 8 * clock.Second, Slack: 4000}
			pa := newPair(st)
			pa.renewUntil(0, 4000)
			if tc.inDebt {
				assert.Assert(t, pa.requestTokens(4000, 700).Granted, "takes the bucket below empty")
			}
			for _, ac := range []*quota.Account{pa.keeperAccount, pa.otherAccount} {
				req := ac.ReleaseRequest(4000, pairSize)
				vm := map[bool]string{true: vmA, false: vmB}[ac == pa.keeperAccount]
				ac.ApplyResponse(4000, 4000, pairSize, pa.keeperVM, req, pa.lim, pa.ke.Handle(4000, pairSize, vm, 1, req, &pa.lim))
			}
			pa.ke, pa.keeperVM = &quota.Keeper{ID: 2, Settings: st}, vmB
			now := 4000 + tc.wait
			pa.renew(now)
			pa.renew(now)
			assert.Equal(t, pa.requestTokens(now, 500).Granted, tc.want, "the next keeper's buckets are empty")
		})
	}
}
