package service_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/service"
	"alderdyke/internal/standin/malformed"
)

// The answer of a plain server that resets its connection while the request is still being
// written is not whole, but one that ended in order before is.
func TestResetDuringUpload(t *testing.T) {
	const answerBody = "a part"
	for _, tc := range []struct {
		name string
		end  func(cn *net.TCPConn)
		want backend.Outcome
	}{
		{"a reset", malformed.ResetConnection, backend.InDoubt},
		{"a reset after the end", malformed.EndAndResetConnection, backend.Done},
	} {
		t.Run(tc.name, func(t *testing.T) {
			es, err := malformed.StartEarly("HTTP/1.1 200 OK\r\n\r\n"+answerBody, tc.end)
			assert.NilError(t, err)
			defer es.Stop()
			sc := &service.Client{HTTP: backend.NewHTTP(backend.Limits{Dial: es.Dial})}
			srv := board.BackendServer{ID: "s1", Address: es.Address(), Leaving: true} // so that it is not probed
			rsp, err := sc.Call(t.Context(), srv, service.Request{
				Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("x", malformed.EarlyBodyBytes)),
			})
			oc, _ := backend.OutcomeOf(err)
			assert.Equal(t, oc, tc.want, "%q, %v", rsp.Body, err)
			if err == nil {
				assert.Equal(t, string(rsp.Body), answerBody)
			}
		})
	}
}
