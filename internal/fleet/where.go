package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/explain"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

// whereRepeat is how long a command waits for a reply before it asks again: a datagram may
// be lost, and a VM answers one ask at a time.
const whereRepeat = 250 * clock.Millis(1)

var errNoSecret = errors.New("the store holds no secret of a fleet")

type (
	// Directory is what the fleet's topic tells a program that is not a VM.
	Directory struct {
		Secret []byte
		VMs    []board.VM // as listed
	}

	// WhereAsker asks VMs where requests would go. It is a program that is not a VM: it
	// takes no part in membership. Set the exported fields before use.
	WhereAsker struct {
		Secret []byte
		Listen string // IP address and port for the replies; port 0 takes a free one
	}

	// whereReply is the reply to an ask where a request would go.
	whereReply struct {
		vm     string // that asked
		number uint64 // of the ask
		pieces []*peerpb.WherePiece
	}
)

// ReadDirectory reads the fleet's topic.
func ReadDirectory(ctx context.Context, source topic.Source, name string) (Directory, error) {
	recs, _, err := source.Newest(ctx, name)
	if err != nil {
		return Directory{}, fmt.Errorf("read the fleet's topic: %w", err)
	}
	mb := &Member{listed: make(map[string]vmEntry)}
	for _, rec := range recs {
		mb.applyEntry(rec)
	}
	if len(mb.secret) == 0 {
		return Directory{}, errNoSecret
	}
	return Directory{Secret: mb.secret, VMs: mb.listedVMs()}, nil
}

// Ask asks a VM where a request would go, and repeats its ask until the context ends. A VM
// of an earlier build drops the message.
func (wa WhereAsker) Ask(ctx context.Context, vm board.VM, rq explain.Request) (explain.Explanation, error) {
	var none explain.Explanation
	data, err := json.Marshal(rq)
	if err != nil {
		return none, fmt.Errorf("encode the request: %w", err)
	}
	number := uint64(time.Now().UnixNano())
	replies := make(chan explain.Explanation, 1)
	// Each command has an ID of its own, since a VM drops datagrams of an ID that are not
	// newer than those that it has received.
	tr := &peer.Transport{Self: board.VMRef{ID: "where-" + rand.Text(), Incarnation: 1}, Listen: wa.Listen, Secret: wa.Secret,
		OnDatagram: whereReplies(vm.ID, number, replies)}
	within, stop := context.WithCancel(context.WithoutCancel(ctx)) // an ask at the deadline must not meet a closed socket
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- tr.Run(within) }()
	select {
	case <-tr.Ready():
	case err := <-ended:
		return none, fmt.Errorf("listen for the reply: %w", err)
	}
	repeat := time.NewTicker(whereRepeat.Std())
	defer repeat.Stop()
	for {
		if err := tr.SendDatagram(vm, &peerpb.Datagram{Body: &peerpb.Datagram_WhereAsk{WhereAsk: &peerpb.WhereAsk{Number: number, Request: data}}}); err != nil {
			return none, fmt.Errorf("ask the VM: %w", err)
		}
		select {
		case ex := <-replies:
			return ex, nil
		case <-repeat.C:
		case <-ctx.Done():
			return none, fmt.Errorf("wait for the reply: %w", ctx.Err())
		}
	}
}

// whereReplies returns a handler of datagrams that collects the reply of a VM to an ask.
func whereReplies(vm string, number uint64, replies chan<- explain.Explanation) func(dg *peerpb.Datagram, from netip.AddrPort) {
	var ra reassembly
	return func(dg *peerpb.Datagram, _ netip.AddrPort) {
		wp := dg.GetWherePiece()
		if wp == nil || dg.GetFrom() != vm || wp.GetNumber() != number {
			return
		}
		rec, whole, err := ra.add(&peerpb.TopicPiece{Offset: number, Index: wp.GetIndex(), Count: wp.GetCount(), Data: wp.GetData()})
		if err != nil || !whole {
			return // an unreadable reply counts as lost
		}
		var ex explain.Explanation
		if json.Unmarshal(rec.Value, &ex) != nil {
			return
		}
		select {
		case replies <- ex:
		default: // the reply to a repeated ask
		}
	}
}

// handleWhereAsk answers an ask at the address that it came from, one at a time: the sender
// repeats one that is dropped.
func (fl *Fleet) handleWhereAsk(vm string, from netip.AddrPort, wa *peerpb.WhereAsk) {
	var rq explain.Request
	if fl.OnWhereRequest == nil || json.Unmarshal(wa.GetRequest(), &rq) != nil || !fl.explaining.CompareAndSwap(false, true) {
		return
	}
	go func() { // the handler of datagrams must not block
		defer fl.explaining.Store(false)
		to := board.VM{VMRef: board.VMRef{ID: vm}, Peer: from.String()}
		for _, wp := range fl.answerWhere(vm, wa.GetNumber(), rq) {
			// If a piece is lost, the sender repeats its ask.
			_ = fl.peers.SendDatagram(to, &peerpb.Datagram{Body: &peerpb.Datagram_WherePiece{WherePiece: wp}})
		}
	}()
}

// answerWhere returns the reply to an ask. A repeated ask gets the earlier reply, because an
// explanation of a resumed stream asks other VMs, which must cost no more than one request.
func (fl *Fleet) answerWhere(vm string, number uint64, rq explain.Request) []*peerpb.WherePiece {
	if last := fl.explained; last.vm != vm || last.number != number {
		fl.explained = whereReply{vm: vm, number: number, pieces: wherePieces(number, fl.OnWhereRequest(rq))}
	}
	return fl.explained.pieces
}

// wherePieces splits a reply into messages. It halves the candidates until the reply fits.
func wherePieces(number uint64, ex explain.Explanation) []*peerpb.WherePiece {
	for {
		data, err := json.Marshal(ex)
		if err != nil {
			return nil // the asker gets no reply
		}
		parts, err := fragmentRecord("", topic.Record{Value: data})
		if err != nil || len(parts) == 0 && len(ex.Candidates) == 0 {
			return nil
		}
		if len(parts) > 0 {
			out := make([]*peerpb.WherePiece, 0, len(parts))
			for _, tp := range parts {
				out = append(out, &peerpb.WherePiece{Number: number, Index: tp.GetIndex(), Count: tp.GetCount(), Data: tp.GetData()})
			}
			return out
		}
		kept := len(ex.Candidates) / 2
		ex.Omitted += len(ex.Candidates) - kept
		ex.Candidates = ex.Candidates[:kept]
	}
}
