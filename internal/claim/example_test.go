package claim_test

import (
	"fmt"
	"math/rand/v2"

	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// Two VMs ask for one key; the verdict of the second is to follow the first.
func Example() {
	tb := &peerpb.SeatTable{Seats: []*peerpb.ClaimSeat{
		{ID: "cantho-a-1", Incarnation: 1, FailureDomain: "cantho-a"},
		{ID: "cantho-b-1", Incarnation: 1, FailureDomain: "cantho-b"},
		{ID: "soctrang-1", Incarnation: 1, FailureDomain: "soctrang"},
	}}
	fl := &board.Fleet{Quorate: true}
	books := map[board.VMRef]*claim.Book{}
	for _, seat := range tb.GetSeats() {
		ref := board.VMRef{ID: seat.GetID(), Incarnation: seat.GetIncarnation()}
		bk := &claim.Book{Self: ref, FromLogStart: true}
		bk.Step(0, claim.TableAppended{Epoch: 1, Table: tb})
		books[ref] = bk
		fl.VMs = append(fl.VMs, board.VM{VMRef: ref, FailureDomain: seat.GetFailureDomain()})
	}
	for ix, vm := range fl.VMs[:2] {
		ak := &claim.Asker{
			Self: vm.VMRef, Customer: "hoa-lua", Key: "7f3a", Fingerprint: []byte("hash"),
			Keep: 10 * clock.Minute, Rand: rand.New(rand.NewPCG(1, uint64(ix))),
		}
		todo := ak.Step(0, claim.Begin{Seats: books[vm.VMRef].Seats(), Fleet: fl})
		for len(todo) > 0 {
			in := todo[0]
			todo = todo[1:]
			switch in := in.(type) {
			case claim.SendAsk:
				out := books[in.To].Step(0, claim.Asked{Ask: in.Ask})
				rp := out[0].(claim.Reply).Reply
				todo = append(todo, ak.Step(0, claim.Replied{Number: in.Number, Reply: rp})...)
			case claim.Decided:
				fmt.Println(vm.ID, in.Verdict, in.Runner.ID, in.Attempt)
			case claim.SendUpdate, claim.Wake:
			}
		}
	}
	// Output:
	// cantho-a-1 Run cantho-a-1 1
	// cantho-b-1 Follow cantho-a-1 1
}
