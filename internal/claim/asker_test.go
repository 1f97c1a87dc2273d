package claim

import (
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

type (
	// seatScript is the reply of each seat of the group, in order; nil means no reply.
	seatScript []*peerpb.ClaimReply

	askerCase struct {
		name       string
		idempotent bool
		fresh      bool
		script     seatScript
		want       Verdict
		ran        refusal.Ran
		asks       int // SendAsk intents until the verdict; 0 for any number
	}
)

func testAsker() *Asker {
	return &Asker{
		Self: vmA.VMRef, Customer: testCustomer, Key: "key", Fingerprint: []byte("print"),
		Keep: clock.Minute, Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

func testSeats() *SeatTable {
	st, err := (*SeatTable)(nil).With(1, table(0, vmA, vmB, vmC))
	if err != nil {
		panic(err)
	}
	return st
}

// play answers the asker according to the script until it decides.
func play(ak *Asker, begin AskerEvent, script seatScript) (dc Decided, asks, releases int) {
	now := clock.Millis(0)
	todo := ak.Step(now, begin)
	for steps := 0; steps < 10_000; steps++ {
		if len(todo) == 0 {
			return dc, asks, releases
		}
		in := todo[0]
		todo = todo[1:]
		switch in := in.(type) {
		case SendAsk:
			asks++
			rp := script[indexOf(ak.group, in.To)]
			if rp == nil {
				todo = append(todo, ak.Step(now, AskFailed{in.Number})...)
				continue
			}
			todo = append(todo, ak.Step(now, Replied{in.Number, rp})...)
		case SendUpdate:
			releases++
		case Wake:
			if ak.phase == backingOff || ak.phase == confirmingLater {
				now = max(now, in.At)
				todo = append(todo, ak.Step(now, AskerTick{})...)
			}
		case Decided:
			dc = in
		}
	}
	panic("asker does not terminate")
}

func indexOf(gr Group, ref board.VMRef) int {
	for ix, at := range gr {
		if at == ref {
			return ix
		}
	}
	return -1
}

func held(by board.VM, state State, claim uint64) *peerpb.ClaimReply {
	rp := &peerpb.ClaimReply{
		Verdict: string(Held), RunnerID: by.ID, RunnerIncarnation: by.Incarnation,
		Attempt: 1, State: string(state), Claim: claim,
	}
	if state == Decoding {
		rp.DecodeServer, rp.EngineRequest = "decode-1", "er-1"
	}
	return rp
}

func replyWith(ans Answer) *peerpb.ClaimReply {
	return &peerpb.ClaimReply{Verdict: string(ans), Attempt: 1}
}

// TestAskerVerdicts checks the verdict on each script of replies. vmB is alive and vmD
// is dead.
func TestAskerVerdicts(t *testing.T) {
	ok, full, settling := replyWith(Granted), replyWith(Full), replyWith(Settling)
	tests := []askerCase{
		{name: "Grants", script: seatScript{ok, ok, nil}, want: Run, asks: 2},
		{name: "FirstSeatUnreachable", script: seatScript{nil, ok, ok}, want: Run, asks: 3},
		{name: "OneGrantIsTooFew", script: seatScript{ok, nil, nil}, want: Unavailable, ran: refusal.MayHaveRun},
		{name: "FreshKeyNotRun", fresh: true, script: seatScript{nil, nil, nil}, want: Unavailable, ran: refusal.NotRun},
		{name: "FullIsNotRun", script: seatScript{full, full, nil}, want: Unavailable, ran: refusal.NotRun},
		{name: "Settling", script: seatScript{settling, settling, ok}, want: Unavailable, ran: refusal.MayHaveRun},
		{name: "Follow", script: seatScript{held(vmB, Claimed, 5), nil, nil}, want: Follow, asks: 1},
		{name: "FollowComplete", script: seatScript{held(vmB, Complete, 5), nil, nil}, want: Follow, asks: 1},
		{name: "SplitVoteEndsInFollow", script: seatScript{ok, held(vmB, Claimed, 5), nil}, want: Follow},
		{name: "StrayClaimOfTheDead", script: seatScript{held(vmD, Claimed, 5), ok, ok}, want: Run, asks: 3},
		{name: "DeadMayHaveRun", script: seatScript{held(vmD, Claimed, 5), nil, ok}, want: InDoubt, ran: refusal.MayHaveRun},
		{name: "DeadDispatched", script: seatScript{held(vmD, Dispatched, 5), ok, ok}, want: InDoubt, ran: refusal.MayHaveRun, asks: 1},
		{name: "DeadComplete", script: seatScript{held(vmD, Complete, 5), ok, ok}, want: Ended, ran: refusal.MayHaveRun, asks: 1},
		{name: "Doubtful", script: seatScript{held(vmB, Doubtful, 5), nil, nil}, want: InDoubt, ran: refusal.MayHaveRun},
		{name: "OtherRequest", script: seatScript{ok, replyWith(OtherPrint), nil}, want: Reused, ran: refusal.NotRun, asks: 2},
		{name: "IdempotentOneGrant", idempotent: true, script: seatScript{ok, nil, nil}, want: Run, asks: 2},
		{name: "IdempotentNoSeat", idempotent: true, script: seatScript{nil, nil, nil}, want: Run},
		{name: "IdempotentFollow", idempotent: true, script: seatScript{nil, held(vmB, Claimed, 5), nil}, want: Follow, asks: 2},
	}
	fl := &board.Fleet{Quorate: true, VMs: []board.VM{vmA, vmB, vmC}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ak := testAsker()
			ak.Idempotent, ak.Fresh = tc.idempotent, tc.fresh
			dc, asks, releases := play(ak, Begin{testSeats(), fl}, tc.script)
			assert.Equal(t, dc.Verdict, tc.want)
			assert.Equal(t, dc.Ran, tc.ran)
			if tc.asks > 0 {
				assert.Equal(t, asks, tc.asks)
			}
			if tc.want == Run && !tc.idempotent {
				assert.Equal(t, releases, 0)
			}
		})
	}
}

// A runner that was paused may continue only if the seats still have its claim.
func TestRevalidate(t *testing.T) {
	fl := &board.Fleet{Quorate: true, VMs: []board.VM{vmA, vmB, vmC}}
	ok, absent := replyWith(Granted), replyWith(Absent)
	for _, tc := range []struct {
		name       string
		idempotent bool
		script     seatScript
		want       Verdict
	}{
		{"Kept", false, seatScript{ok, nil, ok}, Run},
		{"Forgotten", false, seatScript{absent, ok, absent}, Lost},
		{"Unreachable", false, seatScript{nil, nil, nil}, Lost},
		{"Settling", false, seatScript{replyWith(Settling), ok, replyWith(Settling)}, Lost},
		{"Superseded", true, seatScript{held(vmB, Claimed, 9), ok, nil}, Lost},
		{"IdempotentKept", true, seatScript{ok, nil, nil}, Run},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ak := testAsker()
			ak.Idempotent = tc.idempotent
			dc, _, _ := play(ak, Begin{testSeats(), fl}, seatScript{ok, ok, ok})
			assert.Equal(t, dc.Verdict, Run)
			before := ak.claim
			dc, _, _ = play(ak, Revalidate{testSeats(), fl}, tc.script)
			assert.Equal(t, dc.Verdict, tc.want)
			assert.Equal(t, ak.claim, before)
		})
	}
}

// With the seats of real books, the decode of a dead runner continues at another VM,
// and the first runner learns on return that it lost the key.
func TestTakeOver(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		books := map[board.VMRef]*Book{}
		for _, vm := range []board.VM{vmA, vmB, vmC} {
			books[vm.VMRef] = seatedBook(vm, Settings{})
		}
		alive := &board.Fleet{Quorate: true, VMs: []board.VM{vmA, vmB, vmC}}
		first := testAsker()
		first.Idempotent = idempotent
		dc := playBooks(first, Begin{testSeats(), alive}, books)
		assert.Equal(t, dc.Verdict, Run)
		for _, in := range first.Step(0, StateChanged{State: Decoding, DecodeServer: "decode-1", EngineRequest: "er-1"}) {
			up := in.(SendUpdate)
			books[up.To].Step(0, Updated{up.Update})
		}
		deadA := vmA
		deadA.Health = board.Dead
		second := testAsker()
		second.Self, second.Idempotent, second.Rand = vmB.VMRef, idempotent, rand.New(rand.NewPCG(3, 4))
		dc = playBooks(second, Begin{testSeats(), &board.Fleet{VMs: []board.VM{deadA, vmB, vmC}}}, books)
		assert.Equal(t, dc.Verdict, TakeOver)
		assert.Equal(t, dc.Attempt, uint32(2))
		assert.Equal(t, dc.DecodeServer, "decode-1")
		assert.Equal(t, dc.EngineRequest, "er-1")
		assert.Equal(t, playBooks(first, Revalidate{testSeats(), alive}, books).Verdict, Lost)
	}
}

func playBooks(ak *Asker, begin AskerEvent, books map[board.VMRef]*Book) Decided {
	var dc Decided
	todo := ak.Step(0, begin)
	for len(todo) > 0 {
		in := todo[0]
		todo = todo[1:]
		switch in := in.(type) {
		case SendAsk:
			todo = append(todo, ak.Step(0, Replied{in.Number, reply(books[in.To], 0, in.Ask)})...)
		case SendUpdate:
			books[in.To].Step(0, Updated{in.Update})
		case Decided:
			dc = in
		case Wake:
		}
	}
	return dc
}

// A reply to an ask of an earlier round is counted and otherwise ignored.
func TestStrayReply(t *testing.T) {
	ak := testAsker()
	fl := &board.Fleet{Quorate: true, VMs: []board.VM{vmA, vmB, vmC}}
	dc, _, _ := play(ak, Begin{testSeats(), fl}, seatScript{replyWith(Granted), replyWith(Granted), nil})
	assert.Equal(t, dc.Verdict, Run)
	assert.Equal(t, len(ak.Step(0, Replied{1, held(vmB, Complete, 5)})), 0)
	assert.Equal(t, ak.StrayReplies, uint64(1))
}

// The second record of an idempotent key is requested while the request is already
// running. If that ask is delayed, for example by a connection attempt, the decode's
// update arrives with it and has no effect when it is processed first. The update must
// be sent again once the seat has granted: if the runner and the first seat are lost,
// no other record names the engine that decodes.
func TestLateRecordNamesTheDecode(t *testing.T) {
	ak := testAsker()
	ak.Idempotent = true
	ak.Step(0, Begin{testSeats(), &board.Fleet{Quorate: true, VMs: []board.VM{vmA, vmB, vmC}}})
	var second SendAsk
	for _, in := range ak.Step(0, Replied{1, replyWith(Granted)}) {
		if ask, ok := in.(SendAsk); ok {
			second = ask
		}
	}
	bk := seatedBook(board.VM{VMRef: second.To}, Settings{})
	tell := func(list []AskerIntent) {
		for _, in := range list {
			if up, ok := in.(SendUpdate); ok && up.To == second.To {
				bk.Step(0, Updated{up.Update})
			}
		}
	}
	tell(ak.Step(0, StateChanged{State: Decoding, DecodeServer: "decode-1", EngineRequest: "er-1"}))
	tell(ak.Step(0, Replied{second.Number, reply(bk, 0, second.Ask)}))

	other := proto.CloneOf(second.Ask)
	other.Claim++
	rp := reply(bk, 0, other)
	assert.Equal(t, Answer(rp.GetVerdict()), Held)
	assert.Equal(t, State(rp.GetState()), Decoding)
	assert.Equal(t, rp.GetDecodeServer(), "decode-1")
	assert.Equal(t, ak.StrayReplies, uint64(0))
}
