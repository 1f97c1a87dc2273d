package ingress

import (
	"net"
	"net/http"
)

// maxHeaderBytes is the limit of net/http, which must not be met before those of a Listener.
const maxHeaderBytes = 64 << 20

// ownConn is a Conn, or a connection that embeds one.
type ownConn interface{ ingressConn() *Conn }

func (cn *Conn) ingressConn() *Conn { return cn }

// Prepare has a server leave the limits of heads to its Listener, and tell it when requests
// end. The connections that it accepts may embed those of the Listener.
func Prepare(hs *http.Server) {
	hs.MaxHeaderBytes = maxHeaderBytes
	allowHeaderValues(hs)
	next := hs.ConnState
	hs.ConnState = func(cn net.Conn, state http.ConnState) {
		if in, ok := cn.(ownConn); ok && state == http.StateIdle {
			in.ingressConn().endRequest()
		}
		if next != nil {
			next(cn, state)
		}
	}
}
