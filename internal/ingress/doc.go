// Package ingress bounds what the connections of one HTTP/1 address hold before a handler
// runs.
//
// net/http parses a head as it arrives and has no handler decide about it. A parsed head takes
// up to a hundred times its bytes, a head that is never finished holds what it took until its
// timeout, and nothing bounds the sum. A [Listener] therefore collects each head itself, as
// bytes, and passes it on when it is whole and there is memory for its request:
//
//   - A head has at most Limits.HeadBytes, and Limits.HeadTimeout to arrive.
//   - An ordinary head, of up to [OrdinaryCost], comes with its connection and is always passed
//     on. What another one takes beyond that is charged: its bytes while it arrives, then
//     [HeadCost] until its request has ended. All that is charged together is at most
//     Listener.HeadMemory, but a head is never refused when nothing else is charged.
//   - A head that is refused is answered here, with a status that says that its request did
//     not run, and its connection is closed. Nobody else yields to it: what is charged is large
//     heads, so that they only keep out each other.
//
// Connections have places. Where all are taken, the connection that waits longest for its
// client yields its place to a new one, of the address that has most of them: it is new or idle,
// its head is not whole, or the next bytes of its body do not come. A client that connects and
// sends nothing thus keeps out nobody. Handlers must not run a request before they have read its
// body. A connection whose request was received does not yield, and where there is no other,
// the new one is refused.
//
// A Conn follows the framing of bodies to find the next head. Where net/http and it disagree
// about the end of a body, the connection ends with that request.
//
// # Usage
//
//	ln := &ingress.Listener{Listener: base, HeadMemory: 8 << 20, Limits: inForce, Scope: scope, Log: log, Name: "Callers"}
//	hs := &http.Server{Handler: handler}
//	ingress.Prepare(hs)
//	err := hs.Serve(ln)
package ingress
