package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"alderdyke/pkg/clock"
)

const maxAnswerBytes = 64 << 20 // of a plain service's answer

type (
	// PlainRequest is a request to a plain service.
	PlainRequest struct {
		Service string
		Method  string
		Path    string // escaped, with leading slash and query
		Header  http.Header
		Body    []byte

		Deadline   clock.Millis // as in ChatRequest
		Key        string       // as in ChatRequest
		Idempotent bool         // as in ChatRequest
	}

	// PlainAnswer is a plain service's complete answer, whatever its status.
	PlainAnswer struct {
		Status int // HTTP status
		Header http.Header
		Body   []byte
		Key    string
	}

	// plainCall is a call of a plain service.
	plainCall struct {
		cs  *callState
		req PlainRequest
		ans PlainAnswer
	}
)

// Call sends a request to a plain service and returns its complete answer, or an
// error that wraps a refusal.Refusal.
func (cl *Client) Call(ctx context.Context, req PlainRequest) (PlainAnswer, error) {
	pc := &plainCall{cs: &callState{key: req.Key}, req: req}
	// Only checks that the request can be created; the address is not contacted.
	if _, err := pc.request(ctx, "192.0.2.1:1"); err != nil {
		return PlainAnswer{}, fmt.Errorf("%w: %w", errNotRun("the request can't be made"), err)
	}
	if err := cl.run(ctx, pc.cs, pc); err != nil {
		return PlainAnswer{}, fmt.Errorf("call of %s: %w", req.Service, err)
	}
	pc.ans.Key = pc.cs.key
	return pc.ans, nil
}

func (pc *plainCall) partDelivered() bool { return false }
func (pc *plainCall) idempotent() bool    { return pc.req.Idempotent }

func (pc *plainCall) request(ctx context.Context, addr string) (*http.Request, error) {
	at := "http://" + addr + "/services/" + url.PathEscape(pc.req.Service) + pc.req.Path
	req, err := http.NewRequestWithContext(ctx, pc.req.Method, at, bytes.NewReader(pc.req.Body))
	if err != nil {
		return nil, fmt.Errorf("make the request: %w", err)
	}
	for name, values := range pc.req.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	req.Header.Set(headerKey, pc.cs.key)
	if pc.req.Deadline > 0 {
		req.Header.Set(headerDeadline, pc.req.Deadline.String())
	}
	return req, nil
}

func (pc *plainCall) read(resp *http.Response) outcome {
	if resp.Header.Get(headerRefusal) != "" {
		return broken{err: fmt.Errorf("status %d with an unreadable refusal", resp.StatusCode)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return broken{err: fmt.Errorf("read the answer: %w", err)}
	}
	if len(data) > maxAnswerBytes {
		return broken{err: fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes)}
	}
	pc.ans = PlainAnswer{Status: resp.StatusCode, Header: resp.Header, Body: data}
	return completed{}
}
