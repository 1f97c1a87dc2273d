package ingress

import (
	"context"
	"net"
	"net/http"
)

// maxHeaderBytes is the limit of net/http, which must not be met before those of a Listener.
const maxHeaderBytes = 64 << 20

type (
	// carrier is a Conn, or a connection that embeds one.
	carrier interface{ ingressConn() *Conn }

	// connKey is the context key of a request's Conn.
	connKey struct{}
)

func (cn *Conn) ingressConn() *Conn { return cn }

// Prepare has a server leave the limits of heads to its Listener, and tell it when requests
// begin and end. The connections that it accepts may embed those of the Listener. The server
// must have its Handler.
func Prepare(hs *http.Server) {
	hs.MaxHeaderBytes = maxHeaderBytes
	allowHeaderValues(hs)
	hs.ConnState = trackState(hs.ConnState)
	hs.ConnContext = withConn(hs.ConnContext)
	hs.Handler = noteHandled(hs.Handler)
}

// HasAmbiguousLength reports whether the end of the request with this context can be read in
// two ways. net/http merges equal Content-Length headers and drops a Content-Length next to
// Transfer-Encoding, so that a handler can't tell by itself.
func HasAmbiguousLength(ctx context.Context) bool {
	cn, ok := ctx.Value(connKey{}).(*Conn)
	return ok && cn.ambiguous.Load()
}

func trackState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(cn net.Conn, state http.ConnState) {
		if in, ok := cn.(carrier); ok && state == http.StateIdle {
			in.ingressConn().endRequest()
		}
		if next != nil {
			next(cn, state)
		}
	}
}

func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, cn net.Conn) context.Context {
		if in, ok := cn.(carrier); ok {
			ctx = context.WithValue(ctx, connKey{}, in.ingressConn())
		}
		if next != nil {
			ctx = next(ctx, cn)
		}
		return ctx
	}
}

func noteHandled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if cn, ok := req.Context().Value(connKey{}).(*Conn); ok {
			cn.handled.Store(true)
		}
		next.ServeHTTP(wr, req)
	})
}
