package service_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/service"
	"alderdyke/internal/standin"
	"alderdyke/internal/standin/service"
)

// withServer runs fn in virtual time with a server on an in-memory network and
// a client.
func withServer(t *testing.T, sv *service.Server, fn func(t *testing.T, sc *wire.Client, srv board.BackendServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nw := &standin.Network{}
		sc := &wire.Client{HTTP: backend.NewHTTP(backend.Limits{Dial: nw.Dial}), Self: board.VMRef{ID: "vm-1", Incarnation: 7}}
		hs := &http.Server{Handler: sv.Handler()}
		ls := nw.Listen("10.0.0.1:80")
		go func() { _ = hs.Serve(ls) }()
		t.Cleanup(func() {
			sv.Control.Set(standin.Faults{})
			sv.Close()
			_ = hs.Close()
			sc.HTTP.CloseIdleConnections()
		})
		fn(t, sc, board.BackendServer{ID: sv.ID, Address: "10.0.0.1:80"})
	})
}

func checkRequest(key string) wire.Request {
	return wire.Request{Method: http.MethodPost, Path: "/check?loan=3", Body: []byte("b"), Key: key}
}

// A status 500 of the server itself is its answer and leaves no doubt about
// the outcome.
func TestServerErrorIsAnAnswer(t *testing.T) {
	sv := &service.Server{ID: "k1", Settings: service.Settings{Latency: 5}}
	withServer(t, sv, func(t *testing.T, sc *wire.Client, srv board.BackendServer) {
		sv.Control.Set(standin.Faults{Fail: true})
		rsp, err := sc.Call(t.Context(), srv, checkRequest("k"))
		assert.NilError(t, err)
		assert.Equal(t, rsp.Status, http.StatusInternalServerError)
		assert.Equal(t, len(rsp.Body), 0)
		assert.Equal(t, len(sv.History().RunsOf("k")), 0)
	})
}

// The outcome that the client reports agrees with the server's own record of
// runs.
func TestOutcomesMatchHistory(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		want   backend.Outcome
		runs   int
	}{
		{"healthy", standin.Faults{}, backend.Done, 1},
		{"reset", standin.Faults{Reset: true}, backend.InDoubt, 0},
		{"reply lost", standin.Faults{LoseReply: true}, backend.InDoubt, 1},
		{"refuses", standin.Faults{Refuse: true}, backend.Declined, 0},
		{"leaving", standin.Faults{Leaving: true}, backend.Declined, 0},
		{"dead", standin.Faults{Dead: true}, backend.InDoubt, 0},
		{"slow", standin.Faults{Slow: 5000}, backend.InDoubt, 0},
		{"slow while it runs", standin.Faults{Slowdown: 1000}, backend.InDoubt, 1},
		{"paused", standin.Faults{Pause: true}, backend.InDoubt, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			sv := &service.Server{ID: "k1", Settings: service.Settings{Latency: 5}}
			withServer(t, sv, func(t *testing.T, sc *wire.Client, srv board.BackendServer) {
				sv.Control.Set(tc.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				rsp, err := sc.Call(ctx, srv, checkRequest("k"))
				oc, _ := backend.OutcomeOf(err)
				assert.Equal(t, oc, tc.want, "%v", err)
				if err == nil {
					assert.Equal(t, string(rsp.Body), standin.Reply("POST", "/check?loan=3", []byte("b")))
				}
				assert.Equal(t, len(sv.History().RunsOf("k")), tc.runs)
			})
		})
	}
}

func TestRepeatedKeyIsRecorded(t *testing.T) {
	sv := &service.Server{ID: "k1"}
	withServer(t, sv, func(t *testing.T, sc *wire.Client, srv board.BackendServer) {
		for range 2 {
			_, err := sc.Call(t.Context(), srv, checkRequest("k"))
			assert.NilError(t, err)
		}
		runs := sv.History().RunsOf("k")
		assert.Equal(t, len(runs), 2)
		assert.Equal(t, runs[0].VM, sc.Self)
		assert.Equal(t, len(sv.History().RunsOf("other")), 0)
	})
}

func TestRunContinuesWithoutCaller(t *testing.T) {
	sv := &service.Server{ID: "k1", Settings: service.Settings{Latency: 500}}
	withServer(t, sv, func(t *testing.T, sc *wire.Client, srv board.BackendServer) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := sc.Call(ctx, srv, checkRequest("k"))
		assert.Assert(t, !backend.NotRun(err))
		assert.Equal(t, sv.History().Running, 1)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, sv.History().Running, 0)
		assert.Assert(t, sv.History().RunsOf("k")[0].EndedAt >= 500)
	})
}

func TestQueueIsBoundedAndLoadLags(t *testing.T) {
	sv := &service.Server{ID: "k1", Settings: service.Settings{Latency: 1000, Slots: 1, Queue: 1, LoadLag: 300}}
	withServer(t, sv, func(t *testing.T, sc *wire.Client, srv board.BackendServer) {
		time.Sleep(time.Second)
		for range 2 {
			go func() { _, _ = sc.Call(t.Context(), srv, checkRequest("k")) }()
		}
		synctest.Wait()
		_, err := sc.Call(t.Context(), srv, checkRequest("k2"))
		_, reason := backend.OutcomeOf(err)
		assert.Equal(t, reason, backend.Full)
		load, err := sc.Load(t.Context(), srv)
		assert.NilError(t, err)
		assert.Equal(t, load.Running+load.Queued, 0)
		time.Sleep(300 * time.Millisecond)
		load, err = sc.Load(t.Context(), srv)
		assert.NilError(t, err)
		assert.Equal(t, load.Running, 1)
		assert.Equal(t, load.Queued, 1)
		assert.Equal(t, load.Slots, 1)
		time.Sleep(2 * time.Second)
	})
}

// Faults can be set over HTTP, so that another process can do so.
func TestFaultsEndpoint(t *testing.T) {
	sv := &service.Server{ID: "k1"}
	withServer(t, sv, func(t *testing.T, sc *wire.Client, srv board.BackendServer) {
		rq := wire.Request{Method: http.MethodPost, Path: standin.FaultsPath, Body: []byte(`{"Refuse":true,"Count":1,"Slow":"10ms","Paths":["/a"]}`)}
		rsp, err := sc.Call(t.Context(), srv, rq)
		assert.NilError(t, err)
		assert.Equal(t, rsp.Status, http.StatusOK)
		assert.DeepEqual(t, sv.Control.Faults(), standin.Faults{Refuse: true, Count: 1, Slow: 10, Paths: []string{"/a"}})
		var got []bool
		for _, path := range []string{"/b", "/a", "/a"} {
			_, err := sc.Call(t.Context(), srv, wire.Request{Method: http.MethodGet, Path: path})
			got = append(got, err == nil)
		}
		assert.DeepEqual(t, got, []bool{true, false, true})
		rq.Body = []byte(`{"Slow":12}`)
		rsp, err = sc.Call(t.Context(), srv, rq)
		assert.NilError(t, err)
		assert.Equal(t, rsp.Status, http.StatusBadRequest)
	})
}

func TestNetworkRefusesClosedAddress(t *testing.T) {
	nw := &standin.Network{}
	ls := nw.Listen("a:1")
	go func() {
		cn, err := ls.Accept()
		if err == nil {
			_, _ = io.WriteString(cn, "x")
			_ = cn.Close()
		}
	}()
	cn, err := nw.Dial(t.Context(), "tcp", "a:1")
	assert.NilError(t, err)
	text, err := io.ReadAll(cn)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "x")
	assert.NilError(t, ls.Close())
	_, err = nw.Dial(t.Context(), "tcp", "a:1")
	assert.ErrorContains(t, err, "refused")
}
