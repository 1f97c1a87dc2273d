package engine_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/engine"
	"alderdyke/internal/standin"
	"alderdyke/pkg/clock"
)

// OrderIf checks the lease once the connection is established: if the lease expired
// meanwhile, for example in a pause of the process, no byte of the order is sent.
func TestOrderIfChecksOnceConnected(t *testing.T) {
	const lease, connects = 5 * clock.Second, 6 * clock.Second
	for _, tc := range []struct {
		name  string
		pause clock.Millis
		sent  bool
	}{{"held", 0, true}, {"ended", connects, false}} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, bn enginePair) {
				asked := 0
				ec := &engine.Client{HTTP: slowDial(bn.nw, tc.pause), Self: bn.ec.Self}
				until := time.Now().Add(lease.Std())
				_, err := ec.OrderIf(t.Context(), bn.ds, engine.Order{Kind: engine.LoadModel, Name: "m", Fence: 3}, func() bool {
					asked++
					return time.Now().Before(until)
				})
				if tc.sent {
					assert.NilError(t, err)
				} else {
					assert.Assert(t, errors.Is(err, backend.ErrWithheld) && backend.NotRun(err), "%v", err)
				}
				assert.Assert(t, asked > 0)
				assert.Equal(t, len(bn.dec.History().Orders) == 1, tc.sent)
				ec.HTTP.CloseIdleConnections()
			})
		})
	}
}

// slowDial returns a client whose connections take longer to establish.
func slowDial(nw *standin.Network, pause clock.Millis) *http.Client {
	return backend.NewHTTP(backend.Limits{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(pause.Std())
		return nw.Dial(ctx, network, address)
	}})
}
