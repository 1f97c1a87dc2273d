package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
)

func serve(t *testing.T, fn http.HandlerFunc) board.BackendServer {
	t.Helper()
	srv := httptest.NewServer(fn)
	t.Cleanup(srv.Close)
	return board.BackendServer{ID: "k1", Address: srv.Listener.Addr().String()}
}

func TestHeadersEndToEnd(t *testing.T) {
	var got *http.Request
	srv := serve(t, func(rw http.ResponseWriter, req *http.Request) {
		got = req
		body, _ := io.ReadAll(req.Body)
		rw.Header().Set("Connection", "X-Hop")
		rw.Header().Set("X-Hop", "1")
		rw.Header().Set("X-Kept", string(body))
		rw.Header().Set(backend.ServerIncarnationHeader, "9")
		rw.WriteHeader(http.StatusTeapot)
	})
	in := &backend.Incarnations{}
	sc := &Client{Self: board.VMRef{ID: "vm-1", Incarnation: 3}, Token: "ours", Incarnations: in}
	rsp, err := sc.Call(t.Context(), srv, Request{
		Method: http.MethodPost, Path: "/a%2Fb?q=1", Body: []byte("body"), Key: "k9", Idempotent: true,
		Header: http.Header{
			"connection": {"X-Secret-Hop, close"}, "X-Secret-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
			"Authorization": {"Bearer caller"}, "idempotency-key": {"caller"}, "X-Plant": {"17"}, "Expect": {"100-continue"},
		},
	})
	assert.NilError(t, err)
	assert.Equal(t, rsp.Status, http.StatusTeapot) // the service's own status is returned
	assert.Equal(t, rsp.Header.Get("X-Kept"), "body")
	assert.Equal(t, rsp.Header.Get("X-Hop"), "")
	assert.Equal(t, rsp.Header.Get(backend.ServerIncarnationHeader), "")
	assert.Equal(t, in.Latest(srv.ID), uint64(9))
	assert.Equal(t, got.RequestURI, "/a%2Fb?q=1")
	assert.Equal(t, got.Header.Get("X-Plant"), "17")
	assert.DeepEqual(t, got.Header.Values("Authorization"), []string{"Bearer ours"})
	assert.DeepEqual(t, got.Header.Values(KeyHeader), []string{"k9"})
	assert.Equal(t, got.Header.Get("Alderdyke-Incarnation"), "3")
	for _, name := range []string{"X-Secret-Hop", "Te", "Upgrade", "Expect"} {
		assert.Equal(t, got.Header.Get(name), "", name)
	}
}

func TestIncompleteResponseIsInDoubt(t *testing.T) {
	cut := serve(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(rw, "half")
	})
	large := serve(t, func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, strings.Repeat("x", 101))
	})
	scope := tally.NewTestScope("", nil)
	sc := &Client{MaxAnswer: 100, Scope: scope}
	_, err := sc.Call(t.Context(), cut, Request{Method: http.MethodGet, Path: "/"})
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, !backend.NotRun(err))
	_, err = sc.Call(t.Context(), large, Request{Method: http.MethodGet, Path: "/"})
	assert.ErrorIs(t, err, backend.ErrTooLarge)
	assert.Assert(t, !backend.NotRun(err))
	var count int64
	for _, ct := range scope.Snapshot().Counters() {
		assert.Equal(t, ct.Tags()["Outcome"], "InDoubt")
		count += ct.Value()
	}
	assert.Equal(t, count, int64(2))
}

// A response that ends with its connection is complete only if its server did not crash
// right then.
func TestResponseOfAServerThatCrashed(t *testing.T) {
	for _, tc := range []struct {
		name, header     string
		crashes, leaving bool
		complete         bool
	}{
		{"crashed", "", true, false, false},
		{"crashed, with a length", "Content-Length: 4\r\n", true, false, true},
		{"left", "", true, true, true},
		{"went on", "", false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				cn, err := ln.Accept()
				if err != nil {
					return
				}
				defer cn.Close()
				if tc.crashes {
					_ = ln.Close()
				}
				_, _ = http.ReadRequest(bufio.NewReader(cn))
				_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+tc.header+"\r\nhalf")
			}()
			t.Cleanup(func() {
				<-answered
				_ = ln.Close()
			})
			srv := board.BackendServer{ID: "k1", Address: ln.Addr().String(), Leaving: tc.leaving}
			rsp, err := (&Client{}).Call(t.Context(), srv, Request{Method: http.MethodGet, Path: "/"})
			if !tc.complete {
				assert.ErrorIs(t, err, errCrashed)
				assert.Assert(t, !backend.NotRun(err))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(rsp.Body), "half")
		})
	}
}

// Only idempotent calls may reuse a connection, because a call on a connection that
// the server is closing can be left in doubt.
func TestOnlyIdempotentCallsReuseConnections(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		ports := map[string]bool{}
		srv := serve(t, func(_ http.ResponseWriter, req *http.Request) { ports[req.RemoteAddr] = true })
		sc := &Client{}
		for range 3 {
			_, err := sc.Call(t.Context(), srv, Request{Method: http.MethodGet, Path: "/", Idempotent: idempotent})
			assert.NilError(t, err)
		}
		assert.Equal(t, len(ports) == 1, idempotent)
		sc.client().CloseIdleConnections()
	}
}

func TestInvalidCallIsNotSent(t *testing.T) {
	called := false
	srv := serve(t, func(http.ResponseWriter, *http.Request) { called = true })
	sc := &Client{}
	for _, rq := range []Request{
		{Method: "GET", Path: "relative"}, {Method: "GET", Path: "http://10.0.0.9/"},
		{Method: "G T", Path: "/"}, {Method: "GET", Path: "/\x00"}, {Method: "GET", Path: "/", Header: http.Header{"X": {"a\nb"}}},
	} {
		_, err := sc.Call(t.Context(), srv, rq)
		_, ok := errors.AsType[NotSentError](err)
		assert.Assert(t, ok, "%q: %v", rq.Path, err)
	}
	assert.Assert(t, !called)
}

// FuzzDestination checks that no path of a caller changes the host of a call.
func FuzzDestination(f *testing.F) {
	f.Add("/a?b=c")
	f.Add("//evil/x")
	f.Add("/@evil:80/x")
	f.Fuzz(func(t *testing.T, path string) {
		dest, err := destination("10.0.0.1:80", path)
		if err != nil {
			return
		}
		pu, err := url.Parse(dest)
		if err != nil || pu.Host != "10.0.0.1:80" || pu.User != nil {
			t.Fatalf("%q went to %q: %v", path, dest, err)
		}
	})
}

// FuzzLoad checks that an invalid load document never counts as a call that did not
// run, because the server has responded.
func FuzzLoad(f *testing.F) {
	f.Add(`{"Running":1,"Age":"20ms"}`)
	f.Add(`[`)
	var body string
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, body) }))
	f.Cleanup(srv.Close)
	sc := &Client{}
	f.Fuzz(func(t *testing.T, text string) {
		body = text
		_, err := sc.Load(t.Context(), board.BackendServer{ID: "k1", Address: srv.Listener.Addr().String()})
		if err != nil && backend.NotRun(err) {
			t.Fatalf("%q: %v", text, err)
		}
	})
}
