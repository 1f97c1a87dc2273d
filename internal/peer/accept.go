package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/refusal"
)

// acceptRetryPause is the pause after a failed accept.
const acceptRetryPause = 100 * time.Millisecond

// pendingHandshakes holds the connections that have not authenticated yet, the oldest
// first. A new connection evicts the oldest: a VM needs a few milliseconds for its
// handshake, while a slow unauthenticated client uses all the time that it gets.
type pendingHandshakes struct {
	conns []net.Conn
}

// add adds a connection and returns the one that it evicts, if any.
func (hs *pendingHandshakes) add(cn net.Conn, limit int) net.Conn {
	hs.conns = append(hs.conns, cn)
	if len(hs.conns) <= limit {
		return nil
	}
	oldest := hs.conns[0]
	hs.remove(oldest)
	return oldest
}

func (hs *pendingHandshakes) remove(cn net.Conn) {
	for ix, have := range hs.conns {
		if have == cn {
			hs.conns = append(hs.conns[:ix], hs.conns[ix+1:]...)
			return
		}
	}
}

func (hs *pendingHandshakes) closeAll() {
	for _, cn := range hs.conns {
		_ = cn.Close()
	}
	hs.conns = nil
}

// acceptLoop accepts connections until the listener is closed. Other errors, such as too
// many open files, are temporary.
func (tr *Transport) acceptLoop(ln net.Listener) error {
	for {
		raw, err := ln.Accept()
		switch {
		case err == nil:
			tr.admit(raw)
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		default:
			tr.acceptBackoff()
		}
	}
}

// acceptBackoff waits before the next accept after a failed one.
func (tr *Transport) acceptBackoff() {
	tm := time.NewTimer(acceptRetryPause)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-tr.runCtx.Done():
	}
}

// admit starts the handshake, and evicts the oldest pending one if there are too many.
func (tr *Transport) admit(raw net.Conn) {
	tr.mu.Lock()
	if tr.stopped {
		tr.mu.Unlock()
		_ = raw.Close()
		return
	}
	evicted := tr.pending.add(raw, tr.Limits.MaxHandshakes)
	tr.group.Go(func() { tr.serveConn(raw) })
	tr.mu.Unlock()
	if evicted != nil {
		tr.count.refused[refusedManyHandshakes].Inc(1)
		_ = evicted.Close()
	}
}

// serveConn serves one connection until it ends.
func (tr *Transport) serveConn(raw net.Conn) {
	ss, reason, err := tr.accept(raw)
	tr.mu.Lock()
	tr.pending.remove(raw)
	tr.mu.Unlock()
	if err != nil {
		_ = raw.Close()
		tr.recordRefusal(reason, raw, err)
		return
	}
	tr.serveSession(ss)
}

// recordRefusal counts a refused connection, and logs the refusals that a wrong secret, a
// wrong VM or the limit of sessions causes.
func (tr *Transport) recordRefusal(reason string, raw net.Conn, err error) {
	tr.count.refused[reason].Inc(1)
	address := event.F("Address", raw.RemoteAddr().String())
	switch reason {
	case refusedUntrusted:
		tr.warnLimited(event.PeerUntrusted, address)
	case refusedWrongVM, refusedStaleIncarnation:
		tr.warnLimited(event.PeerWrongVM, address, event.F("Error", err.Error()))
	case refusedManySessions:
		tr.warnLimited(event.PeerLimit, address, event.F("Limit", tr.Limits.MaxSessions))
	}
}

// accept establishes a session on a connection, or returns the reason for refusing it.
func (tr *Transport) accept(raw net.Conn) (*session, string, error) {
	if err := tr.setHandshakeDeadline(raw); err != nil {
		return nil, refusedHandshake, err
	}
	wr := tr.newTrackedConn(raw)
	tc := tls.Server(wr, tr.id.server)
	if err := tc.HandshakeContext(tr.runCtx); err != nil {
		reason := refusedHandshake
		if isUntrusted(err) {
			reason = refusedUntrusted
		}
		return nil, reason, fmt.Errorf("TLS handshake: %w", err)
	}
	hl, err := readHello(tc)
	if err != nil {
		return nil, refusedHello, err
	}
	from := board.VMRef{ID: hl.GetID(), Incarnation: hl.GetIncarnation()}
	if hl.GetTo() != tr.Self.ID {
		// The hello informs the other side which VM it reached.
		err := errors.Join(WrongVMError{Want: board.VMRef{ID: hl.GetTo()}, Got: tr.Self}, tr.sendHello(tc, from.ID))
		return nil, refusedWrongVM, err
	}
	return tr.addAccepted(tc, wr, from)
}

// isUntrusted reports whether a handshake failed because of a wrong key on either side.
func isUntrusted(err error) bool {
	var ue UntrustedError
	var alert tls.AlertError
	var remote *net.OpError
	if errors.As(err, &ue) || errors.As(err, &alert) {
		return true
	}
	return errors.As(err, &remote) && remote.Op == "remote error"
}

// addAccepted checks the limits, answers the hello and adds the session to the list.
func (tr *Transport) addAccepted(tc *tls.Conn, wr *trackedConn, from board.VMRef) (*session, string, error) {
	if reason, err := tr.checkLimits(from); err != nil {
		return nil, reason, err
	}
	if err := tr.sendHello(tc, from.ID); err != nil {
		return nil, refusedHello, err
	}
	if err := clearHandshakeDeadline(wr.Conn); err != nil {
		return nil, refusedHandshake, err
	}
	mux, err := yamux.Server(tc, tr.muxConfig())
	if err != nil {
		return nil, refusedHandshake, fmt.Errorf("start session: %w", err)
	}
	ss := &session{mux: mux, tcp: wr, peer: from}
	ss.ctx, ss.cancel = context.WithCancelCause(tr.runCtx)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.stopped {
		tr.group.Go(ss.abort)
		return nil, refusedHandshake, net.ErrClosed
	}
	tr.sessions[ss] = struct{}{}
	return ss, "", nil
}

// checkLimits refuses a session over the limit, and one of a VM that has a session of a later
// incarnation. It abandons the sessions of the VM's earlier incarnations.
func (tr *Transport) checkLimits(from board.VMRef) (string, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var older []*session
	var accepted int
	for ss := range tr.sessions {
		if ss.dialed != "" || ss.mux.IsClosed() {
			continue
		}
		accepted++
		if ss.peer.ID != from.ID {
			continue
		}
		if ss.peer.Incarnation > from.Incarnation {
			return refusedStaleIncarnation, WrongVMError{Want: ss.peer, Got: from}
		}
		if ss.peer.Incarnation < from.Incarnation {
			older = append(older, ss)
		}
	}
	if accepted-len(older) >= tr.Limits.MaxSessions {
		return refusedManySessions, fmt.Errorf("limit of %d sessions reached", tr.Limits.MaxSessions)
	}
	for _, ss := range older {
		tr.abandon(ss)
	}
	return "", nil
}

// serveSession passes the session's streams to the handler until it ends.
func (tr *Transport) serveSession(ss *session) {
	defer func() {
		ss.close()
		tr.mu.Lock()
		tr.removeClosed(ss)
		tr.mu.Unlock()
	}()
	for {
		st, err := ss.mux.AcceptStream()
		if err != nil {
			return
		}
		cn := newConn(ss.ctx, tr, ss, st)
		if tr.Handler == nil || ss.mux.NumStreams() > tr.Limits.MaxStreams {
			tr.refuseStream(ss, cn)
			continue
		}
		tr.count.streamsServed.Inc(1)
		if !tr.spawn(func() { tr.serveStream(ss, cn) }) {
			return
		}
	}
}

func (tr *Transport) serveStream(ss *session, cn *Conn) {
	defer cn.Close()
	cn.setFirstFrameDeadline()
	tr.Handler.Serve(ss.ctx, ss.peer, cn)
}

// refuseStream informs the peer that the stream was not processed.
func (tr *Transport) refuseStream(ss *session, cn *Conn) {
	tr.count.refused[refusedManyStreams].Inc(1)
	tr.warnLimited(event.PeerLimit, event.F("Peer", ss.peer.ID), event.F("Limit", tr.Limits.MaxStreams))
	_ = cn.Send(&peerpb.Frame{Body: &peerpb.Frame_Refusal{Refusal: &peerpb.Refusal{
		Ran:        string(refusal.NotRun),
		Reason:     string(refusal.TooManyConnections),
		RetryAfter: int64(tr.KeepAlive),
		Detail:     "too many streams from this VM",
	}}})
	cn.Close()
}
