// Package service is the HTTP client for the servers of plain services, which have
// no model engines.
//
// A call is sent once and its whole response, of any status, is returned. The
// outcomes are those of package backend: done, [NotSentError],
// [DeclinedError] or [InDoubtError]. A server declines a call by a status of
// 400 or more with the header [backend.DeclinedHeader]; every other response is
// the service's own and is returned to the caller.
//
// # Usage
//
//	sc := &service.Client{Self: self}
//	rsp, err := sc.Call(ctx, srv, service.Request{Method: "GET", Path: "/plants/17", Key: key, Idempotent: true})
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"syscall"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// DefaultMaxAnswer bounds a response, in bytes, where Client.MaxAnswer is zero.
const DefaultMaxAnswer = 1 << 20

const (
	// LoadPath is where a server reports its load.
	LoadPath = "/load"
	// KeyHeader carries the idempotency key of the request.
	KeyHeader = "Idempotency-Key"

	maxLoadBytes = 64 << 10
	// crashCheckTimeout bounds how long a response waits until it is known whether its
	// server crashed; a crashed server refuses a connection at once.
	crashCheckTimeout = 250 * clock.Millis(1)
)

var errCrashed = errors.New("the server crashed when its response ended")

// hopByHopHeaders are the headers that apply to a single connection only.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// routerHeaders are the headers that only the router may set, so that the values
// of a caller are dropped.
var routerHeaders = map[string]bool{
	KeyHeader: true, "Authorization": true, "Content-Length": true, "Host": true,
	"Accept-Encoding": true, "Expect": true,
}

type (
	// NotSentError means that no byte of the call left this VM.
	NotSentError = backend.NotSentError
	// DeclinedError means that the server stated that it did not start the call.
	DeclinedError = backend.DeclinedError
	// InDoubtError means that the call may have run.
	InDoubtError = backend.InDoubtError

	// Client calls the servers of all plain services. Set the fields before
	// the first call; its methods are safe for concurrent use.
	Client struct {
		HTTP      *http.Client // created by backend.NewHTTP; nil creates one
		Self      board.VMRef
		Token     string // bearer token; empty sends none
		MaxAnswer int64  // bytes of one response; zero means DefaultMaxAnswer
		Scope     tally.Scope
		Log       event.Logger
		Clock     clock.Source // nil means the boot clock
		// Incarnations records the servers' incarnations; nil records none.
		Incarnations *backend.Incarnations

		defaultHTTP backend.HTTP
	}

	// Request is one call.
	Request struct {
		Method     string
		Path       string // path and query, as the caller sent them
		Header     http.Header
		Body       []byte
		Key        string // idempotency key; empty sends none
		Idempotent bool   // may reuse an idle connection
	}

	// Response is the whole response of a server.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// LoadDoc is the load that a server reports. It may be out of date by Age.
	LoadDoc struct {
		Running int
		Slots   int
		Queued  int
		Leaving bool
		Age     clock.Millis // time since this load was measured
	}
)

// Call sends the request once and returns the whole response. The context bounds the
// call until the end of the response.
func (sc *Client) Call(ctx context.Context, srv board.BackendServer, rq Request) (Response, error) {
	rsp, err := sc.exchange(ctx, srv, rq)
	sc.countCall(srv, "Call", err)
	if err != nil {
		return Response{}, fmt.Errorf("call plain service: %w", err)
	}
	return rsp, nil
}

// Load returns the load that the server last reported.
func (sc *Client) Load(ctx context.Context, srv board.BackendServer) (board.LoadReport, error) {
	doc, err := sc.load(ctx, srv)
	sc.countCall(srv, "Load", err)
	if err != nil {
		return board.LoadReport{}, fmt.Errorf("read load: %w", err)
	}
	return board.LoadReport{
		Server: srv.ID, At: sc.now(), Running: doc.Running, Slots: doc.Slots,
		Queued: doc.Queued, Leaving: doc.Leaving,
	}, nil
}

// Ping checks on a fresh connection whether the server responds.
func (sc *Client) Ping(ctx context.Context, srv board.BackendServer) error {
	_, err := sc.exchangeBounded(ctx, srv, Request{Method: http.MethodGet, Path: LoadPath}, maxLoadBytes)
	sc.countCall(srv, "Ping", err)
	if err != nil {
		return fmt.Errorf("ping plain server: %w", err)
	}
	return nil
}

func (sc *Client) load(ctx context.Context, srv board.BackendServer) (LoadDoc, error) {
	rq := Request{Method: http.MethodGet, Path: LoadPath, Idempotent: true}
	rsp, err := sc.exchangeBounded(ctx, srv, rq, maxLoadBytes)
	if err != nil {
		return LoadDoc{}, err
	}
	var doc LoadDoc
	if err := json.Unmarshal(rsp.Body, &doc); err != nil || rsp.Status != http.StatusOK {
		return LoadDoc{}, InDoubtError{Server: srv.ID, Call: "Load", Status: rsp.Status, Err: backend.ErrBadAnswer}
	}
	return doc, nil
}

func (sc *Client) exchange(ctx context.Context, srv board.BackendServer, rq Request) (Response, error) {
	bound := sc.MaxAnswer
	if bound == 0 {
		bound = DefaultMaxAnswer
	}
	return sc.exchangeBounded(ctx, srv, rq, bound)
}

// exchangeBounded sends the request once and returns the whole response, or an
// InDoubtError if its body is longer than bound, in bytes.
func (sc *Client) exchangeBounded(ctx context.Context, srv board.BackendServer, rq Request, bound int64) (Response, error) {
	req, err := sc.request(ctx, srv, rq)
	if err != nil {
		return Response{}, NotSentError{Server: srv.ID, Call: "Call", Err: err}
	}
	rsp, err := backend.Send(ctx, sc.client(), backend.Call{
		Server: srv.ID, Name: "Call", Request: req, FreshConnection: !rq.Idempotent, Incarnations: sc.Incarnations,
	})
	if err != nil {
		return Response{}, err
	}
	defer rsp.Body.Close()
	body, err := backend.ReadAll(rsp.Body, bound)
	if err != nil {
		return Response{}, InDoubtError{Server: srv.ID, Call: "Call", Status: rsp.StatusCode, Err: err}
	}
	if sc.crashedAtEnd(ctx, srv, rsp) {
		return Response{}, InDoubtError{Server: srv.ID, Call: "Call", Status: rsp.StatusCode, Err: errCrashed}
	}
	hd := endToEnd(rsp.Header)
	hd.Del(backend.ServerIncarnationHeader) // intended for this VM, not for the caller
	return Response{Status: rsp.StatusCode, Header: hd, Body: body}, nil
}

// crashedAtEnd reports whether a response that only the end of its connection delimits
// may be incomplete, because its server refuses connections now: a process that crashes
// closes its connections in order. A server that leaves exits after its last response.
func (sc *Client) crashedAtEnd(ctx context.Context, srv board.BackendServer, rsp *http.Response) bool {
	if !backend.IsUnframed(rsp) || srv.Leaving {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, crashCheckTimeout.Std())
	defer stop()
	return errors.Is(sc.Ping(ctx, srv), syscall.ECONNREFUSED)
}

func (sc *Client) request(ctx context.Context, srv board.BackendServer, rq Request) (*http.Request, error) {
	dest, err := destination(srv.Address, rq.Path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, rq.Method, dest, bytes.NewReader(rq.Body))
	if err != nil {
		return nil, fmt.Errorf("create the request: %w", backend.ErrBadCall)
	}
	for name, values := range endToEnd(rq.Header) {
		if !routerHeaders[name] {
			req.Header[name] = values
		}
	}
	req.Header.Set("Alderdyke-VM", sc.Self.ID)
	req.Header.Set("Alderdyke-Incarnation", strconv.FormatUint(sc.Self.Incarnation, 10))
	if rq.Key != "" {
		req.Header.Set(KeyHeader, rq.Key)
	}
	if sc.Token != "" {
		req.Header.Set("Authorization", "Bearer "+sc.Token)
	}
	return req, nil
}

// destination joins an address and a caller's path. The path must not name another
// host, nor contain a fragment, which would not be sent.
func destination(address, path string) (string, error) {
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "#") {
		return "", fmt.Errorf("path does not begin with a slash or contains a fragment: %w", backend.ErrBadCall)
	}
	dest := "http://" + address + path
	if pu, err := url.Parse(dest); err != nil || pu.Host != address || pu.User != nil {
		return "", fmt.Errorf("path or address can't be parsed: %w", backend.ErrBadCall)
	}
	return dest, nil
}

// endToEnd returns a copy of the headers without the hop-by-hop ones, under their
// canonical names.
func endToEnd(hd http.Header) http.Header {
	out := http.Header{}
	for name, values := range hd {
		name = textproto.CanonicalMIMEHeaderKey(name)
		out[name] = append(out[name], values...)
	}
	for _, line := range out.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	maps.DeleteFunc(out, func(name string, _ []string) bool { return hopByHopHeaders[name] })
	return out
}

func (sc *Client) client() *http.Client { return sc.defaultHTTP.Client(sc.HTTP) }

func (sc *Client) now() clock.Millis { return clock.OrBoottime(sc.Clock).Now() }

// countCall counts a call by its outcome, and logs a request whose outcome is in doubt.
func (sc *Client) countCall(srv board.BackendServer, name string, err error) {
	oc := backend.Count(sc.Scope, "ServiceCalls", name, err)
	if oc == backend.InDoubt && name == "Call" {
		sc.Log.Log(event.ServiceInDoubt, event.F("Server", srv.ID), event.F("Cause", err.Error()))
	}
}
