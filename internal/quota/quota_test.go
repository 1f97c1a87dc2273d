package quota_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// quotaPair is a fleet of two VMs, of which one keeps the quotas.
type quotaPair struct {
	ke            *quota.Keeper
	borrower      *quota.Account // of the other one
	keeperAccount *quota.Account // of the keeper's VM
	lim           quota.Limit
	keeperVM      string
}

const (
	vmA      = "a" // the keeper
	vmB      = "b"
	pairSize = 2
	// renewEvery is how often the leases of these tests are renewEvery.
	renewEvery = 400 * clock.Millis(1)
)

var (
	// withoutSlack has no slack, so that a test sees the limit itself.
	withoutSlack = quota.Settings{Window: 8 * clock.Second}
	pairLimit    = quota.Limit{Rate: 1000, Burst: 500}
)

func newPair(st quota.Settings) *quotaPair {
	return &quotaPair{ke: &quota.Keeper{ID: 1, Settings: st}, borrower: &quota.Account{Settings: st}, keeperAccount: &quota.Account{Settings: st}, lim: pairLimit, keeperVM: vmA}
}

// renew has both VMs renew their leases.
func (pa *quotaPair) renew(now clock.Millis) {
	for vm, ac := range map[string]*quota.Account{vmA: pa.keeperAccount, vmB: pa.borrower} {
		ask := ac.LeaseRequest(now, pairSize, pa.keeperVM)
		ac.ApplyResponse(now, now, pairSize, pa.keeperVM, ask, pa.lim, pa.ke.Handle(now, pairSize, vm, 1, ask, &pa.lim))
	}
}

// renewUntil renews them regularly.
func (pa *quotaPair) renewUntil(from, to clock.Millis) {
	for now := from; now <= to; now += renewEvery {
		pa.renew(now)
	}
}

// need asks the keeper for tokens.
func (pa *quotaPair) need(now clock.Millis, tokens float64) quota.Response {
	ask := pa.borrower.NewRequest(now, pairSize, pa.keeperVM, customer, pa.lim, tokens)
	ans := pa.ke.Handle(now, pairSize, vmB, 1, ask, &pa.lim)
	pa.borrower.ApplyResponse(now, now, pairSize, pa.keeperVM, ask, pa.lim, ans)
	return ans
}

// A keeper that takes over does not know what was given out before it.
func TestKeeperStartsEmpty(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800) // the first leases count from 400
	assert.Assert(t, !pa.need(800, 401).Granted)
	assert.Assert(t, pa.need(800, 400).Granted)
	pa.renewUntil(1200, 4000)
	assert.Assert(t, pa.need(4000, 500).Granted)
	assert.Assert(t, !pa.need(4000, 1).Granted)
}

func TestWaitIsUntilThereIsRoom(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	assert.Assert(t, pa.need(800, 400).Granted)
	ans := pa.need(800, 300)
	assert.Equal(t, ans.Wait, 300*clock.Millis(1))
	assert.Assert(t, !pa.need(1099, 300).Granted)
	assert.Assert(t, pa.need(1100, 300).Granted)
}

// A keeper that was frozen, or cut off, gives out no more than what it had leases for.
func TestKeeperResumesWithoutLeases(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.need(4000, 500).Granted)
	// The leases end at 5500: the rest of the span adds nothing.
	ask := quota.Request{Sequence: 100, Customer: customer, Need: 1}
	assert.Assert(t, !pa.ke.Handle(60*clock.Second, pairSize, vmB, 1, ask, &pa.lim).Granted)
	// What it had before it lost its leases may have been given out by others since.
	pa = newPair(withoutSlack)
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.need(4000, 1).Granted)
	pa.borrower, pa.keeperAccount = &quota.Account{Settings: withoutSlack}, &quota.Account{Settings: withoutSlack}
	for _, now := range []clock.Millis{60 * clock.Second, 60*clock.Second + 1} {
		pa.renew(now)
	}
	assert.Assert(t, !pa.ke.Handle(60*clock.Second+1, pairSize, vmB, 1, quota.Request{Sequence: 200, Customer: customer, Need: 2}, &pa.lim).Granted)
}

// A lease counts from when the keeper spoke, not from when the word of it arrived, and
// the VM counts it from later: its part is never in two hands.
func TestLeaseEndsAtTheKeeperFirst(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	late := pa.borrower.LeaseRequest(1000, pairSize, vmA) // echoes what the keeper said at 800
	assert.Equal(t, late.KeeperTime, 800*clock.Millis(1))
	pa.need(1000, 1)
	for now := 2 * clock.Second; now < 10*clock.Second; now += renewEvery {
		pa.ke.Handle(now, pairSize, vmB, 1, late, &pa.lim) // it arrives again and again
	}
	ans := pa.ke.Handle(10*clock.Second, pairSize, vmB, 1, quota.Request{Sequence: 99, Customer: customer, Need: 1e6}, &pa.lim)
	assert.Equal(t, ans.Wait, quota.LeaseDuration, "the keeper holds no leases: %v", ans)
	assert.Equal(t, pa.borrower.LeaseLeft(1000), quota.LeaseDuration, "the VM counts from when it last heard the keeper")
}

// A VM lends its part to one keeper at a time.
func TestPartIsLentOnce(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	other := quota.Keeper{ID: 2, Settings: withoutSlack}
	word := func(now clock.Millis) quota.Request {
		ask := pa.borrower.LeaseRequest(now, pairSize, "c")
		pa.borrower.ApplyResponse(now, now, pairSize, "c", ask, pa.lim, other.Handle(now, pairSize, vmB, 1, ask, &pa.lim))
		return ask
	}
	word(900)
	assert.Equal(t, pa.borrower.Holder(1000), vmA)
	assert.Equal(t, word(1000).KeeperID, uint64(0))
	word(2400)
	assert.Equal(t, pa.borrower.Holder(2400), "c")
	assert.Equal(t, word(2500).KeeperID, uint64(2))
	// Its own part comes in while nobody has it.
	assert.Assert(t, !pa.borrower.TakeLocal(2500, pairSize, customer, pa.lim, 100))
	assert.Assert(t, !pa.borrower.TakeLocal(2500+quota.LeaseDuration+199, pairSize, customer, pa.lim, 100))
	assert.Assert(t, pa.borrower.TakeLocal(2500+quota.LeaseDuration+200, pairSize, customer, pa.lim, 100))
}

// A lease that is released is free at once, and words from before don't renew it.
func TestRelease(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	late := pa.borrower.LeaseRequest(850, pairSize, vmA)
	ask := pa.borrower.ReleaseRequest(900, pairSize)
	assert.Equal(t, pa.borrower.LeaseRequest(900, pairSize, vmA).KeeperID, uint64(0), "a lease that ends is not renewed")
	ans := pa.ke.Handle(900, pairSize, vmB, 1, ask, &pa.lim)
	assert.Equal(t, pa.borrower.Holder(900), vmA)
	pa.borrower.ApplyResponse(901, 900, pairSize, vmA, ask, pa.lim, ans)
	assert.Equal(t, pa.borrower.Holder(901), "")
	pa.keeperAccount.ReleaseRequest(900, pairSize)
	before := pa.ke.Handle(902, pairSize, vmA, 1, quota.Request{Sequence: 50, Release: true}, &pa.lim)
	assert.Assert(t, !before.Known)
	pa.ke.Handle(903, pairSize, vmB, 1, late, &pa.lim)
	ans = pa.ke.Handle(903, pairSize, vmB, 1, quota.Request{Sequence: 99, Customer: customer, Need: 1e6}, &pa.lim)
	assert.Equal(t, ans.Wait, quota.LeaseDuration, "the keeper holds no leases")
}

// What was taken and not used comes back once.
func TestTokensAreReturnedOnce(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.need(4000, 400).Granted)
	ask, tell := pa.borrower.GiveBack(4000, pairSize, customer, pa.lim, 300)
	assert.Assert(t, tell && ask.Returned == 300)
	for range 3 {
		pa.ke.Handle(4000, pairSize, vmB, 1, ask, &pa.lim)
	}
	assert.Assert(t, !pa.need(4000, 401).Granted)
	assert.Assert(t, pa.need(4000, 400).Granted)
	// It never fills a bucket beyond its size.
	pa.renewUntil(4000, 8000)
	ask, _ = pa.borrower.GiveBack(8000, pairSize, customer, pa.lim, 300)
	pa.ke.Handle(8000, pairSize, vmB, 1, ask, &pa.lim)
	assert.Assert(t, pa.need(8000, 500).Granted)
	assert.Assert(t, !pa.need(8000, 1).Granted)
}

// Credit is taken from the customer when it is given, and is the customer's.
func TestCredit(t *testing.T) {
	st := quota.Settings{Window: 8 * clock.Second, Slack: 4000}
	pa := newPair(st)
	pa.renewUntil(0, 4000)
	ans := pa.need(4000, 100)
	assert.Assert(t, ans.Granted)
	assert.Equal(t, ans.Credit, 500.0-100-500/4, "a quarter of the burst is for requests that are there")
	assert.Assert(t, pa.borrower.Take(4000, pairSize, customer, pa.lim, 200))
	assert.Assert(t, !pa.borrower.Take(4000, pairSize, customer, pa.lim, 200))
	assert.Assert(t, !pa.borrower.Take(4000, pairSize, "another", pa.lim, 1))
	assert.Assert(t, pa.borrower.NeedsCredit(pairSize, customer, pa.lim, 100))
	// What is left at the keeper, below empty by its part of the slack.
	left := 500 - 100 - ans.Credit + 0.15*4000
	assert.Assert(t, !pa.need(4000, left+1).Granted)
	assert.Assert(t, pa.need(4000, left).Granted)
	// A lower limit takes back what credit is beyond it.
	assert.Assert(t, !pa.borrower.Take(4000, 100*pairSize, customer, pa.lim, 50))
}

// Where no keeper answers a VM may use a little of the slack, and in each window again.
func TestTakeLocalWhileLent(t *testing.T) {
	st := quota.Settings{Window: 8 * clock.Second, Slack: 8000}
	pa := newPair(st)
	for now := clock.Millis(0); now <= 40*clock.Second; now += renewEvery {
		pa.renew(now)
	}
	most := 0.15 * 8000 / pairSize
	assert.Assert(t, !pa.borrower.TakeLocal(40000, pairSize, customer, pa.lim, most+1))
	assert.Assert(t, pa.borrower.TakeLocal(40000, pairSize, customer, pa.lim, most))
	assert.Assert(t, !pa.borrower.TakeLocal(40400, pairSize, customer, pa.lim, most/2))
	pa.renewUntil(40400, 48000)
	assert.Assert(t, !pa.borrower.TakeLocal(44000, pairSize, customer, pa.lim, 0.6*most))
	assert.Assert(t, pa.borrower.TakeLocal(48000, pairSize, customer, pa.lim, 0.9*most))
}

// A keeper without a limit of the customer says so; customers that are gone are
// forgotten.
func TestUnknownLimitAndEviction(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.renewUntil(0, 800)
	for _, lim := range []*quota.Limit{nil, {}} {
		assert.Assert(t, !pa.ke.Handle(800, pairSize, vmB, 1, quota.Request{Sequence: 90, Customer: customer, Need: 1}, lim).Known)
	}
	pa.need(800, 1)
	pa.renewUntil(800, 4000)
	pa.ke.Evict(func(string) bool { return false })
	pa.borrower.Evict(func(string) bool { return false })
	assert.Assert(t, !pa.need(4000, 1).Granted, "the customer begins anew")
}

// A request that is larger than the burst goes when the bucket is full, and is paid for
// before the next one; a keeper with less than half of the parts grants none such.
func TestRequestLargerThanTheBurst(t *testing.T) {
	pa := newPair(withoutSlack)
	pa.lim = quota.Limit{Rate: 1000}
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.need(4000, 700).Granted)
	ans := pa.need(4000, 700)
	assert.Assert(t, !ans.Granted)
	assert.Equal(t, ans.Wait, 700*clock.Millis(1))
	pa.renewUntil(4000, 4700)
	pa.renew(4700)
	assert.Assert(t, pa.need(4700, 700).Granted)
	pa = newPair(withoutSlack)
	pa.renewUntil(0, 4000)
	assert.Assert(t, pa.need(4000, 1500).Granted)
	pa.renewUntil(4000, 5400)
	assert.Assert(t, !pa.need(5499, 1500).Granted)
	assert.Assert(t, pa.need(5500, 1500).Granted)

	few := quota.Keeper{ID: 1, Settings: withoutSlack}
	var ac quota.Account
	for now := clock.Millis(0); now < 9000; now += renewEvery {
		ask := ac.LeaseRequest(now, 2*pairSize, vmA)
		ac.ApplyResponse(now, now, 2*pairSize, vmA, ask, pairLimit, few.Handle(now, 2*pairSize, vmB, 1, ask, &pairLimit))
	}
	assert.Assert(t, few.Handle(9000, 2*pairSize, vmB, 1, quota.Request{Sequence: 99, Customer: customer, Need: 100}, &pairLimit).Granted)
	assert.Assert(t, !few.Handle(9000, 2*pairSize, vmB, 1, quota.Request{Sequence: 99, Customer: customer, Need: 600}, &pairLimit).Granted)
}

// A keeper that has just got its first leases does not say that there is no room, for
// it knows only that it has nothing yet.
func TestKeeperSettles(t *testing.T) {
	pa := newPair(withoutSlack)
	ans := pa.ke.Handle(0, pairSize, vmB, 1, quota.Request{Sequence: 1, Customer: customer, Need: 1}, &pa.lim)
	assert.Assert(t, !ans.Known && !ans.Granted)
	pa.renewUntil(0, 800)
	ans = pa.ke.Handle(800, pairSize, vmB, 1, quota.Request{Sequence: 90, Customer: customer, Need: 450}, &pa.lim)
	assert.Assert(t, !ans.Known && !ans.Granted)
	ans = pa.ke.Handle(800, pairSize, vmB, 1, quota.Request{Sequence: 91, Customer: customer, Need: 300}, &pa.lim)
	assert.Assert(t, ans.Known && ans.Granted, "what there is may be given out")
	ans = pa.ke.Handle(1000, pairSize, vmB, 1, quota.Request{Sequence: 92, Customer: customer, Need: 450}, &pa.lim)
	assert.Assert(t, ans.Known && !ans.Granted)
}

// Keepers that follow one another do not each spend the VMs' parts of the slack, which
// had a fleet whose keepers change often pass its limits: a VM lends its part to the
// next one when a window is over, or at once if the one before owed nothing.
func TestSlackIsLentOnceInAWindow(t *testing.T) {
	for _, tc := range []struct {
		name string
		owes bool
		wait clock.Millis // until the next keeper is asked
		want bool
	}{
		{"the first one owes", true, clock.Second, false},
		{"the first one owed, a window ago", true, 9 * clock.Second, true},
		{"the first one owes nothing", false, clock.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := quota.Settings{Window: 8 * clock.Second, Slack: 4000}
			pa := newPair(st)
			pa.renewUntil(0, 4000)
			if tc.owes {
				assert.Assert(t, pa.need(4000, 700).Granted, "below empty")
			}
			for _, ac := range []*quota.Account{pa.keeperAccount, pa.borrower} {
				ask := ac.ReleaseRequest(4000, pairSize)
				vm := map[bool]string{true: vmA, false: vmB}[ac == pa.keeperAccount]
				ac.ApplyResponse(4000, 4000, pairSize, pa.keeperVM, ask, pa.lim, pa.ke.Handle(4000, pairSize, vm, 1, ask, &pa.lim))
			}
			pa.ke, pa.keeperVM = &quota.Keeper{ID: 2, Settings: st}, vmB
			now := 4000 + tc.wait
			pa.renew(now)
			pa.renew(now)
			assert.Equal(t, pa.need(now, 500).Granted, tc.want, "the next keeper's buckets are empty")
		})
	}
}
