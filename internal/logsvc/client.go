package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"

	"alderdyke/internal/wellformed"
	"alderdyke/pkg/clock"
)

// Defaults of the limits that a Client leaves at zero.
const (
	DefaultMaxRecord = 1 << 20 // bytes
	DefaultMaxBatch  = 8 << 20 // bytes
	DefaultGrace     = clock.Millis(700)
)

// Fixed limits of a response, in bytes.
const (
	// maxHead bounds the head of a response; a valid one has less than 1 KB.
	maxHead = 64 << 10
	// maxAppendReply bounds the response to an append, which is one offset.
	maxAppendReply = 4 << 10
)

// Client is the HTTP implementation of Log. Set the fields before the first call;
// after that it is safe for concurrent use.
type Client struct {
	URL   string       // such as "http://10.0.0.9:7000"
	Token string       // bearer token; never logged
	HTTP  *http.Client // nil: a client with its own connection pool

	MaxRecord int          // bytes of one record; zero means DefaultMaxRecord
	MaxBatch  int64        // bytes of one response; zero means DefaultMaxBatch
	Grace     clock.Millis // time allowed for a response beyond the wait of a read; zero means DefaultGrace

	once sync.Once
}

type appendResponse struct {
	Offset *uint64
}

var _ Log = (*Client)(nil)

// Append adds a record to the stream and returns its offset.
func (cl *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if limit := cl.maxRecord(); len(data) > limit {
		err := &TooLargeError{What: "record", Bytes: int64(len(data)), Limit: int64(limit)}
		return 0, &AppendError{Stream: stream, Effect: NotAppended, Err: err}
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := cl.request(httptrace.WithClientTrace(ctx, trace), http.MethodPost, stream, nil, bytes.NewReader(data))
	if err != nil {
		return 0, &AppendError{Stream: stream, Effect: NotAppended, Err: err}
	}
	offset, err := cl.append(req)
	if err == nil {
		return offset, nil
	}
	effect := MayBeAppended
	if !sent.Load() || rejected(err) {
		effect = NotAppended
	}
	ae := &AppendError{Stream: stream, Effect: effect, Err: err}
	return 0, oops.In("logsvc").With("Stream", stream, "Effect", effect).Wrap(ae)
}

func (cl *Client) append(req *http.Request) (uint64, error) {
	body, err := cl.do(req, maxAppendReply)
	if err != nil {
		return 0, err
	}
	var ans appendResponse
	if err := json.Unmarshal(body, &ans); err != nil {
		return 0, fmt.Errorf("parse the response: %w", err)
	}
	if ans.Offset == nil {
		return 0, errors.New("the response has no Offset")
	}
	return *ans.Offset, nil
}

// rejected reports whether the service itself stated that it accepted nothing.
// Status 408 does not count: after a timeout the record may still be appended.
func rejected(err error) bool {
	var se *StatusError
	return errors.As(err, &se) && se.Status >= 400 && se.Status < 500 &&
		se.Status != http.StatusRequestTimeout
}

// Read reads from the stream. If the response exceeds MaxBatch, it repeats the
// read with half as many records.
func (cl *Client) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait clock.Millis) (Batch, error) {
	for {
		ba, err := cl.read(ctx, stream, from, maxRecords, wait)
		var te *TooLargeError
		if errors.As(err, &te) && maxRecords > 1 {
			maxRecords /= 2
			continue
		}
		if err != nil {
			return Batch{}, oops.In("logsvc").With("Stream", stream, "From", from).Wrapf(err, "read stream %s", stream)
		}
		return ba, nil
	}
}

func (cl *Client) read(ctx context.Context, stream string, from uint64, maxRecords int, wait clock.Millis) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + cl.grace()).Std())
	defer cancel()
	query := url.Values{"From": {strconv.FormatUint(from, 10)}, "Max": {strconv.Itoa(maxRecords)}}
	if wait > 0 {
		query.Set("Wait", wait.String())
	}
	req, err := cl.request(ctx, http.MethodGet, stream, query, nil)
	if err != nil {
		return Batch{}, err
	}
	body, err := cl.do(req, cl.maxBatch())
	if err != nil {
		return Batch{}, err
	}
	return ParseBatch(stream, from, body)
}

// ParseBatch decodes and checks the response to a read from the given offset.
func ParseBatch(stream string, from uint64, body []byte) (Batch, error) {
	var ba Batch
	if err := json.Unmarshal(body, &ba); err != nil {
		return Batch{}, fmt.Errorf("parse the response: %w", err)
	}
	if err := ba.Check(stream, from); err != nil {
		return Batch{}, err
	}
	return ba, nil
}

func (cl *Client) request(
	ctx context.Context, method, stream string, query url.Values, body io.Reader,
) (*http.Request, error) {
	target := strings.TrimSuffix(cl.URL, "/") + "/streams/" + url.PathEscape(stream) + "/records"
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, fmt.Errorf("create the request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+cl.Token)
	req.Header.Set("User-Agent", "alderdyke")
	return req, nil
}

// do sends a request and returns the body of the response, which may have the given
// number of bytes. The error is a *StatusError if the status is not 200; the body is not
// read then, because after a change of protocol net/http sets no end to it.
func (cl *Client) do(req *http.Request, limit int64) ([]byte, error) {
	rsp, err := cl.client().Do(req)
	if err != nil {
		return nil, fmt.Errorf("call the log service: %w", err)
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return nil, &StatusError{Method: req.Method, Status: rsp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read the response: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, &TooLargeError{What: "answer", Bytes: int64(len(body)), Limit: limit}
	}
	return body, nil
}

func (cl *Client) client() *http.Client {
	cl.once.Do(func() {
		if cl.HTTP == nil {
			cl.HTTP = &http.Client{
				Transport: wellformed.Transport{Base: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHead}},
				CheckRedirect: func(*http.Request, []*http.Request) error {
					return http.ErrUseLastResponse
				},
			}
		}
	})
	return cl.HTTP
}

func (cl *Client) maxRecord() int {
	if cl.MaxRecord > 0 {
		return cl.MaxRecord
	}
	return DefaultMaxRecord
}

func (cl *Client) maxBatch() int64 {
	if cl.MaxBatch > 0 {
		return cl.MaxBatch
	}
	return DefaultMaxBatch
}

func (cl *Client) grace() clock.Millis {
	if cl.Grace > 0 {
		return cl.Grace
	}
	return DefaultGrace
}
