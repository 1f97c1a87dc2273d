package relay

import (
	"alderdyke/internal/backend"
	"alderdyke/pkg/clock"
)

// maxPromptAge is how long a computed prompt that no decode has taken is gone on from:
// engines drop theirs after a while.
const maxPromptAge = clock.Second

// computedPrompt is a prompt that an engine has computedPrompt and still keeps for this request.
// The zero value is none.
type computedPrompt struct {
	handle Handle
	at     clock.Millis // when it was computed
}

// keepPrompt keeps a computed prompt for the request's next decode if the one before
// has taken nothing of it, or else gives it back.
func (rl *Relay) keepPrompt(ex *exchange, pr computedPrompt, err error) {
	if pr.handle.ID != "" && leavesPrompt(err) {
		ex.prompt = pr
		return
	}
	rl.forget(ex, pr.handle)
}

// leavesPrompt tells whether a decode that failed left its computed prompt where it was:
// an engine fetches it once it takes the decode.
func leavesPrompt(err error) bool {
	oc, why := backend.OutcomeOf(err)
	return oc == backend.NotSent || oc == backend.Declined && (why == backend.Unknown || why == backend.WrongRole)
}

// takePrompt is the computed prompt that was kept, unless it may have lapsed.
func (rl *Relay) takePrompt(ex *exchange) (computedPrompt, bool) {
	pr := ex.prompt
	ex.prompt = computedPrompt{}
	if pr.handle.ID == "" {
		return computedPrompt{}, false
	}
	if rl.now()-pr.at >= maxPromptAge || rl.Backends().Restarted(pr.handle.Server) {
		rl.forget(ex, pr.handle)
		return computedPrompt{}, false
	}
	return pr, true
}

// dropPrompt gives a computed prompt back that no decode will take.
func (rl *Relay) dropPrompt(ex *exchange) {
	rl.forget(ex, ex.prompt.handle)
	ex.prompt = computedPrompt{}
}
