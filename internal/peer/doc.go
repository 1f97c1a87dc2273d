// Package peer carries the traffic between the entry VMs.
//
// Calls and long-lived streams run over TCP: yamux over TLS 1.3, one session for each
// pair of VMs and direction, dialled on first use and closed when idle. Every VM derives
// the same key pair from the shared secret, and each side accepts only that public key,
// so nothing but the secret has to be distributed. The first message on a session
// identifies the sender; a session that reached another VM than the intended one is
// closed.
//
// Small membership messages run over UDP on the same port. Each carries a truncated HMAC
// and a sequence number, and a sliding window drops duplicates and replays.
//
// # Usage
//
//	tr := &peer.Transport{Self: self, Listen: "10.0.0.1:7400", Secret: secret, Handler: hd}
//	go tr.Run(ctx)
//	<-tr.Ready()
//	reply, err := tr.Call(ctx, vm, &peerpb.Frame{Body: &peerpb.Frame_ClaimAsk{ClaimAsk: ask}})
//	var ns peer.NotSentError
//	if errors.As(err, &ns) { ... } // the peer never received the request
//
// A long-lived stream:
//
//	cn, err := tr.Open(ctx, vm)
//	defer cn.Close()
//	err = cn.Send(ask)
//	for {
//		fr, err := cn.Recv() // io.EOF: closed by the peer; ErrSessionLost: the peer is unreachable
//	}
//
// # Failure detection
//
// While streams are open on a session, the VM that dialled it sends a ping when nothing
// was received for KeepAlive, and closes the session when the reply takes longer than
// PingTimeout. The other side closes it when it received nothing for twice KeepAlive plus
// PingTimeout. A session without streams sends nothing; before it is used again after a
// silence it is checked with one ping, so that a stale session costs a round trip instead
// of a call with an unknown outcome.
package peer
