package fleet

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/peer"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
)

func TestUsageOnTheWire(t *testing.T) {
	rp := usage.Report{
		Runs:    []usage.Run{{Engine: "e1", Tokens: 5000, Left: 400}, {Engine: "e1", Tokens: 9000}, {Engine: "e2", Tokens: 1, Left: 2}},
		Prompts: map[string]int{"f1": 5200, "e1": 7},
		Avoided: []string{"e3"},
		Failing: []string{"e4", "e5"},
		Short:   true,
		Waiting: []usage.Ask{
			{Service: "s", Returning: true, Turn: 1 << 31, Age: 900}, {Service: "s", Turn: 7, Age: 120}, {Service: "s", Age: 3},
			{Service: "t", Age: 40},
		},
	}
	assert.DeepEqual(t, usageFromWire(usageToWire(rp)), rp)
}

// However news are split, each part fits a datagram, and whoever hears all
// parts knows every record that fits one, and of a gap where one does not.
func TestNewsOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := uint64(rapid.IntRange(0, 5).Draw(t, "from"))
		nw := topic.News{Topic: "t", From: from, Next: from}
		large := 0
		for ix := range rapid.IntRange(0, 12).Draw(t, "records") {
			size := rapid.IntRange(0, 1500).Draw(t, "size")
			if size+2 > newsBytes {
				large++
			}
			nw.Records = append(nw.Records, topic.Record{Key: fmt.Sprintf("k%x", ix%16), Value: []byte(strings.Repeat("v", size)), Offset: nw.Next})
			nw.Next++
		}
		known, heard, gaps := from, 0, 0
		for _, part := range newsToWire(nw) {
			assert.Assert(t, proto.Size(part) < peer.MaxDatagram-100, "%d", proto.Size(part))
			got := newsFromWire(part)
			if got.From > known {
				gaps++
				known = got.From
			}
			assert.Equal(t, got.From, known)
			for _, rec := range got.Records {
				assert.Equal(t, rec.Offset, known)
				known++
				heard++
			}
			assert.Equal(t, got.Next, known)
		}
		assert.Equal(t, known, nw.Next)
		assert.Equal(t, heard+large, len(nw.Records))
		assert.Equal(t, gaps > 0, large > 0)
	})
}
