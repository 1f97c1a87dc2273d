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
	maxRefusalBytes = 16 << 10
)

var (
	errIdleTimeout = errors.New("no data was received within the idle timeout")
	errKeyMismatch = errors.New("the response belongs to another request")
)

// watchedBody is a response body with an idle timeout: the request is cancelled if no
// read completes in time.
type watchedBody struct {
	io.ReadCloser
	tm   *time.Timer
	idle time.Duration
}

// Read reads and restarts the idle timeout.
func (wt watchedBody) Read(buf []byte) (int, error) {
	got, err := wt.ReadCloser.Read(buf)
	wt.tm.Reset(wt.idle)
	return got, err
}

// attempt sends the request once and reads the response. The idle timeout starts when
// the request has been written. A request counts as sent once it has a connection,
// because from then on it may reach the VM.
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

// withCause adds the cause of the context's end, such as errIdleTimeout, to the error.
func withCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return err
}

// refusalOf reads a refusal that is the whole response. An unreadable one is not
// treated as a refusal, because the call then classifies the response as broken.
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

// parseRefusal parses a refusal. Any Ran other than NotRun becomes MayHaveRun.
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
