package entry

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/peer"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// newFollowVM returns a VM with a running peer transport.
func newFollowVM(t *testing.T, id string) *VM {
	t.Helper()
	vm := &VM{
		Self: board.VMRef{ID: id, Incarnation: 1}, Clock: clock.Monotonic{},
		Board: &board.Board{}, runCtx: t.Context(),
	}
	vm.traces.clk = vm.Clock
	vm.Peers = &peer.Transport{
		Self: vm.Self, Listen: "127.0.0.1:0", Secret: []byte(testSecret), Handler: peerHandler{vm},
	}
	runTransport(t, vm.Peers)
	return vm
}

// newRunWithTokens returns a run whose answer has some tokens.
func newRunWithTokens(t *testing.T, vm *VM, tokens []string) *run {
	t.Helper()
	rn, _ := vm.runs.getOrAdd(requestID{Customer: "cu", Key: "k"}, func() *run {
		return vm.newRun(caller.Request{
			Customer: "cu", Key: "k", Deadline: clock.Minute,
			Class: template.Class{StreamWait: clock.Minute, Idempotent: true},
			Chat:  &caller.Chat{MaxTokens: 100},
		})
	})
	addTokens(t, rn.st, tokens)
	return rn
}

func addTokens(t *testing.T, st *answer.Stream, tokens []string) {
	t.Helper()
	for _, text := range tokens {
		assert.Check(t, st.Token([]byte(text)))
	}
}

// A VM that follows a run has some of its tokens when the run is lost with its VM and its
// engine, and a second VM runs the request again from the start. If the follower requests
// only the tokens after its own, by the key alone, the tokens of two runs form one answer,
// which ends as complete. If the second run is shorter, the follower waits for a token that
// never arrives.
func TestFollowerRejectsAnotherAnswer(t *testing.T) {
	for _, tc := range []struct {
		name              string
		has, before, then []string // tokens of the follower, and of the runner before and after the request
		end, kept         bool     // the runner's answer ends; the follower continues with it
	}{
		{"the same run", []string{"a", "b"}, []string{"a", "b", "c"}, []string{"d"}, true, true},
		{"the same run, only the end is missing", []string{"a", "b"}, []string{"a", "b"}, nil, true, true},
		{"the same run, behind the follower", []string{"a", "b"}, []string{"a"}, []string{"b", "c"}, true, true},
		{"no tokens yet", nil, []string{"x"}, []string{"y"}, true, true},
		{"another run", []string{"a", "b"}, []string{"x", "y", "z"}, nil, true, false},
		{"another run that differs late", []string{"a", "b"}, []string{"a", "y", "z"}, nil, true, false},
		{"another run with other token boundaries", []string{"a", "b"}, []string{"ab", "", "z"}, nil, true, false},
		{"another run in progress", []string{"a", "b"}, []string{"x"}, nil, false, false},
		{"another run that ended earlier", []string{"a", "b"}, []string{"a"}, nil, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			far, near := newFollowVM(t, "vm-far"), newFollowVM(t, "vm-near")
			near.Board.SetFleet(&board.Fleet{Self: near.Self, VMs: []board.VM{
				{VMRef: far.Self, Peer: far.Peers.Address().String()},
			}})
			runner, rn := newRunWithTokens(t, far, tc.before), newRunWithTokens(t, near, tc.has)
			runner.setRole(running)
			go func() {
				addTokens(t, runner.st, tc.then)
				if tc.end {
					assert.Check(t, runner.st.End(nil))
				}
			}()
			err := rn.follow(t.Context(), far.Self)
			_, final := rn.st.Len()
			assert.Equal(t, final, tc.kept)
			if !tc.kept {
				assert.Assert(t, errors.Is(err, errAnswerExpired), "%v", err)
				assert.DeepEqual(t, rn.st.Tokens(), tc.has)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, rn.st.Tokens(), runner.st.Tokens())
		})
	}
}
