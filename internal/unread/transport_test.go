package unread_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/unread"
)

// A connection is used again if its response was read to its end, and is closed otherwise.
func TestConnectionsOfUnreadBodies(t *testing.T) {
	var opened, closed atomic.Int64
	gone := make(chan struct{}, 16)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wr, strings.Repeat("b", 64<<10))
	}))
	srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			opened.Add(1)
		case http.StateClosed:
			closed.Add(1)
			gone <- struct{}{}
		}
	}
	srv.Start()
	defer srv.Close()
	hc := &http.Client{Transport: unread.Transport{Base: &http.Transport{}}}
	defer hc.CloseIdleConnections()
	get := func(bytes int64) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL, nil)
		assert.NilError(t, err)
		rsp, err := hc.Do(req)
		assert.NilError(t, err)
		_, err = io.CopyN(io.Discard, rsp.Body, bytes)
		if bytes > 64<<10 {
			assert.ErrorIs(t, err, io.EOF)
		}
		assert.NilError(t, rsp.Body.Close())
	}
	for range 3 {
		get(1 << 20)
	}
	assert.Equal(t, opened.Load(), int64(1))
	get(1)
	<-gone
	get(1 << 20)
	assert.Equal(t, opened.Load(), int64(2))
	assert.Equal(t, closed.Load(), int64(1))
}

// A body that was received already, and is closed unread, leaves no broken connection to the
// next call, which is not repeated.
func TestNextCallAfterAnUnreadBody(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wr, "busy\n")
	}))
	defer srv.Close()
	hc := &http.Client{Transport: unread.Transport{Base: &http.Transport{}}}
	defer hc.CloseIdleConnections()
	for range 500 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL, io.MultiReader(strings.NewReader("once")))
		assert.NilError(t, err)
		rsp, err := hc.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, rsp.Body.Close())
	}
}
