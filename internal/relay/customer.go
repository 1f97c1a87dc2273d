package relay

import (
	"context"
	"errors"

	"alderdyke/internal/charge"
	"alderdyke/internal/event"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// unknownKeyLogInterval is the minimum time between two log lines about unknown
	// keys.
	unknownKeyLogInterval = 10 * clock.Second
	// maxCountedCustomers limits the customers that have counters by name, so that
	// the customers of a changing configuration do not fill the memory.
	maxCountedCustomers = 256
	// otherCustomers is the tag of all further customers.
	otherCustomers = "(others)"
)

type (
	// Charger charges requests to their customers' quotas.
	Charger interface {
		// Charge takes a request's tokens. The error is a refusal.Refusal.
		Charge(ctx context.Context, or charge.Order) error
		// GiveBack returns the tokens of a request that did not run.
		GiveBack(or charge.Order)
	}

	// unknownKeys counts requests with unknown keys between two log lines.
	unknownKeys struct {
		count      int
		lastLogged clock.Millis
	}
)

// PriorityOf returns the priority of a request by the configuration in force: that of its
// customer, or otherwise of its route; the lowest goes first.
func (rl *Relay) PriorityOf(host, path, keyHash string) int {
	tb := rl.table.Load()
	rt, ok := tb.Match(host, path)
	if !ok {
		return lowestPriority // it will be refused
	}
	if cu, ok := tb.CustomerByKeyHash(keyHash); ok && tb.RequiresKey() && cu.Priority >= 0 {
		return cu.Priority
	}
	return rt.Priority
}

// authenticate finds the customer of a request, and counts those with unknown keys.
func (rl *Relay) authenticate(tb *route.Table, ex *exchange, rt route.Route) error {
	err := rl.identify(tb, ex, rt)
	if err != nil {
		rl.recordUnknownKey(tb.Version())
	}
	return err
}

// identify finds the customer of a request: the one to which the configuration in
// force assigns its key. A request that was admitted continues if the key is removed
// later. A public route needs no key, but uses one that it gets.
func (rl *Relay) identify(tb *route.Table, ex *exchange, rt route.Route) error {
	ex.req.Keyed = tb.RequiresKey()
	if !ex.req.Keyed {
		return nil
	}
	ex.req.Customer = "" // ignores what the caller claims
	cu, ok := tb.CustomerByKeyHash(ex.req.KeyHash)
	switch {
	case ok:
		ex.req.Customer = cu.Name
		if cu.Priority >= 0 {
			ex.priority = cu.Priority
		}
		ex.order = rl.chargeOrder(ex.req, rt, cu)
		return nil
	case rt.Public:
		return nil
	}
	detail := "no customer has this API key"
	if ex.req.KeyFault != nil {
		detail = ex.req.KeyFault.Error()
	}
	return refuse(refusal.UnknownCustomer, 0, detail)
}

// chargeOrder returns what a request takes of its customer's quota; nil if there is
// no limit. If no quota keeper answers, the request waits as long as it would for a
// place.
func (rl *Relay) chargeOrder(req *Request, rt route.Route, cu route.Customer) *charge.Order {
	if !cu.Limit.Limited() {
		return nil
	}
	tokens := 0
	if req.Prompt != nil {
		tokens = req.Prompt.Tokens + req.Prompt.MaxOutput
	}
	return &charge.Order{Customer: cu.Name, Limit: cu.Limit, Tokens: cu.Cost(tokens), MaxWait: rl.placeWait(rt, false)}
}

// charge takes a request's tokens from its customer's quota.
func (rl *Relay) charge(ctx context.Context, ex *exchange) error {
	if ex.order == nil || rl.Charger == nil {
		return nil
	}
	return rl.Charger.Charge(ctx, rl.orderOf(ex, rl.isReturning))
}

// orderOf returns the order of a request with what is known of its caller. The function
// reports whether the caller returns, with the lock held.
func (rl *Relay) orderOf(ex *exchange, isReturning func(ex *exchange) bool) charge.Order {
	or := *ex.order
	if ex.req.Prompt != nil {
		or.ReturnWithin = ex.returnWithin(rl.now())
		rl.mu.Lock()
		or.Returning = isReturning(ex)
		rl.mu.Unlock()
	}
	return or
}

// refundQuota returns the tokens of a request that did not run.
func (rl *Relay) refundQuota(ex *exchange, err error) {
	rf, ok := errors.AsType[refusal.Refusal](err)
	if ex.order == nil || rl.Charger == nil || !ok || rf.Ran != refusal.NotRun || errors.Is(err, ErrCut) {
		return
	}
	rl.Charger.GiveBack(*ex.order)
}

// configuredCustomer returns the customer that the configuration assigns to a
// request; empty if there is none.
func (ex *exchange) configuredCustomer() string {
	if !ex.req.Keyed {
		return ""
	}
	return ex.req.Customer
}

// countCustomer counts the outcome of a request whose customer the configuration
// names.
func (rl *Relay) countCustomer(ex *exchange, outcome string) {
	if rl.Scope == nil || ex.configuredCustomer() == "" {
		return
	}
	switch outcome {
	case outcomeAnswered, outcomeCut, string(refusal.ShareExceeded):
	default:
		outcome = "Refused"
	}
	rl.count("Customers", map[string]string{"Customer": rl.customerTag(ex.req.Customer), "Outcome": outcome})
}

// customerTag returns the tag under which a customer is counted.
func (rl *Relay) customerTag(name string) string {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.customers == nil {
		rl.customers = make(map[string]struct{})
	}
	if _, ok := rl.customers[name]; !ok && len(rl.customers) >= maxCountedCustomers {
		return otherCustomers
	}
	rl.customers[name] = struct{}{}
	return name
}

// recordUnknownKey logs requests with unknown keys, at a limited rate because their
// senders may send many.
func (rl *Relay) recordUnknownKey(version uint64) {
	rl.count("UnknownKeys", nil)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	rl.unknown.count++
	if rl.unknown.lastLogged > 0 && now-rl.unknown.lastLogged < unknownKeyLogInterval {
		return
	}
	rl.Log.Log(event.RelayUnknownKey, event.F("Version", version), event.F("Count", rl.unknown.count))
	rl.unknown = unknownKeys{lastLogged: max(1, now)}
}
