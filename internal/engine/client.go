// Package engine speaks to model engines over HTTP.
//
// Orders and answers are JSON documents, token streams are one JSON document
// a line. Each call ends in one of the outcomes of package backend: done,
// [NotSentError], [DeclinedError] or [InDoubtError]; only the last leaves
// open whether the engine did something. An order is never sent twice by the
// client. The engine knows a run by its request and attempt, so that after an
// InDoubtError a cancel order, or [Client.Running], settles the matter.
//
// # Usage
//
//	ec := &engine.Client{Self: self, Token: token}
//	pre, err := ec.Prefill(ctx, prefillSrv, engine.PrefillOrder{Request: id, Attempt: 1, Prompt: prompt, PromptTokens: 900})
//	err = ec.Import(ctx, decodeSrv, engine.ImportOrder{Request: id, Attempt: 1, KV: pre.KV, From: prefillSrv.Address})
//	st, err := ec.Decode(ctx, decodeSrv, engine.DecodeOrder{Request: id, Attempt: 1, MaxTokens: 300})
//	defer st.Close()
//	for {
//		tok, err := st.Next(ctx)
//		...
//		if tok.Last { break }
//	}
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// Bounds of what is read from an engine, in bytes.
const (
	documentBytes = 64 << 10
	listBytes     = 4 << 20
	lineBytes     = 64 << 10
)

// ErrStatus tells that an engine answered with a status that is neither
// success nor a decline.
var ErrStatus = errors.New("unexpected HTTP status")

type (
	// NotSentError tells that no byte of the call left this VM.
	NotSentError = backend.NotSentError
	// DeclinedError tells that the engine said that it did not begin.
	DeclinedError = backend.DeclinedError
	// InDoubtError tells that the call may have had its effect.
	InDoubtError = backend.InDoubtError

	// Client speaks to all model engines. Set the fields before the first
	// call; its methods may be called at the same time.
	Client struct {
		HTTP  *http.Client // made by backend.NewHTTP; nil makes one
		Self  board.VMRef  // on whose behalf orders are given
		Token string       // bearer token; empty sends none
		Scope tally.Scope  // nil counts nothing
		Log   event.Logger
		Clock clock.Source // nil is the boot clock
		// Incarnations takes note of the engines'; nil does not.
		Incarnations *backend.Incarnations

		httpClient backend.HTTP
	}

	// call is one exchange with an engine.
	call struct {
		srv             board.BackendServer
		name            string
		request         string // that it is about; empty: none
		method          string
		path            string
		query           url.Values
		body            any  // nil for reads
		freshConnection bool // on a connection of its own, as all that is no read
		allowed         func() bool
	}
)

// Prefill has a prompt computed and waits for it. When the context ends
// first, the engine goes on until it is cancelled.
func (ec *Client) Prefill(ctx context.Context, srv board.BackendServer, od PrefillOrder) (PrefillResult, error) {
	var out PrefillResult
	cl := call{srv: srv, name: "Prefill", request: od.Request, method: http.MethodPost, path: PrefillPath, body: od}
	if err := ec.exchangeDocument(ctx, cl, documentBytes, &out); err != nil {
		return PrefillResult{}, fmt.Errorf("prefill request %s: %w", od.Request, err)
	}
	return out, nil
}

// Import has a decode engine fetch a KV cache and waits until it is there.
// When the context ends first, the engine goes on, and holds the memory slot
// until it is cancelled. After a DeclinedError it holds nothing.
func (ec *Client) Import(ctx context.Context, srv board.BackendServer, od ImportOrder) error {
	cl := call{srv: srv, name: "Import", request: od.Request, method: http.MethodPost, path: ImportPath, body: od}
	if err := ec.exchangeDocument(ctx, cl, documentBytes, nil); err != nil {
		return fmt.Errorf("import KV cache of request %s: %w", od.Request, err)
	}
	return nil
}

// Decode starts the generation of tokens and returns their stream, which must
// be closed. The context bounds the opening only. Closing the stream does not
// end the decode: it goes on, and can be resumed, until it is complete or
// cancelled.
func (ec *Client) Decode(ctx context.Context, srv board.BackendServer, od DecodeOrder) (*Stream, error) {
	cl := call{srv: srv, name: "Decode", request: od.Request, method: http.MethodPost, path: DecodePath, body: od}
	st, err := ec.openStream(ctx, cl, od.From)
	if err != nil {
		return nil, fmt.Errorf("decode request %s: %w", od.Request, err)
	}
	if st.Attempt != od.Attempt { // tokens of another run are no answer to this order
		st.Close()
		return nil, fmt.Errorf("decode request %s: %w", od.Request, cl.inDoubt(backend.ErrBadAnswer))
	}
	return st, nil
}

// Resume opens the stream of a request's newest attempt at the token with
// the given index. It starts nothing; from then on the decode runs for this
// VM. The context bounds the opening only.
func (ec *Client) Resume(ctx context.Context, srv board.BackendServer, request string, from int) (*Stream, error) {
	return ec.resume(ctx, srv, request, from, true)
}

// Follow is [Client.Resume] for a VM that only reads: the decode goes on for
// the VM that it ran for.
func (ec *Client) Follow(ctx context.Context, srv board.BackendServer, request string, from int) (*Stream, error) {
	return ec.resume(ctx, srv, request, from, false)
}

func (ec *Client) resume(ctx context.Context, srv board.BackendServer, request string, from int, take bool) (*Stream, error) {
	qy := url.Values{"Request": {request}, "From": {strconv.Itoa(from)}, "Take": {strconv.FormatBool(take)}}
	cl := call{srv: srv, name: "Resume", method: http.MethodGet, path: ResumePath, query: qy}
	st, err := ec.openStream(ctx, cl, from)
	if err != nil {
		return nil, fmt.Errorf("resume request %s: %w", request, err)
	}
	return st, nil
}

// Cancel ends a request for good at one engine: it frees whatever the engine
// holds of any attempt, and has every later order of the request declined.
// It is idempotent.
func (ec *Client) Cancel(ctx context.Context, srv board.BackendServer, request string) error {
	return ec.CancelAttempt(ctx, srv, request, AllAttempts)
}

// CancelAttempt is [Client.Cancel] for the attempts up to the given one, so
// that a later attempt can still use the engine.
func (ec *Client) CancelAttempt(ctx context.Context, srv board.BackendServer, request string, attempt int) error {
	od := CancelOrder{Request: request, Attempt: attempt}
	cl := call{srv: srv, name: "Cancel", request: od.Request, method: http.MethodPost, path: CancelPath, body: od}
	var out CancelResult
	if err := ec.exchangeDocument(ctx, cl, documentBytes, &out); err != nil {
		return fmt.Errorf("cancel request %s: %w", request, err)
	}
	return nil
}

// Load returns the engine's last report of itself.
func (ec *Client) Load(ctx context.Context, srv board.BackendServer) (board.LoadReport, error) {
	var doc LoadDoc
	cl := call{srv: srv, name: "Load", method: http.MethodGet, path: LoadPath}
	if err := ec.exchangeDocument(ctx, cl, documentBytes, &doc); err != nil {
		return board.LoadReport{}, fmt.Errorf("read load: %w", err)
	}
	return board.LoadReport{
		Server: srv.ID, At: ec.now(), Running: doc.Running, Slots: doc.Slots,
		Queued: doc.Queued, LinkBytes: doc.LinkBytes, Leaving: doc.Leaving,
		Role: doc.Role, Age: doc.Age,
	}, nil
}

// Ping asks the engine whether it is there, on a connection of its own.
func (ec *Client) Ping(ctx context.Context, srv board.BackendServer) error {
	cl := call{srv: srv, name: "Ping", method: http.MethodGet, path: LoadPath, freshConnection: true}
	if err := ec.exchangeDocument(ctx, cl, documentBytes, nil); err != nil {
		return fmt.Errorf("ping engine: %w", err)
	}
	return nil
}

// Running lists what the engine holds, and for whom.
func (ec *Client) Running(ctx context.Context, srv board.BackendServer) ([]Running, error) {
	var doc RunningReport
	cl := call{srv: srv, name: "Running", method: http.MethodGet, path: RunningPath}
	if err := ec.exchangeDocument(ctx, cl, listBytes, &doc); err != nil {
		return nil, fmt.Errorf("list running requests: %w", err)
	}
	return doc.Runs, nil
}

// CacheEvents returns the cache events from the given number on, and where
// to go on.
func (ec *Client) CacheEvents(ctx context.Context, srv board.BackendServer, from uint64) (CacheEvents, error) {
	var doc CacheEvents
	qy := url.Values{"From": {strconv.FormatUint(from, 10)}}
	cl := call{srv: srv, name: "CacheEvents", method: http.MethodGet, path: CacheEventsPath, query: qy}
	if err := ec.exchangeDocument(ctx, cl, listBytes, &doc); err != nil {
		return CacheEvents{}, fmt.Errorf("read cache events: %w", err)
	}
	return doc, nil
}

// Order changes the engine itself. Orders are idempotent, so that one in
// doubt can be given again with the same fencing number.
func (ec *Client) Order(ctx context.Context, srv board.BackendServer, od Order) (OrderResult, error) {
	return ec.OrderIf(ctx, srv, od, nil)
}

// OrderIf is [Client.Order] for one who must still hold a lease: may is asked
// as the last thing before the first byte leaves, when the order is ready and
// the connection stands. If it says no, the error is a NotSentError that
// unwraps to backend.ErrWithheld.
func (ec *Client) OrderIf(ctx context.Context, srv board.BackendServer, od Order, may func() bool) (OrderResult, error) {
	var out OrderResult
	cl := call{srv: srv, name: "Order", method: http.MethodPost, path: OrderPath, body: od, allowed: may}
	if err := ec.exchangeDocument(ctx, cl, documentBytes, &out); err != nil {
		return OrderResult{}, fmt.Errorf("order %s: %w", od.Kind, err)
	}
	ec.Log.Log(event.EngineOrdered, event.F("Server", srv.ID), event.F("Kind", od.Kind),
		event.F("Fence", od.Fence), event.F("Repeated", out.Repeated))
	return out, nil
}

// exchangeDocument exchanges one JSON exchangeDocument and counts the outcome.
func (ec *Client) exchangeDocument(ctx context.Context, cl call, bound int64, out any) error {
	err := ec.sendAndDecode(ctx, cl, bound, out)
	ec.count(cl, err)
	return err
}

func (ec *Client) sendAndDecode(ctx context.Context, cl call, bound int64, out any) error {
	rsp, err := ec.send(ctx, cl)
	if err != nil {
		return err
	}
	defer rsp.Body.Close()
	data, err := backend.ReadAll(rsp.Body, bound)
	if err != nil {
		return cl.inDoubt(err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return cl.inDoubt(fmt.Errorf("parse document: %w", backend.ErrBadAnswer))
	}
	return nil
}

// send carries a call and accepts only status 200.
func (ec *Client) send(ctx context.Context, cl call) (*http.Response, error) {
	req, err := ec.request(ctx, cl)
	if err != nil {
		return nil, NotSentError{Server: cl.srv.ID, Call: cl.name, Err: err}
	}
	rsp, err := backend.Send(ctx, ec.client(), backend.Call{
		Server: cl.srv.ID, Name: cl.name, Request: req, FreshConnection: cl.freshConnection || cl.body != nil, Allowed: cl.allowed,
		Incarnations: ec.Incarnations,
	})
	if err != nil {
		return nil, err
	}
	if rsp.StatusCode != http.StatusOK {
		_ = rsp.Body.Close() // the status says all
		return nil, InDoubtError{Server: cl.srv.ID, Call: cl.name, Status: rsp.StatusCode, Err: ErrStatus}
	}
	return rsp, nil
}

func (ec *Client) request(ctx context.Context, cl call) (*http.Request, error) {
	var body bytes.Buffer
	if cl.body != nil {
		if err := json.NewEncoder(&body).Encode(cl.body); err != nil {
			return nil, fmt.Errorf("encode order: %w", err)
		}
	}
	dest := url.URL{Scheme: "http", Host: cl.srv.Address, Path: cl.path, RawQuery: cl.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, cl.method, dest.String(), &body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set(VMHeader, ec.Self.ID)
	req.Header.Set(IncarnationHeader, strconv.FormatUint(ec.Self.Incarnation, 10))
	if ec.Token != "" {
		req.Header.Set("Authorization", "Bearer "+ec.Token)
	}
	if cl.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (ec *Client) client() *http.Client { return ec.httpClient.Client(ec.HTTP) }

func (ec *Client) now() clock.Millis { return clock.Or(ec.Clock).Now() }

// count counts the outcome of a call by its reason, and logs an order that is
// in doubt.
func (ec *Client) count(cl call, err error) {
	oc := backend.Count(ec.Scope, "EngineCalls", cl.name, err)
	if oc == backend.InDoubt && cl.body != nil {
		ec.Log.Log(event.EngineInDoubt, event.F("Server", cl.srv.ID), event.F("Call", cl.name),
			event.F("Request", cl.request), event.F("Cause", err.Error()))
	}
}

func (cl call) inDoubt(err error) error {
	return InDoubtError{Server: cl.srv.ID, Call: cl.name, Status: http.StatusOK, Err: err}
}
