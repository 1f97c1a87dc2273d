package backend

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A head is recorded in whatever pieces it comes, until its end, and only if it is of an
// earlier version.
func TestHeadRecord(t *testing.T) {
	for _, tc := range []struct {
		name, head, body string
		recorded, coding bool
	}{
		{"current version", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", false, false},
		{"earlier version", "HTTP/1.0 200 OK\r\nA: b\r\n\r\n", "Transfer-Encoding: x\r\n\r\n", true, false},
		{"earlier version, coded", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", true, true},
		{"line feeds alone", "HTTP/1.0 200 OK\ntransfer-encoding: chunked\n\n", "0\n\n", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := tc.head + tc.body
			for size := 1; size <= len(text); size++ {
				var hr headRecord
				hr.begin()
				for at := 0; at < len(text); at += size {
					hr.add([]byte(text[at:min(at+size, len(text))]))
				}
				assert.Equal(t, len(hr.head) > 0, tc.recorded, "in pieces of %d bytes", size)
				assert.Equal(t, hr.hasCoding(), tc.coding, "in pieces of %d bytes", size)
				assert.Assert(t, hr.done, "in pieces of %d bytes", size)
			}
		})
	}
}
