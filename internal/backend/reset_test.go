package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin/malformed"
)

// unframedHead begins an answer that the end of its connection delimits.
const unframedHead = "HTTP/1.1 200 OK\r\n\r\n"

// upload makes a call with a long body and reads its answer.
func upload(t *testing.T, hc *http.Client, address string) (string, error) {
	t.Helper()
	defer hc.CloseIdleConnections()
	body := strings.NewReader(strings.Repeat("x", malformed.EarlyBodyBytes))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", body)
	assert.NilError(t, err)
	rsp, err := Send(t.Context(), hc, Call{Server: "e1", Name: "Prefill", Request: req, FreshConnection: true})
	if err != nil {
		return "", err
	}
	defer rsp.Body.Close()
	got, err := ReadAll(rsp.Body, bodyBound)
	return string(got), err
}

// uploadEarly uploads to a server that answers at once and then ends the connection, of which
// the writer learns first.
func uploadEarly(t *testing.T, end func(cn *net.TCPConn)) (es *malformed.EarlyServer, body string, err error) {
	t.Helper()
	es, err = malformed.StartEarly(unframedHead+answerBody, end)
	assert.NilError(t, err)
	defer es.Stop()
	body, err = upload(t, NewHTTP(Limits{Dial: es.Dial}), es.Address())
	return es, body, err
}

// The kernel reports a reset to only one of the calls on a socket. If that is the write of
// the request, the read after it returns the end of the connection, which would delimit an
// answer without a length.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	es, body, err := uploadEarly(t, malformed.ResetConnection)
	errWrite, errRead := es.Errors()
	assert.ErrorIs(t, errWrite, syscall.ECONNRESET)
	assert.ErrorIs(t, errRead, io.EOF)
	oc, _ := OutcomeOf(err)
	assert.Equal(t, oc, InDoubt, "body %q, %v", body, err)
	assert.Assert(t, !errors.Is(err, io.EOF))
}

// An answer that ended in order is whole, although its server does not read the rest of the
// request and resets the connection after the end.
func TestEarlyAnswerBeforeAResetIsWhole(t *testing.T) {
	es, body, err := uploadEarly(t, malformed.EndAndResetConnection)
	errWrite, errRead := es.Errors()
	assert.ErrorIs(t, errWrite, syscall.EPIPE)
	assert.ErrorIs(t, errRead, io.EOF)
	assert.NilError(t, err)
	assert.Equal(t, body, answerBody)
}

// An answer that ended in order is whole while the request is still being written.
func TestEarlyAnswerIsWhole(t *testing.T) {
	read := make(chan struct{})
	address := rawServer(t, func(_ int, cn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReaderSize(cn, 16)); err != nil {
			return
		}
		_, _ = io.WriteString(cn, unframedHead+answerBody)
		_ = cn.(*net.TCPConn).CloseWrite()
		<-read
	})
	defer close(read)
	body, err := upload(t, NewHTTP(Limits{}), address)
	assert.NilError(t, err)
	assert.Equal(t, body, answerBody)
}

// A response without a body does not end with its connection, which serves the next call.
func TestConnectionIsKeptAfterAResponseWithoutABody(t *testing.T) {
	var conns atomic.Int64
	address := rawServer(t, func(_ int, cn net.Conn) {
		conns.Add(1)
		rd := bufio.NewReader(cn)
		for {
			if _, err := http.ReadRequest(rd); err != nil {
				return
			}
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n\r\n") // of the body that a GET would get, the length is not known
		}
	})
	hc := NewHTTP(Limits{})
	for range 3 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodHead, "http://"+address+"/", nil)
		assert.NilError(t, err)
		rsp, err := Send(t.Context(), hc, Call{Server: "e1", Name: "Load", Request: req})
		assert.NilError(t, err)
		_, err = ReadAll(rsp.Body, bodyBound)
		assert.NilError(t, err)
		assert.NilError(t, rsp.Body.Close())
	}
	hc.CloseIdleConnections()
	assert.Equal(t, conns.Load(), int64(1))
}
