//go:build go1.27

package unread

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// body closes its connection when it is closed before its end. At its end the connection
// belongs to the transport again.
type body struct {
	io.ReadCloser
	conn  net.Conn
	ended atomic.Bool
}

// roundTrip has the body of the response close its connection.
func roundTrip(base *http.Transport, req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) }}
	rsp, err := base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err // as it is: callers tell its kinds apart
	}
	if rsp.Body != http.NoBody && rsp.StatusCode != http.StatusSwitchingProtocols {
		rsp.Body = &body{ReadCloser: rsp.Body, conn: *conn.Load()}
	}
	return rsp, nil
}

// Read reads a part of the body.
func (bd *body) Read(data []byte) (int, error) {
	size, err := bd.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		bd.ended.Store(true)
	}
	return size, err
}

// Close closes the body, and the connection if the body was not read to its end.
func (bd *body) Close() error {
	if !bd.ended.Load() {
		_ = bd.conn.Close() // the transport closes it once more
	}
	return bd.ReadCloser.Close()
}
