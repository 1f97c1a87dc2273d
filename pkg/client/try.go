package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"alderdyke/pkg/refusal"
)

const (
	headerRefusal   = "Alderdyke-Refusal"
	headerClass     = "Alderdyke-Class"
	headerDeadline  = "Alderdyke-Deadline"
	headerKey       = "Idempotency-Key"
	headerLastID    = "Last-Event-ID"
	maxRefusalBytes = 16 << 10 // bytes of a refusal
)

var (
	errIdleTimeout = errors.New("connection silent for too long")
	errKeyMismatch = errors.New("the response is to another request")
)

// watchedBody is a response body that breaks when nothing comes for too long.
type watchedBody struct {
	io.ReadCloser
	tm   *time.Timer
	idle time.Duration
}

// Read reads and starts the silence anew.
func (wt watchedBody) Read(buf []byte) (int, error) {
	got, err := wt.ReadCloser.Read(buf)
	wt.tm.Reset(wt.idle)
	return got, err
}

// attempt sends the request once and reads what comes back.
func (cl *Client) attempt(ctx context.Context, addr string, cc call) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := orDefault(cl.IdleTimeout, defaultIdleTimeout).Std()
	tm := time.AfterFunc(idle, func() { cancel(errIdleTimeout) })
	defer tm.Stop()
	tm.Stop()

	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { sent.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { tm.Reset(idle) },
	}
	req, err := cc.request(httptrace.WithClientTrace(ctx, trace), addr)
	if err != nil {
		return broken{err: err}
	}
	cl.setAuthorization(req)
	resp, err := cl.hc.Do(req)
	if err != nil {
		return broken{sent: sent.Load(), err: withCause(ctx, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if key := resp.Header.Get(headerKey); key != "" && key != req.Header.Get(headerKey) {
		return broken{sent: true, err: errKeyMismatch}
	}
	resp.Body = watchedBody{ReadCloser: resp.Body, tm: tm, idle: idle}
	if rf, ok := refusalOf(resp); ok {
		return refused{rf}
	}
	oc := cc.read(resp)
	if br, ok := oc.(broken); ok {
		return broken{sent: true, err: withCause(ctx, br.err)}
	}
	return oc
}

func withCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return err
}

// refusalOf reads a refusal that came as the whole response. One that can't
// be read is no refusal: the body then breaks for the caller too.
func refusalOf(resp *http.Response) (refusal.Refusal, bool) {
	if resp.Header.Get(headerRefusal) == "" {
		return refusal.Refusal{}, false
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return refusal.Refusal{}, false
	}
	var body struct {
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return refusal.Refusal{}, false
	}
	rf, err := parseRefusal(body.Error)
	return rf, err == nil
}

// parseRefusal reads a refusal; anything but a plain NotRun is MayHaveRun.
func parseRefusal(data []byte) (refusal.Refusal, error) {
	var rf refusal.Refusal
	if err := json.Unmarshal(data, &rf); err != nil {
		return refusal.Refusal{}, fmt.Errorf("parse a refusal: %w", err)
	}
	if rf.Reason == "" || rf.RetryAfter < 0 {
		return refusal.Refusal{}, errors.New("parse a refusal: no reason, or a negative time")
	}
	if rf.Ran != refusal.NotRun {
		rf.Ran = refusal.MayHaveRun
	}
	return rf, nil
}
