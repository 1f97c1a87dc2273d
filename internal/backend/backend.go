// Package backend sends one HTTP call to a backend server and classifies how it
// ended.
//
// A call ends in one of four ways: the server answered; [NotSentError], no byte left
// this VM; [DeclinedError], the server reported that it did not begin;
// [InDoubtError], everything else. The first two errors guarantee that the call did
// not run. To uphold that guarantee, a call is never repeated without its caller's
// knowledge: its body can't be rewound, redirects are not followed, and calls with an
// effect use a fresh connection, so that a server which closes an idle connection
// can't leave a call in doubt.
//
// # Usage
//
//	hc := backend.NewHTTP(backend.Limits{})
//	rsp, err := backend.Send(ctx, hc, backend.Call{Server: "e1", Name: "Prefill", Request: req, FreshConnection: true})
//	if backend.NotRun(err) { ... }
package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"alderdyke/internal/wellformed"
	"alderdyke/pkg/clock"
)

// Defaults for fields of Limits that are zero, and fixed limits.
const (
	DefaultConnections = 256
	DefaultDialTimeout = 2 * clock.Second
	idleConnections    = 4                 // kept for each backend server
	idleTimeout        = 30 * clock.Second // of a kept connection
	headerBytes        = 64 << 10          // of a response
)

// Causes of call errors.
var (
	// ErrTooLarge reports that a response exceeds its size limit.
	ErrTooLarge = errors.New("response is larger than its bound")
	// ErrBadCall reports that a call can't be sent as it is written.
	ErrBadCall = errors.New("call can't be sent as it is written")
	// ErrWithheld reports that Allowed of a call returned false.
	ErrWithheld = errors.New("call may not be sent any more")
	// ErrBadAnswer reports that a response can't be parsed or breaks HTTP.
	ErrBadAnswer = errors.New("answer can't be read")
)

// quotable are the causes of errors whose texts quote nothing of a call.
var quotable = []error{
	context.Canceled, context.DeadlineExceeded, io.ErrUnexpectedEOF, io.EOF, net.ErrClosed,
	ErrTooLarge, wellformed.ErrStatus, wellformed.ErrFieldName,
}

type (
	// Limits bounds the resources that the calls of one client may use.
	Limits struct {
		Connections int          // at the same time to one backend server, for each kind of call
		DialTimeout clock.Millis // until a connection is established
		// Dial replaces the TCP dialer, for example in a test with in-memory
		// connections.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Call is one call to a backend server.
	Call struct {
		Server  string // server ID for error messages
		Name    string // call name for error messages
		Request *http.Request
		// FreshConnection makes the call use a connection of its own. It is set on
		// every call that has an effect.
		FreshConnection bool
		// Allowed is called last, when the connection is established and before the
		// first byte is written. If it returns false, the call ends in a NotSentError
		// that unwraps to ErrWithheld. Nil allows every call.
		Allowed func() bool
		// Incarnations records the server's incarnation; nil records nothing.
		Incarnations *Incarnations
	}

	// HTTP creates the HTTP client of an adapter on first use. The zero value is
	// ready to use.
	HTTP struct {
		once sync.Once
		hc   *http.Client
	}

	// freshConnectionKey is the context key of calls on a fresh connection.
	freshConnectionKey struct{}

	// transport sends calls with an effect on fresh connections and all other calls
	// on kept ones.
	transport struct {
		fresh wellformed.Transport
		kept  wellformed.Transport
	}

	// oneShotBody exposes only the Read method of a body, so that net/http can't
	// rewind it.
	oneShotBody struct{ io.Reader }
)

// NewHTTP creates a client for [Send]. It uses no proxy, follows no redirects and
// speaks HTTP/1.1 only.
func NewHTTP(lm Limits) *http.Client {
	if lm.Connections == 0 {
		lm.Connections = DefaultConnections
	}
	if lm.DialTimeout == 0 {
		lm.DialTimeout = DefaultDialTimeout
	}
	if lm.Dial == nil {
		lm.Dial = (&net.Dialer{Timeout: lm.DialTimeout.Std(), KeepAlive: 15 * time.Second}).DialContext
	}
	return &http.Client{
		Transport:     transport{fresh: lm.transport(true), kept: lm.transport(false)},
		CheckRedirect: noRedirect,
	}
}

// Client returns the client that was given in the first call, or one with the default
// limits if that was nil. It always returns the same client.
func (ht *HTTP) Client(given *http.Client) *http.Client {
	ht.once.Do(func() {
		ht.hc = given
		if ht.hc == nil {
			ht.hc = NewHTTP(Limits{})
		}
	})
	return ht.hc
}

// transport returns a transport that opens a fresh connection for each call, or one
// that keeps connections.
func (lm Limits) transport(fresh bool) wellformed.Transport {
	return wellformed.Transport{Base: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			cn, err := lm.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: cn}, nil
		},
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxConnsPerHost:        lm.Connections,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout.Std(),
		MaxResponseHeaderBytes: headerBytes,
	}}
}

// RoundTrip implements [http.RoundTripper].
func (tr transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Context().Value(freshConnectionKey{}) != nil {
		return tr.fresh.RoundTrip(req)
	}
	return tr.kept.RoundTrip(req)
}

// CloseIdleConnections closes connections that carry no call.
func (tr transport) CloseIdleConnections() {
	tr.fresh.CloseIdleConnections()
	tr.kept.CloseIdleConnections()
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends the call and returns the response, whose body the caller must close. A
// response that declines the call is returned as an error. The context bounds the
// call and the reading of the body.
//
// Errors are NotSentError, DeclinedError and InDoubtError.
func Send(ctx context.Context, hc *http.Client, cl Call) (*http.Response, error) {
	cr := &connTracker{marks: map[*gatedConn]uint64{}, allowed: cl.Allowed}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: cr.gotConn, Got1xxResponse: cr.gotInformational})
	if cl.FreshConnection {
		ctx = context.WithValue(ctx, freshConnectionKey{}, true)
	}
	own := *hc
	own.CheckRedirect = noRedirect
	rsp, err := own.Do(withoutReplay(cl.Request.WithContext(ctx)))
	if err != nil {
		if cr.sealUnwritten() {
			return nil, NotSentError{Server: cl.Server, Call: cl.Name, Err: cr.notSentCause(err)}
		}
		return nil, InDoubtError{Server: cl.Server, Call: cl.Name, Err: redact(err, ErrBadAnswer)}
	}
	gc := cr.conn()
	// No call asks for another protocol, and net/http leaves such a connection to its user:
	// neither the context nor a limit would end the reading of the body.
	if rsp.StatusCode == http.StatusSwitchingProtocols || gc != nil && gc.hasFaultyCoding(rsp) {
		_ = rsp.Body.Close() // closes the connection
		return nil, InDoubtError{Server: cl.Server, Call: cl.Name, Status: rsp.StatusCode, Err: ErrBadAnswer}
	}
	cl.Incarnations.record(cl.Server, rsp.Header)
	if err := DeclinedBy(cl.Server, cl.Name, rsp); err != nil {
		_ = rsp.Body.Close() // the headers hold everything that is needed
		return nil, err
	}
	if gc != nil && IsUnframed(rsp) && rsp.Body != http.NoBody {
		rsp.Body = unframedBody{ReadCloser: rsp.Body, conn: gc}
	}
	return rsp, nil
}

// ReadAll reads a body of at most bound bytes. A larger one is ErrTooLarge.
func ReadAll(body io.Reader, bound int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, bound+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if int64(len(data)) > bound {
		return nil, fmt.Errorf("read response: %w", ErrTooLarge)
	}
	return data, nil
}

// Close implements [io.Closer].
func (oneShotBody) Close() error { return nil }

// withoutReplay prevents net/http from sending the request a second time: net/http
// repeats only requests without a body, or with a body that it can rewind.
func withoutReplay(req *http.Request) *http.Request {
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = oneShotBody{http.NoBody}
		req.ContentLength = 0
	}
	return req
}

// redact removes everything from an error that could quote the request's path or the
// answer, which must not be logged. An error of an unknown kind becomes the fallback.
func redact(err, fallback error) error {
	if ue, ok := errors.AsType[*url.Error](err); ok {
		err = ue.Err
	}
	if _, ok := errors.AsType[net.Error](err); ok {
		return err
	}
	for _, known := range quotable {
		if errors.Is(err, known) {
			return known
		}
	}
	return fallback
}
