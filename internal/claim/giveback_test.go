package claim_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// search is an Asker on VM a with three seats.
type search struct {
	ak *claim.Asker
	bk *claim.Book
}

func newSearch() search {
	table := &peerpb.SeatTable{}
	for _, id := range []string{"a", "b", "c"} {
		table.Seats = append(table.Seats, &peerpb.ClaimSeat{ID: id, Incarnation: 1, FailureDomain: id})
	}
	bk := &claim.Book{Self: board.VMRef{ID: "a", Incarnation: 1}, FromLogStart: true}
	bk.Step(0, claim.TableAppended{Epoch: 1, Table: table})
	return search{bk: bk, ak: &claim.Asker{
		Self: bk.Self, Customer: "cu", Key: "k", Fingerprint: []byte("print"), Rand: rand.New(rand.NewPCG(1, 2)),
	}}
}

// run delivers asks with the given answers and returns the other intents.
func (se search) run(out []claim.AskerIntent, answer func(ask claim.SendAsk) *peerpb.ClaimReply) []claim.AskerIntent {
	var rest []claim.AskerIntent
	for len(out) > 0 {
		in := out[0]
		out = out[1:]
		ask, ok := in.(claim.SendAsk)
		if !ok {
			rest = append(rest, in)
			continue
		}
		out = append(out, se.ak.Step(1, claim.Replied{Number: ask.Number, Reply: answer(ask)})...)
	}
	return rest
}

func (se search) begin() []claim.AskerIntent {
	return se.ak.Step(0, claim.Begin{Seats: se.bk.Seats(), Fleet: &board.Fleet{}})
}

func verdicts(out []claim.AskerIntent) []claim.Verdict {
	var list []claim.Verdict
	for _, in := range out {
		if dec, ok := in.(claim.Decided); ok {
			list = append(list, dec.Verdict)
		}
	}
	return list
}

// A VM that was considered dead revalidates while it is still searching: the search
// continues and ends with the grants, instead of reporting the loss of a claim that it
// never had.
func TestRevalidateWhileSearching(t *testing.T) {
	se := newSearch()
	se.begin()
	out := se.ak.Step(1, claim.Revalidate{Seats: se.bk.Seats(), Fleet: &board.Fleet{}})
	out = se.run(out, func(in claim.SendAsk) *peerpb.ClaimReply {
		assert.Assert(t, !in.Ask.GetConfirm(), "asks to confirm a claim that was never granted")
		return &peerpb.ClaimReply{Verdict: string(claim.Granted), Claim: in.Ask.GetClaim(), Attempt: 1}
	})
	assert.DeepEqual(t, verdicts(out), []claim.Verdict{claim.Run})
}

// A seat that granted may have handed the claim over to one that did not, so the claim
// must be released at all seats that were asked.
func TestClaimIsReleasedAtAllSeats(t *testing.T) {
	se := newSearch()
	asked := make(map[string]uint64)
	out := se.run(se.begin(), func(in claim.SendAsk) *peerpb.ClaimReply {
		asked[in.To.ID] = in.Ask.GetClaim()
		if len(asked) == 1 {
			return &peerpb.ClaimReply{Verdict: string(claim.Granted), Claim: in.Ask.GetClaim(), Attempt: 1}
		}
		return &peerpb.ClaimReply{Verdict: string(claim.Settling)}
	})
	released := make(map[string]uint64)
	for _, in := range out {
		if up, ok := in.(claim.SendUpdate); ok && up.Update.GetState() == string(claim.Released) {
			released[up.To.ID] = up.Update.GetClaim()
		}
	}
	assert.Equal(t, len(asked), 3)
	assert.DeepEqual(t, released, asked)
}

// A seat that has not yet processed this VM's release of an earlier claim is asked
// again, because a VM must not follow itself.
func TestAVMDoesNotFollowItself(t *testing.T) {
	se := newSearch()
	out := se.run(se.begin(), func(in claim.SendAsk) *peerpb.ClaimReply {
		return &peerpb.ClaimReply{
			Verdict: string(claim.Held), State: string(claim.Claimed), Claim: in.Ask.GetClaim() + 1,
			RunnerID: "a", RunnerIncarnation: 1, Attempt: 1,
		}
	})
	assert.Equal(t, len(verdicts(out)), 0, "%v", verdicts(out))
	out = se.ak.Step(500, claim.AskerTick{})
	out = se.run(out, func(in claim.SendAsk) *peerpb.ClaimReply {
		return &peerpb.ClaimReply{Verdict: string(claim.Granted), Claim: in.Ask.GetClaim(), Attempt: 1}
	})
	assert.DeepEqual(t, verdicts(out), []claim.Verdict{claim.Run})
}

// The timeout of a second ask is later than the Wake that the first one requested. An
// event loop keeps only the earliest Wake, so the AskerTick for the first ask must
// request one for the second. Otherwise nothing times the second ask out, and the
// search lasts until the connection fails, a second after it began.
func TestSecondAskTimesOut(t *testing.T) {
	se := newSearch()
	first := wakes(se.begin())
	assert.Equal(t, len(first), 1)
	out := se.ak.Step(50, claim.Replied{Number: 1, Reply: &peerpb.ClaimReply{Verdict: string(claim.Settling)}})
	second := wakes(out)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0] > first[0])
	out = se.ak.Step(first[0], claim.AskerTick{})
	assert.DeepEqual(t, wakes(out), second)
	assert.Equal(t, len(asks(out)), 0)
	assert.Equal(t, len(asks(se.ak.Step(second[0], claim.AskerTick{}))), 1, "the third seat is asked")
}

func wakes(out []claim.AskerIntent) []clock.Millis {
	var list []clock.Millis
	for _, in := range out {
		if wk, ok := in.(claim.Wake); ok {
			list = append(list, wk.At)
		}
	}
	return list
}

func asks(out []claim.AskerIntent) []claim.SendAsk {
	var list []claim.SendAsk
	for _, in := range out {
		if ask, ok := in.(claim.SendAsk); ok {
			list = append(list, ask)
		}
	}
	return list
}
