package quota

import (
	"maps"
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

// evictAfter is how long a VM's last return of tokens is remembered after its lease
// has expired. No request arrives that late.
const evictAfter = clock.Minute

type (
	// Keeper grants the tokens of the parts that were lent to it. Set the exported
	// fields before use.
	Keeper struct {
		Settings Settings
		ID       uint64 // of the process; not zero, and different after each start

		leases     map[string]lease         // by VM
		buckets    map[string]*bucket       // by customer
		servers    map[string]*serverBucket // by server
		now        clock.Millis             // of the last call
		pooledTime float64                  // pool time: span in ms for which all parts of the fleet would have been held
		unleasedAt clock.Millis             // last time without any lease
		fillStart  float64                  // pool time from which new buckets fill
	}

	// lease is the lease on the part of one VM, in one of its incarnations.
	lease struct {
		until         clock.Millis
		incarnation   uint64
		lastReturn    uint64 // sequence number of the last request that returned tokens
		lastRelease   uint64 // sequence number of the last request that ended the lease
		slack         bool   // includes the VM's part of the slack
		slackSequence uint64 // sequence number of the request that set slack
	}
)

// Handle handles a VM's request in a fleet of vms VMs. The limit is the customer's
// limit as this VM knows it, or nil if it knows none. A request for a server has the
// server's own limit.
func (ke *Keeper) Handle(now clock.Millis, vms int, vm string, incarnation uint64, req Request, lim *Limit) Response {
	ke.advance(now, vms)
	ke.applyLease(now, vm, incarnation, req)
	rsp := Response{KeeperID: ke.ID, Time: now, InDebt: req.Release && ke.inDebt()}
	if req.Server != "" {
		return ke.handleServer(now, vms, vm, incarnation, req, rsp)
	}
	if req.Customer == "" || lim == nil || !lim.Limited() {
		return rsp
	}
	rsp.Known = true
	part, slack := ke.heldParts(vms)
	bu := ke.bucketOf(req.Customer)
	bu.fill(ke.pooledTime, *lim, part)
	if req.Returned > 0 && ke.acceptReturn(vm, incarnation, req) {
		bu.level = min(bu.level+req.Returned, lim.Burst*part)
	}
	bu.returns.expire(now)
	if req.Booking != 0 {
		return bu.book(now, req, rsp, lim.Rate*part)
	}
	// A request that is larger than a full bucket is granted when the bucket is
	// full. The excess must accrue before the next request is granted.
	full := lim.Burst * part
	wanted := req.Need - ke.Settings.slackTokens(*lim)*slack
	if part > majorityPart {
		wanted = min(wanted, full)
	}
	due := bu.returns.due(now, req)
	reserved := 0.0
	if due < 0 {
		reserved = bu.returns.reserved(now, req.Need, lim.Rate*part)
	}
	if held := min(reserved, max(0, full-wanted)); bu.level < wanted+held {
		rsp.Known = now-ke.unleasedAt >= SettleTime
		rsp.Wait = waitFor(wanted+held-bu.level, lim.Rate*part)
		rsp.ReturnAfter = rsp.Wait
		if part > 0 && !lim.Short(req.Need) {
			rsp.ReturnAfter = bu.returns.propose(now, rsp.Wait, req.honoured(), req.Need, lim.Rate*part)
		}
		return rsp
	}
	rsp.Granted = true
	bu.level -= req.Need
	switch {
	case due >= 0:
		bu.returns.grant(due, req.Need)
	case !req.Returning:
		bu.returns.recordDemand(now, req.Need)
	}
	rsp.Credit = max(0, min(req.Credit, bu.level-creditThreshold*full-reserved))
	bu.level -= rsp.Credit
	return rsp
}

// book books the return of the caller of a refused request.
func (bu *bucket) book(now clock.Millis, req Request, rsp Response, rate float64) Response {
	if rate <= 0 {
		return rsp
	}
	// The caller takes an equal part of its tokens from each shard.
	rsp.Wait = waitFor(max(0, req.Whole/Shards-bu.level), rate)
	rsp.ReturnAfter, rsp.Booked = bu.returns.book(now, rsp.Wait, req, rate)
	return rsp
}

// Clone returns a keeper with the same customers' tokens and leases, whose calls change
// nothing at this one. It has no permits of servers.
func (ke *Keeper) Clone() *Keeper {
	out := *ke
	out.leases, out.buckets, out.servers = maps.Clone(ke.leases), maps.Clone(ke.buckets), nil
	for customer, bu := range out.buckets {
		copied := *bu
		copied.returns.list = slices.Clone(bu.returns.list)
		out.buckets[customer] = &copied
	}
	return &out
}

// waitFor returns how long tokens take to accrue at a rate.
func waitFor(tokens, rate float64) clock.Millis {
	if rate <= 0 {
		return LeaseDuration
	}
	return clock.Millis(math.Ceil(tokens / rate * float64(clock.Second)))
}

// advance adds the time for which the parts of VMs were held since the last call.
func (ke *Keeper) advance(now clock.Millis, vms int) {
	if ke.leases == nil {
		ke.leases, ke.buckets, ke.servers = make(map[string]lease), make(map[string]*bucket), make(map[string]*serverBucket)
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

// emptyBuckets removes all tokens from the buckets. While this keeper has no leases,
// other keepers and the VMs themselves grant tokens, and those that accrued here
// before must not be granted in addition.
func (ke *Keeper) emptyBuckets() {
	ke.unleasedAt, ke.fillStart = ke.now, ke.pooledTime
	for _, bu := range ke.buckets {
		bu.level, bu.at = min(bu.level, 0), ke.pooledTime
	}
	for _, sb := range ke.servers {
		sb.level, sb.at = min(sb.level, 0), ke.pooledTime
	}
}

// applyLease renews or ends the lease on a VM's part. The lease is renewed from the
// keeper's time in the last response that the VM received. Requests of one VM may
// arrive out of order, so a request that is older than the last release, or from an
// earlier incarnation of the VM, does not change the lease.
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

// heldParts returns the fraction of the fleet's parts that are lent to this keeper
// now, and the fraction that are lent with their slack.
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

// inDebt reports whether the keeper granted any customer tokens that have not
// accrued yet.
func (ke *Keeper) inDebt() bool {
	for _, bu := range ke.buckets {
		if bu.inDebt(ke.pooledTime) {
			return true
		}
	}
	return false
}

// acceptReturn reports whether what a request returns was not returned before, and records
// the return. What an earlier process of this VM granted is not accepted; the VM that returns
// it may still hold the lease of that process.
func (ke *Keeper) acceptReturn(vm string, incarnation uint64, req Request) bool {
	le := ke.leases[vm]
	ofEarlier := req.KeeperID != 0 && req.KeeperID != ke.ID
	if incarnation < le.incarnation || req.Sequence <= le.lastReturn || ofEarlier {
		return false
	}
	le.lastReturn = req.Sequence
	ke.leases[vm] = le
	return true
}

// bucketOf returns a customer's bucket. A new bucket starts with the tokens that
// accrued since this keeper has held leases, because none of them were granted.
func (ke *Keeper) bucketOf(customer string) *bucket {
	bu := ke.buckets[customer]
	if bu == nil {
		bu = &bucket{at: ke.fillStart}
		ke.buckets[customer] = bu
	}
	return bu
}

// Evict drops the state of all customers for which wanted returns false, and of VMs
// whose leases expired longer than evictAfter ago.
func (ke *Keeper) Evict(wanted func(customer string) bool) {
	ke.evictServers()
	for customer := range ke.buckets {
		if !wanted(customer) {
			delete(ke.buckets, customer)
			ke.fillStart = ke.pooledTime // the customer may return, and was granted tokens before
		}
	}
	for vm, le := range ke.leases {
		if ke.now-le.until > evictAfter {
			delete(ke.leases, vm)
		}
	}
}
