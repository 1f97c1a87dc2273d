package route

import "alderdyke/internal/apikey"

// WithCustomers is the table with customers, whose keys callers then need. A key
// that two customers have is nobody's.
func (tb *Table) WithCustomers(list []Customer) *Table {
	out := *tb
	out.limited = false
	out.keyed, out.customers, out.byKey = true, make(map[string]Customer, len(list)), make(map[string]string)
	shared := make(map[string]bool)
	for _, cu := range list {
		out.customers[cu.Name] = cu
		out.limited = out.limited || cu.Limit.Limited()
		for _, hash := range cu.KeyHashes {
			if other, taken := out.byKey[hash]; taken && other != cu.Name {
				shared[hash] = true
			}
			out.byKey[hash] = cu.Name
		}
	}
	for hash := range shared {
		delete(out.byKey, hash)
	}
	return &out
}

// Keyed tells whether callers need a customer's key.
func (tb *Table) Keyed() bool { return tb != nil && tb.keyed }

// Limited tells whether any customer has a limit.
func (tb *Table) Limited() bool { return tb != nil && tb.limited }

// Customer finds a customer by its name.
func (tb *Table) Customer(name string) (Customer, bool) {
	if tb == nil {
		return Customer{}, false
	}
	cu, ok := tb.customers[name]
	return cu, ok
}

// CustomerOf finds the customer whose key has the hash.
func (tb *Table) CustomerOf(hash string) (Customer, bool) {
	if tb == nil {
		return Customer{}, false
	}
	cu := tb.customers[tb.byKey[hash]]
	return cu, apikey.Among(hash, cu.KeyHashes)
}

// Cost is what a request counts towards the limit. It names so many tokens; zero:
// it names none.
func (cu Customer) Cost(tokens int) float64 {
	switch {
	case cu.ByRequest:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(max(0, cu.PlainTokens))
	}
}
