package engine

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// newReceiver returns a function that receives a transfer over a link of
// practically unlimited rate.
func newReceiver(tb testing.TB) func(text string) (kvHead, error) {
	en := &Engine{ID: "d1", Settings: Settings{LinkBytesPerSecond: 1e40}}
	en.initOnce()
	tb.Cleanup(en.Close)
	rn := &run{ctx: context.Background()}
	return func(text string) (kvHead, error) { return en.receiveParts(rn, strings.NewReader(text)) }
}

func TestReceiveParts(t *testing.T) {
	receive := newReceiver(t)
	cases := map[string]bool{
		`{"Bytes":5}{"Bytes":2}{"Bytes":3}{"Done":true}`:  true,
		`{"Bytes":0}{"Done":true}`:                        true,
		`{"Bytes":5}{"Bytes":2}{"Done":true}`:             false,
		`{"Bytes":5}{"Bytes":6}{"Done":true}`:             false,
		`{"Bytes":5}{"Bytes":-2}{"Bytes":7}{"Done":true}`: false,
		`{"Bytes":-1}{"Done":true}`:                       false,
		`{"Bytes":5}{"Bytes":5}`:                          false,
	}
	for text, whole := range cases {
		_, err := receive(text)
		assert.Equal(t, err == nil, whole, text)
	}
}

func FuzzReceiveParts(f *testing.F) {
	receive := newReceiver(f)
	f.Add(`{"Bytes":5}{"Bytes":2}{"Bytes":3}{"Done":true}`)
	f.Add(`{"Bytes":9223372036854775807}{"Bytes":1}`)
	f.Fuzz(func(t *testing.T, text string) {
		head, err := receive(text)
		if err == nil && (head.Bytes < 0 || !strings.Contains(strings.ToLower(text), "done")) {
			t.Fatalf("accepted %q", text)
		}
	})
}
