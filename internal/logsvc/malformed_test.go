package logsvc

import (
	"errors"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin/malformed"
)

// checkMalformed checks that no call takes an answer that breaks HTTP for one, and that an
// append may have had its effect.
func checkMalformed(t *testing.T, list []malformed.Answer) {
	t.Helper()
	for _, an := range list {
		t.Run(an.Name, func(t *testing.T) {
			srv := httptest.NewServer(an)
			defer srv.Close()
			cl := &Client{URL: srv.URL}
			defer cl.client().CloseIdleConnections()
			assert.Assert(t, readOne(t.Context(), cl) != nil)
			err := appendOne(t.Context(), cl)
			ae, ok := errors.AsType[*AppendError](err)
			assert.Assert(t, ok, "%v", err)
			assert.Equal(t, ae.Effect, MayBeAppended)
		})
	}
}

// emptyBatch is an answer that both a read and an append take.
const emptyBatch = `{"Stream":"s","Offset":0,"Next":0,"Oldest":0,"Records":[]}`

func TestStatusOutsideHTTP(t *testing.T) { checkMalformed(t, malformed.Statuses("", emptyBatch)) }

func TestFieldNameThatIsNoToken(t *testing.T) { checkMalformed(t, malformed.Names("", emptyBatch)) }
