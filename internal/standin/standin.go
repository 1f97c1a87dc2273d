// Package standin holds the code that the stand-ins for backend servers
// share: answers that can be verified token by token, faults that a test
// injects, and an in-memory network.
//
// Stand-ins simulate backend servers in tests, benchmarks and demonstrations.
// The router never imports them.
//
// # Usage
//
//	en := &engine.Engine{ID: "d1", Role: board.Decode, Settings: engine.Settings{Slots: 20}}
//	en.Control.Set(standin.Faults{Paths: []string{"/decode"}, Count: 1, LoseReply: true})
//	want := standin.Answer(prompt, 30)
package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a whole prompt. The answer to the prompt is derived
// from it.
func Hash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Answer returns the first n tokens of the answer that every stand-in
// generates for a prompt. Each token depends on the whole prompt and on the
// token's index.
func Answer(prompt string, n int) []string {
	out := make([]string, n)
	for ix := range out {
		out[ix] = Token(Hash(prompt), ix)
	}
	return out
}

// Token returns one token of the answer to the prompt with the given hash.
func Token(hash uint64, index int) string {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], hash)
	binary.BigEndian.PutUint64(buf[8:], uint64(index))
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64(buf[:])))
}

// Length returns the number of tokens in an answer of an engine that varies
// the length: a value from 1 to bound that depends on the prompt's hash. It
// returns 0 if bound is less than 1.
func Length(hash uint64, bound int) int {
	if bound < 1 {
		return 0
	}
	return 1 + int((hash>>17)%uint64(bound))
}

// Reply returns the response body that every stand-in for a plain service
// sends for a call.
func Reply(method, path string, body []byte) string {
	dg := xxhash.New()
	_, _ = dg.WriteString(strings.ToUpper(method) + " " + path + "\n") // never fails
	_, _ = dg.Write(body)
	return fmt.Sprintf(`{"Reply":"%016x"}`, dg.Sum64())
}
