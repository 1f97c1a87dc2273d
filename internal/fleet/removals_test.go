package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/registry"
	"alderdyke/internal/topic"
)

// Guards against a VM that starts and uses servers which left before: it has received the
// removals that another VM remembers when it is told that calls may begin.
func TestStartingVMHearsOfRemovals(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var vms []board.VM
	for ix := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		vms = append(vms, board.VM{VMRef: board.VMRef{ID: fmt.Sprintf("vm-%d", ix), Incarnation: 7}, Peer: ln.Addr().String(), Caller: "10.0.0.1:80"})
		assert.NilError(t, ln.Close())
	}
	var removals []registry.Removal
	for ix := range 100 {
		removals = append(removals, registry.Removal{Key: fmt.Sprintf("server-%d", ix), Until: topic.Revision{Incarnation: 1 << 40, Renewal: 1 << 63}, Age: 12})
	}
	start := func(fl *Fleet) {
		fl.Secret, fl.Rand = []byte("sixteen bytes or more"), rand.New(rand.NewPCG(1, 3))
		fl.Prepare()
		go func() { _ = fl.Run(ctx) }() // ends with the context
		<-fl.peers.Ready()
		fl.SetListed(ctx, vms)
	}
	for _, vm := range vms[1:] {
		start(&Fleet{Self: vm, Removals: func() []registry.Removal { return removals }})
	}
	var mu sync.Mutex
	heard := make(map[string]registry.Removal)
	known := make(chan int, 1)
	start(&Fleet{Self: vms[0], OnLimitsKnown: func() {
		mu.Lock()
		defer mu.Unlock()
		known <- len(heard)
	}, OnRemovals: func(list []registry.Removal) {
		mu.Lock()
		defer mu.Unlock()
		for _, rm := range list {
			heard[rm.Key] = rm
		}
	}})
	select {
	case count := <-known:
		assert.Equal(t, count, len(removals))
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, heard["server-7"], removals[7])
	case <-time.After(limitsTimeout):
		t.Fatal("no VM has answered")
	}
}

// A VM asks for removals with its probes until the Ack of one that asked, and once more after
// each listing.
func TestRemovalsAreAskedForOnce(t *testing.T) {
	fl := &Fleet{Self: board.VM{VMRef: board.VMRef{ID: "a"}}, OnRemovals: func([]registry.Removal) {}}
	probe := func(number uint64) *peerpb.Datagram {
		return &peerpb.Datagram{Body: &peerpb.Datagram_Probe{Probe: &peerpb.Probe{Number: number}}}
	}
	asks := func(number uint64) bool { return fl.askRemovals(probe(number)).GetProbe().GetRemovalsAsked() }
	ack := func(ack *peerpb.Ack) {
		fl.exchangeRemovals(&peerpb.Datagram{Body: &peerpb.Datagram_Ack{Ack: ack}}, netip.AddrPort{})
	}
	assert.Assert(t, asks(4))
	ack(&peerpb.Ack{Number: 3}) // of a probe that did not ask
	ack(&peerpb.Ack{Number: 4, Target: "b"})
	ack(&peerpb.Ack{Number: 4, Missed: true})
	assert.Assert(t, asks(5))
	ack(&peerpb.Ack{Number: 5})
	assert.Assert(t, !asks(6))
	(&Member{fleet: fl}).AskRemovals()
	assert.Assert(t, asks(7))
	(&Member{}).AskRemovals() // not joined yet
}

// Guards against messages that are too large to be sent: many removals, with long keys.
func TestRemovalDatagrams(t *testing.T) {
	for _, length := range []int{1, 20, 255} {
		var list []registry.Removal
		for ix := range 5000 {
			list = append(list, registry.Removal{Key: fmt.Sprint(ix, strings.Repeat("k", length)), Until: topic.Revision{Incarnation: 1 << 52, Renewal: 1 << 63}, Age: 15000})
		}
		msgs := removalDatagrams(list)
		assert.Equal(t, len(msgs), maxRemovalDatagrams)
		var got []registry.Removal
		for _, msg := range msgs {
			assert.Assert(t, proto.Size(msg) <= peer.MaxDatagram-150, "%d bytes", proto.Size(msg))
			got = append(got, removalsFromWire(msg.GetServerRemovals())...)
		}
		assert.DeepEqual(t, got, list[:len(got)])
	}
	assert.Equal(t, len(removalDatagrams(nil)), 0)
}
