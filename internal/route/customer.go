package route

import "alderdyke/internal/apikey"

// WithCustomers returns a copy of the table with the given customers. Callers then
// need a customer's key. A key that two customers share identifies neither of them.
func (tb *Table) WithCustomers(list []Customer) *Table {
	out := *tb
	out.hasLimits = false
	out.requiresKey, out.customers, out.customerByHash = true, make(map[string]Customer, len(list)), make(map[string]string)
	shared := make(map[string]bool)
	for _, cu := range list {
		out.customers[cu.Name] = cu
		out.hasLimits = out.hasLimits || cu.Limit.Limited()
		for _, hash := range cu.KeyHashes {
			if other, taken := out.customerByHash[hash]; taken && other != cu.Name {
				shared[hash] = true
			}
			out.customerByHash[hash] = cu.Name
		}
	}
	for hash := range shared {
		delete(out.customerByHash, hash)
	}
	return &out
}

// RequiresKey reports whether callers need a customer's key.
func (tb *Table) RequiresKey() bool { return tb != nil && tb.requiresKey }

// HasLimits reports whether any customer has a limit.
func (tb *Table) HasLimits() bool { return tb != nil && tb.hasLimits }

// Customer returns the customer with the name.
func (tb *Table) Customer(name string) (Customer, bool) {
	if tb == nil {
		return Customer{}, false
	}
	cu, ok := tb.customers[name]
	return cu, ok
}

// CustomerByKeyHash returns the customer that owns the key with the hash.
func (tb *Table) CustomerByKeyHash(hash string) (Customer, bool) {
	if tb == nil {
		return Customer{}, false
	}
	cu := tb.customers[tb.customerByHash[hash]]
	return cu, apikey.ContainsHash(hash, cu.KeyHashes)
}

// Cost returns the amount that a request counts towards the limit; tokens is the
// number of tokens that the request states, or zero if it states none.
func (cu Customer) Cost(tokens int) float64 {
	switch {
	case cu.CountRequests:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(max(0, cu.DefaultTokens))
	}
}
