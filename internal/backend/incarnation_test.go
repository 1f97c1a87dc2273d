package backend

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// The incarnation of any response is recorded, including one that declines the call.
func TestIncarnations(t *testing.T) {
	var told string
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set(ServerIncarnationHeader, told)
		if req.URL.Path == "/declined" {
			rw.Header().Set(DeclinedHeader, string(Full))
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer srv.Close()
	in := &Incarnations{}
	assert.Assert(t, in.FirstMissing("e1"))
	assert.Assert(t, !in.FirstMissing("e1"), "reported once")
	for _, tt := range []struct {
		told, path string
		want       uint64
	}{
		{"", "/", 0},
		{"none", "/", 0},
		{"-3", "/", 0},
		{"7", "/", 7},
		{"", "/", 7},
		{"6", "/", 7}, // a late response of an earlier incarnation
		{"8", "/declined", 8},
		{"0", "/", 8},
	} {
		told = tt.told
		req, err := http.NewRequest(http.MethodGet, srv.URL+tt.path, http.NoBody)
		assert.NilError(t, err)
		rsp, err := Send(t.Context(), NewHTTP(Limits{}), Call{Server: "e1", Name: "Test", Request: req, FreshConnection: true, Incarnations: in})
		if err == nil {
			assert.NilError(t, rsp.Body.Close())
		}
		assert.Equal(t, in.Latest("e1"), tt.want, "%q", tt.told)
	}
	assert.Assert(t, !in.FirstMissing("e1"))
	in.Retain(func(server string) bool { return server != "e1" })
	assert.Equal(t, in.Latest("e1"), uint64(0))
	assert.Assert(t, in.FirstMissing("e1"))
}
