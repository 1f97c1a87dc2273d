package relay

import (
	"alderdyke/internal/backend"
	"alderdyke/pkg/clock"
)

// maxPromptAge limits the age of a computed prompt that is still used: engines drop
// computed prompts after a while.
const maxPromptAge = clock.Second

// computedPrompt is a prompt that an engine has computed and still keeps for this
// request. The zero value is none.
type computedPrompt struct {
	handle Handle
	at     clock.Millis // when it was computed
}

// keepPrompt keeps a computed prompt for the request's next decode if the previous
// decode took nothing of it, and otherwise frees it.
func (rl *Relay) keepPrompt(ex *exchange, pr computedPrompt, err error) {
	if pr.handle.ID != "" && leavesPrompt(err) {
		ex.prompt = pr
		return
	}
	rl.forget(ex, pr.handle)
}

// leavesPrompt reports whether a failed decode left its computed prompt in place: an
// engine fetches it only when it accepts the decode.
func leavesPrompt(err error) bool {
	oc, why := backend.OutcomeOf(err)
	return oc == backend.NotSent || oc == backend.Declined && (why == backend.Unknown || why == backend.WrongRole)
}

// takePrompt returns the computed prompt that was kept, unless it may have expired or was
// computed by another version than the one that is to read it.
func (rl *Relay) takePrompt(ex *exchange, version string) (computedPrompt, bool) {
	pr := ex.prompt
	ex.prompt = computedPrompt{}
	if pr.handle.ID == "" {
		return computedPrompt{}, false
	}
	if rl.now()-pr.at >= maxPromptAge || pr.handle.Server.Version != version || rl.Backends().Restarted(pr.handle.Server) {
		rl.forget(ex, pr.handle)
		return computedPrompt{}, false
	}
	return pr, true
}

// dropPrompt frees a computed prompt that no decode will use.
func (rl *Relay) dropPrompt(ex *exchange) {
	rl.forget(ex, ex.prompt.handle)
	ex.prompt = computedPrompt{}
}
