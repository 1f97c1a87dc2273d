package entry

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
)

const testSecret = "a secret that both VMs of the test share"

// echoHandler replies to each frame with Done until the stream closes.
type echoHandler struct{}

func (echoHandler) Serve(_ context.Context, _ board.VMRef, cn *peer.Conn) {
	for {
		if _, err := cn.Recv(); err != nil {
			return
		}
		if cn.Send(doneFrame()) != nil {
			return
		}
	}
}

func runTransport(t *testing.T, tr *peer.Transport) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	<-tr.Ready()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// Only the reservation limits the lifetime of the stream to the scheduler. If the stream is
// opened under the context of the dial, it is closed as soon as it is open, and every request
// is placed by load reports.
func TestSchedulerStreamOutlivesItsOpening(t *testing.T) {
	far := &peer.Transport{
		Self:    board.VMRef{ID: "vm-far", Incarnation: 1},
		Listen:  "127.0.0.1:0",
		Secret:  []byte(testSecret),
		Handler: echoHandler{},
	}
	runTransport(t, far)
	vm := &VM{Self: board.VMRef{ID: "vm-near", Incarnation: 1}, Board: &board.Board{}}
	vm.Peers = &peer.Transport{Self: vm.Self, Listen: "127.0.0.1:0", Secret: []byte(testSecret)}
	runTransport(t, vm.Peers)
	vm.Board.SetFleet(&board.Fleet{Self: vm.Self, VMs: []board.VM{
		{VMRef: far.Self, Peer: far.Address().String()},
	}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	cn, err := vm.openScheduler(ctx, "svc/0")
	assert.NilError(t, err)
	for range 3 {
		assert.NilError(t, cn.Send(&peerpb.Frame{Body: &peerpb.Frame_ReserveAsk{ReserveAsk: &peerpb.ReserveAsk{}}}))
		fr, err := cn.Recv()
		assert.NilError(t, err)
		assert.Assert(t, fr.GetDone() != nil)
	}
	stop()
	_, err = cn.Recv()
	assert.ErrorContains(t, err, "context canceled")
}
