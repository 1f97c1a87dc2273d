// Package memtest holds what the tests of memory held for slow callers share.
//
// # Usage
//
//	before := memtest.HeapInUse()
//	cn := memtest.Dial(t, addr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
//	memtest.Await(t, time.Minute, "the answer is not held", func() bool { return held() > 0 })
//	rsp, body := memtest.ReadAnswer(t, time.Minute, cn)
package memtest

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"time"
)

const (
	// Callers is the number of slow callers of a test.
	Callers = 300
	// Bytes is the size of one body or answer.
	Bytes = 200 << 10
	// SockBuffer limits the kernel's buffers of a connection, so that it holds little of an
	// answer that is not read.
	SockBuffer = 8 << 10
	// segmentBytes keeps the send buffer of the other side small: the kernel makes it a
	// multiple of the segment size, which is 64 KB on the loopback interface by default.
	segmentBytes = 536
)

// T is what the helpers need of a *testing.T. Only test files may import the package testing.
type T interface {
	Context() context.Context
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Helper()
}

// Dial opens a caller's connection with a small receive buffer, and sends text.
func Dial(t T, addr net.Addr, text string) net.Conn {
	t.Helper()
	return dial(t, &net.Dialer{}, addr, text)
}

// DialReader is Dial for callers that don't read at once, from a listener whose buffers a test
// can't set: small segments and a buffer that is small from the beginning keep them small.
func DialReader(t T, addr net.Addr, text string) net.Conn {
	t.Helper()
	return dial(t, &net.Dialer{Control: func(_, _ string, rc syscall.RawConn) (err error) {
		cerr := rc.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, SockBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes))
		})
		return errors.Join(cerr, err)
	}}, addr, text)
}

func dial(t T, dl *net.Dialer, addr net.Addr, text string) net.Conn {
	t.Helper()
	cn, err := dl.DialContext(t.Context(), addr.Network(), addr.String())
	if err != nil {
		t.Fatalf("dial %v: %v", addr, err)
	}
	if err := cn.(*net.TCPConn).SetReadBuffer(SockBuffer); err != nil {
		t.Fatalf("set the read buffer: %v", err)
	}
	if _, err := io.WriteString(cn, text); err != nil {
		t.Fatalf("send the request: %v", err)
	}
	return cn
}

// ReadAnswer reads a response and its body, and fails the test if one is incomplete in time.
func ReadAnswer(t T, within time.Duration, cn net.Conn) (*http.Response, string) {
	t.Helper()
	if err := cn.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Errorf("set the read deadline: %v", err)
	}
	rsp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	if err != nil {
		t.Errorf("read the response: %v", err)
		return &http.Response{}, ""
	}
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		t.Errorf("read the answer: %v", err)
	}
	return rsp, string(data)
}

// Await waits until a condition holds.
func Await(t T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) >= within {
			t.Fatalf("%s", what)
		}
	}
}

// AwaitProgress waits until a condition holds, and fails the test if the progress, which is any
// number, does not change for a time. A slow machine takes long, but makes progress.
func AwaitProgress(t T, within time.Duration, what string, progress func() int64, holds func() bool) {
	t.Helper()
	last, changed := progress(), time.Now()
	for ; !holds(); time.Sleep(5 * time.Millisecond) {
		if now := progress(); now != last {
			last, changed = now, time.Now()
		}
		if time.Since(changed) >= within {
			t.Fatalf("%s", what)
		}
	}
}

// HeapInUse returns the bytes of the heap that are in use after a collection.
func HeapInUse() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
