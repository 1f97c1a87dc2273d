package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/standin"
	standinengine "alderdyke/internal/standin/engine"
)

const prompt = "field notes"

// enginePair is an in-memory prefill engine p1 and decode engine d1.
type enginePair struct {
	ec       *engine.Client
	pre, dec *standinengine.Engine
	ps, ds   board.BackendServer
	stop     func(addr string)
	nw       *standin.Network
}

// run runs a test with two in-memory engines in a synctest bubble.
func run(t *testing.T, fn func(t *testing.T, bn enginePair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nw := &standin.Network{}
		hc := backend.NewHTTP(backend.Limits{Dial: nw.Dial})
		set := standinengine.Settings{PrefillTokensPerSecond: 1000, KVBytesPerToken: 1, KVRetention: 800, Slots: 2, TPOT: 10, ChecksFencing: true}
		bn := enginePair{
			nw:  nw,
			ec:  &engine.Client{HTTP: hc, Self: board.VMRef{ID: "vm-1", Incarnation: 7}, Scope: tally.NewTestScope("", nil)},
			pre: &standinengine.Engine{ID: "p1", Role: board.Prefill, Settings: set, HTTP: hc},
			dec: &standinengine.Engine{ID: "d1", Role: board.Decode, Settings: set, HTTP: hc},
			ps:  board.BackendServer{ID: "p1", Address: "10.0.0.1:80"},
			ds:  board.BackendServer{ID: "d1", Address: "10.0.0.2:80"},
		}
		servers := map[string]*http.Server{}
		for addr, en := range map[string]*standinengine.Engine{bn.ps.Address: bn.pre, bn.ds.Address: bn.dec} {
			hs := &http.Server{Handler: en.Handler()}
			servers[addr] = hs
			ls := nw.Listen(addr)
			go func() { _ = hs.Serve(ls) }()
			t.Cleanup(func() {
				en.Control.Set(standin.Faults{})
				_ = hs.Close()
				en.Close()
			})
		}
		bn.stop = func(addr string) { _ = servers[addr].Close() }
		t.Cleanup(hc.CloseIdleConnections)
		synctest.Wait()
		fn(t, bn)
	})
}

// order is one call that has an effect, and how to observe the effect.
type order struct {
	name    string
	server  string
	prepare func(ctx context.Context, bn enginePair) error
	send    func(ctx context.Context, bn enginePair) error
	effects func(bn enginePair) int
}

func orders() []order {
	prefill := func(ctx context.Context, bn enginePair) error {
		_, err := bn.ec.Prefill(ctx, bn.ps, engine.PrefillOrder{Request: "r1", Attempt: 1, Prompt: prompt, PromptTokens: 10})
		return err
	}
	imported := func(ctx context.Context, bn enginePair) error {
		runs, err := bn.ec.Running(ctx, bn.ps)
		if err != nil || len(runs) != 1 {
			return fmt.Errorf("%d runs: %w", len(runs), err)
		}
		kv := bn.pre.History().Runs[0].KV
		return bn.ec.Import(ctx, bn.ds, engine.ImportOrder{Request: "r1", Attempt: 1, KV: kv, From: bn.ps.Address})
	}
	placed := func(ctx context.Context, bn enginePair) error {
		return errors.Join(prefill(ctx, bn), imported(ctx, bn))
	}
	decode := func(ctx context.Context, bn enginePair) error {
		st, err := bn.ec.Decode(ctx, bn.ds, engine.DecodeOrder{Request: "r1", Attempt: 1, MaxTokens: 5})
		if err == nil {
			st.Close()
		}
		return err
	}
	nothing := func(context.Context, enginePair) error { return nil }
	return []order{
		{"Prefill", "p1", nothing, prefill, func(bn enginePair) int { return len(bn.pre.History().Runs) }},
		{"Import", "d1", prefill, imported, func(bn enginePair) int { return len(bn.dec.History().Runs) }},
		{"Decode", "d1", placed, decode, func(bn enginePair) int { return bn.dec.History().Runs[0].Decodes }},
		{
			"Cancel", "d1", placed,
			func(ctx context.Context, bn enginePair) error { return bn.ec.Cancel(ctx, bn.ds, "r1") },
			func(bn enginePair) int { return 1 - bn.dec.History().SlotsHeld },
		},
		{
			"Order", "d1", nothing,
			func(ctx context.Context, bn enginePair) error {
				_, err := bn.ec.Order(ctx, bn.ds, engine.Order{Kind: engine.LoadModel, Name: "m", Fence: 1})
				return err
			},
			func(bn enginePair) int { return len(bn.dec.History().Orders) },
		},
	}
}

// Checks every kind of error against the engine's own record of what it did.
func TestOutcomesAgainstHistory(t *testing.T) {
	faults := []struct {
		name   string
		faults standin.Faults
		closed bool
		want   backend.Outcome
		effect int
	}{
		{"healthy", standin.Faults{}, false, backend.Done, 1},
		{"dial refused", standin.Faults{}, true, backend.NotSent, 0},
		{"reset", standin.Faults{Reset: true}, false, backend.InDoubt, 0},
		{"reply lost", standin.Faults{LoseReply: true}, false, backend.InDoubt, 1},
		{"refuses", standin.Faults{Refuse: true}, false, backend.Declined, 0},
		{"fails", standin.Faults{Fail: true}, false, backend.InDoubt, 0},
		{"slow", standin.Faults{Slow: 5000}, false, backend.InDoubt, 0},
		{"paused", standin.Faults{Pause: true}, false, backend.InDoubt, 0},
	}
	for _, od := range orders() {
		for _, ft := range faults {
			t.Run(od.name+" "+ft.name, func(t *testing.T) {
				run(t, func(t *testing.T, bn enginePair) {
					assert.NilError(t, od.prepare(t.Context(), bn))
					en, srv := bn.pre, bn.ps
					if od.server == "d1" {
						en, srv = bn.dec, bn.ds
					}
					en.Control.Set(ft.faults)
					if ft.closed {
						bn.stop(srv.Address)
					}
					ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
					defer cancel()
					err := od.send(ctx, bn)
					oc, _ := backend.OutcomeOf(err)
					assert.Equal(t, oc, ft.want, "%v", err)
					assert.Equal(t, od.effects(bn), ft.effect)
					assertCounted(t, bn, od.name, ft.want)
				})
			})
		}
	}
}

// An order whose sender gave up is still executed once the engine reaches it, unless
// a cancel order was processed first.
func TestAbandonedOrderIsExecutedLater(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		run(t, func(t *testing.T, bn enginePair) {
			bn.pre.Control.Set(standin.Faults{Slow: 5000, Paths: []string{engine.PrefillPath}})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err := orders()[0].send(ctx, bn)
			assert.Assert(t, !backend.NotRun(err), "%v", err)
			if cancelled {
				assert.NilError(t, bn.ec.Cancel(t.Context(), bn.ps, "r1"))
			}
			time.Sleep(5 * time.Second)
			synctest.Wait()
			hist := bn.pre.History()
			assert.Equal(t, len(hist.Runs) == 0, cancelled)
			assert.Equal(t, hist.Declined[backend.Cancelled] == 1, cancelled)
		})
	}
}

// assertCounted checks that a call was counted once with its outcome.
func assertCounted(t *testing.T, bn enginePair, call string, oc backend.Outcome) {
	t.Helper()
	for _, ct := range bn.ec.Scope.(tally.TestScope).Snapshot().Counters() {
		if ct.Name() == "EngineCalls" && ct.Tags()["Call"] == call && ct.Tags()["Outcome"] == string(oc) {
			assert.Equal(t, ct.Value(), int64(1))
			return
		}
	}
	t.Fatalf("no counter for %s %s", call, oc)
}

func TestStreamCutAndResumed(t *testing.T) {
	run(t, func(t *testing.T, bn enginePair) {
		for _, od := range orders()[:2] {
			assert.NilError(t, od.send(t.Context(), bn))
		}
		bn.dec.Control.Set(standin.Faults{ResetAtToken: 3, Count: 1})
		st, err := bn.ec.Decode(t.Context(), bn.ds, engine.DecodeOrder{Request: "r1", Attempt: 1, MaxTokens: 8})
		assert.NilError(t, err)
		defer st.Close()
		soon, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = st.Next(soon) // the first token comes after 10 ms
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		var got []string
		for err = nil; err == nil; {
			var tok engine.Token
			if tok, err = st.Next(t.Context()); err == nil {
				got = append(got, tok.Text)
			}
		}
		_, ok := errors.AsType[engine.InDoubtError](err)
		assert.Assert(t, ok, "%v", err)
		assert.DeepEqual(t, got, standin.Answer(prompt, 8)[:3])

		st, err = bn.ec.Resume(t.Context(), bn.ds, "r1", 3)
		assert.NilError(t, err)
		defer st.Close()
		for ix, want := range standin.Answer(prompt, 8)[3:] {
			tok, err := st.Next(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, tok, engine.Token{Index: ix + 3, Text: want, Last: ix+3 == 7})
		}
		for range 2 {
			_, err = st.Next(t.Context())
			assert.Equal(t, err, io.EOF)
		}
	})
}

func TestCancelEndsStream(t *testing.T) {
	run(t, func(t *testing.T, bn enginePair) {
		for _, od := range orders()[:2] {
			assert.NilError(t, od.send(t.Context(), bn))
		}
		st, err := bn.ec.Decode(t.Context(), bn.ds, engine.DecodeOrder{Request: "r1", Attempt: 1, MaxTokens: 1000})
		assert.NilError(t, err)
		defer st.Close()
		assert.NilError(t, bn.ec.Cancel(t.Context(), bn.ds, "r1"))
		_, err = st.Next(t.Context())
		assert.ErrorIs(t, err, engine.ErrEnded)
	})
}

func TestTornStream(t *testing.T) {
	const good = `{"Index":0,"Text":"a"}` + "\n"
	cases := map[string]string{
		"doubled":  good + good,
		"missing":  good + `{"Index":2,"Text":"c"}` + "\n",
		"not JSON": good + "b\n",
		"cut":      good + `{"Index":1,"Te`,
		"too long": good + `{"Index":1,"Text":"` + strings.Repeat("x", 70_000) + "\"}\n",
		"ended":    good,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set(engine.AttemptHeader, "1")
				_, _ = io.WriteString(rw, text)
			}))
			defer srv.Close()
			ec := &engine.Client{}
			st, err := ec.Decode(t.Context(), board.BackendServer{ID: "d1", Address: srv.Listener.Addr().String()}, engine.DecodeOrder{Attempt: 1})
			assert.NilError(t, err)
			defer st.Close()
			tok, err := st.Next(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, tok.Text, "a")
			_, err = st.Next(t.Context())
			oc, _ := backend.OutcomeOf(err)
			assert.Equal(t, oc, backend.InDoubt)
			if name == "doubled" || name == "missing" || name == "not JSON" || name == "cut" {
				assert.ErrorIs(t, err, engine.ErrTorn)
			}
		})
	}
}

// Responses of an engine are limited in size, and none of their text appears in an
// error.
func TestBadAnswers(t *testing.T) {
	for _, text := range []string{"secret", `{"KV":3}`, strings.Repeat(" ", 70_000)} {
		srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(rw, text)
		}))
		ec := &engine.Client{}
		_, err := ec.Prefill(t.Context(), board.BackendServer{ID: "p1", Address: srv.Listener.Addr().String()}, engine.PrefillOrder{})
		oc, _ := backend.OutcomeOf(err)
		assert.Equal(t, oc, backend.InDoubt)
		assert.Assert(t, !strings.Contains(err.Error(), "secret"))
		srv.Close()
	}
}

func TestPrefixesDifferAfterTheCommonBlocks(t *testing.T) {
	block := strings.Repeat("s", engine.BlockBytes)
	pa, pb := engine.Prefixes(block+block+"tail"), engine.Prefixes(block+strings.Repeat("t", engine.BlockBytes)+block)
	assert.Equal(t, len(pa), 2)
	assert.Equal(t, len(pb), 3)
	assert.Equal(t, pa[0], pb[0])
	assert.Assert(t, pa[1] != pb[1])
	assert.Equal(t, len(engine.Prefixes("short")), 0)
}

func FuzzParseToken(f *testing.F) {
	f.Add([]byte(`{"Index":4,"Text":"x"}`), 4)
	f.Add([]byte(`{"Ended":"Cancelled"}`), 0)
	f.Add([]byte(`{"Index":1e99}`), 1)
	f.Fuzz(func(t *testing.T, line []byte, want int) {
		tok, err := engine.ParseToken(line, want)
		switch {
		case err == nil && (tok.Index != want || tok.Ended != ""):
			t.Fatalf("took %+v where %d was due", tok, want)
		case err != nil && !errors.Is(err, engine.ErrTorn) && !errors.Is(err, engine.ErrEnded):
			t.Fatalf("error of no kind: %v", err)
		}
	})
}

func ExampleClient() {
	en := &standinengine.Engine{ID: "e1", Role: board.Prefill, Settings: standinengine.Settings{PrefillTokensPerSecond: 1e6}}
	defer en.Close()
	hs := httptest.NewServer(en.Handler())
	defer hs.Close()
	ec := &engine.Client{Self: board.VMRef{ID: "vm-1", Incarnation: 1}}
	srv := board.BackendServer{ID: "e1", Address: hs.Listener.Addr().String()}
	res, err := ec.Prefill(context.Background(), srv, engine.PrefillOrder{Request: "r1", Attempt: 1, Prompt: "hello", PromptTokens: 3})
	fmt.Println(res.Tokens, res.KeptFor, err)
	// Output: 3 800ms <nil>
}

func FuzzDocuments(f *testing.F) {
	f.Add(`{"Running":1,"Age":"20ms"}`)
	f.Add(`{"Runs":[{"Stage":"Decoding","Since":"1s"}]}`)
	f.Add(`{"Events":[{"Number":18446744073709551616}]}`)
	var body string
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, body) }))
	f.Cleanup(srv.Close)
	ec := &engine.Client{}
	dest := board.BackendServer{ID: "e1", Address: srv.Listener.Addr().String()}
	f.Fuzz(func(t *testing.T, text string) {
		body = text
		_, err1 := ec.Load(t.Context(), dest)
		_, err2 := ec.Running(t.Context(), dest)
		_, err3 := ec.CacheEvents(t.Context(), dest, 0)
		_, err4 := ec.Prefill(t.Context(), dest, engine.PrefillOrder{})
		for _, err := range []error{err1, err2, err3, err4} {
			if err != nil && backend.NotRun(err) {
				t.Fatalf("%q: an answer came, but: %v", text, err)
			}
		}
	})
}

// Guards against taking the tokens of another attempt of the request for the answer:
// the engine may answer a decode order with them, and the attempt must be compared
// with the order's.
func TestDecodeTakesOnlyTokensOfItsAttempt(t *testing.T) {
	for _, tc := range []struct {
		name, attempt string
		ok            bool
	}{
		{"own attempt", "2", true},
		{"earlier attempt", "1", false},
		{"none", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			hs := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
				wr.Header().Set(engine.AttemptHeader, tc.attempt)
				fmt.Fprintln(wr, `{"Index":0,"Text":"a","Last":true}`)
			}))
			defer hs.Close()
			ec := &engine.Client{HTTP: backend.NewHTTP(backend.Limits{})}
			srv := board.BackendServer{ID: "d1", Address: strings.TrimPrefix(hs.URL, "http://")}
			st, err := ec.Decode(t.Context(), srv, engine.DecodeOrder{Request: "r1", Attempt: 2, MaxTokens: 1})
			if tc.ok {
				assert.NilError(t, err)
				st.Close()
				return
			}
			var inDoubt engine.InDoubtError
			assert.Assert(t, errors.As(err, &inDoubt), "%v", err)
		})
	}
}
