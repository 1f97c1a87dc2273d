package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"alderdyke/internal/apikey"
	"alderdyke/internal/relay"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
)

// Requests are counted by the customer that the configuration names, regardless of
// what a caller claims, and the number of customers with counters of their own is
// limited.
func TestRequestsAreCountedByCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, _ := newRig(t)
		scope := tally.NewTestScope("", nil)
		rl.Scope = scope
		const many = 300
		var list []route.Customer
		for ix := range many {
			list = append(list, route.Customer{Name: fmt.Sprintf("c%d", ix), Priority: -1, KeyHashes: []string{apikey.HashKey(fmt.Sprintf("k%d", ix))}})
		}
		tb, err := route.New(5, []route.Route{{Name: "again", Host: "h", Prefix: "/again/", Kind: route.Idempotent,
			Shares: []route.Share{{Service: "plain", Weight: 1}}, Timeout: clock.Second, MaxAttempts: 1}}, []route.Service{{Name: "plain"}})
		assert.NilError(t, err)
		assert.Assert(t, rl.Configure(tb.WithCustomers(list)))
		ask := func(key string) {
			req := &relay.Request{ID: "r", Method: http.MethodPost, Host: "h", URI: "/again/x", Path: "/again/x", Header: http.Header{},
				Arrived: rl.Clock.Now(), Customer: "another", KeyHash: apikey.HashKey(key)}
			_ = rl.Serve(t.Context(), httptest.NewRecorder(), req)
		}
		ask("k7")
		ask("k7")
		ask("nobody's")
		for ix := range many {
			ask(fmt.Sprintf("k%d", ix))
		}
		counted := make(map[string]int64)
		for _, cn := range scope.Snapshot().Counters() {
			if cn.Name() == "Customers" {
				counted[cn.Tags()["Customer"]] += cn.Value()
			}
		}
		assert.Equal(t, counted["c7"], int64(3))
		assert.Equal(t, counted["another"], int64(0))
		assert.Equal(t, len(counted), 257)
		assert.Equal(t, counted["(others)"], int64(many-256))
	})
}
