package vmlist

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin/malformed"
)

// A list whose answer breaks HTTP is none.
func TestMalformedLists(t *testing.T) {
	for _, an := range append(malformed.Statuses("", "{}"), malformed.Names("", "{}")...) {
		t.Run(an.Name, func(t *testing.T) {
			srv := httptest.NewServer(an)
			defer srv.Close()
			cl := &Client{URL: srv.URL}
			defer cl.client().CloseIdleConnections()
			_, err := cl.Fetch(t.Context())
			assert.Assert(t, err != nil)
		})
	}
}
