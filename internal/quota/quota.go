// Package quota keeps what a customer may ask of the whole fleet within its
// limit, whichever VMs its requests come to, and whatever becomes of those.
//
// # Shares that are lent for a time
//
// Of N VMs each owns an N-th part of every customer's rate. A VM may use its own
// part, or lend it for a short time (a lease, [LeaseDuration]) to a keeper, which is one of
// the VMs. A keeper pools the parts that it was lent: its token buckets fill at as
// many N-ths of the rate as it holds leases. A part is never in two hands: a VM
// uses its own, or lends it to another keeper, only after the lease has run out by
// its own steady clock, and the keeper counts the lease from before the VM did. So
// the sum over the fleet is the rate at any time, however many keepers there are:
// in a fleet that is cut in two, each side has a keeper with its part of the rate.
// No majority is needed, and nothing is asked of the store.
//
// A keeper that starts, as one does that takes over, knows nothing of what was
// given out before: its buckets begin empty and fill from then on.
//
// # Shards
//
// Each limit is split into [Shards] equal shards ([Limit.PerShard], [Settings.PerShard]),
// each with an Account at every VM and a Keeper of its own. A request takes an equal
// part of each. Where the keeper of one shard does not answer, the other one is asked
// for all of it, so that the loss of a VM leaves half of the rate and of the burst in
// use. A shard is bounded like a limit, so their sum is bounded like the whole.
//
// # What is used of the slack
//
// Limits have a slack ([Settings]) for what a fleet can't know in time. Some of it
// is spent on callers: keepers, and VMs that no keeper answers, may go below an
// empty bucket, and VMs hold credit, tokens that were taken from a keeper ahead of
// need, by which plain requests need not wait for an answer. The rest is for VMs that
// start again while their last life's lease still counts, and for what VMs know late
// of the fleet's size.
//
// A VM lends its part of the slack with its part of the rate, but to one keeper in a
// window: the next one has it when the window is over, or at once if the one before
// said, as the lease ended, that it owes nothing. So keepers that follow one another
// do not each spend it.
//
// # Usage
//
//	st, limit = st.PerShard(), limit.PerShard()
//	ke := &quota.Keeper{Settings: st, ID: rand.Uint64()}
//	rsp := ke.Handle(now, vms, "vm-7", incarnation, req, &limit) // at the keeper of a shard
//
//	ac := &quota.Account{Settings: st} // of the same shard
//	if ac.Take(now, vms, customer, limit, tokens) { ... } // by what the VM has here
//	req := ac.NewRequest(now, vms, "vm-2", customer, limit, tokens) // or a keeper is asked
//	ac.ApplyResponse(now, asked, vms, "vm-2", req, limit, rsp)
//
// A Keeper and an Account do no I/O and are not safe for concurrent use.
package quota

import "alderdyke/pkg/clock"

const (
	// Shards is how many keepers, at most, share each limit.
	Shards = 2
	// LeaseDuration is how long a VM lends its part to a keeper. It is what requests
	// wait at worst, beside finding out, after a keeper has died; and the most
	// that a keeper may be silent, frozen or cut off before its VMs leave it.
	LeaseDuration = 1500 * clock.Millis(1)
	// RenewInterval is how old a VM's lease may get before it is renewed. Words that are
	// lost are said again after a fifth of a second, and three may be. The keeper
	// of 300 VMs hears 500 words a second.
	RenewInterval = 600 * clock.Millis(1)
	// SettleTime is how long a keeper that held no leases does not say that there is no
	// room: the VMs lend it their parts within two looks at their leases, and its
	// buckets begin empty. Without it a fleet whose VMs had all been killed turned
	// customers away who were far below their limits.
	SettleTime = 500 * clock.Millis(1)
	// slackFraction is what one use of the slack may take of it: a keeper, the VMs'
	// credit, and VMs alone, which in one window may take theirs twice.
	slackFraction = 0.15
	// creditThreshold of a full bucket has to be there for a keeper to give credit:
	// what is scarce goes to requests that are there.
	creditThreshold = 0.25
	// majorityPart of the fleet's parts is what one keeper at most holds more than. It
	// alone grants a request that is larger than a full bucket: where each of
	// many small keepers did, a fleet in pieces would pass its limits.
	majorityPart = 0.5
)

type (
	// Limit is a customer's, over the whole fleet.
	Limit struct {
		Rate  float64 // tokens a second; zero: there is no limit
		Burst float64 // tokens beyond it at once
	}

	// Settings tell by how much the limits may be passed.
	Settings struct {
		Window clock.Millis // the span in which they are judged
		Excess float64      // part of what a limit allows in a window
		Slack  float64      // tokens beyond that
	}

	// Request is what a VM asks of a keeper. Each also renews the lease on the VM's
	// part.
	Request struct {
		Shard      int          // that it is about, from 0
		Sequence   uint64       // of the VM's asks; grows
		KeeperID   uint64       // the keeper's process that holds the VM's lease; zero: none does
		KeeperTime clock.Millis // the keeper's own time in its last answer to the VM
		Customer   string       // empty: nothing is asked for
		Need       float64      // tokens that a request takes, all or none
		Credit     float64      // tokens that are wanted as credit beyond
		Returned   float64      // tokens that were taken before and not used
		Release    bool         // the lease ends here
		LendsSlack bool         // the lease is on the VM's part of the slack too
	}

	// Response is the keeper's.
	Response struct {
		KeeperID uint64       // its process
		Time     clock.Millis // by its own clock
		Known    bool         // it knows a limit of the customer and what there is of it; else the rest says nothing
		Granted  bool         // the request may run
		Credit   float64      // tokens beyond it
		Wait     clock.Millis // after which there will be as many as were needed
		InDebt   bool         // it has given out tokens that have not come in yet
	}

	// bucket is one customer's tokens in one hand.
	bucket struct {
		level float64
		at    float64 // point of the pool's time at which it was filled last
		rate  float64 // of the limit then
	}
)

// Limited tells whether there is a limit.
func (lim Limit) Limited() bool { return lim.Rate > 0 }

// PerShard is one shard's part of the limit.
func (lim Limit) PerShard() Limit {
	return Limit{Rate: lim.Rate / Shards, Burst: lim.Burst / Shards}
}

// PerShard is what the settings are for one shard.
func (st Settings) PerShard() Settings {
	st.Slack /= Shards
	return st
}

// slackTokens is the tokens beyond the limit that one use of the slack may take, in the
// whole fleet.
func (st Settings) slackTokens(lim Limit) float64 {
	window := float64(st.Window) / float64(clock.Second)
	return slackFraction * (st.Excess*(lim.Rate*window+lim.Burst) + st.Slack)
}

// slackTokensPerVM is one VM's part of that: the most that it holds as credit, and that it may
// take alone.
func (st Settings) slackTokensPerVM(lim Limit, vms int) float64 {
	return st.slackTokens(lim) / float64(max(1, vms))
}

// fill adds what came in since the bucket was filled last, at a part of the rate:
// at is the pool's time, in which a millisecond of the whole fleet's leases is a
// millisecond.
func (bu *bucket) fill(at float64, lim Limit, part float64) {
	bu.level += lim.Rate * (at - bu.at) / float64(clock.Second)
	bu.level = min(bu.level, lim.Burst*part)
	bu.at, bu.rate = at, lim.Rate
}

// inDebt tells whether tokens were taken that have not come in by a point of the pool's
// time.
func (bu *bucket) inDebt(at float64) bool {
	return bu.level+bu.rate*(at-bu.at)/float64(clock.Second) < 0
}
