package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/hashicorp/yamux"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sockopt"
	"alderdyke/pkg/clock"
)

// maxOpenAttempts limits how often Open looks for a session: the cached one may be
// closed, and a dial started by another caller may go to an address that the VM no longer
// has.
const maxOpenAttempts = 3

// dial is one attempt to reach a VM, shared by all callers that wait for it.
type dial struct {
	address string
	done    chan struct{}

	// Set before done is closed.
	step     Step
	err      error
	failedAt clock.Millis
}

func (dl *dial) isDone() bool {
	select {
	case <-dl.done:
		return true
	default:
		return false
	}
}

// Call opens a stream, sends one frame, returns the first frame that is received and
// closes the stream. After a [NotSentError] the VM never received the frame; after any
// other error it may have.
func (tr *Transport) Call(ctx context.Context, vm board.VM, ask *peerpb.Frame) (*peerpb.Frame, error) {
	cn, err := tr.Open(ctx, vm)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	defer cn.Close()
	if err := cn.Send(ask); err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	reply, err := cn.Recv()
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	return reply, nil
}

// Open opens a stream to the VM, and dials the VM first if there is no session. The
// context applies to the stream for its whole lifetime: when it ends, Send and Recv fail.
// The caller must close the stream. All errors are a [NotSentError].
func (tr *Transport) Open(ctx context.Context, vm board.VM) (*Conn, error) {
	fail := func(step Step, err error) (*Conn, error) {
		return nil, NotSentError{VM: vm.ID, Step: step, Err: err}
	}
	if err := tr.awaitReady(ctx); err != nil {
		return fail(StepStart, err)
	}
	err := error(ErrSessionLost)
	for range maxOpenAttempts {
		ss, step, dialErr := tr.session(ctx, vm)
		if dialErr != nil {
			return fail(step, dialErr)
		}
		var st *yamux.Stream
		st, err = tr.openStream(ctx, ss)
		if err == nil {
			tr.count.streamsOpened.Inc(1)
			return newConn(ctx, tr, ss, st), nil
		}
		if ctx.Err() != nil {
			break
		}
		tr.closeUnusable(ss)
	}
	return fail(StepOpen, err)
}

func (tr *Transport) awaitReady(ctx context.Context) error {
	select {
	case <-tr.Ready():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the transport to run: %w", ctx.Err())
	}
}

// session returns a usable session and adds the caller to its pendingOpens, which
// openStream removes again.
func (tr *Transport) session(ctx context.Context, vm board.VM) (*session, Step, error) {
	for range maxOpenAttempts {
		ss, dl := tr.sessionOrDial(vm)
		if ss != nil {
			return ss, "", nil
		}
		if dl == nil {
			return nil, StepStart, net.ErrClosed
		}
		select {
		case <-dl.done:
		case <-ctx.Done():
			return nil, StepDial, fmt.Errorf("wait for dial: %w", ctx.Err())
		}
		if dl.err != nil && dl.address == vm.Peer {
			return nil, dl.step, dl.err
		}
	}
	return nil, StepDial, ErrSessionLost
}

// sessionOrDial returns a usable session, or else the dial to wait for, or neither if
// the transport has stopped.
func (tr *Transport) sessionOrDial(vm board.VM) (*session, *dial) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.stopped {
		return nil, nil
	}
	if ss := tr.dialed[vm.ID]; ss != nil {
		if ss.isCurrentFor(vm) {
			ss.pendingOpens++
			return ss, nil
		}
		ss.retired = true
		delete(tr.dialed, vm.ID)
	}
	if dl := tr.dials[vm.ID]; dl != nil && tr.covers(dl, vm) {
		return nil, dl
	}
	dl := &dial{address: vm.Peer, done: make(chan struct{})}
	tr.dials[vm.ID] = dl
	tr.group.Go(func() { tr.dial(dl, vm) })
	return nil, dl
}

// isCurrentFor reports whether the session is open and reaches the VM at its current
// address and incarnation.
func (ss *session) isCurrentFor(vm board.VM) bool {
	return !ss.mux.IsClosed() && ss.dialed == vm.Peer && ss.peer.Incarnation >= vm.Incarnation
}

// covers reports whether an earlier dial can be used instead of a new one: it is in progress,
// or it failed for the same address no longer than RedialAfter ago.
func (tr *Transport) covers(dl *dial, vm board.VM) bool {
	if !dl.isDone() {
		return true
	}
	return dl.address == vm.Peer && tr.Clock.Now()-dl.failedAt <= tr.RedialAfter
}

// dial connects to the VM and stores the session, or the error.
func (tr *Transport) dial(dl *dial, vm board.VM) {
	ss, step, err := tr.connect(tr.runCtx, vm)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if err == nil && tr.stopped {
		tr.group.Go(ss.abort)
		step, err = StepStart, net.ErrClosed
	}
	dl.step, dl.err, dl.failedAt = step, err, tr.Clock.Now()
	defer close(dl.done)
	if err != nil {
		tr.count.dialFailed.Inc(1)
		return
	}
	tr.count.dialed.Inc(1)
	delete(tr.dials, vm.ID)
	tr.dialed[vm.ID] = ss
	tr.sessions[ss] = struct{}{}
}

func (tr *Transport) connect(ctx context.Context, vm board.VM) (*session, Step, error) {
	if _, err := netip.ParseAddrPort(vm.Peer); err != nil {
		return nil, StepDial, fmt.Errorf("address of the VM: %w", err)
	}
	dr := net.Dialer{
		LocalAddr: tr.localAddress(),
		Timeout:   tr.DialTimeout.Std(),
		KeepAlive: -1,
		Control:   sockopt.UserTimeoutControl(tr.PingTimeout),
	}
	raw, err := dr.DialContext(ctx, "tcp", vm.Peer)
	if err != nil {
		return nil, StepDial, fmt.Errorf("dial: %w", err)
	}
	ss, step, err := tr.upgrade(ctx, raw, vm)
	if err != nil {
		return nil, step, errors.Join(err, raw.Close())
	}
	return ss, "", nil
}

// localAddress is the IP address that the VM listens on, so that the other VMs see only
// one address of a VM with several. Nil leaves the choice to the system.
func (tr *Transport) localAddress() net.Addr {
	listen, err := netip.ParseAddrPort(tr.Listen)
	if err != nil || listen.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: listen.Addr().AsSlice(), Zone: listen.Addr().Zone()}
}

func (tr *Transport) upgrade(ctx context.Context, raw net.Conn, vm board.VM) (*session, Step, error) {
	if err := tr.setHandshakeDeadline(raw); err != nil {
		return nil, StepHandshake, err
	}
	wr := tr.newTrackedConn(raw)
	tc := tls.Client(wr, tr.id.client)
	got, step, err := tr.clientHandshake(ctx, tc, vm.ID)
	if err != nil {
		return nil, step, err
	}
	if got.ID != vm.ID || got.Incarnation < vm.Incarnation {
		tr.Log.Log(event.PeerWrongVM, event.F("Want", vm.ID), event.F("Got", got.ID), event.F("Address", vm.Peer))
		return nil, StepHello, WrongVMError{Want: vm.VMRef, Got: got}
	}
	if err := clearHandshakeDeadline(raw); err != nil {
		return nil, StepHello, err
	}
	mux, err := yamux.Client(tc, tr.muxConfig())
	if err != nil {
		return nil, StepHello, fmt.Errorf("start session: %w", err)
	}
	ss := &session{mux: mux, tcp: wr, peer: got, dialed: vm.Peer}
	ss.ctx, ss.cancel = context.WithCancelCause(ctx)
	return ss, "", nil
}

// openStream opens a stream for a caller that session counted. If nothing was received
// for KeepAlive, it first checks with a ping that the peer is still reachable.
func (tr *Transport) openStream(ctx context.Context, ss *session) (*yamux.Stream, error) {
	defer func() {
		tr.mu.Lock()
		ss.pendingOpens--
		ss.idle = false
		tr.mu.Unlock()
	}()
	if ss.tcp.silence() >= tr.KeepAlive {
		if err := ss.ping(ctx); err != nil {
			return nil, err
		}
	}
	st, err := ss.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return st, nil
}

// closeUnusable closes a session on which no stream could be opened.
func (tr *Transport) closeUnusable(ss *session) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if _, known := tr.sessions[ss]; !known || tr.stopped {
		return
	}
	tr.abandon(ss)
}
