package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/internal/limit"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
)

func TestUsageOnTheWire(t *testing.T) {
	rp := usage.Report{
		Runs:     []usage.Run{{Engine: "e1", Tokens: 5000, Left: 400, Deviation: 210}, {Engine: "e1", Tokens: 9000}, {Engine: "e2", Tokens: 1, Left: 2}},
		Prompts:  map[string]int{"f1": 5200, "e1": 7},
		Avoided:  []string{"e3"},
		Failing:  []string{"e4", "e5"},
		Shortage: true, ShortPriority: 3, Moves: 2,
		Returns: []usage.Return{{Service: "s", After: 2250, Tokens: 10300, Turn: 1 << 30}, {Service: "t"}},
		Waiting: []usage.WaitingRequest{
			{Service: "s", Returning: true, Turn: 1 << 31, Age: 900}, {Service: "s", Turn: 7, Age: 120, Objective: 780, Due: true}, {Service: "s", Age: 3},
			{Service: "t", Age: 40},
		},
	}
	assert.DeepEqual(t, usageFromWire(usageToWire(rp)), rp)
}

// Guards against a number of moves from a faulty VM that overflows the scheduler's count, and
// against moves that are requested of a VM of an earlier build, which does not state any.
func TestMovesOnTheWire(t *testing.T) {
	for sent, want := range map[uint32]int{0: 0, 1: 1, 64: 64, maxMoves: maxMoves, maxMoves + 1: maxMoves, math.MaxUint32: maxMoves} {
		assert.Equal(t, usageFromWire(&peerpb.Usage{Moves: sent}).Moves, want)
	}
	assert.Equal(t, usageFromWire(&peerpb.Usage{}).Moves, 0)
}

// However an update is split, each message fits a datagram, and a VM that receives all of
// them has every record, or a gap where a record is too large for fragments.
func TestUpdateOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := uint64(rapid.IntRange(0, 5).Draw(t, "from"))
		nw := topic.Update{Topic: "t", From: from, Next: from}
		large, want := 0, make(map[uint64]string)
		for ix := range rapid.IntRange(0, 12).Draw(t, "records") {
			size := rapid.IntRange(0, 1500).Draw(t, "size")
			if rapid.IntRange(0, 20).Draw(t, "huge") == 0 {
				size = 2 * maxFragments * maxUpdateBytes
				large++
			}
			value := make([]byte, size) // incompressible
			noise := rand.NewChaCha8([32]byte{byte(ix)})
			_, _ = noise.Read(value)
			want[nw.Next] = string(value)
			nw.Records = append(nw.Records, topic.Record{Key: fmt.Sprintf("k%x", ix%16), Value: value, Offset: nw.Next})
			nw.Next++
		}
		msgs, err := updateToWire(nw)
		assert.NilError(t, err)
		known, received, gaps := from, 0, 0
		fl := &Fleet{OnTopicUpdate: func(got topic.Update) {
			if got.From > known {
				gaps++
				known = got.From
			}
			assert.Equal(t, got.From, known)
			for _, rec := range got.Records {
				assert.Equal(t, rec.Offset, known)
				assert.Assert(t, string(rec.Value) == want[rec.Offset])
				known++
				received++
			}
			assert.Equal(t, got.Next, known)
		}}
		for _, msg := range msgs {
			assert.Assert(t, proto.Size(msg) < peer.MaxDatagram-100, "%d", proto.Size(msg))
			fl.handleDatagram(msg, netip.AddrPort{})
		}
		assert.Equal(t, known, nw.Next)
		assert.Equal(t, received+large, len(nw.Records))
		assert.Equal(t, gaps > 0, large > 0)
	})
}

// Guards against an update of many small records, such as removals, that is larger than a
// datagram and is never sent, so that each VM reads the store.
func TestManySmallRecordsOnTheWire(t *testing.T) {
	nw := topic.Update{Topic: "keyed.servers", From: 1 << 41}
	for ix := range 1000 {
		nw.Records = append(nw.Records, topic.Record{Key: fmt.Sprintf("i-%08x", ix), Offset: nw.From + uint64(ix)})
	}
	nw.Next = nw.From + 1000
	msgs, err := updateToWire(nw)
	assert.NilError(t, err)
	received := 0
	fl := &Fleet{OnTopicUpdate: func(got topic.Update) { received += len(got.Records) }}
	for _, msg := range msgs {
		assert.Assert(t, proto.Size(msg) < peer.MaxDatagram-100, "%d bytes", proto.Size(msg))
		fl.handleDatagram(msg, netip.AddrPort{})
	}
	assert.Equal(t, received, len(nw.Records))
}

// Guards against removals without the revision that tells late renewals from new ones; and
// against a VM that takes the end of one message for that of the read.
func TestRemovalsInUpdatesOnTheWire(t *testing.T) {
	nw := topic.Update{Topic: "keyed.servers", ReadAgo: 7}
	for ix := range uint64(100) {
		nw.Records = append(nw.Records, topic.Record{Key: fmt.Sprintf("i-%08x", ix), Offset: ix, Until: topic.Revision{Incarnation: 1 << 52, Renewal: math.MaxUint64 - ix}})
	}
	nw.Next = 100
	msgs, err := updateToWire(nw)
	assert.NilError(t, err)
	var got []topic.Record
	fl := &Fleet{OnTopicUpdate: func(part topic.Update) {
		got = append(got, part.Records...)
		assert.Equal(t, part.ReadAgo > 0, part.Next == nw.Next)
	}}
	for _, msg := range msgs {
		assert.Assert(t, proto.Size(msg) < peer.MaxDatagram-100, "%d bytes", proto.Size(msg))
		fl.handleDatagram(msg, netip.AddrPort{})
	}
	assert.DeepEqual(t, got, nw.Records)
}

// A configuration of the usual size, larger than a datagram, is sent in fragments, so that
// not every VM has to read it, and a VM that can't reach the store gets it too.
func TestLargeRecordIsFragmented(t *testing.T) {
	var text strings.Builder
	for ix := range 40 {
		fmt.Fprintf(&text, `{"name":"r-%d","host":"h%d.example","path_prefix":"/p%d/","timeout_ms":14000},`, ix*7919%1000, ix%3, ix*31%977)
	}
	msgs, err := updateToWire(topic.Update{Topic: "t", From: 3, Next: 4,
		Records: []topic.Record{{Key: "config", Value: []byte(text.String()), Offset: 3}}})
	assert.NilError(t, err)
	assert.Assert(t, len(msgs) <= 4, "%d messages", len(msgs))
	var got []topic.Record
	fl := &Fleet{OnTopicUpdate: func(nw topic.Update) { got = append(got, nw.Records...) }}
	for _, msg := range msgs {
		fl.handleDatagram(msg, netip.AddrPort{})
		fl.handleDatagram(msg, netip.AddrPort{}) // the network may duplicate it
	}
	assert.Equal(t, len(got), 1)
	assert.Equal(t, string(got[0].Value), text.String())
}

// Malformed fragments are reported as errors and change nothing; fragments of an older
// record are dropped.
func TestMalformedFragments(t *testing.T) {
	for _, tp := range []*peerpb.TopicPiece{
		{Topic: "t"}, {Topic: "t", Index: 2, Count: 2}, {Topic: "t", Count: 1 << 30}, {Topic: "t", Count: 1, Data: []byte("no deflate")},
	} {
		_, whole, err := (&reassembly{}).add(tp)
		assert.Assert(t, !whole && err != nil, "%v", tp)
	}
	var pc reassembly
	_, whole, err := pc.add(&peerpb.TopicPiece{Offset: 5, Count: 2})
	assert.Assert(t, !whole && err == nil)
	_, whole, err = pc.add(&peerpb.TopicPiece{Offset: 4, Count: 1, Data: []byte("old")})
	assert.Assert(t, !whole && err == nil)
}

// The newest report of a VM counts, in whatever order they arrive, and a VM that restarts
// is accepted at once.
func TestReorderedUsageReports(t *testing.T) {
	var reports []string
	fl := &Fleet{Self: board.VM{VMRef: board.VMRef{ID: "me"}}, OnUsage: func(vm string, rp usage.Report) {
		reports = append(reports, fmt.Sprintf("%s %d", vm, rp.Prompts["e"]))
	}}
	receive := func(vm string, incarnation, sequence uint64, tokens uint32) {
		fl.handleDatagram(&peerpb.Datagram{From: vm, Incarnation: incarnation, Sequence: sequence, Body: &peerpb.Datagram_Usage{
			Usage: &peerpb.Usage{Engines: []*peerpb.EngineUsage{{Engine: "e", Prompts: tokens}}}}}, netip.AddrPort{})
	}
	receive("a", 10, 2, 2)
	receive("a", 10, 1, 1)
	receive("b", 9, 1, 7)
	receive("a", 11, 1, 3)
	receive("a", 10, 3, 4)
	assert.DeepEqual(t, reports, []string{"a 2", "b 7", "a 3"})
}

func TestPlacementRequestOnTheWire(t *testing.T) {
	ask := usage.PlacementRequest{Waiting: usage.WaitingRequest{Service: "s", Returning: true, Turn: 1 << 31, Age: 90, Objective: 810}, Run: usage.Run{Tokens: 5200, Left: 2000, Deviation: 700},
		ReserveTokens: 5500, MaxWait: 180, MaxWaitReturning: 2800, Excluded: []string{"e1", "e2"}, NeedsPrefill: true, ReturnWithin: 4600, Final: true}
	assert.DeepEqual(t, placementRequestFromWire(placementRequestToWire(7, ask)), ask)
	ans := usage.PlacementReply{Informed: true, Engines: []string{"e3", "e4"}, RequestsAhead: 3, Shortage: true, Prefill: "f1", QueuedTokens: 5200, Doubtful: true,
		Wait: 40, Foreseen: true, ReturnAfter: 2100, Bound: usage.BoundMemory}
	assert.DeepEqual(t, placementReplyFromWire(placementReplyToWire(7, ans)), ans)
}

// A notice is unchanged by encoding and decoding, and one that can't be right is dropped.
func TestLimitOnTheWire(t *testing.T) {
	for _, tc := range []struct {
		nt limit.Notice
		ok bool
	}{
		{limit.Notice{Server: limit.Server{ID: "s", Incarnation: 1 << 40}, Rate: 0.4, Age: 1500}, true},
		{limit.Notice{Server: limit.Server{ID: "s"}, Ended: true}, true},
		{limit.Notice{Rate: 1}, false},
		{limit.Notice{Server: limit.Server{ID: "s"}, Rate: -1}, false},
		{limit.Notice{Server: limit.Server{ID: "s"}, Rate: math.Inf(1)}, false},
	} {
		got, ok := limitFromWire(limitToWire(tc.nt))
		assert.Equal(t, got, tc.nt)
		assert.Equal(t, ok, tc.ok, "%v", tc.nt)
	}
	_, ok := limitFromWire(&peerpb.ServerLimit{Server: "s", Rate: math.NaN()})
	assert.Assert(t, !ok)
}

// Guards against a report that is not sent because what is optional in it does not fit: the
// other VMs would take this one as silent. The runs are always complete.
func TestUsageFitsADatagram(t *testing.T) {
	rp := usage.Report{Prompts: make(map[string]int)}
	for ix := range 36 {
		rp.Runs = append(rp.Runs, usage.Run{Engine: fmt.Sprintf("engine-%02d", ix%18), Tokens: 9000, Left: 3000, Deviation: 900})
	}
	for ix := range 16 {
		name := fmt.Sprintf("engine-%02d", 20+ix)
		rp.Prompts[name] = 5200
		rp.Returns = append(rp.Returns, usage.Return{Service: "generation", After: 2250, Tokens: 10300, Turn: math.MaxUint32 - uint32(ix)})
		rp.Waiting = append(rp.Waiting, usage.WaitingRequest{Service: "generation", Turn: math.MaxUint32 - uint32(ix), Age: 900, Objective: 700, Returning: true})
	}
	us := usageThatFits(rp)
	assert.Assert(t, proto.Size(us) <= peer.MaxDatagram-usageOverhead, "%d", proto.Size(us))
	got := usageFromWire(us)
	assert.Equal(t, len(got.Runs), 36)
	assert.DeepEqual(t, got.Prompts, rp.Prompts)
	assert.Assert(t, len(got.Waiting) >= 8, "%d", len(got.Waiting))
	assert.DeepEqual(t, got.Waiting, rp.Waiting[:len(got.Waiting)])
	if len(got.Returns) > 0 {
		assert.DeepEqual(t, got.Returns, rp.Returns[16-len(got.Returns):])
	}
	rp.Runs = rp.Runs[:4]
	rp.Prompts = map[string]int{}
	rp.Returns = rp.Returns[:8]
	assert.Equal(t, len(usageFromWire(usageThatFits(rp)).Returns), 8)
}
