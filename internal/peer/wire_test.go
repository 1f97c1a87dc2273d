package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// receiver makes a transport that can check datagrams but does not run.
func receiver(tb testing.TB, self board.VMRef, secret string) *Transport {
	tb.Helper()
	tr := &Transport{Self: self}
	tr.init()
	id, err := newIdentity([]byte(secret))
	assert.NilError(tb, err)
	tr.id = id
	return tr
}

func mustSeal(tb testing.TB, tr *Transport, dg *peerpb.Datagram) []byte {
	tb.Helper()
	raw, err := seal(tr.id.datagramKey, dg)
	assert.NilError(tb, err)
	return raw
}

func TestDatagramVerdicts(t *testing.T) {
	const secret = "a secret that all VMs share"
	tr := receiver(t, board.VMRef{ID: "b"}, secret)
	other := receiver(t, board.VMRef{ID: "b"}, "a secret that nobody shares")
	datagramTo := func(from string, inc uint64, to string, seq uint64) []byte {
		return mustSeal(t, tr, &peerpb.Datagram{From: from, Incarnation: inc, To: to, Sequence: seq})
	}
	broadcast := func(body any, seq uint64) []byte {
		dg := &peerpb.Datagram{From: "a", Incarnation: 3, Sequence: seq}
		switch body := body.(type) {
		case *peerpb.Datagram_Usage:
			dg.Body = body
		case *peerpb.Datagram_Probe:
			dg.Body = body
		}
		return mustSeal(t, tr, dg)
	}
	altered := datagramTo("a", 1, "b", 9)
	altered[2] ^= 1
	notProto := append([]byte{0xff, 0xff}, sign(tr.id.datagramKey, []byte{0xff, 0xff})...)
	steps := []struct {
		name string
		raw  []byte
		want verdict
	}{
		{"first", datagramTo("a", 2, "b", 5), accepted},
		{"duplicate", datagramTo("a", 2, "b", 5), droppedReplayed},
		{"later", datagramTo("a", 2, "b", 300), accepted},
		{"late, within window", datagramTo("a", 2, "b", 45), accepted},
		{"late duplicate", datagramTo("a", 2, "b", 45), droppedReplayed},
		{"before window", datagramTo("a", 2, "b", 44), droppedReplayed},
		{"older incarnation", datagramTo("a", 1, "b", 400), droppedStaleIncarnation},
		{"newer incarnation", datagramTo("a", 3, "b", 1), accepted},
		{"incarnation before it", datagramTo("a", 2, "b", 500), droppedStaleIncarnation},
		{"other VM has its own sequence", datagramTo("c", 1, "b", 5), accepted},
		{"for another VM", datagramTo("a", 3, "x", 2), droppedWrongVM},
		{"broadcast", broadcast(&peerpb.Datagram_Usage{Usage: &peerpb.Usage{Short: true}}, 6), accepted},
		{"duplicate broadcast", broadcast(&peerpb.Datagram_Usage{Usage: &peerpb.Usage{Short: true}}, 6), droppedReplayed},
		{"probe without receiver", broadcast(&peerpb.Datagram_Probe{Probe: &peerpb.Probe{Number: 1}}, 7), droppedWrongVM},
		{"altered", altered, droppedBadMAC},
		{"other secret", mustSeal(t, other, &peerpb.Datagram{From: "a", Incarnation: 3, To: "b", Sequence: 3}), droppedBadMAC},
		{"no sender", datagramTo("", 3, "b", 4), droppedMalformed},
		{"no sequence number", datagramTo("a", 3, "b", 0), droppedMalformed},
		{"not protobuf", notProto, droppedMalformed},
		{"MAC only", sign(tr.id.datagramKey, nil), droppedMalformed},
		{"too long", make([]byte, MaxDatagram+1), droppedMalformed},
		{"empty", nil, droppedMalformed},
	}
	for _, st := range steps {
		_, vd := tr.checkDatagram(st.raw)
		assert.Equal(t, vd, st.want, st.name)
	}
}

// A window accepts each number once, and all numbers that are less than windowBits behind
// the highest, in any order.
func TestReplayWindowAgainstSet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var wd replayWindow
		seen := make(map[uint64]bool)
		var highest uint64
		for _, seq := range rapid.SliceOf(rapid.Uint64Range(1, 1200)).Draw(rt, "sequence") {
			want := !seen[seq] && (seq > highest || highest-seq < windowBits)
			if got := wd.accept(seq); got != want {
				rt.Fatalf("accept(%d) = %v, highest %d, seen %v", seq, got, highest, seen[seq])
			}
			seen[seq] = true
			highest = max(highest, seq)
		}
	})
}

func TestReplayWindowsAreBounded(t *testing.T) {
	ws := replayWindows{max: 3}
	for ix := range 100 {
		vd := ws.check(board.VMRef{ID: fmt.Sprint(ix), Incarnation: 1}, 1, clock.Millis(ix))
		assert.Equal(t, vd, accepted)
	}
	assert.Equal(t, len(ws.byVM), 3)
	vd := ws.check(board.VMRef{ID: "99", Incarnation: 1}, 1, 100)
	assert.Equal(t, vd, droppedReplayed)
}

func TestDecodeReadsOneMessage(t *testing.T) {
	one, err := encode(&peerpb.VMRef{ID: "a"}, 100)
	assert.NilError(t, err)
	rd := bytes.NewReader(append(one, one...))
	for range 2 {
		var got peerpb.VMRef
		assert.NilError(t, decode(&byteReader{Reader: rd}, &got, 100))
		assert.Equal(t, got.GetID(), "a")
	}
	err = decode(&byteReader{Reader: rd}, &peerpb.VMRef{}, 100)
	assert.Equal(t, err, io.EOF)
	err = decode(&byteReader{Reader: bytes.NewReader(one[:len(one)-1])}, &peerpb.VMRef{}, 100)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	err = decode(&byteReader{Reader: bytes.NewReader(one)}, &peerpb.VMRef{}, len(one)-2)
	var se SizeError
	assert.Assert(t, errors.As(err, &se) && se.Size == len(one)-1, "%v", err)
}

func FuzzDecodeFrame(f *testing.F) {
	seed, err := encode(&peerpb.Frame{Body: &peerpb.Frame_ClaimAsk{ClaimAsk: &peerpb.ClaimAsk{Key: "key"}}}, 1<<10)
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		const limit = 1 << 10
		var fr peerpb.Frame
		if decode(&byteReader{Reader: bytes.NewReader(raw)}, &fr, limit) != nil {
			return
		}
		again, err := encode(&fr, 2*limit) // a re-encoded message may be longer
		assert.NilError(t, err)
		var back peerpb.Frame
		assert.NilError(t, decode(&byteReader{Reader: bytes.NewReader(again)}, &back, 2*limit))
		assert.Assert(t, proto.Equal(&fr, &back))
	})
}

// Bytes without a valid MAC are never accepted, and signed bytes are neither accepted
// twice nor make the receiver fail.
func FuzzCheckDatagram(f *testing.F) {
	tr := receiver(f, board.VMRef{ID: "b"}, "a secret that all VMs share")
	good := mustSeal(f, tr, &peerpb.Datagram{From: "a", Incarnation: 1, To: "b", Sequence: 1})
	f.Add(good)
	f.Add(good[:len(good)-macSize])
	f.Fuzz(func(t *testing.T, raw []byte) {
		tr := receiver(t, board.VMRef{ID: "b"}, "a secret that all VMs share")
		if _, vd := tr.checkDatagram(raw); vd == accepted && !bytes.Equal(raw, good) {
			t.Fatal("forged datagram accepted")
		}
		signed := append(bytes.Clone(raw), sign(tr.id.datagramKey, raw)...)
		first, vd := tr.checkDatagram(signed)
		if vd != accepted {
			return
		}
		assert.Equal(t, first.GetTo(), "b")
		_, vd = tr.checkDatagram(signed)
		assert.Equal(t, vd, droppedReplayed)
	})
}

func FuzzHello(f *testing.F) {
	seed, err := encode(&peerpb.Hello{ID: "a", To: "b"}, maxHelloBytes)
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var hl peerpb.Hello
		if decode(&byteReader{Reader: bytes.NewReader(raw)}, &hl, maxHelloBytes) == nil {
			assert.Assert(t, proto.Size(&hl) <= 2*maxHelloBytes)
		}
	})
}
