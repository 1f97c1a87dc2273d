// Package service speaks to the servers of plain services over HTTP.
//
// A call is sent once and its whole answer, of any status, is returned. The
// outcomes are those of package backend: done, [NotSentError],
// [DeclinedError] or [InDoubtError]. A server declines a call by a status of
// 400 or more with the header [backend.DeclinedHeader]; every other answer is
// the service's own and is passed on.
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
	"fmt"
	"maps"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// DefaultMaxAnswer bounds an answer where Client.MaxAnswer is zero.
const DefaultMaxAnswer = 1 << 20

const (
	// LoadPath is where a server reports its load.
	LoadPath = "/load"
	// KeyHeader carries the key of the request.
	KeyHeader = "Idempotency-Key"

	maxLoadBytes = 64 << 10
)

// hopByHopHeaders lists the headers that end at each connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// routerHeaders lists the headers that are the router's to set, so that a caller's are
// dropped.
var routerHeaders = map[string]bool{
	KeyHeader: true, "Authorization": true, "Content-Length": true, "Host": true,
	"Accept-Encoding": true, "Expect": true,
}

type (
	// NotSentError tells that no byte of the call left this VM.
	NotSentError = backend.NotSentError
	// DeclinedError tells that the server said that it did not begin.
	DeclinedError = backend.DeclinedError
	// InDoubtError tells that the call may have run.
	InDoubtError = backend.InDoubtError

	// Client speaks to all servers of plain services. Set the fields before
	// the first call; its methods may be called at the same time.
	Client struct {
		HTTP      *http.Client // made by backend.NewHTTP; nil makes one
		Self      board.VMRef
		Token     string // bearer token; empty sends none
		MaxAnswer int64  // bytes; zero is DefaultMaxAnswer
		Scope     tally.Scope
		Log       event.Logger
		Clock     clock.Source // nil is the boot clock
		// Incarnations takes note of the servers'; nil does not.
		Incarnations *backend.Incarnations

		defaultHTTP backend.HTTP
	}

	// Request is one call.
	Request struct {
		Method     string
		Path       string // path and query, as the caller sent them
		Header     http.Header
		Body       []byte
		Key        string // of the request; empty sends none
		Idempotent bool   // may use a kept connection
	}

	// Response is the whole answer of a server.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// LoadDoc is what a server reports of itself. It lags.
	LoadDoc struct {
		Running int
		Slots   int
		Queued  int
		Leaving bool
		Age     clock.Millis // how long ago this was true
	}
)

// Call sends the request once and returns the whole answer. The context
// bounds the call to the end of the answer.
func (sc *Client) Call(ctx context.Context, srv board.BackendServer, rq Request) (Response, error) {
	rsp, err := sc.exchange(ctx, srv, rq)
	sc.countCall(srv, "Call", err)
	if err != nil {
		return Response{}, fmt.Errorf("call plain service: %w", err)
	}
	return rsp, nil
}

// Load returns the server's last report of itself.
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

// Ping asks the server whether it is there, on a connection of its own.
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
	hd := endToEnd(rsp.Header)
	hd.Del(backend.ServerIncarnationHeader) // meant for this VM
	return Response{Status: rsp.StatusCode, Header: hd, Body: body}, nil
}

func (sc *Client) request(ctx context.Context, srv board.BackendServer, rq Request) (*http.Request, error) {
	dest, err := destination(srv.Address, rq.Path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, rq.Method, dest, bytes.NewReader(rq.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", backend.ErrBadCall)
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

// destination joins an address and a caller's path. The path can name no
// other host, and no fragment, which would not be sent.
func destination(address, path string) (string, error) {
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "#") {
		return "", fmt.Errorf("path is not one of a request: %w", backend.ErrBadCall)
	}
	dest := "http://" + address + path
	if pu, err := url.Parse(dest); err != nil || pu.Host != address || pu.User != nil {
		return "", fmt.Errorf("path or address can't be parsed: %w", backend.ErrBadCall)
	}
	return dest, nil
}

// endToEnd copies the headers that do not end at one connection, by their
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

func (sc *Client) countCall(srv board.BackendServer, name string, err error) {
	oc := backend.Count(sc.Scope, "ServiceCalls", name, err)
	if oc == backend.InDoubt && name == "Call" {
		sc.Log.Log(event.ServiceInDoubt, event.F("Server", srv.ID), event.F("Cause", err.Error()))
	}
}
