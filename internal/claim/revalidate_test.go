package claim_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/peer/peerpb"
)

// A VM that was held dead asks anew while it still searches: the search goes
// on and ends with the grants, not with a claim lost that it never had.
func TestRevalidateWhileSearching(t *testing.T) {
	table := &peerpb.SeatTable{}
	for _, id := range []string{"a", "b", "c"} {
		table.Seats = append(table.Seats, &peerpb.ClaimSeat{ID: id, Incarnation: 1, FailureDomain: id})
	}
	bk := &claim.Book{Self: board.VMRef{ID: "a", Incarnation: 1}, FromStart: true}
	bk.Step(0, claim.Seated{Epoch: 1, Table: table})
	fleet := &board.Fleet{}
	ak := &claim.Asker{
		Self: bk.Self, Customer: "cu", Key: "k", Fingerprint: []byte("print"), Rand: rand.New(rand.NewPCG(1, 2)),
	}
	out := ak.Step(0, claim.Begin{Seats: bk.Seats(), Fleet: fleet})
	out = append(out, ak.Step(5000, claim.Revalidate{Seats: bk.Seats(), Fleet: fleet})...)
	var verdicts []claim.Verdict
	for len(out) > 0 {
		in := out[0]
		out = out[1:]
		switch in := in.(type) {
		case claim.SendAsk:
			assert.Assert(t, !in.Ask.GetConfirm(), "confirms what was never granted")
			reply := &peerpb.ClaimReply{Verdict: string(claim.Granted), Claim: in.Ask.GetClaim(), Attempt: 1}
			out = append(out, ak.Step(5001, claim.Replied{Number: in.Number, Reply: reply})...)
		case claim.Decided:
			verdicts = append(verdicts, in.Verdict)
		}
	}
	assert.DeepEqual(t, verdicts, []claim.Verdict{claim.Run})
}
