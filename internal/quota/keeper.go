package quota

import (
	"math"

	"alderdyke/pkg/clock"
)

// evictAfter is how long what a VM gave back last is kept: no ask is that late.
const evictAfter = clock.Minute

type (
	// Keeper gives out the tokens of the parts that it was lent. Set the exported
	// fields before use.
	Keeper struct {
		Settings Settings
		ID       uint64 // of the process; not zero, and another one at each start

		leases     map[string]lease
		buckets    map[string]*bucket
		now        clock.Millis
		pooledTime float64      // span for which the whole fleet's parts would have been held, in ms
		unleasedAt clock.Millis // when there was no lease last
		fillStart  float64      // what pooled was then: buckets fill since
	}

	// lease is the part of one VM, in one of its lives.
	lease struct {
		until         clock.Millis
		incarnation   uint64
		lastReturn    uint64 // number of the last ask that gave something back
		lastRelease   uint64 // number of the last ask that ended the lease
		slack         bool   // it is on the VM's part of the slack too
		slackSequence uint64 // number of the ask that said so
	}
)

// Handle answers a VM. The fleet has so many VMs, and the limit is the customer's
// as this VM knows it; nil: it knows none.
func (ke *Keeper) Handle(now clock.Millis, vms int, vm string, incarnation uint64, req Request, lim *Limit) Response {
	ke.advance(now, vms)
	ke.applyLease(now, vm, incarnation, req)
	rsp := Response{KeeperID: ke.ID, Time: now, InDebt: req.Release && ke.inDebt()}
	if req.Customer == "" || lim == nil || !lim.Limited() {
		return rsp
	}
	rsp.Known = true
	part, slack := ke.heldParts(vms)
	bu := ke.bucketOf(req.Customer)
	bu.fill(ke.pooledTime, *lim, part)
	if req.Returned > 0 && ke.acceptReturn(vm, incarnation, req.Sequence) {
		bu.level = min(bu.level+req.Returned, lim.Burst*part)
	}
	// A request that is larger than a full bucket goes when that is full, and what
	// it takes beyond comes in before the next.
	wanted := req.Need - ke.Settings.slackTokens(*lim)*slack
	if part > majorityPart {
		wanted = min(wanted, lim.Burst*part)
	}
	if bu.level < wanted {
		rsp.Known = now-ke.unleasedAt >= SettleTime
		rsp.Wait = waitFor(wanted-bu.level, lim.Rate*part)
		return rsp
	}
	rsp.Granted = true
	bu.level -= req.Need
	rsp.Credit = max(0, min(req.Credit, bu.level-creditThreshold*lim.Burst*part))
	bu.level -= rsp.Credit
	return rsp
}

// waitFor is how long tokens take to come in at a rate.
func waitFor(tokens, rate float64) clock.Millis {
	if rate <= 0 {
		return LeaseDuration
	}
	return clock.Millis(math.Ceil(tokens / rate * float64(clock.Second)))
}

// advance counts how long the parts of VMs were held since the last time.
func (ke *Keeper) advance(now clock.Millis, vms int) {
	if ke.leases == nil {
		ke.leases, ke.buckets = make(map[string]lease), make(map[string]*bucket)
		ke.now, ke.unleasedAt = now, now
	}
	if now <= ke.now {
		return
	}
	held, holds := clock.Millis(0), false
	for _, le := range ke.leases {
		held += max(0, min(now, le.until)-ke.now)
		holds = holds || le.until > now
	}
	ke.pooledTime += min(float64(held)/float64(max(1, vms)), float64(now-ke.now))
	ke.now = now
	if !holds {
		ke.emptyBuckets()
	}
}

// emptyBuckets takes what is in the buckets: others give out tokens now, and what came
// in here before may not be given out beside theirs.
func (ke *Keeper) emptyBuckets() {
	ke.unleasedAt, ke.fillStart = ke.now, ke.pooledTime
	for _, bu := range ke.buckets {
		bu.level, bu.at = min(bu.level, 0), ke.pooledTime
	}
}

// applyLease takes a VM's word that it lends its part since it heard this keeper last, or
// that it does not any more. Words of one VM may overtake each other.
func (ke *Keeper) applyLease(now clock.Millis, vm string, incarnation uint64, req Request) {
	le := ke.leases[vm]
	if incarnation > le.incarnation {
		le = lease{until: le.until, incarnation: incarnation}
	}
	switch {
	case incarnation < le.incarnation || req.Sequence <= le.lastRelease:
	case req.Release:
		le.until, le.lastRelease = min(le.until, now), req.Sequence
	case req.KeeperID == ke.ID && req.KeeperTime <= now:
		le.until = max(le.until, req.KeeperTime+LeaseDuration)
		if req.Sequence > le.slackSequence {
			le.slack, le.slackSequence = req.LendsSlack, req.Sequence
		}
	}
	ke.leases[vm] = le
}

// heldParts is the heldParts of the fleet that lends its parts now, and the heldParts that lends its
// slack.
func (ke *Keeper) heldParts(vms int) (part, slack float64) {
	held, lent := 0, 0
	for _, le := range ke.leases {
		if le.until <= ke.now {
			continue
		}
		held++
		if le.slack {
			lent++
		}
	}
	all := float64(max(1, vms))
	return min(1, float64(held)/all), min(1, float64(lent)/all)
}

// inDebt tells whether any customer was given tokens that have not come in yet.
func (ke *Keeper) inDebt() bool {
	for _, bu := range ke.buckets {
		if bu.inDebt(ke.pooledTime) {
			return true
		}
	}
	return false
}

// acceptReturn tells whether what an ask gives back was not given back before.
func (ke *Keeper) acceptReturn(vm string, incarnation, number uint64) bool {
	le := ke.leases[vm]
	if incarnation < le.incarnation || number <= le.lastReturn {
		return false
	}
	le.lastReturn = number
	ke.leases[vm] = le
	return true
}

// bucketOf is a customer's bucket. One that did not ask before has what came in since
// this keeper holds leases, for nobody gave that out.
func (ke *Keeper) bucketOf(customer string) *bucket {
	bu := ke.buckets[customer]
	if bu == nil {
		bu = &bucket{at: ke.fillStart}
		ke.buckets[customer] = bu
	}
	return bu
}

// Evict drops what is kept of customers that are not wanted any more, and of VMs
// whose leases ran out long ago.
func (ke *Keeper) Evict(wanted func(customer string) bool) {
	for customer := range ke.buckets {
		if !wanted(customer) {
			delete(ke.buckets, customer)
			ke.fillStart = ke.pooledTime // it may be wanted again, and was given tokens
		}
	}
	for vm, le := range ke.leases {
		if ke.now-le.until > evictAfter {
			delete(ke.leases, vm)
		}
	}
}
