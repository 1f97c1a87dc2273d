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
	// unknownKeyLogInterval is the least span between two log lines on unknown keys.
	unknownKeyLogInterval = 10 * clock.Second
	// maxCountedCustomers is how many customers have counters by name, so that those of a
	// configuration that changes do not fill the memory.
	maxCountedCustomers = 256
	// otherCustomers stands for those beyond.
	otherCustomers = "(others)"
)

type (
	// Charger charges requests to their customers' quotas.
	Charger interface {
		// Charge takes a request's tokens. The error is a refusal.Refusal.
		Charge(ctx context.Context, or charge.Order) error
		// GiveBack gives back what was taken for a request that did not run.
		GiveBack(or charge.Order)
	}

	// unknownKeys counts requests with unknown keys between two log lines.
	unknownKeys struct {
		count      int
		lastLogged clock.Millis
	}
)

// authenticate finds the customer of a request: whom its key speaks for by the
// configuration that applies to it. A request that was let in goes on if the key is
// taken away then. A public route needs no key, and heeds one that it gets.
func (rl *Relay) authenticate(tb *route.Table, ex *exchange, rt route.Route) error {
	ex.req.Keyed = tb.Keyed()
	if !ex.req.Keyed {
		return nil
	}
	ex.req.Customer = "" // whatever the caller says of itself
	cu, ok := tb.CustomerOf(ex.req.KeyHash)
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
	rl.recordUnknownKey(tb.Version())
	detail := "no customer has this API key"
	if ex.req.KeyFault != nil {
		detail = ex.req.KeyFault.Error()
	}
	return refuse(refusal.UnknownCustomer, 0, detail)
}

// chargeOrder is what a request takes of its customer's quota; nil: there is no limit.
// Where no keeper of quotas answers, it waits for as long as for a place.
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
	return rl.Charger.Charge(ctx, *ex.order)
}

// refundQuota gives back what was taken for a request that did not run.
func (rl *Relay) refundQuota(ex *exchange, err error) {
	rf, ok := errors.AsType[refusal.Refusal](err)
	if ex.order == nil || rl.Charger == nil || !ok || rf.Ran != refusal.NotRun || errors.Is(err, ErrCut) {
		return
	}
	rl.Charger.GiveBack(*ex.order)
}

// configuredCustomer is the customer that the configuration names for a request; empty: none.
func (ex *exchange) configuredCustomer() string {
	if !ex.req.Keyed {
		return ""
	}
	return ex.req.Customer
}

// countCustomer counts how a request of a customer that the configuration names ended.
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

// customerTag is the name under which a customer is customerTag.
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

// recordUnknownKey tells of requests with unknown keys, now and then: whoever sends them
// may send many.
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
