package standin_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin"
)

// Every token is specific to the whole prompt and to its index.
func TestAnswerTokensDifferByPromptAndIndex(t *testing.T) {
	long := strings.Repeat("weld photograph ", 100)
	seen := map[string]bool{}
	for _, prompt := range []string{"", "a", long, long + ".", "." + long} {
		for _, tok := range standin.Answer(prompt, 200) {
			assert.Assert(t, !seen[tok], "token %q occurs twice", tok)
			seen[tok] = true
		}
	}
	assert.DeepEqual(t, standin.Answer(long, 300)[:200], standin.Answer(long, 200))
}

func TestLengthIsBounded(t *testing.T) {
	lengths := map[int]bool{}
	for ix := range 500 {
		ln := standin.Length(standin.Hash(fmt.Sprint(ix)), 20)
		assert.Assert(t, ln >= 1 && ln <= 20)
		lengths[ln] = true
	}
	assert.Equal(t, len(lengths), 20)
	assert.Equal(t, standin.Length(7, 0), 0)
}

func TestRepliesDifferByCall(t *testing.T) {
	seen := map[string]bool{}
	for _, call := range [][3]string{{"GET", "/a", ""}, {"POST", "/a", ""}, {"GET", "/b", ""}, {"GET", "/a", "x"}} {
		seen[standin.Reply(call[0], call[1], []byte(call[2]))] = true
	}
	assert.Equal(t, len(seen), 4)
	assert.Equal(t, standin.Reply("get", "/a", nil), standin.Reply("GET", "/a", nil))
}

func TestStreamCutsAreCounted(t *testing.T) {
	var ct standin.Control
	assert.Assert(t, !ct.TakeStreamCut(0))
	ct.Set(standin.Faults{ResetAtToken: 3, Count: 2})
	got := []bool{ct.TakeStreamCut(2), ct.TakeStreamCut(3), ct.TakeStreamCut(3), ct.TakeStreamCut(3)}
	assert.DeepEqual(t, got, []bool{false, true, true, false})
}

func ExampleAnswer() {
	fmt.Println(len(standin.Answer("a prompt", 3)))
	// Output: 3
}
