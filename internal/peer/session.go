package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

const (
	// acceptBacklog limits the streams of one session that the peer has not
	// accepted yet; it is also the size of two buffers in each session.
	acceptBacklog = 64
	// halfClosedTimeout is how long a stream may stay open on one side only.
	halfClosedTimeout = 30 * time.Second
)

type (
	// session is one yamux session with one VM.
	session struct {
		mux    *yamux.Session
		tcp    *trackedConn
		peer   board.VMRef
		dialed string // address that was dialled; empty if the peer dialled
		cancel context.CancelCauseFunc
		ctx    context.Context // ends with the session

		pinging atomic.Bool

		// Guarded by Transport.mu.
		pendingOpens int          // calls of Open that have no stream yet
		retired      bool         // replaced by a new dial; closed once it has no streams
		idle         bool         // it had no streams at the last sweep
		idleSince    clock.Millis // when idle became true
	}

	// trackedConn is the TCP connection below TLS. It records when it last read data
	// from the peer, and counts bytes.
	trackedConn struct {
		net.Conn
		clock    clock.Source
		count    *counters
		lastRead atomic.Int64
	}
)

func (tr *Transport) newTrackedConn(cn net.Conn) *trackedConn {
	wr := &trackedConn{Conn: cn, clock: tr.Clock, count: tr.count}
	wr.lastRead.Store(int64(tr.Clock.Now()))
	return wr
}

// Read records when data was read from the peer, and counts it.
func (tc *trackedConn) Read(buf []byte) (int, error) {
	got, err := tc.Conn.Read(buf)
	if got > 0 {
		tc.lastRead.Store(int64(tc.clock.Now()))
		tc.count.bytesIn.Inc(int64(got))
	}
	return got, err
}

// Write counts what was sent.
func (tc *trackedConn) Write(buf []byte) (int, error) {
	sent, err := tc.Conn.Write(buf)
	tc.count.bytesOut.Inc(int64(sent))
	return sent, err
}

// silence returns the time since data was last read from the peer.
func (tc *trackedConn) silence() clock.Millis {
	return tc.clock.Now() - clock.Millis(tc.lastRead.Load())
}

// muxConfig disables yamux's own keepalive: the sweep sends pings, from one side and only
// while streams are open.
func (tr *Transport) muxConfig() *yamux.Config {
	return &yamux.Config{
		AcceptBacklog:          acceptBacklog,
		KeepAliveInterval:      tr.KeepAlive.Std(),
		ConnectionWriteTimeout: tr.PingTimeout.Std(),
		MaxStreamWindowSize:    256 << 10,
		StreamOpenTimeout:      (tr.KeepAlive + tr.PingTimeout).Std(),
		StreamCloseTimeout:     halfClosedTimeout,
		LogOutput:              io.Discard,
	}
}

// abort closes the session without notifying the peer. It does not wait for a peer that
// does not read.
func (ss *session) abort() {
	_ = ss.tcp.Conn.Close()
	_ = ss.mux.Close()
	ss.cancel(ErrSessionLost)
}

// close closes the session and notifies the peer.
func (ss *session) close() {
	_ = ss.mux.Close()
	ss.cancel(ErrSessionLost)
}

// ping returns nil if the peer answers.
func (ss *session) ping(ctx context.Context) error {
	done := make(chan error, 1)
	go func() {
		_, err := ss.mux.Ping()
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("ping: %w", err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("ping: %w", ctx.Err())
	}
}

// sweepLoop checks all sessions periodically, so that none needs a goroutine or a timer
// of its own.
func (tr *Transport) sweepLoop(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			tr.sweep()
		}
	}
}

func (tr *Transport) sweep() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.Clock.Now()
	for ss := range tr.sessions {
		tr.checkSession(ss, now)
	}
	for id, dl := range tr.dials {
		if dl.isDone() && now-dl.failedAt > tr.RedialAfter {
			delete(tr.dials, id)
		}
	}
	tr.count.sessions.Update(float64(len(tr.sessions)))
}

// checkSession removes, closes or pings one session. Closing and pinging may block, so
// they run in goroutines.
func (tr *Transport) checkSession(ss *session, now clock.Millis) {
	streams := ss.mux.NumStreams()
	switch {
	case ss.mux.IsClosed():
		tr.removeClosed(ss)
	case streams == 0 && ss.pendingOpens == 0:
		tr.checkIdle(ss, now)
	default:
		ss.idle = false
		tr.checkBusy(ss)
	}
}

// checkIdle closes a session that has had no streams for long enough, or that is retired.
func (tr *Transport) checkIdle(ss *session, now clock.Millis) {
	if !ss.idle {
		ss.idle, ss.idleSince = true, now
	}
	keep := tr.IdleTimeout
	if ss.dialed == "" {
		keep *= 2 // the side that dialled closes first
	}
	if !ss.retired && now-ss.idleSince < keep {
		return
	}
	tr.count.idle.Inc(1)
	tr.removeSession(ss)
	tr.group.Go(ss.close)
}

// checkBusy abandons a session that the peer dialled if it is silent for too long, and pings
// a silent one that this VM dialled.
func (tr *Transport) checkBusy(ss *session) {
	silence := ss.tcp.silence()
	if ss.dialed == "" {
		if silence > 2*tr.KeepAlive+tr.PingTimeout {
			tr.abandon(ss)
		}
		return
	}
	if silence >= tr.KeepAlive && ss.pinging.CompareAndSwap(false, true) {
		tr.group.Go(func() { tr.pingBusy(ss) })
	}
}

// pingBusy sends one ping and abandons the session if there is no reply.
func (tr *Transport) pingBusy(ss *session) {
	defer ss.pinging.Store(false)
	tr.count.pinged.Inc(1)
	if _, err := ss.mux.Ping(); err == nil || ss.mux.IsClosed() {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !tr.stopped {
		tr.abandon(ss)
	}
}

// abandon records the loss of a session, removes it and aborts it; tr.mu is held.
func (tr *Transport) abandon(ss *session) {
	tr.recordLoss(ss)
	tr.removeSession(ss)
	tr.group.Go(ss.abort)
}

// removeClosed removes a closed session from the lists. If streams are still open, the
// peer ended the session, which is recorded as a loss. tr.mu is held.
func (tr *Transport) removeClosed(ss *session) {
	if _, known := tr.sessions[ss]; known && !tr.stopped && ss.mux.NumStreams() > 0 {
		tr.recordLoss(ss)
	}
	tr.removeSession(ss)
}

func (tr *Transport) recordLoss(ss *session) {
	tr.count.lost.Inc(1)
	tr.Log.Log(event.PeerSessionLost, event.F("Peer", ss.peer.ID), event.F("Incarnation", ss.peer.Incarnation))
}

// removeSession removes a session from the lists; tr.mu is held.
func (tr *Transport) removeSession(ss *session) {
	ss.cancel(ErrSessionLost)
	delete(tr.sessions, ss)
	if tr.dialed[ss.peer.ID] == ss {
		delete(tr.dialed, ss.peer.ID)
	}
}
