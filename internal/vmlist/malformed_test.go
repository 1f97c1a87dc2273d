package vmlist

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin/malformed"
)

// A list whose answer breaks HTTP is none.
func TestMalformedLists(t *testing.T) {
	for _, an := range append(malformed.Statuses("", "{}"), malformed.Names("", "{}")...) {
		t.Run(an.Name, func(t *testing.T) {
			srv, err := malformed.Start(an)
			assert.NilError(t, err)
			defer srv.Stop()
			cl := &Client{URL: "http://" + srv.Address()}
			defer cl.client().CloseIdleConnections()
			_, err = cl.Fetch(t.Context())
			assert.Assert(t, err != nil)
		})
	}
}
