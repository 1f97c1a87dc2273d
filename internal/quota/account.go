package quota

import (
	"maps"

	"alderdyke/pkg/clock"
)

type (
	// Account holds one VM's tokens of all customers in one shard. Set the exported
	// fields before use.
	Account struct {
		Settings Settings
		Shard    int // index of the shard

		lent     loan
		slack    slackLoan
		sequence uint64                // of the last request
		own      map[string]*ownBucket // by customer
		credits  map[string]float64    // tokens held as credit, by customer
		now      clock.Millis          // of the last call
		ownTime  float64               // pool time in ms for which this VM used its own part
	}

	// ownBucket holds a customer's tokens of this VM's own part.
	ownBucket struct {
		bucket
		recoveredAt clock.Millis // last recovery of the slack
	}

	// slackLoan records to whom this VM lent its part of the slack.
	slackLoan struct {
		keeper uint64       // process that it was last lent to; zero: none
		until  clock.Millis // end of the last lease with that process, by this VM's clock
	}

	// loan is the lease on this VM's part, as seen by the VM that lends it.
	loan struct {
		vm          string
		id          uint64       // of the keeper's process
		keeperTime  clock.Millis // keeper's own time in its last response
		requestedAt clock.Millis // when that response was requested
		until       clock.Millis // end of the lease by this VM's clock
		releasing   bool         // its end was requested, so it is not renewed
		announced   bool         // a request that lends the part was sent to the keeper
	}
)

// Credit returns the tokens of a customer that this VM holds as credit.
func (ac *Account) Credit(now clock.Millis, vms int, customer string, lim Limit) float64 {
	ac.advance(now, vms)
	return ac.creditOf(customer, lim, vms)
}

// LocalTokens returns the most tokens that TakeLocal would take now.
func (ac *Account) LocalTokens(now clock.Millis, vms int, customer string, lim Limit) float64 {
	ac.advance(now, vms)
	*ac.ownBucketOf(customer) = ac.ownBucketAt(now, vms, customer, lim)
	_, local := ac.Tokens(now, vms, customer, lim)
	return local
}

// Tokens returns the tokens of a customer at this VM: those that it holds as credit, and
// the most that TakeLocal would take now, which include the credit. It changes nothing.
func (ac *Account) Tokens(now clock.Millis, vms int, customer string, lim Limit) (credit, local float64) {
	credit = ac.creditOf(customer, lim, vms)
	bu := ac.ownBucketAt(now, vms, customer, lim)
	return credit, max(0, bu.level+ac.Settings.slackTokensPerVM(lim, vms)+credit)
}

// Take takes a request's tokens from the credit that this VM holds. It reports
// whether the credit was sufficient; otherwise nothing is taken.
func (ac *Account) Take(now clock.Millis, vms int, customer string, lim Limit, tokens float64) bool {
	ac.advance(now, vms)
	credit := ac.creditOf(customer, lim, vms)
	if credit < tokens {
		return false
	}
	ac.credits[customer] = credit - tokens
	return true
}

// TakeLocal takes a request's tokens from this VM's credit and its own part of the
// limit, for use while no keeper responds. While a keeper may hold a lease on
// that part, no further tokens accrue, but those already there belong to this VM.
func (ac *Account) TakeLocal(now clock.Millis, vms int, customer string, lim Limit, tokens float64) bool {
	if ac.LocalTokens(now, vms, customer, lim) < tokens {
		return false
	}
	credit := ac.creditOf(customer, lim, vms)
	ac.credits[customer] = max(0, credit-tokens)
	ac.ownBucketOf(customer).level -= max(0, tokens-credit)
	return true
}

// advance adds the time for which this VM had its own part since the last call.
func (ac *Account) advance(now clock.Millis, vms int) {
	if ac.own == nil {
		ac.own, ac.credits, ac.now = make(map[string]*ownBucket), make(map[string]float64), now
	}
	ac.ownTime, ac.now = ac.ownTimeAt(now, vms), max(now, ac.now)
}

// ownTimeAt returns ownTime as of a time.
func (ac *Account) ownTimeAt(now clock.Millis, vms int) float64 {
	if ac.own == nil || now <= ac.now {
		return ac.ownTime
	}
	return ac.ownTime + float64(max(0, now-max(ac.now, ac.lent.until)))/float64(max(1, vms))
}

// ownBucketOf returns a customer's bucket of this VM's own part. A new one is empty.
func (ac *Account) ownBucketOf(customer string) *ownBucket {
	bu := ac.own[customer]
	if bu == nil {
		bu = &ownBucket{bucket: bucket{at: ac.ownTime}, recoveredAt: ac.now}
		ac.own[customer] = bu
	}
	return bu
}

// ownBucketAt returns a customer's bucket of this VM's own part, filled up to a time,
// without changing the account's.
func (ac *Account) ownBucketAt(now clock.Millis, vms int, customer string, lim Limit) ownBucket {
	ownTime := ac.ownTimeAt(now, vms)
	bu := ownBucket{bucket: bucket{at: ownTime}, recoveredAt: max(now, ac.now)}
	if known := ac.own[customer]; known != nil {
		bu = *known
	}
	bu.fill(ownTime, lim, 1/float64(max(1, vms)))
	bu.recoverSlack(now, ac.Settings.slackTokensPerVM(lim, vms), ac.Settings.Window)
	return bu
}

// recoverSlack replaces tokens that were taken from the slack, all of them within
// a window, whether this VM uses its own part or lends it.
func (ob *ownBucket) recoverSlack(now clock.Millis, spare float64, window clock.Millis) {
	if ob.level < 0 && window > 0 {
		ob.level = min(0, ob.level+spare*float64(now-ob.recoveredAt)/float64(window))
	}
	ob.recoveredAt = now
}

// creditOf returns a customer's credit, at most this VM's present part of the slack
// tokens, which becomes smaller when the limit is lowered or the fleet grows.
func (ac *Account) creditOf(customer string, lim Limit, vms int) float64 {
	return min(ac.credits[customer], ac.Settings.slackTokensPerVM(lim, vms))
}

// NeedsCredit reports whether credit should be requested: less is left than two
// requests of the given size take, and there is room for more.
func (ac *Account) NeedsCredit(vms int, customer string, lim Limit, tokens float64) bool {
	most := ac.Settings.slackTokensPerVM(lim, vms)
	return most >= tokens && ac.creditOf(customer, lim, vms) < min(most, 2*tokens)
}

// Holder returns the VM that holds the lease on this VM's part, or the empty
// string.
func (ac *Account) Holder(now clock.Millis) string {
	if now < ac.lent.until {
		return ac.lent.vm
	}
	return ""
}

// LeaseLeft returns the remaining time of the lease on this VM's part.
func (ac *Account) LeaseLeft(now clock.Millis) clock.Millis { return max(0, ac.lent.until-now) }

// RenewalDue reports whether a lease with a keeper must be begun, announced or
// renewed.
func (ac *Account) RenewalDue(now clock.Millis, vm string) bool {
	return ac.lent.vm != vm || !ac.lent.announced || now-ac.lent.requestedAt >= RenewInterval
}

// NewRequest returns a request to a keeper for a request's tokens and for the
// credit that is missing. If a keeper holds the lease, vm must be that keeper.
func (ac *Account) NewRequest(now clock.Millis, vms int, vm, customer string, lim Limit, tokens float64) Request {
	req := ac.LeaseRequest(now, vms, vm)
	req.Customer, req.Need = customer, tokens
	req.Credit = max(0, ac.Settings.slackTokensPerVM(lim, vms)-ac.creditOf(customer, lim, vms))
	return req
}

// BookingRequest returns a request that books the return of the caller of a refused
// request, identified by id, which takes the given tokens of both shards.
func (ac *Account) BookingRequest(now clock.Millis, vms int, vm, customer string, id uint64, tokens float64, within clock.Millis) Request {
	req := ac.LeaseRequest(now, vms, vm)
	req.Customer, req.Booking, req.Whole, req.ReturnWithin = customer, id, tokens, within
	return req
}

// LeaseRequest returns a request to a keeper that only renews the lease.
func (ac *Account) LeaseRequest(now clock.Millis, vms int, vm string) Request {
	ac.advance(now, vms)
	ac.sequence++
	req := Request{Shard: ac.Shard, Sequence: ac.sequence}
	if ac.lent.vm == vm && now < ac.lent.until && !ac.lent.releasing {
		req.KeeperID, req.KeeperTime, ac.lent.announced = ac.lent.id, ac.lent.keeperTime, true
		req.LendsSlack = ac.lendSlack(now)
	}
	return req
}

// lendSlack lends this VM's part of the slack to the keeper that holds the lease,
// unless another keeper may have spent it within the window. It reports whether the
// part is lent.
func (ac *Account) lendSlack(now clock.Millis) bool {
	other := ac.slack.keeper != 0 && ac.slack.keeper != ac.lent.id
	if other && now < ac.slack.until+ac.Settings.Window {
		return false
	}
	ac.slack = slackLoan{keeper: ac.lent.id, until: ac.lent.until}
	return true
}

// endSlackLoan records that a keeper has confirmed the end of its lease. If that
// keeper is not in debt, the next one may get the VM's part of the slack at once.
func (ac *Account) endSlackLoan(now clock.Millis, rsp Response) {
	switch {
	case ac.slack.keeper != rsp.KeeperID:
	case rsp.InDebt:
		ac.slack.until = min(ac.slack.until, now)
	default:
		ac.slack = slackLoan{}
	}
}

// ReleaseRequest returns a request that ends a lease before it expires. From then
// on the lease is not renewed, but its keeper is used until another one holds it.
func (ac *Account) ReleaseRequest(now clock.Millis, vms int) Request {
	ac.lent.releasing = true
	req := ac.LeaseRequest(now, vms, ac.lent.vm)
	req.Release = true
	return req
}

// GiveBack returns tokens that were taken for a request that did not run. Some are
// kept here as credit; the request that is returned gives the rest back to the
// keeper. The second result reports whether there is such a request to send.
func (ac *Account) GiveBack(now clock.Millis, vms int, customer string, lim Limit, tokens float64) (Request, bool) {
	rest := ac.AddCredit(now, vms, customer, lim, tokens)
	if rest <= 0 || ac.Holder(now) == "" {
		return Request{}, false
	}
	req := ac.LeaseRequest(now, vms, ac.lent.vm)
	req.Customer, req.Returned = customer, rest
	return req, true
}

// AddCredit adds tokens to a customer's credit and returns those that exceed what this VM
// may hold.
func (ac *Account) AddCredit(now clock.Millis, vms int, customer string, lim Limit, tokens float64) (rest float64) {
	ac.advance(now, vms)
	credit := ac.creditOf(customer, lim, vms)
	kept := max(0, min(tokens, ac.Settings.slackTokensPerVM(lim, vms)-credit))
	ac.credits[customer] = credit + kept
	return tokens - kept
}

// ReturnTo returns a request that gives tokens, or a permit, back to the keeper process that
// granted them in response to the given request. The second result is false if that process
// no longer holds the lease, or if the lease is being released: the next process of the same
// VM, or another keeper, begins without tokens and would grant these in addition.
func (ac *Account) ReturnTo(now clock.Millis, vms int, process uint64, granted Request, tokens float64) (Request, bool) {
	if process == 0 || ac.HolderProcess(now) != process || ac.lent.releasing {
		return Request{}, false
	}
	req := ac.LeaseRequest(now, vms, ac.lent.vm)
	req.Customer, req.Server, req.Rate, req.Returned = granted.Customer, granted.Server, granted.Rate, tokens
	return req, true
}

// ApplyResponse applies a keeper's response to a request that was sent to vm at
// requestedAt. If another keeper holds the lease, the response changes only the
// credit.
func (ac *Account) ApplyResponse(now, requestedAt clock.Millis, vms int, vm string, req Request, lim Limit, rsp Response) {
	ac.advance(now, vms)
	if rsp.Credit > 0 {
		ac.credits[req.Customer] = ac.creditOf(req.Customer, lim, vms) + rsp.Credit
	}
	same := ac.lent.vm == vm && ac.lent.id == rsp.KeeperID
	switch {
	case same && req.Release:
		ac.lent.until = min(ac.lent.until, now)
		ac.endSlackLoan(now, rsp)
		return
	case !same && now < ac.lent.until, same && ac.lent.releasing && now < ac.lent.until:
		return
	case same && rsp.Time < ac.lent.keeperTime:
		return // a newer response was applied before
	}
	announced := same && now < ac.lent.until && ac.lent.announced
	ac.lent = loan{vm: vm, id: rsp.KeeperID, keeperTime: rsp.Time, requestedAt: requestedAt, until: max(ac.lent.until, now+LeaseDuration), announced: announced}
}

// Clone returns an account with the same tokens and lease, whose calls change nothing at
// this one.
func (ac *Account) Clone() *Account {
	out := *ac
	out.own, out.credits = maps.Clone(ac.own), maps.Clone(ac.credits)
	for customer, bu := range out.own {
		copied := *bu
		out.own[customer] = &copied
	}
	return &out
}

// Evict drops the state of all customers for which wanted returns false.
func (ac *Account) Evict(wanted func(customer string) bool) {
	for customer := range ac.own {
		if !wanted(customer) {
			delete(ac.own, customer)
		}
	}
	for customer := range ac.credits {
		if !wanted(customer) {
			delete(ac.credits, customer)
		}
	}
}
