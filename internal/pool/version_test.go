package pool

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
)

// A request that is bound to a version finds engines of that version only, also after all
// of them failed.
func TestEnginesOfAVersion(t *testing.T) {
	po := &Pool{Rand: rand.New(rand.NewPCG(1, 2))}
	po.Update([]board.BackendServer{
		{ID: "d1", Role: board.Decode, Version: "v1"}, {ID: "d2", Role: board.Decode, Version: "v2"},
		{ID: "d3", Role: board.Decode, Version: "v3", Leaving: true}, {ID: "f1", Role: board.Prefill, Version: "v1"},
	})
	po.MarkFailed(0, "d1")
	rq := Requirements{Limit: 10, Peak: func(string, int) int { return 5 }}
	for _, tc := range []struct {
		version string
		want    []string
		prefill bool
	}{
		{"", []string{"d2"}, true},
		{"v1", []string{"d1"}, true},
		{"v2", []string{"d2"}, false},
		{"v3", nil, false},
		{"v4", nil, false},
	} {
		rq.Version = tc.version
		var got []string
		for _, bs := range po.DecodeCandidates(0, rq) {
			got = append(got, bs.ID)
		}
		assert.DeepEqual(t, got, tc.want)
		assert.Equal(t, po.HasDecoder(tc.version), tc.want != nil)
		assert.Equal(t, po.HasRoom(0, rq), tc.want != nil)
		_, ok := po.ChoosePrefill(0, Prompt{Tokens: 5, Version: tc.version, QueuedTokens: func(string) int { return 0 }})
		assert.Equal(t, ok, tc.prefill)
	}
}
