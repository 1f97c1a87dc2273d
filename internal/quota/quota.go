// Package quota keeps the requests of each customer to the whole fleet within
// the customer's limit, whichever VMs the requests arrive at and whichever VMs
// or connections fail.
//
// # Parts and leases
//
// In a fleet of N VMs, each VM owns an N-th part of every customer's rate. A VM
// either uses its part itself or lends it, under a short lease ([LeaseDuration]),
// to a keeper, which is one of the VMs. A keeper pools the parts lent to it: its
// token buckets fill at as many N-ths of the rate as it holds leases. A part is
// never used by two VMs at once: its owner uses it or lends it to another keeper
// only after the lease has expired by the owner's own monotonic clock, and the
// keeper counts the lease from an earlier point than the owner does. So the sum
// over the fleet equals the rate at any time, with any number of keepers. In a
// partitioned fleet, each side has a keeper with that side's part of the rate.
// No quorum is needed and the store is not involved.
//
// A keeper that starts or takes over does not know how many tokens were granted
// before, so its buckets begin empty and fill from then on.
//
// # Shards
//
// Each limit is split into [Shards] equal shards ([Limit.PerShard],
// [Settings.PerShard]), each with its own Keeper and with an Account at every VM. A
// request takes an equal part of its tokens from each shard. If the keeper of
// one shard does not answer, all of the tokens are requested from the other one,
// so that the loss of a VM leaves half of the rate and of the burst usable. Each
// shard is bounded like a limit, so the sum of the shards is bounded like the
// whole limit.
//
// # Use of the slack
//
// Limits have a slack ([Settings]) for tokens that a fleet grants before it can
// know that they exceed the limit. Some of it is spent on requests: keepers, and
// VMs without a responding keeper, may take a bucket below empty, and VMs hold
// credit, which is tokens taken from a keeper in advance so that plain requests
// need not wait for a response. The rest covers VMs that restart while the lease
// of their previous incarnation still counts, and VMs that learn late of a change
// in the fleet's size.
//
// A VM lends its part of the slack together with its part of the rate, but to
// only one keeper per window. The next keeper gets it when the window is over,
// or at once if the previous one reported at the end of its lease that it is not
// in debt. So successive keepers do not each spend it.
//
// # Returns of refused callers
//
// A request for which there are no tokens is denied with two times: after which as
// many tokens as it needs will have accrued ([Response.Wait]), and after which its
// caller is to return ([Response.ReturnAfter]). The second spreads the callers of a
// customer that is far beyond its limit over the tokens to come. It is a proposal: a VM
// that refuses the request then books a time at one keeper ([Request.Booking]), once for
// each refused caller. The keeper leaves tokens for the caller around that time, and
// grants them when it returns ([Request.Returning]).
//
// # Limits of servers
//
// A backend server may limit the calls that it takes from the whole fleet. The keepers
// grant permits for them ([Request.Server]) as they grant customers' tokens, with three
// differences. Permits have no slack: a VM never takes them from its own part or in
// advance, and a bucket never goes below empty for a grant. One permit comes from one
// shard, whichever has room. And the limit is not configured: requests name it.
//
// # Usage
//
//	st, limit = st.PerShard(), limit.PerShard()
//	ke := &quota.Keeper{Settings: st, ID: rand.Uint64()}
//	rsp := ke.Handle(now, vms, "vm-7", incarnation, req, &limit) // at the keeper of a shard
//
//	ac := &quota.Account{Settings: st} // of the same shard
//	if ac.Take(now, vms, customer, limit, tokens) { ... } // from the credit that the VM holds
//	req := ac.NewRequest(now, vms, "vm-2", customer, limit, tokens) // or from a keeper
//	ac.ApplyResponse(now, requestedAt, vms, "vm-2", req, limit, rsp)
//
// A Keeper and an Account do no I/O and are not safe for concurrent use.
package quota

import "alderdyke/pkg/clock"

const (
	// Shards is the number of shards of each limit, and so the largest number of
	// keepers that share it.
	Shards = 2
	// LeaseDuration is how long a VM lends its part to a keeper. It bounds how long
	// requests wait after the failure of a keeper was detected, and how long a
	// keeper may be unresponsive, paused or partitioned before its VMs leave it.
	LeaseDuration = 1500 * clock.Millis(1)
	// RenewInterval is the age at which a VM renews its lease. A lost renewal is
	// repeated after 200 ms, and three in a row may be lost. The keeper of 300 VMs
	// receives 500 renewals per second.
	RenewInterval = 600 * clock.Millis(1)
	// SettleTime is how long a keeper that held no leases does not deny tokens. The
	// VMs lend it their parts within two checks of their leases, and its buckets
	// begin empty. Without this time, a fleet whose VMs were all killed would refuse
	// customers that are far below their limits.
	SettleTime = 500 * clock.Millis(1)
	// slackFraction is the part of the slack that each of its uses may take. The uses
	// are the keepers, the credit of the VMs, and the local use by VMs, which may
	// take theirs twice within a window.
	slackFraction = 0.15
	// creditThreshold is the part of a full bucket that must be left for a keeper to
	// grant credit, because scarce tokens go to present requests first.
	creditThreshold = 0.25
	// majorityPart is the fraction of the fleet's parts that at most one keeper can
	// exceed. Only a keeper that holds more grants requests that are larger than a
	// full bucket. If each of many small keepers did, a partitioned fleet would
	// exceed its limits.
	majorityPart = 0.5
)

type (
	// Limit is the limit of a customer over the whole fleet.
	Limit struct {
		Rate  float64 // tokens per second; zero: unlimited
		Burst float64 // additional tokens at once
	}

	// Settings bounds by how much the limits may be exceeded.
	Settings struct {
		Window clock.Millis // span in which usage is compared with the limit
		Excess float64      // fraction of the tokens that the limit allows in a window
		Slack  float64      // additional tokens in a window
	}

	// Request is sent by a VM to a keeper. Each request also renews the lease on the
	// VM's part.
	Request struct {
		Shard      int          // counted from 0
		Sequence   uint64       // of the VM's requests; increases
		KeeperID   uint64       // process that holds the lease on the VM's part; zero: none
		KeeperTime clock.Millis // keeper's own time in its last response to the VM
		Customer   string       // empty: no tokens are requested
		Need       float64      // tokens for a request, granted all or none
		Credit     float64      // additional tokens wanted as credit
		Returned   float64      // tokens that were taken before and not used
		Release    bool         // the lease ends with this request
		LendsSlack bool         // the lease includes the VM's part of the slack
		Server     string       // whose permit is requested or returned, instead of a customer's tokens; empty: none
		Rate       float64      // calls per second that the shard of the server's limit allows, as the VM knows it
		Reserve    float64      // permits to be left for calls that go first
		Spent      float64      // calls without permits that the VM made just before it knew the limit
		// Booking identifies a request that is refused. Its caller's return is booked, and
		// no tokens are requested; zero: none is booked.
		Booking uint64
		// Whole is the tokens of the whole request, of both shards, if it is refused or if
		// its caller returns.
		Whole        float64
		ReturnWithin clock.Millis // longest time that the caller honours; zero: not known
		Returning    bool         // the caller was refused before, and may have a booked return
	}

	// Response is the keeper's response to a Request.
	Response struct {
		KeeperID uint64       // process of the keeper
		Time     clock.Millis // by the keeper's own clock
		Known    bool         // the keeper knows the customer's limit and level; otherwise Granted, Credit and Wait mean nothing
		Granted  bool         // the request may run
		Credit   float64      // additional tokens granted
		Wait     clock.Millis // until as many tokens as needed will be available
		// ReturnAfter is the time after which the refused caller is to return; zero: Wait.
		ReturnAfter clock.Millis
		Booked      bool // the return is booked at that time
		InDebt      bool // the keeper granted tokens that have not accrued yet
	}

	// bucket holds one customer's tokens at a keeper or at a VM.
	bucket struct {
		level float64 // tokens; below zero: more were granted than had accrued
		at    float64 // pool time of the last fill
		rate  float64 // of the limit at the last fill

		returns returnQueue // of callers that were refused
	}
)

// Limited reports whether there is a limit.
func (lim Limit) Limited() bool { return lim.Rate > 0 }

// PerShard returns one shard's part of the limit.
func (lim Limit) PerShard() Limit {
	return Limit{Rate: lim.Rate / Shards, Burst: lim.Burst / Shards}
}

// PerShard returns the settings for one shard.
func (st Settings) PerShard() Settings {
	st.Slack /= Shards
	return st
}

// slackTokens returns the tokens beyond the limit that one use of the slack may
// take in the whole fleet.
func (st Settings) slackTokens(lim Limit) float64 {
	window := float64(st.Window) / float64(clock.Second)
	return slackFraction * (st.Excess*(lim.Rate*window+lim.Burst) + st.Slack)
}

// slackTokensPerVM returns one VM's part of the slack tokens: the most that it
// may hold as credit, and the most that it may take locally.
func (st Settings) slackTokensPerVM(lim Limit, vms int) float64 {
	return st.slackTokens(lim) / float64(max(1, vms))
}

// fill adds the tokens that accrued since the last fill and caps the level at a
// part of the burst. The argument at is pool time, in which a millisecond passes
// per millisecond for which the leases of the whole fleet are held.
func (bu *bucket) fill(at float64, lim Limit, part float64) {
	bu.level += lim.Rate * (at - bu.at) / float64(clock.Second)
	bu.level = min(bu.level, lim.Burst*part)
	bu.at, bu.rate = at, lim.Rate
}

// inDebt reports whether tokens were granted that will not have accrued by a
// point of pool time.
func (bu *bucket) inDebt(at float64) bool {
	return bu.level+bu.rate*(at-bu.at)/float64(clock.Second) < 0
}
