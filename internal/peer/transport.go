package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sockopt"
	"alderdyke/pkg/clock"
)

// Defaults for the zero values of the fields of [Transport] and [Limits].
const (
	DefaultMaxFrame         = 4 << 20
	DefaultMaxSessions      = 512
	DefaultMaxStreams       = 256
	DefaultMaxHandshakes    = 64
	DefaultMaxReplayWindows = 1024

	DefaultDialTimeout      = 2 * clock.Second
	DefaultHandshakeTimeout = 3 * clock.Second
	DefaultKeepAlive        = 2 * clock.Second
	DefaultPingTimeout      = 3 * clock.Second
	DefaultIdleTimeout      = 60 * clock.Second
	DefaultFrameTimeout     = 10 * clock.Second
	DefaultRedialAfter      = 200 * clock.Millis(1)
)

const (
	sweepInterval = 250 * time.Millisecond // between two checks of all sessions
	warnInterval  = 10 * time.Second       // between two events of warnLimited
	// maxListenAttempts limits the search for a port that is free for both TCP and
	// UDP, if any port will do.
	maxListenAttempts = 16
)

type (
	// Transport carries frames and datagrams between this VM and the others. Set the
	// exported fields before Run and don't change them afterwards.
	Transport struct {
		Self   board.VMRef
		Listen string // "IP:port" for TCP and UDP; port 0 takes a free one
		Secret []byte // shared by all VMs, at least 16 bytes

		// Handler serves the streams that other VMs open; if it is nil, they are refused.
		Handler Handler
		// OnDatagram receives each datagram that is authentic and new, one at a time;
		// it must not block. Nil drops them.
		OnDatagram func(dg *peerpb.Datagram, from netip.AddrPort)

		Scope tally.Scope  // nil counts nothing
		Log   event.Logger // the zero value logs nothing
		Clock clock.Source // nil is the process's boot clock

		Limits Limits

		DialTimeout      clock.Millis // TCP connection
		HandshakeTimeout clock.Millis // TLS and hello, on both sides
		KeepAlive        clock.Millis // silence after which a session with streams is pinged
		PingTimeout      clock.Millis // wait for the reply to a ping, and for any write
		IdleTimeout      clock.Millis // how long a session without streams is kept
		FrameTimeout     clock.Millis // from a frame's first byte to its last, and from a new stream to its first frame
		RedialAfter      clock.Millis // how long a failed dial is reported to later callers without a new dial

		once        sync.Once
		ready       chan struct{}
		id          *identity
		count       *counters
		warnLimiter *rate.Limiter
		address     atomic.Value // netip.AddrPort
		udp         atomic.Pointer[net.UDPConn]
		sequence    atomic.Uint64
		replays     replayWindows

		group sync.WaitGroup

		mu       sync.Mutex
		runCtx   context.Context // nil before Run
		stopped  bool
		dialed   map[string]*session // dialled sessions by VM ID
		dials    map[string]*dial    // dials in progress or recently failed, by VM ID
		sessions map[*session]struct{}
		pending  pendingHandshakes
	}

	// Limits bound what other VMs, and anyone who reaches the port, can use.
	Limits struct {
		MaxFrame         int // bytes of one encoded frame
		MaxSessions      int // sessions that other VMs dialled
		MaxStreams       int // open streams on one session that another VM dialled
		MaxHandshakes    int // connections that have not authenticated yet
		MaxReplayWindows int // VMs whose sequence numbers are remembered
	}

	// Handler serves streams that other VMs open.
	Handler interface {
		// Serve is called in a goroutine of its own for each stream, before any
		// frame is read. The stream is closed when Serve returns. The context ends
		// with the session or the transport, but not if the peer closes only the
		// stream: then Recv returns an error and the context of Watch ends.
		Serve(ctx context.Context, from board.VMRef, cn *Conn)
	}
)

// Run listens and serves until the context ends, or until a listener fails. It returns
// when all goroutines of the transport have ended, including those of Handler. A
// Transport can run only once.
func (tr *Transport) Run(ctx context.Context) error {
	tr.init()
	id, err := newIdentity(tr.Secret)
	if err != nil {
		return fmt.Errorf("peer transport: %w", err)
	}
	// Sessions end before their contexts do, so that no stream seems to end normally
	// only because its handler obeys the context.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ln, uc, err := tr.listen(ctx)
	if err != nil {
		return fmt.Errorf("peer transport: %w", err)
	}
	tr.mu.Lock()
	if tr.runCtx != nil {
		tr.mu.Unlock()
		return errors.Join(errors.New("peer transport: already ran"), ln.Close(), uc.Close())
	}
	tr.id, tr.runCtx = id, runCtx
	tr.mu.Unlock()
	tr.address.Store(ln.Addr().(*net.TCPAddr).AddrPort())
	tr.udp.Store(uc)

	failed := make(chan error, 2)
	tr.spawn(func() { failed <- tr.acceptLoop(ln) })
	tr.spawn(func() { failed <- tr.datagramLoop(uc) })
	tr.spawn(func() { tr.sweepLoop(runCtx) })
	tr.Log.Log(event.PeerListening, event.F("Address", tr.Address().String()))
	close(tr.ready)

	err = nil
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	tr.stop(ln, uc, cancel)
	return err
}

// Ready is closed once the transport listens.
func (tr *Transport) Ready() <-chan struct{} {
	tr.init()
	return tr.ready
}

// Address returns the address that the transport listens on; the zero value before Ready.
func (tr *Transport) Address() netip.AddrPort {
	ap, _ := tr.address.Load().(netip.AddrPort)
	return ap
}

func (tr *Transport) init() {
	tr.once.Do(func() {
		tr.ready = make(chan struct{})
		tr.dialed = make(map[string]*session)
		tr.dials = make(map[string]*dial)
		tr.sessions = make(map[*session]struct{})
		tr.warnLimiter = rate.NewLimiter(rate.Every(warnInterval), 1)
		if tr.Scope == nil {
			tr.Scope = tally.NoopScope
		}
		tr.Clock = clock.OrBoottime(tr.Clock)
		tr.count = newCounters(tr.Scope)
		tr.setDefaults()
		tr.replays.max = tr.Limits.MaxReplayWindows
	})
}

func (tr *Transport) setDefaults() {
	orInt := func(val *int, def int) {
		if *val <= 0 {
			*val = def
		}
	}
	orSpan := func(val *clock.Millis, def clock.Millis) {
		if *val <= 0 {
			*val = def
		}
	}
	orInt(&tr.Limits.MaxFrame, DefaultMaxFrame)
	orInt(&tr.Limits.MaxSessions, DefaultMaxSessions)
	orInt(&tr.Limits.MaxStreams, DefaultMaxStreams)
	orInt(&tr.Limits.MaxHandshakes, DefaultMaxHandshakes)
	orInt(&tr.Limits.MaxReplayWindows, DefaultMaxReplayWindows)
	orSpan(&tr.DialTimeout, DefaultDialTimeout)
	orSpan(&tr.HandshakeTimeout, DefaultHandshakeTimeout)
	orSpan(&tr.KeepAlive, DefaultKeepAlive)
	orSpan(&tr.PingTimeout, DefaultPingTimeout)
	orSpan(&tr.IdleTimeout, DefaultIdleTimeout)
	orSpan(&tr.FrameTimeout, DefaultFrameTimeout)
	orSpan(&tr.RedialAfter, DefaultRedialAfter)
}

// listen listens on the same port for TCP and UDP.
func (tr *Transport) listen(ctx context.Context) (net.Listener, *net.UDPConn, error) {
	want, err := netip.ParseAddrPort(tr.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("listen address: %w", err)
	}
	for try := 1; ; try++ {
		ln, uc, err := tr.listenOn(ctx, want)
		if err == nil {
			return ln, uc, nil
		}
		if want.Port() != 0 || try == maxListenAttempts {
			return nil, nil, err
		}
	}
}

func (tr *Transport) listenOn(ctx context.Context, want netip.AddrPort) (net.Listener, *net.UDPConn, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: sockopt.UserTimeoutControl(tr.PingTimeout)}
	ln, err := lc.Listen(ctx, "tcp", want.String())
	if err != nil {
		return nil, nil, fmt.Errorf("listen on TCP: %w", err)
	}
	got := ln.Addr().(*net.TCPAddr).AddrPort()
	uc, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(got))
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("listen on UDP: %w", err), ln.Close())
	}
	return ln, uc, nil
}

// spawn runs a function in a goroutine that Run waits for, and reports whether it did;
// it doesn't once the transport stops.
func (tr *Transport) spawn(fn func()) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.stopped {
		return false
	}
	tr.group.Go(fn)
	return true
}

// stop closes everything that is open and waits for the goroutines. Errors of closing
// are ignored, since nobody could act on them any more.
func (tr *Transport) stop(ln net.Listener, uc *net.UDPConn, cancel context.CancelFunc) {
	tr.mu.Lock()
	tr.stopped = true
	tr.pending.closeAll()
	open := make([]*session, 0, len(tr.sessions))
	for ss := range tr.sessions {
		open = append(open, ss)
	}
	tr.mu.Unlock()
	_ = ln.Close()
	_ = uc.Close()
	for _, ss := range open {
		ss.abort()
	}
	cancel()
	tr.group.Wait()
}

// warnLimited logs an event that unauthenticated clients or a faulty VM could cause at
// will, at most once in warnInterval.
func (tr *Transport) warnLimited(ev event.Event, fields ...event.Field) {
	if tr.warnLimiter.Allow() {
		tr.Log.Log(ev, fields...)
	}
}
