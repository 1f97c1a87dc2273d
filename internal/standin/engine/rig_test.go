package engine_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/internal/standin"
	"alderdyke/internal/standin/engine"
)

// testBench holds one prefill and one decode engine on an in-memory network, and a
// client.
type testBench struct {
	t       *testing.T
	nw      *standin.Network
	hc      *http.Client
	ec      *wire.Client
	pre     *engine.Engine
	dec     *engine.Engine
	preSrv  board.BackendServer
	decSrv  board.BackendServer
	baseCtx context.Context
}

// settings returns settings with round figures: 1000 prompt tokens per second,
// 10 bytes per token, 1000 bytes per second on the link, 10 ms per output token.
func settings() engine.Settings {
	return engine.Settings{
		PrefillTokensPerSecond: 1000, KVRetention: 800, KVBytesPerToken: 10,
		LinkBytesPerSecond: 1000, Slots: 3, TPOT: 10,
	}
}

// withEngines runs fn in virtual time with a prefill and a decode engine that
// have the given settings.
func withEngines(t *testing.T, set engine.Settings, fn func(t *testing.T, bn *testBench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		bn := &testBench{t: t, nw: &standin.Network{}, baseCtx: t.Context()}
		bn.hc = backend.NewHTTP(backend.Limits{Dial: bn.nw.Dial})
		bn.ec = &wire.Client{HTTP: bn.hc, Self: board.VMRef{ID: "vm-1", Incarnation: 7}}
		bn.pre = &engine.Engine{ID: "p1", Role: board.Prefill, Settings: set, HTTP: bn.hc}
		bn.dec = &engine.Engine{ID: "d1", Role: board.Decode, Settings: set, HTTP: bn.hc}
		bn.preSrv = bn.serve(bn.pre, "10.0.0.1:80")
		bn.decSrv = bn.serve(bn.dec, "10.0.0.2:80")
		t.Cleanup(bn.hc.CloseIdleConnections)
		fn(t, bn)
	})
}

func (bn *testBench) serve(en *engine.Engine, addr string) board.BackendServer {
	hs := &http.Server{Handler: en.Handler()}
	ls := bn.nw.Listen(addr)
	go func() { _ = hs.Serve(ls) }()
	bn.t.Cleanup(func() {
		en.Control.Set(standin.Faults{}) // so that nothing blocks forever
		_ = hs.Close()
		en.Close()
	})
	return board.BackendServer{ID: en.ID, Role: en.Role, Address: addr}
}

func (bn *testBench) prefill(request, prompt string, tokens int) wire.PrefillResult {
	bn.t.Helper()
	res, err := bn.ec.Prefill(bn.baseCtx, bn.preSrv, wire.PrefillOrder{
		Request: request, Customer: "c1", Attempt: 1, Prompt: prompt, PromptTokens: tokens,
	})
	assert.NilError(bn.t, err)
	return res
}

func (bn *testBench) importOrder(request, kv string) wire.ImportOrder {
	return wire.ImportOrder{Request: request, Customer: "c1", Attempt: 1, KV: kv, From: bn.preSrv.Address}
}

// prefillAndImport runs the prefill of a request and imports its KV cache.
func (bn *testBench) prefillAndImport(request, prompt string, tokens int) {
	bn.t.Helper()
	kv := bn.prefill(request, prompt, tokens).KV
	assert.NilError(bn.t, bn.ec.Import(bn.baseCtx, bn.decSrv, bn.importOrder(request, kv)))
}

func (bn *testBench) decode(request string, tokens int) *wire.Stream {
	bn.t.Helper()
	st, err := bn.ec.Decode(bn.baseCtx, bn.decSrv, wire.DecodeOrder{Request: request, Attempt: 1, MaxTokens: tokens})
	assert.NilError(bn.t, err)
	bn.t.Cleanup(st.Close)
	return st
}

func (bn *testBench) stages(srv board.BackendServer) map[string]sched.Stage {
	bn.t.Helper()
	runs, err := bn.ec.Running(bn.baseCtx, srv)
	assert.NilError(bn.t, err)
	out := map[string]sched.Stage{}
	for _, rn := range runs {
		assert.Equal(bn.t, rn.VM, bn.ec.Self)
		out[rn.Request] = rn.Stage
	}
	return out
}

// collect reads a stream to its end and returns the texts of the tokens.
func collect(ctx context.Context, st *wire.Stream) ([]string, error) {
	var out []string
	for {
		tok, err := st.Next(ctx)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, tok.Text)
	}
}

func reasonOf(err error) backend.Reason {
	_, rs := backend.OutcomeOf(err)
	return rs
}
