package relay

import (
	"alderdyke/internal/backend"
	"alderdyke/pkg/clock"
)

// promptFresh is how long a computed prompt that no decode has taken is gone on from:
// engines drop theirs after a while.
const promptFresh = clock.Second

// computed is a prompt that an engine has computed and still keeps for this request.
// The zero value is none.
type computed struct {
	handle Handle
	at     clock.Millis // when it was computed
}

// keepPrompt keeps a computed prompt for the request's next decode if the one before
// has taken nothing of it, or else gives it back.
func (rl *Relay) keepPrompt(ex *exchange, pr computed, err error) {
	if pr.handle.ID != "" && untouched(err) {
		ex.prompt = pr
		return
	}
	rl.forget(ex, pr.handle)
}

// untouched tells whether a decode that failed left its computed prompt where it was:
// an engine fetches it once it takes the decode.
func untouched(err error) bool {
	oc, why := backend.OutcomeOf(err)
	return oc == backend.NotSent || oc == backend.Declined && (why == backend.Unknown || why == backend.WrongRole)
}

// takePrompt is the computed prompt that was kept, unless it may have lapsed.
func (rl *Relay) takePrompt(ex *exchange) (computed, bool) {
	pr := ex.prompt
	ex.prompt = computed{}
	if pr.handle.ID == "" {
		return computed{}, false
	}
	if rl.now()-pr.at >= promptFresh || rl.Backends().Restarted(pr.handle.Server) {
		rl.forget(ex, pr.handle)
		return computed{}, false
	}
	return pr, true
}

// dropPrompt gives a computed prompt back that no decode will take.
func (rl *Relay) dropPrompt(ex *exchange) {
	rl.forget(ex, ex.prompt.handle)
	ex.prompt = computed{}
}
