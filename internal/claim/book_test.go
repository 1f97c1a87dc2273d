package claim

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/rendezvous"
	"alderdyke/pkg/clock"
)

func seatedBook(self board.VM, settings Settings) *Book {
	bk := &Book{Self: self.VMRef, Settings: settings, FromLogStart: true}
	bk.Step(0, TableAppended{Epoch: 1, Table: table(0, vmA, vmB, vmC)})
	return bk
}

func askFor(bk *Book, key string, claim uint64, from board.VM) *peerpb.ClaimAsk {
	return &peerpb.ClaimAsk{
		Key: key, Customer: testCustomer, Fingerprint: []byte("print"),
		RunnerID: from.ID, RunnerIncarnation: from.Incarnation, Claim: claim,
		Keep: int64(clock.Minute), Group: bk.Seats().Group(testCustomer, key).digest(),
	}
}

func reply(bk *Book, now clock.Millis, ask *peerpb.ClaimAsk) *peerpb.ClaimReply {
	return bk.Step(now, Asked{Ask: ask})[0].(Reply).Reply
}

func updateOf(ask *peerpb.ClaimAsk, state State) *peerpb.ClaimUpdate {
	return &peerpb.ClaimUpdate{
		Key: ask.GetKey(), Customer: ask.GetCustomer(), RunnerID: ask.GetRunnerID(),
		RunnerIncarnation: ask.GetRunnerIncarnation(), Attempt: 1, State: string(state), Claim: ask.GetClaim(),
		DecodeServer: "decode-1", EngineRequest: "er-1",
	}
}

func TestBookAnswers(t *testing.T) {
	tests := []struct {
		name   string
		first  State // of the claim on record; none if empty
		change func(*peerpb.ClaimAsk)
		want   Answer
	}{
		{"NoRecord", "", func(*peerpb.ClaimAsk) {}, Granted},
		{"Claimed", Claimed, func(*peerpb.ClaimAsk) {}, Held},
		{"SameClaim", Claimed, func(ask *peerpb.ClaimAsk) { ask.Claim = 1 }, Granted},
		{"Complete", Complete, func(*peerpb.ClaimAsk) {}, Held},
		{"Released", Released, func(*peerpb.ClaimAsk) {}, Granted},
		{"ReleasedSameClaim", Released, func(ask *peerpb.ClaimAsk) { ask.Claim = 1 }, Absent},
		{"RefusedNotRun", RefusedNotRun, func(*peerpb.ClaimAsk) {}, Granted},
		{"OtherPrint", Claimed, func(ask *peerpb.ClaimAsk) { ask.Fingerprint = []byte("other") }, OtherPrint},
		{"OtherGroup", "", func(ask *peerpb.ClaimAsk) { ask.Group++ }, OtherGroup},
		{"ConfirmAbsent", "", func(ask *peerpb.ClaimAsk) { ask.Confirm = true }, Absent},
		{"SupersedeClaimed", Claimed, func(ask *peerpb.ClaimAsk) { ask.Supersedes = 1 }, Held},
		{"SupersedeDecoding", Decoding, func(ask *peerpb.ClaimAsk) { ask.Supersedes = 1 }, Granted},
		{"SupersedeOther", Decoding, func(ask *peerpb.ClaimAsk) { ask.Supersedes = 9 }, Held},
		{"NoKey", "", func(ask *peerpb.ClaimAsk) { ask.Key = "" }, Malformed},
		{"NoClaim", "", func(ask *peerpb.ClaimAsk) { ask.Claim = 0 }, Malformed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			bk := seatedBook(vmA, Settings{})
			if tc.first != "" {
				ask := askFor(bk, "key", 1, vmB)
				assert.Equal(t, reply(bk, 0, ask).GetVerdict(), string(Granted))
				bk.Step(1, Updated{updateOf(ask, tc.first)})
			}
			ask := askFor(bk, "key", 2, vmC)
			tc.change(ask)
			assert.Equal(t, reply(bk, 2, ask).GetVerdict(), string(tc.want))
		})
	}
}

// If a claim that superseded another is released, the other one is on record again, so
// the key is not free.
func TestReleaseRestoresSuperseded(t *testing.T) {
	bk := seatedBook(vmA, Settings{})
	first := askFor(bk, "key", 1, vmB)
	reply(bk, 0, first)
	bk.Step(0, Updated{updateOf(first, Decoding)})
	second := askFor(bk, "key", 2, vmC)
	second.Supersedes = 1
	rp := reply(bk, 0, second)
	assert.Equal(t, rp.GetAttempt(), uint32(2))
	assert.Equal(t, rp.GetEngineRequest(), "er-1")
	bk.Step(0, Updated{updateOf(second, Released)})
	rp = reply(bk, 0, askFor(bk, "key", 3, vmC))
	assert.Equal(t, rp.GetVerdict(), string(Held))
	assert.Equal(t, rp.GetClaim(), uint64(1))
}

func TestBookIsBounded(t *testing.T) {
	bk := seatedBook(vmA, Settings{MaxRecords: 10, ClaimTTL: clock.Minute})
	for ix := range 10 {
		assert.Equal(t, reply(bk, 0, askFor(bk, fmt.Sprint(ix), 1, vmB)).GetVerdict(), string(Granted))
	}
	assert.Equal(t, reply(bk, 0, askFor(bk, "more", 1, vmB)).GetVerdict(), string(Full))
	assert.Equal(t, reply(bk, clock.Minute, askFor(bk, "more", 1, vmB)).GetVerdict(), string(Full), "records are kept for ClaimTTL")
	later := clock.Minute + 2*expiryBucket
	assert.Equal(t, reply(bk, later, askFor(bk, "more", 1, vmB)).GetVerdict(), string(Granted))
	assert.Equal(t, bk.Counts().Records, 1)
}

// When a request ends, its record expires earlier: after the template's retention time.
func TestEndedRecordIsKeptForItsSpan(t *testing.T) {
	bk := seatedBook(vmA, Settings{})
	ask := askFor(bk, "key", 1, vmB)
	reply(bk, 0, ask)
	bk.Step(10, Updated{updateOf(ask, Complete)})
	other := askFor(bk, "key", 2, vmC)
	assert.Equal(t, reply(bk, clock.Minute+9, other).GetVerdict(), string(Held))
	bk.Step(2*maxRecheckDelay+2*expiryBucket, Tick{})
	assert.Equal(t, bk.Counts().Records, 0)
}

func TestMinorityGrantsNothingForLong(t *testing.T) {
	bk := seatedBook(vmA, Settings{ClaimTTL: clock.Minute})
	bk.Step(0, FleetChanged{&board.Fleet{Quorate: true}})
	bk.Step(1000, FleetChanged{&board.Fleet{}})
	assert.Equal(t, reply(bk, 2000, askFor(bk, "key", 1, vmB)).GetVerdict(), string(Granted))
	assert.Equal(t, reply(bk, 32000, askFor(bk, "other", 1, vmB)).GetVerdict(), string(Minority))
}

func TestMergeDoesNotDependOnOrder(t *testing.T) {
	draw := rapid.Custom(func(rt *rapid.T) record {
		return record{
			claim: rapid.Uint64Range(1, 3).Draw(rt, "claim"), fingerprint: 1,
			expires: clock.Millis(rapid.IntRange(0, 3).Draw(rt, "expires")),
			attempt: rapid.Uint32Range(1, 2).Draw(rt, "attempt"),
			state:   rapid.SampledFrom(statesByRank).Draw(rt, "state"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		ra, rb := draw.Draw(rt, "ra"), draw.Draw(rt, "rb")
		if ra.claim == rb.claim {
			rb.runner = ra.runner
		}
		one, two := merge(ra, rb), merge(rb, ra)
		assert.Equal(rt, one.state, two.state)
		assert.Equal(rt, one.claim, two.claim)
		assert.Equal(rt, one.attempt, two.attempt)
		assert.Equal(rt, one.expires, two.expires)
		live := func(rc record) bool { return !rc.state.freesKey() && !rc.state.dispatched() }
		if live(ra) && live(rb) && ra.claim != rb.claim {
			assert.Equal(rt, one.state, Doubtful)
		}
	})
}

// After a table change, records reach a seat that is new to the keys in parts, and they
// only count once all parts have arrived.
func TestHandoffInParts(t *testing.T) {
	old := seatedBook(vmA, Settings{})
	for ix := range 3 * maxBatchRecords {
		reply(old, 0, askFor(old, fmt.Sprint(ix), uint64(ix)+1, vmB))
	}
	other := seatedBook(vmB, Settings{})
	fresh := seatedBook(vmD, Settings{})
	next := TableAppended{Epoch: 2, Table: table(1, vmA, vmB, vmD)}
	fresh.Step(0, next)
	ask := askFor(fresh, "0", 9999, vmC)
	for _, in := range append(other.Step(0, next), old.Step(0, next)...) {
		sh := in.(SendHandoff)
		if sh.To != vmD.VMRef {
			continue
		}
		assert.Equal(t, reply(fresh, 0, ask).GetVerdict() != string(Granted), true)
		fresh.Step(0, HandedOff{sh.Handoff})
	}
	assert.Equal(t, fresh.Counts().HandoffsIn, uint64(4))
	rp := reply(fresh, 0, ask)
	assert.Equal(t, rp.GetVerdict(), string(Held))
	assert.Equal(t, rp.GetClaim(), uint64(1))
	assert.Equal(t, reply(fresh, 0, askFor(fresh, "new", 1, vmC)).GetVerdict(), string(Granted))
}

func TestHandoffIsSentAgain(t *testing.T) {
	bk := seatedBook(vmA, Settings{})
	bk.Step(0, TableAppended{Epoch: 2, Table: table(1, vmA, vmB, vmD)})
	bk.Step(0, HandoffFailed{To: vmD.VMRef, Epoch: 2})
	assert.Equal(t, len(bk.Step(resendDelay-1, Tick{})), 1, "only a Wake")
	out := bk.Step(resendDelay, Tick{})
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].(SendHandoff).To, vmD.VMRef)
}

func TestTablesOfTheLog(t *testing.T) {
	var st *SeatTable
	steps := []struct {
		epoch uint64
		tb    *peerpb.SeatTable
		ok    bool
	}{
		{1, table(0, vmA, vmB), true},
		{2, table(0, vmA, vmC), false}, // lost a race for the first table
		{3, table(1, vmA, vmB, vmC), true},
		{4, table(1, vmA), false}, // based on a table that is not the current one
		{5, table(3), false},
		{6, table(3, vmB, vmA), false}, // out of order
		{7, table(3, vmA, vmB, vmC2), true},
	}
	for _, sp := range steps {
		next, err := st.With(sp.epoch, sp.tb)
		assert.Equal(t, err == nil, sp.ok, "epoch %d: %v", sp.epoch, err)
		st = next
	}
	assert.Equal(t, st.Epoch, uint64(7))
	again, err := FromHistory(st.History())
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(again.History(), st.History()))
	assert.Equal(t, again.Group("cust", "key").digest(), st.Group("cust", "key").digest())
}

// The group is the greedy choice of VMs in distinct failure domains, in the order of
// preference, for any size of the fleet.
func TestGroupIsSpread(t *testing.T) {
	for _, size := range []int{1, 2, 3, 7, 48, 380} {
		st, err := (*SeatTable)(nil).With(1, table(0, benchVMs(size)...))
		assert.NilError(t, err)
		share := map[string]int{}
		for ix := range 600 {
			key := fmt.Sprint(ix)
			gr := st.Group(testCustomer, key)
			assert.Equal(t, len(gr), min(size, groupSize))
			assert.DeepEqual(t, gr, greedy(rendezvous.Rank(testCustomer+"\x00"+key, st.VMs))[:len(gr)])
			domains := map[string]bool{}
			for _, ref := range gr {
				at := slices.IndexFunc(st.VMs, func(vm board.VM) bool { return vm.VMRef == ref })
				domains[st.VMs[at].FailureDomain] = true
				share[ref.ID]++
			}
			assert.Equal(t, len(domains), min(size, groupSize))
		}
		if size == 7 {
			for id, count := range share {
				assert.Assert(t, count > 100 && count < 600, "VM %s has %d of 1800 seats", id, count)
			}
		}
	}
}

// greedy orders ranked VMs so that the first of each failure domain come before the
// rest.
func greedy(ranked []board.VM) Group {
	var first, rest Group
	seen := map[string]bool{}
	for _, vm := range ranked {
		if seen[vm.FailureDomain] {
			rest = append(rest, vm.VMRef)
			continue
		}
		seen[vm.FailureDomain] = true
		first = append(first, vm.VMRef)
	}
	return append(first, rest...)
}

// A book that can't read the log from its start must not take a later table for the
// first one; it gets the tables from a peer.
func TestLateReaderWaitsForHistory(t *testing.T) {
	bk := &Book{Self: vmD.VMRef}
	bk.Step(0, TableAppended{Epoch: 5, Table: table(0, vmA, vmB, vmC)})
	assert.Assert(t, bk.Seats() == nil)
	st, err := (*SeatTable)(nil).With(1, table(0, vmA, vmB, vmC))
	assert.NilError(t, err)
	bk.Step(0, HistoryReceived{st})
	bk.Step(0, TableAppended{Epoch: 2, Table: table(1, vmA, vmB, vmD)})
	assert.Equal(t, bk.Seats().Epoch, uint64(2))
	assert.Equal(t, reply(bk, 0, askFor(bk, "key", 1, vmB)).GetVerdict(), string(Settling))
}

func TestOneVMProposes(t *testing.T) {
	fl := &board.Fleet{Quorate: true, VMs: []board.VM{vmA, vmB, vmC, vmD}}
	var early []string
	for _, vm := range fl.VMs {
		bk := seatedBook(vm, Settings{})
		bk.Step(0, FleetChanged{fl})
		for _, in := range bk.Step(clock.Second, Tick{}) {
			if pr, ok := in.(Propose); ok {
				early = append(early, vm.ID)
				assert.Equal(t, len(pr.Table.GetSeats()), 4)
				assert.Equal(t, pr.Table.GetBase(), uint64(1))
			}
		}
	}
	assert.Equal(t, len(early), 1, "%v", early)
}

// A dead VM keeps its seat for a while; a leaving VM loses it at once.
func TestSeatsOutliveShortDeaths(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*board.VM)
		from   clock.Millis // when it loses its seat
	}{
		{"Dead", func(vm *board.VM) { vm.Health = board.Dead }, defaultDeadSeatTTL},
		{"Leaving", func(vm *board.VM) { vm.Leaving = true }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			gone := vmC
			tc.change(&gone)
			bk := seatedBook(vmA, Settings{})
			bk.Step(0, FleetChanged{&board.Fleet{Quorate: true, VMs: []board.VM{vmA, vmB, gone}}})
			proposes := func(at clock.Millis) bool {
				return slices.ContainsFunc(bk.Step(at, Tick{}), func(in Intent) bool {
					_, ok := in.(Propose)
					return ok
				})
			}
			if tc.from > 0 {
				assert.Assert(t, !proposes(tc.from-1))
				proposes(tc.from)
			}
			assert.Assert(t, proposes(tc.from+3*defaultSettleSpan))
		})
	}
}

func FuzzAsk(f *testing.F) {
	bk := seatedBook(vmA, Settings{})
	raw, err := proto.Marshal(askFor(bk, "key", 1, vmB))
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var ask peerpb.ClaimAsk
		if proto.Unmarshal(raw, &ask) != nil {
			return
		}
		bk := seatedBook(vmA, Settings{MaxRecords: 1})
		first := reply(bk, 0, &ask)
		if first.GetVerdict() == string(Granted) {
			assert.Assert(t, ask.GetKey() != "" && ask.GetClaim() != 0)
		}
		other := proto.Clone(&ask).(*peerpb.ClaimAsk)
		other.Claim, other.Supersedes = ask.GetClaim()+1, 0
		if first.GetVerdict() == string(Granted) {
			assert.Assert(t, reply(bk, 0, other).GetVerdict() != string(Granted))
		}
	})
}

func FuzzHandoff(f *testing.F) {
	bk := seatedBook(vmA, Settings{})
	reply(bk, 0, askFor(bk, "key", 1, vmB))
	for _, in := range bk.Step(0, TableAppended{Epoch: 2, Table: table(1, vmA, vmB, vmD)}) {
		raw, err := proto.Marshal(in.(SendHandoff).Handoff)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var ho peerpb.ClaimHandoff
		if proto.Unmarshal(raw, &ho) != nil {
			return
		}
		bk := seatedBook(vmD, Settings{})
		bk.Step(0, TableAppended{Epoch: 2, Table: table(1, vmA, vmB, vmD)})
		for range 2 {
			bk.Step(0, HandedOff{&ho})
			bk.Step(0, Tick{})
		}
		for nm, rc := range bk.recs.byName {
			assert.Assert(t, validNames(nm, rc.runner.ID) && rc.state.rank() > 0)
		}
		assert.Equal(t, reply(bk, 0, askFor(bk, "unseen", 1, vmB)).GetVerdict(), string(Settling), "records of one seat are not a majority")
	})
}

// A decoded history is consistent: encoding it again gives the same result, each table
// comes after its predecessor, and no group names a VM twice.
func FuzzHistory(f *testing.F) {
	st, err := (*SeatTable)(nil).With(1, table(0, vmA, vmB, vmC))
	assert.NilError(f, err)
	st, err = st.With(2, table(1, vmA, vmB, vmD))
	assert.NilError(f, err)
	raw, err := proto.Marshal(st.History())
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var hist peerpb.SeatHistory
		if proto.Unmarshal(raw, &hist) != nil {
			return
		}
		st, err := FromHistory(&hist)
		if err != nil || st == nil {
			return
		}
		again, err := FromHistory(st.History())
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(again.History(), st.History()))
		for at := st; at != nil; at = at.prev {
			assert.Assert(t, at.prev == nil || at.prev.Epoch < at.Epoch)
			gr := at.Group("customer", "key")
			assert.Assert(t, len(gr) == min(groupSize, len(at.VMs)), "group of %d seats from %d VMs", len(gr), len(at.VMs))
			for ix, ref := range gr {
				assert.Assert(t, at.hasSeat(ref) && !slices.Contains(gr[:ix], ref))
			}
		}
	})
}
