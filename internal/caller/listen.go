package caller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/samber/oops"

	"alderdyke/internal/ingress"
	"alderdyke/internal/memory"
	"alderdyke/internal/sockopt"
	"alderdyke/pkg/refusal"
)

// headerSlop is what net/http allows beyond Limits.HeaderBytes.
const headerSlop = 4 << 10

// refusals are what is told to callers whose requests were refused before they were read.
var refusals = map[ingress.Cause]refusal.Refusal{
	ingress.TooLarge: {Ran: refusal.NotRun, Reason: refusal.TooLarge, Detail: "the headers are too large"},
	ingress.Slow:     {Ran: refusal.NotRun, Reason: refusal.BadRequest, Detail: "the headers came too slowly"},
	ingress.NoMemory: {Ran: refusal.NotRun, Reason: refusal.QueueFull, RetryAfter: memory.RetryAfter, Detail: "the memory for headers is used up"},
	ingress.NoPlace:  {Ran: refusal.NotRun, Reason: refusal.TooManyConnections, RetryAfter: memory.RetryAfter, Detail: "connection limit of this VM"},
}

// listen opens the callers' address.
func (srv *Server) listen(ctx context.Context) (*ingress.Listener, error) {
	cfg := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: srv.limits.KeepAlive.Std(), Interval: srv.limits.KeepAlive.Std() / 2, Count: keepAliveProbes,
		},
		Control: sockopt.UserTimeoutControl(2 * srv.limits.WriteTimeout), // connections inherit it
	}
	base, err := cfg.Listen(ctx, "tcp", srv.Listen)
	if err != nil {
		return nil, oops.In("caller").With("Address", srv.Listen).Wrapf(err, "listen for callers")
	}
	lim := ingress.Limits{HeadBytes: srv.limits.HeaderBytes + headerSlop, HeadTimeout: srv.limits.HeaderTimeout, IdleTimeout: srv.limits.IdleTimeout}
	return &ingress.Listener{
		Listener: base, Name: "Callers", Limits: func() ingress.Limits { return lim }, Scope: srv.scope.SubScope("Ingress"), Log: srv.Logger,
		HeadMemory: srv.limits.HeadMemory, Connections: srv.limits.Connections, ConnectionsPerIP: srv.limits.ConnectionsPerIP,
		Response: earlyResponse, OnRefused: srv.countRejected,
	}, nil
}

// earlyResponse returns the answer to a request that was refused before it was read.
func earlyResponse(cs ingress.Cause) []byte {
	rf := refusals[cs]
	body, err := json.Marshal(errorBody{rf})
	if err != nil {
		body = nil // the status and the header tell enough
	}
	return ingress.Response(cs, "application/json", http.Header{headerRefusal: {string(rf.Reason)}}, string(body))
}

func (srv *Server) countRejected(cs ingress.Cause) {
	if cs == ingress.NoPlace {
		srv.count("ConnectionsTurnedAway")
	}
}

// remoteIP returns the IP address of a caller, without its port.
func remoteIP(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	return host
}
