package balance_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/pkg/refusal"
)

func ExampleChooser_Pick() {
	ch := &balance.Chooser{Rand: rand.New(rand.NewPCG(1, 2))}
	ch.Update(0, &board.Backends{Servers: []board.BackendServer{
		{ID: "kiosk-1", Service: "kiosk-api", Role: board.Plain},
		{ID: "kiosk-2", Service: "kiosk-api", Role: board.Plain, Leaving: true},
	}}, 6)
	req := balance.Request{Service: "kiosk-api", Customer: "hoa-lua", Share: 0.5}
	server, err := ch.Pick(10, req)
	fmt.Println(server, err)
	ch.Done(25, server, balance.Outcome{Customer: "hoa-lua", Result: balance.Success})

	_, err = ch.Pick(30, balance.Request{Service: "summary-llm", Customer: "hoa-lua"})
	var rf refusal.Refusal
	fmt.Println(errors.As(err, &rf), rf.Ran, rf.Reason)
	// Output:
	// kiosk-1 <nil>
	// true NotRun NoBackend
}

func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{4, 12, 100, 600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			bk := &board.Backends{}
			for ix := range servers {
				bk.Servers = append(bk.Servers, board.BackendServer{ID: fmt.Sprintf("s%03d", ix), Service: "svc", Role: board.Plain})
			}
			ch := &balance.Chooser{Rand: rand.New(rand.NewPCG(1, 2))}
			ch.Update(0, bk, 6)
			b.ReportAllocs()
			for b.Loop() {
				server, err := ch.Pick(1, balance.Request{Service: "svc", Customer: "cu", Share: 0.5})
				if err != nil {
					b.Fatal(err)
				}
				ch.Done(2, server, balance.Outcome{Customer: "cu", Result: balance.Success})
			}
		})
	}
}
