package peer_test

import (
	"context"
	"fmt"

	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
)

func ExampleTransport_Call() {
	ctx, cancel := context.WithCancel(context.Background())
	run := func(tr *peer.Transport) chan error {
		done := make(chan error, 1)
		go func() { done <- tr.Run(ctx) }()
		<-tr.Ready()
		return done
	}
	answering := &peer.Transport{Self: ref("aarhus-a-1", 1), Listen: "127.0.0.1:0", Secret: secret, Handler: echo}
	asking := &peer.Transport{Self: ref("herning-1-1", 1), Listen: "127.0.0.1:0", Secret: secret}
	answered, asked := run(answering), run(asking)

	vm := board.VM{VMRef: answering.Self, Peer: answering.Address().String()}
	reply, err := asking.Call(ctx, vm, &peerpb.Frame{Body: &peerpb.Frame_Done{Done: &peerpb.Done{}}})
	fmt.Println(reply.GetDone() != nil, err)

	cancel()
	fmt.Println(<-answered, <-asked)
	// Output:
	// true <nil>
	// <nil> <nil>
}
