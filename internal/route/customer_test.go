package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/apikey"
	"alderdyke/internal/quota"
	"alderdyke/internal/route"
)

func keyed(t *testing.T, list ...route.Customer) *route.Table {
	t.Helper()
	tb, err := route.New(1, nil, nil)
	assert.NilError(t, err)
	return tb.WithCustomers(list)
}

func TestCustomerOf(t *testing.T) {
	tb := keyed(t,
		route.Customer{Name: "a", KeyHashes: []string{apikey.Of("k1"), apikey.Of("k2")}},
		route.Customer{Name: "b", KeyHashes: []string{apikey.Of("k3"), apikey.Of("shared")}},
		route.Customer{Name: "c", KeyHashes: []string{apikey.Of("shared")}},
		route.Customer{Name: "none"})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "shared": "", "k4": "", "": ""} {
		cu, ok := tb.CustomerOf(apikey.Of(key))
		assert.Equal(t, ok, want != "", key)
		if ok {
			assert.Equal(t, cu.Name, want, key)
		}
	}
	_, ok := tb.CustomerOf("")
	assert.Assert(t, !ok)
	_, ok = tb.Customer("none")
	assert.Assert(t, ok && tb.Keyed() && !tb.Limited())
	assert.Assert(t, keyed(t, route.Customer{Limit: quota.Limit{Rate: 1}}, route.Customer{}).Limited())
	// A table of nobody asks for keys that nobody has; one that names no customers
	// asks for none.
	assert.Assert(t, keyed(t).Keyed())
	assert.Assert(t, !(*route.Table)(nil).Keyed())
	_, ok = (*route.Table)(nil).CustomerOf(apikey.Of("k1"))
	assert.Assert(t, !ok)
}

func TestCost(t *testing.T) {
	tokens := route.Customer{PlainTokens: 200}
	assert.Equal(t, tokens.Cost(7000), 7000.0)
	assert.Equal(t, tokens.Cost(0), 200.0)
	assert.Equal(t, tokens.Cost(-7000), 200.0, "nobody earns tokens by a request")
	assert.Equal(t, route.Customer{PlainTokens: -5}.Cost(0), 0.0)
	assert.Equal(t, route.Customer{ByRequest: true, PlainTokens: 200}.Cost(7000), 1.0)
}
