package quota

import "alderdyke/pkg/clock"

type (
	// Account is what one VM has of the customers' tokens. Set the exported fields
	// before use.
	Account struct {
		Settings Settings
		Shard    int // whose keepers it asks

		lent    loan
		slack   slackLoan
		number  uint64
		own     map[string]*ownBucket
		credits map[string]float64
		now     clock.Millis
		alone   float64 // span for which the whole fleet would have had this VM's own part, in ms
	}

	// ownBucket is a customer's tokens of this VM's own part.
	ownBucket struct {
		bucket
		now clock.Millis // when what was taken of the slack was looked at last
	}

	// slackLoan is the part of the slack that this VM lends.
	slackLoan struct {
		keeper uint64       // the process that it was lent to last; zero: none
		until  clock.Millis // when the last lease with it runs out, by this VM's clock
	}

	// loan is the lease on this VM's part, as the VM that lends it sees it.
	loan struct {
		vm    string
		id    uint64       // of the keeper's process
		heard clock.Millis // the keeper's own time in its last answer
		since clock.Millis // when that answer was asked for
		until clock.Millis // when the lease runs out, by this VM's clock
		ends  bool         // it is not renewed any more
		told  bool         // the keeper was told that it holds the lease
	}
)

// Credit is the tokens of a customer that this VM holds as credit.
func (ac *Account) Credit(now clock.Millis, vms int, customer string, lim Limit) float64 {
	ac.advance(now, vms)
	return ac.creditOf(customer, lim, vms)
}

// Alone is the most that TakeAlone takes now.
func (ac *Account) Alone(now clock.Millis, vms int, customer string, lim Limit) float64 {
	ac.advance(now, vms)
	spare := ac.Settings.spareOf(lim, vms)
	bu := ac.ownOf(customer)
	bu.fill(ac.alone, lim, 1/float64(max(1, vms)))
	bu.recover(now, spare, ac.Settings.Window)
	return max(0, bu.level+spare+ac.creditOf(customer, lim, vms))
}

// Take takes a request's tokens from the credit that this VM holds, and tells
// whether they were there.
func (ac *Account) Take(now clock.Millis, vms int, customer string, lim Limit, tokens float64) bool {
	ac.advance(now, vms)
	credit := ac.creditOf(customer, lim, vms)
	if credit < tokens {
		return false
	}
	ac.credits[customer] = credit - tokens
	return true
}

// TakeAlone takes them from this VM's own part of the limit, where no keeper
// answers. While a keeper may hold a lease on that part no more comes in, but what
// is there is this VM's.
func (ac *Account) TakeAlone(now clock.Millis, vms int, customer string, lim Limit, tokens float64) bool {
	if ac.Alone(now, vms, customer, lim) < tokens {
		return false
	}
	credit := ac.creditOf(customer, lim, vms)
	ac.credits[customer] = max(0, credit-tokens)
	ac.ownOf(customer).level -= max(0, tokens-credit)
	return true
}

// advance counts how long this VM had its own part.
func (ac *Account) advance(now clock.Millis, vms int) {
	if ac.own == nil {
		ac.own, ac.credits, ac.now = make(map[string]*ownBucket), make(map[string]float64), now
	}
	if now <= ac.now {
		return
	}
	ac.alone += float64(max(0, now-max(ac.now, ac.lent.until))) / float64(max(1, vms))
	ac.now = now
}

func (ac *Account) ownOf(customer string) *ownBucket {
	bu := ac.own[customer]
	if bu == nil {
		bu = &ownBucket{bucket: bucket{at: ac.alone}, now: ac.now}
		ac.own[customer] = bu
	}
	return bu
}

// recover gives back what was taken of the slack, all of it within a window,
// whether this VM has its own part or lends it.
func (ob *ownBucket) recover(now clock.Millis, spare float64, window clock.Millis) {
	if ob.level < 0 && window > 0 {
		ob.level = min(0, ob.level+spare*float64(now-ob.now)/float64(window))
	}
	ob.now = now
}

func (ac *Account) creditOf(customer string, lim Limit, vms int) float64 {
	return min(ac.credits[customer], ac.Settings.spareOf(lim, vms))
}

// Low tells whether credit is to be asked for: there is less than two requests of
// a size take, and room for it.
func (ac *Account) Low(vms int, customer string, lim Limit, tokens float64) bool {
	most := ac.Settings.spareOf(lim, vms)
	return most >= tokens && ac.creditOf(customer, lim, vms) < min(most, 2*tokens)
}

// Holder is the VM that holds a lease on this VM's part; empty: none does.
func (ac *Account) Holder(now clock.Millis) string {
	if now < ac.lent.until {
		return ac.lent.vm
	}
	return ""
}

// LeaseLeft is how long the lease on this VM's part goes on.
func (ac *Account) LeaseLeft(now clock.Millis) clock.Millis { return max(0, ac.lent.until-now) }

// Due tells whether a lease with a keeper is to be begun, told or renewed.
func (ac *Account) Due(now clock.Millis, vm string) bool {
	return ac.lent.vm != vm || !ac.lent.told || now-ac.lent.since >= Renew
}

// Ask is what a keeper is asked: for a request's tokens, and for as much credit as is
// wanting. It is to be the keeper that holds the lease, if one does.
func (ac *Account) Ask(now clock.Millis, vms int, vm, customer string, lim Limit, tokens float64) Ask {
	ask := ac.Word(now, vms, vm)
	ask.Customer, ask.Need = customer, tokens
	ask.Ahead = max(0, ac.Settings.spareOf(lim, vms)-ac.creditOf(customer, lim, vms))
	return ask
}

// Word is what a keeper is told for its lease alone.
func (ac *Account) Word(now clock.Millis, vms int, vm string) Ask {
	ac.advance(now, vms)
	ac.number++
	ask := Ask{Shard: ac.Shard, Number: ac.number}
	if ac.lent.vm == vm && now < ac.lent.until && !ac.lent.ends {
		ask.Keeper, ask.Heard, ac.lent.told = ac.lent.id, ac.lent.heard, true
		ask.Slack = ac.lendSlack(now)
	}
	return ask
}

// lendSlack lends the part of the slack to the keeper that holds the lease, unless
// another one may have spent it within the window.
func (ac *Account) lendSlack(now clock.Millis) bool {
	other := ac.slack.keeper != 0 && ac.slack.keeper != ac.lent.id
	if other && now < ac.slack.until+ac.Settings.Window {
		return false
	}
	ac.slack = slackLoan{keeper: ac.lent.id, until: ac.lent.until}
	return true
}

// endSlack notes that a keeper has released its lease.
func (ac *Account) endSlack(now clock.Millis, ans Answer) {
	switch {
	case ac.slack.keeper != ans.Keeper:
	case ans.Owes:
		ac.slack.until = min(ac.slack.until, now)
	default:
		ac.slack = slackLoan{}
	}
}

// Release is the word by which a lease ends before it has run out. From then on it
// is not renewed; the keeper is asked still, until another one is.
func (ac *Account) Release(now clock.Millis, vms int) Ask {
	ac.lent.ends = true
	ask := ac.Word(now, vms, ac.lent.vm)
	ask.Release = true
	return ask
}

// GiveBack is the word by which tokens that were taken for a request that did not
// run are given back, beyond what is kept here as credit. The second result tells
// whether there are any.
func (ac *Account) GiveBack(now clock.Millis, vms int, customer string, lim Limit, tokens float64) (Ask, bool) {
	ac.advance(now, vms)
	credit := ac.creditOf(customer, lim, vms)
	kept := max(0, min(tokens, ac.Settings.spareOf(lim, vms)-credit))
	ac.credits[customer] = credit + kept
	if tokens -= kept; tokens <= 0 || ac.Holder(now) == "" {
		return Ask{}, false
	}
	ask := ac.Word(now, vms, ac.lent.vm)
	ask.Customer, ask.Back = customer, tokens
	return ask, true
}

// Answered takes a keeper's answer to what was asked at a point. An answer of a
// keeper that does not hold the lease while another one does changes nothing but
// the credit.
func (ac *Account) Answered(now, asked clock.Millis, vms int, vm string, ask Ask, lim Limit, ans Answer) {
	ac.advance(now, vms)
	if ans.Credit > 0 {
		ac.credits[ask.Customer] = ac.creditOf(ask.Customer, lim, vms) + ans.Credit
	}
	same := ac.lent.vm == vm && ac.lent.id == ans.Keeper
	switch {
	case same && ask.Release:
		ac.lent.until = min(ac.lent.until, now)
		ac.endSlack(now, ans)
		return
	case !same && now < ac.lent.until, same && ac.lent.ends && now < ac.lent.until:
		return
	case same && ans.Time < ac.lent.heard:
		return // a newer one came before
	}
	told := same && now < ac.lent.until && ac.lent.told
	ac.lent = loan{vm: vm, id: ans.Keeper, heard: ans.Time, since: asked, until: max(ac.lent.until, now+Lease), told: told}
}

// Forget drops what is kept of customers that are not wanted any more.
func (ac *Account) Forget(wanted func(customer string) bool) {
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
