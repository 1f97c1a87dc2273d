package quota

import (
	"math"

	"alderdyke/pkg/clock"
)

// forgetAfter is how long what a VM gave back last is kept: no ask is that late.
const forgetAfter = clock.Minute

type (
	// Keeper gives out the tokens of the parts that it was lent. Set the exported
	// fields before use.
	Keeper struct {
		Settings Settings
		ID       uint64 // of the process; not zero, and another one at each start

		leases  map[string]lease
		buckets map[string]*bucket
		now     clock.Millis
		pooled  float64      // span for which the whole fleet's parts would have been held, in ms
		since   clock.Millis // when there was no lease last
		began   float64      // what pooled was then: buckets fill since
	}

	// lease is the part of one VM, in one of its lives.
	lease struct {
		until    clock.Millis
		life     uint64
		back     uint64 // number of the last ask that gave something back
		released uint64 // number of the last ask that ended the lease
		slack    bool   // it is on the VM's part of the slack too
		told     uint64 // number of the ask that said so
	}
)

// Answer answers a VM. The fleet has so many VMs, and the limit is the customer's
// as this VM knows it; nil: it knows none.
func (ke *Keeper) Answer(now clock.Millis, vms int, vm string, life uint64, ask Ask, lim *Limit) Answer {
	ke.advance(now, vms)
	ke.lend(now, vm, life, ask)
	ans := Answer{Keeper: ke.ID, Time: now, Owes: ask.Release && ke.owes()}
	if ask.Customer == "" || lim == nil || !lim.Limited() {
		return ans
	}
	ans.Known = true
	part, slack := ke.part(vms)
	bu := ke.bucketOf(ask.Customer)
	bu.fill(ke.pooled, *lim, part)
	if ask.Back > 0 && ke.fresh(vm, life, ask.Number) {
		bu.level = min(bu.level+ask.Back, lim.Burst*part)
	}
	// A request that is larger than a full bucket goes when that is full, and what
	// it takes beyond comes in before the next.
	wanted := ask.Need - ke.Settings.spare(*lim)*slack
	if part > mainPart {
		wanted = min(wanted, lim.Burst*part)
	}
	if bu.level < wanted {
		ans.Known = now-ke.since >= Settle
		ans.Wait = waitFor(wanted-bu.level, lim.Rate*part)
		return ans
	}
	ans.Granted = true
	bu.level -= ask.Need
	ans.Credit = max(0, min(ask.Ahead, bu.level-amplePart*lim.Burst*part))
	bu.level -= ans.Credit
	return ans
}

// waitFor is how long tokens take to come in at a rate.
func waitFor(tokens, rate float64) clock.Millis {
	if rate <= 0 {
		return Lease
	}
	return clock.Millis(math.Ceil(tokens / rate * float64(clock.Second)))
}

// advance counts how long the parts of VMs were held since the last time.
func (ke *Keeper) advance(now clock.Millis, vms int) {
	if ke.leases == nil {
		ke.leases, ke.buckets = make(map[string]lease), make(map[string]*bucket)
		ke.now, ke.since = now, now
	}
	if now <= ke.now {
		return
	}
	held, holds := clock.Millis(0), false
	for _, le := range ke.leases {
		held += max(0, min(now, le.until)-ke.now)
		holds = holds || le.until > now
	}
	ke.pooled += min(float64(held)/float64(max(1, vms)), float64(now-ke.now))
	ke.now = now
	if !holds {
		ke.empty()
	}
}

// empty takes what is in the buckets: others give out tokens now, and what came
// in here before may not be given out beside theirs.
func (ke *Keeper) empty() {
	ke.since, ke.began = ke.now, ke.pooled
	for _, bu := range ke.buckets {
		bu.level, bu.at = min(bu.level, 0), ke.pooled
	}
}

// lend takes a VM's word that it lends its part since it heard this keeper last, or
// that it does not any more. Words of one VM may overtake each other.
func (ke *Keeper) lend(now clock.Millis, vm string, life uint64, ask Ask) {
	le := ke.leases[vm]
	if life > le.life {
		le = lease{until: le.until, life: life}
	}
	switch {
	case life < le.life || ask.Number <= le.released:
	case ask.Release:
		le.until, le.released = min(le.until, now), ask.Number
	case ask.Keeper == ke.ID && ask.Heard <= now:
		le.until = max(le.until, ask.Heard+Lease)
		if ask.Number > le.told {
			le.slack, le.told = ask.Slack, ask.Number
		}
	}
	ke.leases[vm] = le
}

// part is the part of the fleet that lends its parts now, and the part that lends its
// slack.
func (ke *Keeper) part(vms int) (part, slack float64) {
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

// owes tells whether any customer was given tokens that have not come in yet.
func (ke *Keeper) owes() bool {
	for _, bu := range ke.buckets {
		if bu.owes(ke.pooled) {
			return true
		}
	}
	return false
}

// fresh tells whether what an ask gives back was not given back before.
func (ke *Keeper) fresh(vm string, life, number uint64) bool {
	le := ke.leases[vm]
	if life < le.life || number <= le.back {
		return false
	}
	le.back = number
	ke.leases[vm] = le
	return true
}

// bucketOf is a customer's bucket. One that did not ask before has what came in since
// this keeper holds leases, for nobody gave that out.
func (ke *Keeper) bucketOf(customer string) *bucket {
	bu := ke.buckets[customer]
	if bu == nil {
		bu = &bucket{at: ke.began}
		ke.buckets[customer] = bu
	}
	return bu
}

// Forget drops what is kept of customers that are not wanted any more, and of VMs
// whose leases ran out long ago.
func (ke *Keeper) Forget(wanted func(customer string) bool) {
	for customer := range ke.buckets {
		if !wanted(customer) {
			delete(ke.buckets, customer)
			ke.began = ke.pooled // it may be wanted again, and was given tokens
		}
	}
	for vm, le := range ke.leases {
		if ke.now-le.until > forgetAfter {
			delete(ke.leases, vm)
		}
	}
}
