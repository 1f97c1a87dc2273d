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
	// openBacklog bounds streams of one session that the peer has not taken
	// yet; it is also the size of two buffers in each session.
	openBacklog = 64
	// halfClosed is how long a stream may stay open at one side only.
	halfClosed = 30 * time.Second
)

type (
	// session is one yamux session with one VM.
	session struct {
		mux    *yamux.Session
		wire   *wire
		peer   board.VMRef
		dialed string // address that was dialled; empty if the peer dialled
		cancel context.CancelCauseFunc
		ctx    context.Context // ends with the session

		pinging atomic.Bool

		// Guarded by Transport.mu.
		users     int // calls of Open that have no stream yet
		retired   bool
		idle      bool
		idleSince clock.Millis
	}

	// wire is the TCP connection below TLS. It remembers when the peer was
	// last heard and counts bytes.
	wire struct {
		net.Conn
		clock clock.Source
		count *counters
		heard atomic.Int64
	}
)

func (tr *Transport) newWire(cn net.Conn) *wire {
	wr := &wire{Conn: cn, clock: tr.Clock, count: tr.count}
	wr.heard.Store(int64(tr.Clock.Now()))
	return wr
}

// Read notes that the peer was heard.
func (wr *wire) Read(buf []byte) (int, error) {
	got, err := wr.Conn.Read(buf)
	if got > 0 {
		wr.heard.Store(int64(wr.clock.Now()))
		wr.count.bytesIn.Inc(int64(got))
	}
	return got, err
}

// Write counts what was sent.
func (wr *wire) Write(buf []byte) (int, error) {
	sent, err := wr.Conn.Write(buf)
	wr.count.bytesOut.Inc(int64(sent))
	return sent, err
}

func (wr *wire) silence() clock.Millis {
	return wr.clock.Now() - clock.Millis(wr.heard.Load())
}

// muxConfig has yamux's own keepalive off: pings are sent by the sweep, from
// one side and only while streams are open.
func (tr *Transport) muxConfig() *yamux.Config {
	return &yamux.Config{
		AcceptBacklog:          openBacklog,
		KeepAliveInterval:      tr.KeepAlive.Std(),
		ConnectionWriteTimeout: tr.PingTimeout.Std(),
		MaxStreamWindowSize:    256 << 10,
		StreamOpenTimeout:      (tr.KeepAlive + tr.PingTimeout).Std(),
		StreamCloseTimeout:     halfClosed,
		LogOutput:              io.Discard,
	}
}

// kill closes the session without a word to the peer. It does not wait for
// a peer that reads nothing.
func (ss *session) kill() {
	_ = ss.wire.Conn.Close()
	_ = ss.mux.Close()
	ss.cancel(ErrSessionLost)
}

// close says goodbye.
func (ss *session) close() {
	_ = ss.mux.Close()
	ss.cancel(ErrSessionLost)
}

// ping tells whether the peer answers.
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

// sweepLoop looks after all sessions, so that none needs a goroutine or a
// timer of its own for it.
func (tr *Transport) sweepLoop(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
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
	for ss := range tr.all {
		tr.look(ss, now)
	}
	for id, dl := range tr.dials {
		if dl.over() && now-dl.failedAt > tr.RedialAfter {
			delete(tr.dials, id)
		}
	}
	tr.count.sessions.Update(float64(len(tr.all)))
}

// look drops, closes or pings one session. Closing and pinging may block and
// are left to goroutines.
func (tr *Transport) look(ss *session, now clock.Millis) {
	streams := ss.mux.NumStreams()
	switch {
	case ss.mux.IsClosed():
		tr.ended(ss)
	case streams == 0 && ss.users == 0:
		tr.lookIdle(ss, now)
	default:
		ss.idle = false
		tr.lookBusy(ss)
	}
}

func (tr *Transport) lookIdle(ss *session, now clock.Millis) {
	if !ss.idle {
		ss.idle, ss.idleSince = true, now
	}
	keep := tr.IdleClose
	if ss.dialed == "" {
		keep *= 2 // the side that dialled goes first
	}
	if !ss.retired && now-ss.idleSince < keep {
		return
	}
	tr.count.idle.Inc(1)
	tr.forget(ss)
	tr.group.Go(ss.close)
}

func (tr *Transport) lookBusy(ss *session) {
	silence := ss.wire.silence()
	if ss.dialed == "" {
		if silence > 2*tr.KeepAlive+tr.PingTimeout {
			tr.lose(ss)
		}
		return
	}
	if silence >= tr.KeepAlive && ss.pinging.CompareAndSwap(false, true) {
		tr.group.Go(func() { tr.pingBusy(ss) })
	}
}

func (tr *Transport) pingBusy(ss *session) {
	defer ss.pinging.Store(false)
	tr.count.pinged.Inc(1)
	if _, err := ss.mux.Ping(); err == nil || ss.mux.IsClosed() {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !tr.stopped {
		tr.lose(ss)
	}
}

// lose gives up a session whose peer is silent; tr.mu is held.
func (tr *Transport) lose(ss *session) {
	tr.noteLost(ss)
	tr.forget(ss)
	tr.group.Go(ss.kill)
}

// ended takes a closed session off the lists. Streams that are still open
// tell that the peer broke it off. tr.mu is held.
func (tr *Transport) ended(ss *session) {
	if _, known := tr.all[ss]; known && !tr.stopped && ss.mux.NumStreams() > 0 {
		tr.noteLost(ss)
	}
	tr.forget(ss)
}

func (tr *Transport) noteLost(ss *session) {
	tr.count.lost.Inc(1)
	tr.Log.Log(event.PeerSessionLost, event.F("Peer", ss.peer.ID), event.F("Incarnation", ss.peer.Incarnation))
}

// forget takes a session off the lists; tr.mu is held.
func (tr *Transport) forget(ss *session) {
	ss.cancel(ErrSessionLost)
	delete(tr.all, ss)
	if tr.out[ss.peer.ID] == ss {
		delete(tr.out, ss.peer.ID)
	}
}
