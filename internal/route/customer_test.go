package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/apikey"
	"alderdyke/internal/quota"
	"alderdyke/internal/route"
)

func tableWithCustomers(t *testing.T, list ...route.Customer) *route.Table {
	t.Helper()
	tb, err := route.New(1, nil, nil)
	assert.NilError(t, err)
	return tb.WithCustomers(list)
}

func TestCustomerByKeyHash(t *testing.T) {
	tb := tableWithCustomers(t,
		route.Customer{Name: "a", KeyHashes: []string{apikey.HashKey("k1"), apikey.HashKey("k2")}},
		route.Customer{Name: "b", KeyHashes: []string{apikey.HashKey("k3"), apikey.HashKey("shared")}},
		route.Customer{Name: "c", KeyHashes: []string{apikey.HashKey("shared")}},
		route.Customer{Name: "none"})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "shared": "", "k4": "", "": ""} {
		cu, ok := tb.CustomerByKeyHash(apikey.HashKey(key))
		assert.Equal(t, ok, want != "", key)
		if ok {
			assert.Equal(t, cu.Name, want, key)
		}
	}
	_, ok := tb.CustomerByKeyHash("")
	assert.Assert(t, !ok)
	_, ok = tb.Customer("none")
	assert.Assert(t, ok && tb.RequiresKey() && !tb.HasLimits())
	assert.Assert(t, tableWithCustomers(t, route.Customer{Limit: quota.Limit{Rate: 1}}, route.Customer{}).HasLimits())
	// A table with an empty list of customers requires keys that nobody has; a table
	// without customers requires none.
	assert.Assert(t, tableWithCustomers(t).RequiresKey())
	assert.Assert(t, !(*route.Table)(nil).RequiresKey())
	_, ok = (*route.Table)(nil).CustomerByKeyHash(apikey.HashKey("k1"))
	assert.Assert(t, !ok)
}

func TestCost(t *testing.T) {
	tokens := route.Customer{DefaultTokens: 200}
	assert.Equal(t, tokens.Cost(7000), 7000.0)
	assert.Equal(t, tokens.Cost(0), 200.0)
	assert.Equal(t, tokens.Cost(-7000), 200.0, "a request must not add tokens to the quota")
	assert.Equal(t, route.Customer{DefaultTokens: -5}.Cost(0), 0.0)
	assert.Equal(t, route.Customer{CountRequests: true, DefaultTokens: 200}.Cost(7000), 1.0)
}
