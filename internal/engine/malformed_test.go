package engine_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/standin/malformed"
)

// checkMalformed checks that no call takes an answer that breaks HTTP for one: it may have run.
func checkMalformed(t *testing.T, list []malformed.Answer) {
	t.Helper()
	for name, call := range engineCalls {
		for _, an := range list {
			t.Run(name+", "+an.Name, func(t *testing.T) {
				srv := httptest.NewServer(an)
				defer srv.Close()
				hc := backend.NewHTTP(backend.Limits{})
				defer hc.CloseIdleConnections()
				err := call(t.Context(), &engine.Client{HTTP: hc}, board.BackendServer{ID: "e1", Address: srv.Listener.Addr().String()})
				oc, _ := backend.OutcomeOf(err)
				assert.Equal(t, oc, backend.InDoubt, "%v", err)
			})
		}
	}
}

func TestStatusOutsideHTTP(t *testing.T) { checkMalformed(t, malformed.Statuses(attemptLine, "{}")) }

func TestFieldNameThatIsNoToken(t *testing.T) {
	checkMalformed(t, malformed.Names(attemptLine, "{}"))
	checkMalformed(t, malformed.Informational(attemptLine, "{}"))
}
