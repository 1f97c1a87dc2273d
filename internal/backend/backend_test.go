package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// secret is in every request and in some answers, and must appear in no error.
const secret = "prompt-and-answer"

// rawServer passes each connection, with its number counted from 1, to fn.
func rawServer(t *testing.T, fn func(num int, cn net.Conn)) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for num := 1; ; num++ {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			fn(num, cn)
			_ = cn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = ls.Close()
		<-done
	})
	return ls.Addr().String()
}

func readRequest(cn net.Conn) (*http.Request, error) {
	req, err := http.ReadRequest(bufio.NewReader(cn))
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

func post(t *testing.T, addr string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+secret, strings.NewReader(secret))
	assert.NilError(t, err)
	return req
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ls.Close()
	return ls.Addr().String()
}

func TestOutcomes(t *testing.T) {
	answer := func(text string) func(*testing.T) string {
		return func(t *testing.T) string {
			return rawServer(t, func(_ int, cn net.Conn) {
				if _, err := readRequest(cn); err == nil {
					_, _ = io.WriteString(cn, text)
				}
			})
		}
	}
	head := func(status, headers string) func(*testing.T) string {
		return answer("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n")
	}
	cases := []struct {
		name   string
		server func(*testing.T) string
		want   Outcome
		reason Reason
		after  clock.Millis
	}{
		{"dial refused", closedAddress, NotSent, "", 0},
		{"answered", head("200 OK", ""), Done, "", 0},
		{"reset before response", answer(""), InDoubt, "", 0},
		{"response header cut", answer("HTTP/1.1 200 OK\r\nContent-"), InDoubt, "", 0},
		{"no HTTP", answer(secret + "\r\n\r\n"), InDoubt, "", 0},
		{"declined", head("503 No", "Alderdyke-Declined: Full\r\nAlderdyke-Retry-After: 250ms\r\n"), Declined, Full, 250},
		{"declined, bad span", head("503 No", "Alderdyke-Declined: Leaving\r\nAlderdyke-Retry-After: -3s\r\n"), Declined, Leaving, 0},
		{"declined, new reason", head("409 No", "Alderdyke-Declined: "+secret+"\r\n"), Declined, Other, 0},
		{"duplicate", head("409 No", "Alderdyke-Declined: Duplicate\r\n"), InDoubt, Duplicate, 0},
		{"success is no decline", head("200 OK", "Alderdyke-Declined: Full\r\n"), Done, "", 0},
		{"failure is no decline", head("503 No", ""), Done, "", 0},
		{"redirect is an answer", head("307 Go", "Location: http://127.0.0.1:1/\r\n"), Done, "", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rsp, err := Send(t.Context(), NewHTTP(Limits{}), Call{Server: "e1", Name: "Prefill", Request: post(t, tc.server(t)), FreshConnection: true})
			if err == nil {
				assert.NilError(t, rsp.Body.Close())
			}
			oc, rs := OutcomeOf(err)
			assert.Equal(t, oc, tc.want, "%v", err)
			assert.Equal(t, rs, tc.reason)
			assert.Equal(t, NotRun(err), tc.want == NotSent || tc.want == Declined)
			if de, ok := errors.AsType[DeclinedError](err); ok {
				assert.Equal(t, de.RetryAfter, tc.after)
			}
			if err != nil {
				assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
			}
		})
	}
}

func TestContextEndsBeforeAndAfterSending(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	addr := rawServer(t, func(_ int, cn net.Conn) {
		_, _ = readRequest(cn)
	})
	_, err := Send(ended, NewHTTP(Limits{}), Call{Request: post(t, addr), FreshConnection: true})
	assert.Assert(t, NotRun(err), "%v", err)

	ctx, cancel := context.WithCancel(t.Context())
	slow := rawServer(t, func(_ int, cn net.Conn) {
		_, _ = readRequest(cn)
		cancel()
		_, _ = cn.Read(make([]byte, 1)) // until the client closes the connection
	})
	_, err = Send(ctx, NewHTTP(Limits{}), Call{Request: post(t, slow), FreshConnection: true})
	oc, _ := OutcomeOf(err)
	assert.Equal(t, oc, InDoubt, "%v", err)
	assert.ErrorIs(t, err, context.Canceled)
}

// A call that was given a connection but wrote nothing to it counts as not sent.
func TestNothingWrittenIsNotSent(t *testing.T) {
	got := make(chan int64, 1)
	addr := rawServer(t, func(_ int, cn net.Conn) {
		count, _ := io.Copy(io.Discard, cn)
		got <- count
	})
	req := post(t, addr)
	req.ContentLength-- // net/http detects the mismatch before it flushes
	_, err := Send(t.Context(), NewHTTP(Limits{}), Call{Request: req, FreshConnection: true})
	oc, _ := OutcomeOf(err)
	assert.Equal(t, oc, NotSent, "%v", err)
	assert.Equal(t, <-got, int64(0))
}

func TestSealedConnectionTakesNoWrite(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	gc := &gatedConn{Conn: near}
	mark := gc.mark()
	_, err := gc.Write([]byte("x"))
	assert.NilError(t, err)
	assert.Assert(t, !gc.seal(mark))
	assert.Assert(t, gc.seal(gc.mark()))
	_, err = gc.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// cutSecondRequest answers the first request of its first connection and cuts that
// connection on the second request, which makes net/http repeat requests. It answers
// everything on later connections.
func cutSecondRequest(t *testing.T, orders *atomic.Int64) string {
	t.Helper()
	return rawServer(t, func(num int, cn net.Conn) {
		for nth := 1; ; nth++ {
			req, err := readRequest(cn)
			if err != nil {
				return
			}
			if req.URL.Path != "/warm" {
				orders.Add(1)
			}
			if num == 1 && nth == 2 {
				return
			}
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

func TestNeverRepeated(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, body := range []string{"", "x"} {
			t.Run(fmt.Sprintf("%s with %d bytes", method, len(body)), func(t *testing.T) {
				var orders atomic.Int64
				addr := cutSecondRequest(t, &orders)
				hc := &http.Client{Transport: &http.Transport{}} // keeps connections alive
				defer hc.CloseIdleConnections()
				warm(t, hc, addr)
				req, err := http.NewRequest(method, "http://"+addr+"/order", strings.NewReader(body))
				assert.NilError(t, err)
				req.Header.Set("Idempotency-Key", "k1") // lets net/http repeat the request
				_, err = Send(t.Context(), hc, Call{Request: req})
				oc, _ := OutcomeOf(err)
				assert.Equal(t, oc, InDoubt, "%v", err)
				assert.Equal(t, orders.Load(), int64(1))
			})
		}
	}
}

// A server that closes a kept connection leaves the call on it in doubt; a call on a
// fresh connection is not affected.
func TestFreshConnectionIsNotLeftInDoubt(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		var orders atomic.Int64
		hc := NewHTTP(Limits{})
		defer hc.CloseIdleConnections()
		addr := cutSecondRequest(t, &orders)
		warm(t, hc, addr)
		if fresh {
			hc.CloseIdleConnections() // the raw server takes one connection at a time
		}
		rsp, err := Send(t.Context(), hc, Call{Request: post(t, addr), FreshConnection: fresh})
		oc, _ := OutcomeOf(err)
		assert.Equal(t, oc == Done, fresh, "%v", err)
		if err == nil {
			assert.NilError(t, rsp.Body.Close())
		}
	}
}

// Control for TestNeverRepeated: without Send, net/http does repeat the request at the
// same server.
func TestUnmodifiedRequestIsRepeated(t *testing.T) {
	var orders atomic.Int64
	addr := cutSecondRequest(t, &orders)
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	warm(t, hc, addr)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/order", strings.NewReader("x"))
	assert.NilError(t, err)
	req.Header.Set("Idempotency-Key", "k1")
	rsp, err := hc.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, rsp.Body.Close())
	assert.Equal(t, orders.Load(), int64(2))
}

// warm makes one call, so that the client keeps a connection to the server.
func warm(t *testing.T, hc *http.Client, addr string) {
	t.Helper()
	rsp, err := hc.Get("http://" + addr + "/warm")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, rsp.Body)
	assert.NilError(t, err)
	assert.NilError(t, rsp.Body.Close())
}

func TestFreshConnectionIsNotReused(t *testing.T) {
	var conns atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	hc := NewHTTP(Limits{})
	defer hc.CloseIdleConnections()
	send := func(fresh bool) {
		rsp, err := Send(t.Context(), hc, Call{Request: post(t, srv.Listener.Addr().String()), FreshConnection: fresh})
		assert.NilError(t, err)
		_, err = ReadAll(rsp.Body, 10)
		assert.NilError(t, err)
		assert.NilError(t, rsp.Body.Close())
	}
	for range 3 {
		send(false)
	}
	assert.Equal(t, conns.Load(), int64(1))
	for range 3 {
		send(true)
	}
	assert.Equal(t, conns.Load(), int64(4))
}

func TestReadAllIsBounded(t *testing.T) {
	data, err := ReadAll(strings.NewReader("12345"), 5)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "12345")
	_, err = ReadAll(strings.NewReader("123456"), 5)
	assert.ErrorIs(t, err, ErrTooLarge)
}

func FuzzDeclinedBy(f *testing.F) {
	f.Add("Full", "250ms", 503)
	f.Add("Duplicate", "x", 409)
	f.Add("", "", 200)
	f.Fuzz(func(t *testing.T, said, after string, status int) {
		rsp := &http.Response{StatusCode: status, Header: http.Header{DeclinedHeader: {said}, RetryAfterHeader: {after}}}
		err := DeclinedBy("e1", "Import", rsp)
		if (status < 400 || said == "") != (err == nil) {
			t.Fatalf("status %d, reason %q: %v", status, said, err)
		}
		if de, ok := errors.AsType[DeclinedError](err); ok && (de.RetryAfter < 0 || !knownReasons[de.Reason] && de.Reason != Other) {
			t.Fatalf("untrusted text went through: %+v", de)
		}
	})
}

func BenchmarkSend(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	hc := NewHTTP(Limits{})
	defer hc.CloseIdleConnections()
	for _, fresh := range []bool{false, true} {
		b.Run(fmt.Sprintf("FreshConnection=%t", fresh), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequest(http.MethodPost, srv.URL, strings.NewReader(secret))
				assert.NilError(b, err)
				rsp, err := Send(b.Context(), hc, Call{Request: req, FreshConnection: fresh})
				assert.NilError(b, err)
				_, err = ReadAll(rsp.Body, 10)
				assert.NilError(b, err)
				assert.NilError(b, rsp.Body.Close())
			}
		})
	}
}

// Following a redirect would send an order to a server that nobody chose.
func TestRedirectIsNotFollowedWithAnyClient(t *testing.T) {
	var asked atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	defer other.Close()
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		srv := httptest.NewServer(http.RedirectHandler(other.URL, status))
		rsp, err := Send(t.Context(), &http.Client{}, Call{Request: post(t, srv.Listener.Addr().String())})
		assert.NilError(t, err)
		assert.Equal(t, rsp.StatusCode, status)
		assert.NilError(t, rsp.Body.Close())
		srv.Close()
	}
	assert.Equal(t, asked.Load(), int64(0))
}

// A call whose Allowed returns false reaches no server, whatever the client. Only
// connections of NewHTTP allow reporting it as not sent.
func TestWithheldCallIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name string
		hc   *http.Client
		want Outcome
	}{{"own", NewHTTP(Limits{}), NotSent}, {"other", &http.Client{Transport: &http.Transport{}}, InDoubt}} {
		t.Run(tc.name, func(t *testing.T) {
			read := make(chan int64, 1)
			addr := rawServer(t, func(num int, cn net.Conn) {
				got, _ := io.Copy(io.Discard, cn)
				if num == 1 {
					read <- got
				}
			})
			_, err := Send(t.Context(), tc.hc, Call{Server: "e1", Name: "Order", Request: post(t, addr), FreshConnection: true, Allowed: func() bool { return false }})
			got, _ := OutcomeOf(err)
			assert.Equal(t, got, tc.want)
			assert.Equal(t, errors.Is(err, ErrWithheld), tc.want == NotSent)
			tc.hc.CloseIdleConnections()
			assert.Equal(t, <-read, int64(0))
		})
	}
}

// A garbled retry-after must not exclude a server indefinitely.
func TestRetryAfterOf(t *testing.T) {
	for _, tc := range []struct {
		err    error
		server string
		span   clock.Millis
	}{
		{nil, "", 0},
		{InDoubtError{Server: "a"}, "", 0},
		{DeclinedError{Server: "a", Reason: Full}, "a", 0},
		{fmt.Errorf("call: %w", DeclinedError{Server: "a", RetryAfter: 1500}), "a", 1500},
		{DeclinedError{Server: "a", RetryAfter: 1 << 50}, "a", 5 * clock.Minute},
	} {
		server, span := RetryAfterOf(tc.err)
		assert.Equal(t, server, tc.server)
		assert.Equal(t, span, tc.span)
	}
}

func TestNotReached(t *testing.T) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for _, tc := range []struct {
		name string
		err  error
		want bool
	}{
		{"answered", nil, false},
		{"refused", NotSentError{Err: refused}, true},
		{"not established in time", fmt.Errorf("call: %w", NotSentError{Err: context.DeadlineExceeded}), true},
		{"cancelled by its sender", NotSentError{Err: context.Canceled}, false},
		{"withheld", NotSentError{Err: ErrWithheld}, false},
		{"declined", DeclinedError{Reason: Full}, false},
		{"broke off", InDoubtError{Err: refused}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, NotReached(tc.err), tc.want) })
	}
}
