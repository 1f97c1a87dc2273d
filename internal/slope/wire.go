package slope

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

const (
	wireSecret  = "a-secret-of-the-measurement-on-loopback"
	wireRounds  = 200
	wireTimeout = 30 * clock.Second

	// Names of counters of internal/peer.
	bytesInCounter  = "PeerBytesReceived+"
	bytesOutCounter = "PeerBytesSent+"

	dialCount           = 64
	sessionTarget       = 2 * (fleetTarget - 1) // a full mesh in which both VMs of each pair dial
	streamsTarget       = 250                   // decodes of one VM at peak load
	typicalPromptTokens = 3000
	typicalMaxTokens    = 1024
)

var (
	sessionCounts = []int{1, 8, 16, 32, 64, 96}
	streamCounts  = []int{1, 10, 25, 50, 100}

	errStreamStillOpen = errors.New("the other VM did not close the stream")
)

type (
	// wireVM is a real transport on loopback.
	wireVM struct {
		tr    *peer.Transport
		scope tally.TestScope
		stop  context.CancelFunc
		done  chan error
	}

	// replyHandler replies to each stream according to its first frame.
	replyHandler struct{}
)

// Serve implements [peer.Handler]. It grants claims and reservations and holds any other
// stream open until the peer closes it.
func (replyHandler) Serve(_ context.Context, _ board.VMRef, cn *peer.Conn) {
	fr, err := cn.Recv()
	if err != nil {
		return
	}
	switch fr.GetBody().(type) {
	case *peerpb.Frame_ClaimAsk:
		cn.Send(claimReplyFrame())
	case *peerpb.Frame_ReserveAsk:
		serveReservation(cn)
	default:
		cn.Send(doneFrame())
		cn.Recv()
	}
}

// serveReservation sends the frames of the accounting VM at the stages of a request.
func serveReservation(cn *peer.Conn) {
	cn.Send(doneFrame())
	cn.Send(&peerpb.Frame{Body: &peerpb.Frame_Grant{Grant: &peerpb.Grant{
		PrefillServer: "rapportmodel-prefill-17", DecodeServer: "rapportmodel-decode-41", Attempt: 1}}})
	for {
		fr, err := cn.Recv()
		if err != nil {
			return
		}
		switch sched.Stage(fr.GetProgress().GetStage()) {
		case sched.Prefilled:
			cn.Send(&peerpb.Frame{Body: &peerpb.Frame_Transfer{Transfer: &peerpb.Transfer{
				PrefillServer: "rapportmodel-prefill-17", DecodeServer: "rapportmodel-decode-41", Attempt: 1}}})
		case sched.Ended:
			return
		}
	}
}

func startWireVM(ctx context.Context, id string) (*wireVM, error) {
	ctx, stop := context.WithCancel(ctx)
	wv := &wireVM{scope: tally.NewTestScope("", nil), stop: stop, done: make(chan error, 1)}
	wv.tr = &peer.Transport{
		Self:        board.VMRef{ID: id, Incarnation: typicalIncarnation},
		Listen:      "127.0.0.1:0",
		Secret:      []byte(wireSecret),
		Handler:     replyHandler{},
		Scope:       wv.scope,
		IdleTimeout: clock.Hour,
	}
	go func() { wv.done <- wv.tr.Run(ctx) }()
	select {
	case <-wv.tr.Ready():
		return wv, nil
	case err := <-wv.done:
		stop()
		return nil, fmt.Errorf("start a transport: %w", err)
	}
}

func (wv *wireVM) close() {
	wv.stop()
	<-wv.done
}

func (wv *wireVM) vm() board.VM {
	return board.VM{VMRef: wv.tr.Self, Peer: wv.tr.Address().String()}
}

// bytes returns the bytes sent and received over the VM's TCP connections, including
// TLS and yamux but not the TCP and IP headers.
func (wv *wireVM) bytes() float64 {
	snap := wv.scope.Snapshot().Counters()
	total := int64(0)
	for _, name := range []string{bytesInCounter, bytesOutCounter} {
		if ct, ok := snap[name]; ok {
			total += ct.Value()
		}
	}
	return float64(total)
}

// measureWire measures calls, reservations, sessions and streams of the real transport
// over loopback.
func measureWire(ctx context.Context, rp *Report) error {
	if err := measureCalls(ctx, rp); err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	if err := measureSessions(ctx, rp); err != nil {
		return fmt.Errorf("sessions: %w", err)
	}
	if err := measureHeldStreams(ctx, rp); err != nil {
		return fmt.Errorf("streams: %w", err)
	}
	return nil
}

func measureCalls(ctx context.Context, rp *Report) error {
	near, err := startWireVM(ctx, "domain-0-000")
	if err != nil {
		return err
	}
	defer near.close()
	far, err := startWireVM(ctx, "domain-1-001")
	if err != nil {
		return err
	}
	defer far.close()
	ctx, stop := context.WithTimeout(ctx, wireTimeout.Std())
	defer stop()
	if _, err := near.tr.Call(ctx, far.vm(), claimAskFrame(0)); err != nil {
		return fmt.Errorf("first call: %w", err)
	}
	rp.addFact("SessionSetupBytes", Count, near.bytes(), "B to set up a session and make one call")
	calls := []struct {
		name, unit string
		once       func(round int) error
	}{
		{"ClaimCallBytes", "B of one ask to a seat and its reply", func(round int) error {
			_, err := near.tr.Call(ctx, far.vm(), claimAskFrame(round))
			return err
		}},
		{"UpdateCallBytes", "B of one update to a seat and its reply", func(round int) error {
			_, err := near.tr.Call(ctx, far.vm(), claimUpdateFrame(round))
			return err
		}},
		{"ReservationBytes", "B of one reservation over its life, without pings", func(round int) error {
			return runReservation(ctx, near, far, round)
		}},
	}
	for _, cl := range calls {
		before := near.bytes()
		began, err := processorTime()
		if err != nil {
			return err
		}
		for round := range wireRounds {
			if err := cl.once(round); err != nil {
				return fmt.Errorf("%s: %w", cl.name, err)
			}
		}
		ended, err := processorTime()
		if err != nil {
			return err
		}
		rp.addFact(cl.name, Count, (near.bytes()-before)/wireRounds, cl.unit)
		rp.addFact(cl.name+"Time", Time, float64((ended-began).Microseconds())/wireRounds, "us for both ends together")
	}
	return nil
}

// runReservation performs the runner's side of one reservation.
func runReservation(ctx context.Context, near, far *wireVM, round int) error {
	cn, err := near.tr.Open(ctx, far.vm())
	if err != nil {
		return fmt.Errorf("open a stream: %w", err)
	}
	defer cn.Close()
	if err := cn.Send(reserveAskFrame(round)); err != nil {
		return fmt.Errorf("send the request: %w", err)
	}
	for range 2 { // the acknowledgement and the grant
		if _, err := cn.Recv(); err != nil {
			return fmt.Errorf("receive the grant: %w", err)
		}
	}
	for _, stage := range []sched.Stage{sched.Prefilling, sched.Prefilled} {
		if err := cn.Send(progressFrame(stage, "rapportmodel-prefill-17")); err != nil {
			return fmt.Errorf("send progress: %w", err)
		}
	}
	if _, err := cn.Recv(); err != nil {
		return fmt.Errorf("receive the transfer: %w", err)
	}
	for _, stage := range []sched.Stage{sched.Transferring, sched.Decoding, sched.Ended} {
		if err := cn.Send(progressFrame(stage, "rapportmodel-decode-41")); err != nil {
			return fmt.Errorf("send progress: %w", err)
		}
	}
	_, err = cn.Recv() // the accounting VM closes its side last
	if err == nil {
		return errStreamStillOpen
	}
	return nil
}

// measureSessions measures idle sessions from one VM to others.
func measureSessions(ctx context.Context, rp *Report) error {
	memory := rp.addSeries(Series{Name: "SessionMemory", Along: "idle sessions", Unit: "B of both ends",
		Kind: Memory, Shape: Linear, Target: sessionTarget})
	for _, count := range sessionCounts {
		if err := holdSessions(ctx, count, memory); err != nil {
			return fmt.Errorf("at %d sessions: %w", count, err)
		}
	}
	return measureDials(ctx, rp)
}

func holdSessions(ctx context.Context, count int, memory *Series) error {
	var vms []*wireVM
	defer func() {
		for _, wv := range vms {
			wv.close()
		}
	}()
	for ix := range count + 1 {
		wv, err := startWireVM(ctx, fmt.Sprintf("domain-0-%03d", ix))
		if err != nil {
			return err
		}
		vms = append(vms, wv)
	}
	empty := memoryInUse()
	within, stop := context.WithTimeout(ctx, wireTimeout.Std())
	defer stop()
	for _, wv := range vms[1:] {
		if _, err := vms[0].tr.Call(within, wv.vm(), claimAskFrame(0)); err != nil {
			return fmt.Errorf("call the other VM: %w", err)
		}
	}
	memory.addPoint(count, memoryInUse()-empty)
	return nil
}

// measureDials measures the processor time of new sessions.
func measureDials(ctx context.Context, rp *Report) error {
	far, err := startWireVM(ctx, "domain-0-000")
	if err != nil {
		return err
	}
	defer far.close()
	began, err := processorTime()
	if err != nil {
		return err
	}
	for ix := range dialCount {
		near, err := startWireVM(ctx, fmt.Sprintf("domain-1-%03d", ix))
		if err != nil {
			return err
		}
		_, err = near.tr.Call(ctx, far.vm(), claimAskFrame(0))
		near.close()
		if err != nil {
			return fmt.Errorf("call the other VM: %w", err)
		}
	}
	ended, err := processorTime()
	if err != nil {
		return err
	}
	rp.addFact("SessionSetupTime", Time, float64((ended-began).Microseconds())/dialCount,
		"us to start a transport, dial, call once and stop, both ends together")
	return nil
}

// measureHeldStreams measures open streams on one session.
func measureHeldStreams(ctx context.Context, rp *Report) error {
	memory := rp.addSeries(Series{Name: "PeerStreamMemory", Along: "open streams", Unit: "B of both ends",
		Kind: Memory, Shape: Linear, Target: streamsTarget})
	near, err := startWireVM(ctx, "domain-0-000")
	if err != nil {
		return err
	}
	defer near.close()
	far, err := startWireVM(ctx, "domain-1-001")
	if err != nil {
		return err
	}
	defer far.close()
	if _, err := near.tr.Call(ctx, far.vm(), claimAskFrame(0)); err != nil {
		return fmt.Errorf("call the other VM: %w", err)
	}
	empty := memoryInUse()
	var conns []*peer.Conn
	defer func() {
		for _, cn := range conns {
			cn.Close()
		}
	}()
	for _, count := range streamCounts {
		for len(conns) < count {
			cn, err := holdStream(ctx, near, far)
			if err != nil {
				return err
			}
			conns = append(conns, cn)
		}
		memory.addPoint(count, memoryInUse()-empty)
	}
	measurePings(rp, near)
	return nil
}

func holdStream(ctx context.Context, near, far *wireVM) (*peer.Conn, error) {
	cn, err := near.tr.Open(ctx, far.vm())
	if err != nil {
		return nil, fmt.Errorf("open a stream: %w", err)
	}
	if err := cn.Send(doneFrame()); err != nil {
		return cn, fmt.Errorf("send a frame: %w", err)
	}
	if _, err := cn.Recv(); err != nil {
		return cn, fmt.Errorf("receive a frame: %w", err)
	}
	return cn, nil
}

// measurePings measures the traffic of a session whose streams are idle.
func measurePings(rp *Report, near *wireVM) {
	const span = 10 * clock.Second
	before := near.bytes()
	time.Sleep(span.Std())
	rp.addFact("SilentSessionBytes", Count, (near.bytes()-before)/seconds(span),
		"B/s of a session whose streams say nothing")
}
