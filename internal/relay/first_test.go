package relay_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/relay"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Guards against a data race at the start: if the first request reads the settings
// while another goroutine fills in their defaults, its refusal may tell the caller to
// retry immediately instead of after the default time.
func TestFirstRequestGetsRetryAfter(t *testing.T) {
	rl := &relay.Relay{Servers: &servers{}, Rand: rand.New(rand.NewPCG(1, 2))}
	req := &relay.Request{ID: "r-1", Method: http.MethodGet, Host: "h", URI: "/x", Path: "/x", Header: http.Header{}, Arrived: clock.OrBoottime(nil).Now()}
	rf := refusalOf(t, rl.Serve(t.Context(), httptest.NewRecorder(), req))
	assert.Equal(t, rf.Reason, refusal.Starting)
	assert.Equal(t, rf.RetryAfter, relay.DefaultStartRetryAfter)
}
