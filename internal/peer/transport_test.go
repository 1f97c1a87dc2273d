package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

func TestCallReachesPeer(t *testing.T) {
	from := make(chan board.VMRef, 1)
	sb := start(t, &peer.Transport{Self: ref("b", 7), Handler: handler(func(_ context.Context, vm board.VMRef, cn *peer.Conn) {
		from <- vm
		echo(nil, vm, cn)
	})})
	sa := start(t, &peer.Transport{Self: ref("a", 3)})
	reply, err := sa.Call(t.Context(), sb.vm(), explain("key"))
	assert.NilError(t, err)
	assert.Equal(t, reply.GetExplainAsk().GetKey(), "key")
	assert.Equal(t, <-from, ref("a", 3))
}

func TestLargeFramePasses(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	data := make([]byte, 3<<20)
	for ix := range data {
		data[ix] = byte(ix * 7)
	}
	ask := &peerpb.Frame{Body: &peerpb.Frame_Snapshot{Snapshot: &peerpb.Snapshot{Data: data}}}
	reply, err := sa.Call(t.Context(), sb.vm(), ask)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(reply.GetSnapshot().GetData(), data))
}

func TestTooLargeFrameIsNotSent(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo})
	sa := start(t, &peer.Transport{Self: ref("a", 1), Limits: peer.Limits{MaxFrame: 64}})
	_, err := sa.Call(t.Context(), sb.vm(), explain(string(make([]byte, 100))))
	var ne peer.NotSentError
	var se peer.SizeError
	assert.Assert(t, errors.As(err, &ne) && errors.As(err, &se), "%v", err)
	assert.Equal(t, ne.Step, peer.StepEncode)
}

func TestTooLargeFrameRefusedByReceiver(t *testing.T) {
	got := make(chan error, 1)
	sb := start(t, &peer.Transport{Self: ref("b", 1), Limits: peer.Limits{MaxFrame: 64},
		Handler: handler(func(_ context.Context, _ board.VMRef, cn *peer.Conn) {
			_, err := cn.Recv()
			got <- err
		})})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	_, err := sa.Call(t.Context(), sb.vm(), explain(string(make([]byte, 100))))
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, hasError[peer.SizeError](<-got))
}

func TestConcurrentOpensShareOneSession(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	var wg sync.WaitGroup
	for ix := range 50 {
		wg.Go(func() {
			key := fmt.Sprint(ix)
			reply, err := sa.Call(t.Context(), sb.vm(), explain(key))
			assert.Check(t, err)
			assert.Check(t, reply.GetExplainAsk().GetKey() == key)
		})
	}
	wg.Wait()
	assert.Equal(t, sa.counted("PeerDialed", ""), int64(1))
}

func TestNotSent(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 4), Handler: echo})
	other := start(t, &peer.Transport{Self: ref("c", 1), Secret: []byte("another secret, long enough")})
	stopped := start(t, &peer.Transport{Self: ref("d", 1)})
	stopped.stop()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	cases := map[string]struct {
		vm      board.VM
		step    peer.Step
		cause   func(error) bool
		timeout clock.Millis
	}{
		"wrong VM":                     {board.VM{VMRef: ref("x", 1), Peer: sb.vm().Peer}, peer.StepHello, hasError[peer.WrongVMError], 0},
		"older incarnation answers":    {board.VM{VMRef: ref("b", 5), Peer: sb.vm().Peer}, peer.StepHello, hasError[peer.WrongVMError], 0},
		"wrong secret":                 {other.vm(), peer.StepHandshake, hasError[peer.UntrustedError], 0},
		"nobody listens":               {stopped.vm(), peer.StepDial, hasError[*net.OpError], 0},
		"silent listener":              {board.VM{VMRef: ref("e", 1), Peer: silent.Addr().String()}, peer.StepHandshake, hasError[net.Error], 200},
		"host name instead of address": {board.VM{VMRef: ref("f", 1), Peer: "localhost:1"}, peer.StepDial, nil, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sa := start(t, &peer.Transport{Self: ref("a", 1), HandshakeTimeout: tc.timeout})
			_, err := sa.Call(t.Context(), tc.vm, explain("key"))
			var ne peer.NotSentError
			assert.Assert(t, errors.As(err, &ne), "%v", err)
			assert.Equal(t, ne.Step, tc.step)
			if tc.cause != nil {
				assert.Assert(t, tc.cause(err), "%v", err)
			}
			assert.Equal(t, sa.counted("PeerDialFailed", ""), int64(1))
		})
	}
	assert.Equal(t, sb.counted("PeerStreamsServed", ""), int64(0))
	other.awaitCount(t, "PeerRefused", "Untrusted", 1)
	sb.awaitCount(t, "PeerRefused", "WrongVM", 1)
}

func TestOpenBeforeRunWaitsForContext(t *testing.T) {
	tr := &peer.Transport{Self: ref("a", 1)}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := tr.Open(ctx, board.VM{VMRef: ref("b", 1), Peer: "127.0.0.1:1"})
	assert.Assert(t, hasError[peer.NotSentError](err))
	assert.ErrorIs(t, err, context.Canceled)
}

func TestRunRefusesBadSettings(t *testing.T) {
	tr := &peer.Transport{Self: ref("a", 1), Listen: "127.0.0.1:0", Secret: []byte("short")}
	assert.Assert(t, hasError[peer.SecretError](tr.Run(t.Context())))
	tr = &peer.Transport{Self: ref("a", 1), Listen: "localhost:0", Secret: secret}
	assert.ErrorContains(t, tr.Run(t.Context()), "listen address")
}

// If a peer stops, its streams fail with a lost session and not with an end of file, and
// the next call is reported as not sent.
func TestSessionLossDuringCall(t *testing.T) {
	asked := make(chan struct{})
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: handler(func(ctx context.Context, _ board.VMRef, cn *peer.Conn) {
		if _, err := cn.Recv(); err == nil {
			close(asked)
		}
		<-ctx.Done()
	})})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	vm := sb.vm()
	go func() {
		<-asked
		sb.stop()
	}()
	_, err := sa.Call(t.Context(), vm, explain("key"))
	assert.ErrorIs(t, err, peer.ErrSessionLost)
	assert.Assert(t, hasError[peer.BrokenError](err))
	_, err = sa.Call(t.Context(), vm, explain("key"))
	assert.Assert(t, hasError[peer.NotSentError](err))
}

// freezer is a TCP relay that can stop forwarding bytes while both connections stay
// open, as when a VM is paused or a link goes silent.
type freezer struct {
	net.Listener
	mu     sync.Mutex
	frozen bool
	thaw   chan struct{}
}

func newFreezer(t *testing.T, to string) *freezer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	fz := &freezer{Listener: ln, thaw: make(chan struct{})}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		ln.Close()
		fz.mu.Lock()
		close(fz.thaw)
		fz.mu.Unlock()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			if fz.isFrozen() {
				in.Close()
				out.Close()
				continue
			}
			wg.Go(func() { fz.relay(in, out) })
			wg.Go(func() { fz.relay(out, in) })
		}
	})
	return fz
}

func (fz *freezer) relay(from, to net.Conn) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		got, err := from.Read(buf)
		if fz.isFrozen() {
			<-fz.thaw
			return
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:got]); err != nil {
			return
		}
	}
}

func (fz *freezer) isFrozen() bool {
	fz.mu.Lock()
	defer fz.mu.Unlock()
	return fz.frozen
}

func (fz *freezer) freeze() {
	fz.mu.Lock()
	fz.frozen = true
	fz.mu.Unlock()
}

func TestSilentPeerIsDetectedByBothSides(t *testing.T) {
	ended := make(chan error, 1)
	sb := start(t, &peer.Transport{Self: ref("b", 1), KeepAlive: 200, PingTimeout: 1500,
		Handler: handler(func(_ context.Context, _ board.VMRef, cn *peer.Conn) {
			if fr, err := cn.Recv(); err == nil {
				_ = cn.Send(fr)
			}
			_, err := cn.Recv()
			ended <- err
		})})
	fz := newFreezer(t, sb.vm().Peer)
	sa := start(t, &peer.Transport{Self: ref("a", 1), KeepAlive: 200, PingTimeout: 1500})
	vm := sb.vm()
	vm.Peer = fz.Addr().String()
	cn, err := sa.Open(t.Context(), vm)
	assert.NilError(t, err)
	defer cn.Close()
	assert.NilError(t, cn.Send(explain("key")))
	_, err = cn.Recv()
	assert.NilError(t, err)
	fz.freeze()
	_, err = cn.Recv()
	assert.ErrorIs(t, err, peer.ErrSessionLost)
	assert.ErrorIs(t, <-ended, peer.ErrSessionLost)
	sa.awaitCount(t, "PeerSessionsLost", "", 1)
	sb.awaitCount(t, "PeerSessionsLost", "", 1)
}

// A session that went silent while idle is detected before a frame is sent on it.
func TestStaleSessionIsCheckedFirst(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo})
	fz := newFreezer(t, sb.vm().Peer)
	clk := new(clock.Manual)
	sa := start(t, &peer.Transport{Self: ref("a", 1), PingTimeout: 1500, Clock: clk})
	vm := sb.vm()
	vm.Peer = fz.Addr().String()
	_, err := sa.Call(t.Context(), vm, explain("1"))
	assert.NilError(t, err)
	eventually(t, "end of the first stream", func() bool { return sa.Streams() == 0 })
	fz.freeze()
	clk.Advance(peer.DefaultKeepAlive)
	_, err = sa.Call(t.Context(), vm, explain("2"))
	assert.Assert(t, hasError[peer.NotSentError](err))
	assert.Equal(t, sb.counted("PeerStreamsServed", ""), int64(1))
}

func TestIdleSessionCloses(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo})
	clk := new(clock.Manual)
	sa := start(t, &peer.Transport{Self: ref("a", 1), Clock: clk, IdleTimeout: 1000})
	_, err := sa.Call(t.Context(), sb.vm(), explain("1"))
	assert.NilError(t, err)
	eventually(t, "idle session closed", func() bool {
		clk.Advance(500)
		sa.Sweep()
		return sa.counted("PeerSessionsIdle", "") == 1
	})
	_, err = sa.Call(t.Context(), sb.vm(), explain("2"))
	assert.NilError(t, err)
	assert.Equal(t, sa.counted("PeerDialed", ""), int64(2))
	assert.Equal(t, sa.counted("PeerSessionsLost", "")+sb.counted("PeerSessionsLost", ""), int64(0))
}

func TestOpenStreamKeepsSession(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo})
	clk := new(clock.Manual)
	sa := start(t, &peer.Transport{Self: ref("a", 1), Clock: clk, IdleTimeout: 1000})
	cn, err := sa.Open(t.Context(), sb.vm())
	assert.NilError(t, err)
	defer cn.Close()
	eventually(t, "pings", func() bool {
		clk.Advance(peer.DefaultKeepAlive)
		sa.Sweep()
		return sa.counted("PeerPings", "") >= 3
	})
	assert.NilError(t, cn.Send(explain("still here")))
	_, err = cn.Recv()
	assert.NilError(t, err)
	assert.Equal(t, sa.counted("PeerSessionsIdle", ""), int64(0))
}

func TestReplacedVMIsRedialled(t *testing.T) {
	first := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo})
	second := start(t, &peer.Transport{Self: ref("b", 2), Handler: echo})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	for _, st := range []*testTransport{first, second} {
		cn, err := sa.Open(t.Context(), st.vm())
		assert.NilError(t, err)
		assert.Equal(t, cn.Peer(), st.Self)
		cn.Close()
	}
	// The session to the earlier incarnation is not used for the next one at the same
	// address.
	vm := second.vm()
	vm.Incarnation = 3
	_, err := sa.Open(t.Context(), vm)
	assert.Assert(t, hasError[peer.NotSentError](err) && hasError[peer.WrongVMError](err), "%v", err)
	// The older incarnation dials after the newer one did.
	newer := start(t, &peer.Transport{Self: ref("a", 2)})
	_, err = newer.Call(t.Context(), second.vm(), explain("key"))
	assert.NilError(t, err)
	older := start(t, &peer.Transport{Self: ref("a", 1)})
	_, err = older.Call(t.Context(), second.vm(), explain("key"))
	assert.Assert(t, hasError[peer.NotSentError](err))
	second.awaitCount(t, "PeerRefused", "StaleIncarnation", 1)
}

func TestContextEndsRecv(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: handler(func(ctx context.Context, _ board.VMRef, _ *peer.Conn) {
		<-ctx.Done()
	})})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	ctx, cancel := context.WithCancel(t.Context())
	cn, err := sa.Open(ctx, sb.vm())
	assert.NilError(t, err)
	defer cn.Close()
	assert.NilError(t, cn.Send(explain("key")))
	cancel()
	_, err = cn.Recv()
	assert.ErrorIs(t, err, context.Canceled)
}

func TestWatchEndsWithTheStream(t *testing.T) {
	watched := make(chan error, 1)
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: handler(func(ctx context.Context, _ board.VMRef, cn *peer.Conn) {
		fr, err := cn.Recv()
		if err != nil || cn.Send(fr) != nil {
			return
		}
		ctx, cancel := cn.Watch(ctx)
		defer cancel()
		<-ctx.Done()
		watched <- context.Cause(ctx)
	})})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	_, err := sa.Call(t.Context(), sb.vm(), explain("key"))
	assert.NilError(t, err)
	assert.ErrorIs(t, <-watched, io.EOF)
}

func TestSilentStreamTimesOut(t *testing.T) {
	got := make(chan error, 1)
	sb := start(t, &peer.Transport{Self: ref("b", 1), FrameTimeout: 50,
		Handler: handler(func(_ context.Context, _ board.VMRef, cn *peer.Conn) {
			_, err := cn.Recv()
			got <- err
		})})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	cn, err := sa.Open(t.Context(), sb.vm())
	assert.NilError(t, err)
	defer cn.Close()
	assert.ErrorIs(t, <-got, peer.ErrSlowFrame)
	_, err = cn.Recv()
	assert.ErrorIs(t, err, io.EOF)
}

func TestStreamLimitRefusesAsNotRun(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo, Limits: peer.Limits{MaxStreams: 2}})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	for range 2 {
		cn, err := sa.Open(t.Context(), sb.vm())
		assert.NilError(t, err)
		defer cn.Close()
		assert.NilError(t, cn.Send(explain("key")))
		_, err = cn.Recv()
		assert.NilError(t, err)
	}
	reply, err := sa.Call(t.Context(), sb.vm(), explain("third"))
	assert.NilError(t, err)
	assert.Equal(t, reply.GetRefusal().GetRan(), "NotRun")
	sb.awaitCount(t, "PeerRefused", "TooManyStreams", 1)
}

func TestSessionLimit(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo, Limits: peer.Limits{MaxSessions: 1}})
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	_, err := sa.Call(t.Context(), sb.vm(), explain("key"))
	assert.NilError(t, err)
	sc := start(t, &peer.Transport{Self: ref("c", 1)})
	_, err = sc.Call(t.Context(), sb.vm(), explain("key"))
	assert.Assert(t, hasError[peer.NotSentError](err))
	sb.awaitCount(t, "PeerRefused", "TooManySessions", 1)
}

// Clients that connect and send nothing can't keep a VM out, and are disconnected.
func TestSlowHandshakesAreEvicted(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo, HandshakeTimeout: clock.Minute,
		Limits: peer.Limits{MaxHandshakes: 4}})
	var strangers []net.Conn
	for range 12 {
		cn, err := net.Dial("tcp", sb.vm().Peer)
		assert.NilError(t, err)
		defer cn.Close()
		strangers = append(strangers, cn)
	}
	sa := start(t, &peer.Transport{Self: ref("a", 1)})
	_, err := sa.Call(t.Context(), sb.vm(), explain("key"))
	assert.NilError(t, err)
	for _, cn := range strangers[:8] {
		_, err := cn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	}
	eventually(t, "evicted handshakes", func() bool { return sb.counted("PeerRefused", "TooManyHandshakes") >= 8 })
}

func TestSlowHandshakeIsClosed(t *testing.T) {
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo, HandshakeTimeout: 50})
	cn, err := net.Dial("tcp", sb.vm().Peer)
	assert.NilError(t, err)
	defer cn.Close()
	_, err = cn.Write([]byte{0x16, 0x03})
	assert.NilError(t, err)
	_, err = io.ReadAll(cn) // until the VM closes it
	_ = err                 // a reset is as good as an end of file
	eventually(t, "refused handshake counted", func() bool { return sb.counted("PeerRefused", "Handshake") == 1 })
}

func TestDatagramArrives(t *testing.T) {
	type arrival struct {
		dg   *peerpb.Datagram
		from netip.AddrPort
	}
	got := make(chan arrival, 1)
	sb := start(t, &peer.Transport{Self: ref("b", 1), OnDatagram: func(dg *peerpb.Datagram, from netip.AddrPort) {
		got <- arrival{dg, from}
	}})
	sa := start(t, &peer.Transport{Self: ref("a", 9)})
	dg := &peerpb.Datagram{Body: &peerpb.Datagram_Probe{Probe: &peerpb.Probe{Number: 5}}}
	assert.NilError(t, sa.SendDatagram(sb.vm(), dg))
	ar := <-got
	assert.Equal(t, ar.from, sa.Address())
	assert.Equal(t, ar.dg.GetFrom(), "a")
	assert.Equal(t, ar.dg.GetIncarnation(), uint64(9))
	assert.Equal(t, ar.dg.GetProbe().GetNumber(), uint64(5))
	rumours := make([]*peerpb.Rumour, 60)
	for ix := range rumours {
		rumours[ix] = &peerpb.Rumour{VM: fmt.Sprintf("a rather long name of a VM %d", ix)}
	}
	assert.Assert(t, hasError[peer.SizeError](sa.SendDatagram(sb.vm(), &peerpb.Datagram{Rumours: rumours})))
}

// A VM with several IP addresses dials from the one that it listens on.
func TestDialsFromListenAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	tr := start(t, &peer.Transport{Self: ref("a", 1), Handler: echo, Listen: "127.0.0.2:0"})
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan error, 1)
	go func() {
		_, err := tr.Open(ctx, board.VM{VMRef: ref("b", 1), Peer: ln.Addr().String()})
		opened <- err
	}()
	raw, err := ln.Accept()
	assert.NilError(t, err)
	defer raw.Close()
	from, err := netip.ParseAddrPort(raw.RemoteAddr().String())
	assert.NilError(t, err)
	assert.Equal(t, from.Addr(), netip.MustParseAddr("127.0.0.2"))
	cancel()
	assert.Assert(t, <-opened != nil)
}
