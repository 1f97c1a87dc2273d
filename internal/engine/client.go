// Package engine is the HTTP client of model engines.
//
// Orders and answers are JSON documents; token streams are one JSON document per
// line. Each call ends in one of the outcomes of package backend: done,
// [NotSentError], [DeclinedError] or [InDoubtError]. Only the last leaves open
// whether the engine did something. The client never sends an order twice. The engine
// identifies a run by its request and attempt, so after an InDoubtError a cancel
// order, or [Client.Running], resolves the doubt.
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

// Size limits of what is read from an engine, in bytes.
const (
	documentBytes = 64 << 10 // one document
	listBytes     = 4 << 20  // a list of runs or of cache events
	lineBytes     = 64 << 10 // one line of a token stream
)

// ErrStatus reports that an engine answered with a status that is neither success nor
// a decline.
var ErrStatus = errors.New("unexpected HTTP status")

type (
	// NotSentError reports that no byte of the call left this VM.
	NotSentError = backend.NotSentError
	// DeclinedError reports that the engine answered that it did not begin.
	DeclinedError = backend.DeclinedError
	// InDoubtError reports that the call may have had its effect.
	InDoubtError = backend.InDoubtError

	// Client calls all model engines. Set the fields before the first call; its
	// methods are safe for concurrent use.
	Client struct {
		HTTP  *http.Client // from backend.NewHTTP; nil creates one
		Self  board.VMRef  // the VM that orders are sent for
		Token string       // bearer token; empty sends none
		Scope tally.Scope  // nil counts nothing
		Log   event.Logger
		Clock clock.Source // nil is the boot clock
		// Incarnations records the engines' incarnations; nil records nothing.
		Incarnations *backend.Incarnations

		httpClient backend.HTTP
	}

	// call is one request to an engine and its response.
	call struct {
		srv             board.BackendServer
		name            string
		request         string // the request that the call concerns; empty: none
		method          string
		path            string
		query           url.Values
		body            any  // nil for reads
		freshConnection bool // use a connection of its own, as every call that is not a read does
		allowed         func() bool
	}
)

// Prefill has an engine compute a prompt and waits until it has. If the context ends
// first, the engine continues until it is cancelled.
func (ec *Client) Prefill(ctx context.Context, srv board.BackendServer, od PrefillOrder) (PrefillResult, error) {
	var out PrefillResult
	cl := call{srv: srv, name: "Prefill", request: od.Request, method: http.MethodPost, path: PrefillPath, body: od}
	if err := ec.exchangeDocument(ctx, cl, documentBytes, &out); err != nil {
		return PrefillResult{}, fmt.Errorf("prefill request %s: %w", od.Request, err)
	}
	return out, nil
}

// Import has a decode engine fetch a KV cache and waits until it has arrived. If the
// context ends first, the engine continues, and holds the memory slot until it is
// cancelled. After a DeclinedError it holds nothing.
func (ec *Client) Import(ctx context.Context, srv board.BackendServer, od ImportOrder) error {
	cl := call{srv: srv, name: "Import", request: od.Request, method: http.MethodPost, path: ImportPath, body: od}
	if err := ec.exchangeDocument(ctx, cl, documentBytes, nil); err != nil {
		return fmt.Errorf("import KV cache of request %s: %w", od.Request, err)
	}
	return nil
}

// Decode starts the generation of tokens and returns their stream, which must be
// closed. The context bounds only the opening. Closing the stream does not end the
// decode: it continues, and can be resumed, until it is complete or cancelled.
func (ec *Client) Decode(ctx context.Context, srv board.BackendServer, od DecodeOrder) (*Stream, error) {
	cl := call{srv: srv, name: "Decode", request: od.Request, method: http.MethodPost, path: DecodePath, body: od}
	st, err := ec.openStream(ctx, cl, od.From)
	if err != nil {
		return nil, fmt.Errorf("decode request %s: %w", od.Request, err)
	}
	if st.Attempt != od.Attempt { // tokens of another run do not answer this order
		st.Close()
		return nil, fmt.Errorf("decode request %s: %w", od.Request, cl.inDoubt(backend.ErrBadAnswer))
	}
	return st, nil
}

// Resume opens the stream of a request's newest attempt at the token with the given
// index. It starts nothing; from then on the decode runs on behalf of this VM. The
// context bounds only the opening.
func (ec *Client) Resume(ctx context.Context, srv board.BackendServer, request string, from int) (*Stream, error) {
	return ec.resume(ctx, srv, request, from, true)
}

// Follow is [Client.Resume] for a VM that only reads: the decode keeps running on
// behalf of the VM that it ran for.
func (ec *Client) Follow(ctx context.Context, srv board.BackendServer, request string, from int) (*Stream, error) {
	return ec.resume(ctx, srv, request, from, false)
}

// resume opens a stream; with take, the decode runs on behalf of this VM from then on.
func (ec *Client) resume(ctx context.Context, srv board.BackendServer, request string, from int, take bool) (*Stream, error) {
	qy := url.Values{"Request": {request}, "From": {strconv.Itoa(from)}, "Take": {strconv.FormatBool(take)}}
	cl := call{srv: srv, name: "Resume", method: http.MethodGet, path: ResumePath, query: qy}
	st, err := ec.openStream(ctx, cl, from)
	if err != nil {
		return nil, fmt.Errorf("resume request %s: %w", request, err)
	}
	return st, nil
}

// Cancel ends a request permanently at one engine: it frees whatever the engine holds
// of any attempt, and makes the engine decline every later order of the request. It
// is idempotent.
func (ec *Client) Cancel(ctx context.Context, srv board.BackendServer, request string) error {
	return ec.CancelAttempt(ctx, srv, request, AllAttempts)
}

// CancelAttempt is [Client.Cancel] for the attempts up to the given one, so that a
// later attempt can still use the engine.
func (ec *Client) CancelAttempt(ctx context.Context, srv board.BackendServer, request string, attempt int) error {
	od := CancelOrder{Request: request, Attempt: attempt}
	cl := call{srv: srv, name: "Cancel", request: od.Request, method: http.MethodPost, path: CancelPath, body: od}
	var out CancelResult
	if err := ec.exchangeDocument(ctx, cl, documentBytes, &out); err != nil {
		return fmt.Errorf("cancel request %s: %w", request, err)
	}
	return nil
}

// Load returns the engine's last load report.
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

// Ping checks that the engine answers, on a connection of its own.
func (ec *Client) Ping(ctx context.Context, srv board.BackendServer) error {
	cl := call{srv: srv, name: "Ping", method: http.MethodGet, path: LoadPath, freshConnection: true}
	if err := ec.exchangeDocument(ctx, cl, documentBytes, nil); err != nil {
		return fmt.Errorf("ping engine: %w", err)
	}
	return nil
}

// Running lists the runs that the engine holds, and the VM of each.
func (ec *Client) Running(ctx context.Context, srv board.BackendServer) ([]Running, error) {
	var doc RunningReport
	cl := call{srv: srv, name: "Running", method: http.MethodGet, path: RunningPath}
	if err := ec.exchangeDocument(ctx, cl, listBytes, &doc); err != nil {
		return nil, fmt.Errorf("list running requests: %w", err)
	}
	return doc.Runs, nil
}

// CacheEvents returns the cache events from the given number on, and the number to
// continue at.
func (ec *Client) CacheEvents(ctx context.Context, srv board.BackendServer, from uint64) (CacheEvents, error) {
	var doc CacheEvents
	qy := url.Values{"From": {strconv.FormatUint(from, 10)}}
	cl := call{srv: srv, name: "CacheEvents", method: http.MethodGet, path: CacheEventsPath, query: qy}
	if err := ec.exchangeDocument(ctx, cl, listBytes, &doc); err != nil {
		return CacheEvents{}, fmt.Errorf("read cache events: %w", err)
	}
	return doc, nil
}

// Order changes the engine itself. Orders are idempotent, so an order in doubt can be
// sent again with the same fencing token.
func (ec *Client) Order(ctx context.Context, srv board.BackendServer, od Order) (OrderResult, error) {
	return ec.OrderIf(ctx, srv, od, nil)
}

// OrderIf is [Client.Order] for a sender that must still hold a lease: may is called
// last, when the order is ready and the connection is established, before the first
// byte is sent. If it returns false, the error is a NotSentError that unwraps to
// backend.ErrWithheld.
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

// exchangeDocument sends a call, reads one JSON document and counts the outcome.
func (ec *Client) exchangeDocument(ctx context.Context, cl call, bound int64, out any) error {
	err := ec.sendAndDecode(ctx, cl, bound, out)
	ec.count(cl, err)
	return err
}

// sendAndDecode sends a call and parses the response into out, unless that is nil.
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

// send sends a call and accepts only status 200.
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
		_ = rsp.Body.Close() // the status is sufficient
		return nil, InDoubtError{Server: cl.srv.ID, Call: cl.name, Status: rsp.StatusCode, Err: ErrStatus}
	}
	return rsp, nil
}

// request encodes a call as an HTTP request.
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

func (ec *Client) now() clock.Millis { return clock.OrBoottime(ec.Clock).Now() }

// count counts the outcome of a call by its reason, and logs an order that is in
// doubt.
func (ec *Client) count(cl call, err error) {
	oc := backend.Count(ec.Scope, "EngineCalls", cl.name, err)
	if oc == backend.InDoubt && cl.body != nil {
		ec.Log.Log(event.EngineInDoubt, event.F("Server", cl.srv.ID), event.F("Call", cl.name),
			event.F("Request", cl.request), event.F("Cause", err.Error()))
	}
}

// inDoubt returns the error of a call that was answered with status 200 and may have
// had its effect.
func (cl call) inDoubt(err error) error {
	return InDoubtError{Server: cl.srv.ID, Call: cl.name, Status: http.StatusOK, Err: err}
}
