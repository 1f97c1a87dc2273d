package relay

import (
	"alderdyke/internal/backend"
)

// observePath records whether a call for a request reached its server.
func (rl *Relay) observePath(ex *exchange, err error) {
	if backend.NotReached(err) {
		ex.notReached++
	}
}
