// Package endless is a stand-in for a server whose response does not end: it sends the
// same bytes until the other side closes the connection, or nothing at all.
//
// # Usage
//
//	for _, rsp := range endless.Heads() {
//		srv, err := endless.Start(rsp)
//		... // call srv.Address()
//		<-srv.Closed()
//		srv.Stop()
//	}
package endless

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// flushBytes is the size of one write of a response without a pace. Small writes let
// the sender follow the reader, so that few bytes are in transit when it closes.
const flushBytes = 4 << 10

// signals is how many connections are reported to a test that does not read the reports.
const signals = 64

// methodBytes is how much of a request's method is read, for a request that is not read otherwise.
const methodBytes = 4

// Starts of responses.
const (
	statusOK  = "HTTP/1.1 200 OK\r\n"
	chunked   = "Transfer-Encoding: chunked\r\n\r\n"
	switching = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
)

type (
	// Response is what a server sends to each request.
	Response struct {
		Name   string
		Start  string        // sent once
		Repeat string        // sent until the connection is closed; empty: nothing more is sent
		Pace   time.Duration // between two repetitions; zero: as fast as they are read
		// IgnoreRequest makes the server not read the request.
		IgnoreRequest bool
	}

	// Server accepts any number of connections and answers one request on each.
	Server struct {
		rsp    Response
		ln     net.Listener
		stop   chan struct{}
		began  chan string   // receives the method of each request that began to arrive
		closed chan struct{} // receives a value for each connection that the other side closed
		all    sync.WaitGroup

		mu    sync.Mutex
		conns map[net.Conn]struct{}
	}

	// Meter counts the bytes that are read from the connections that it opens. The zero
	// value is ready to use.
	Meter struct {
		read atomic.Int64

		mu    sync.Mutex
		conns []*meteredConn // all that were opened
	}

	// meteredConn is a connection of a Meter.
	meteredConn struct {
		net.Conn
		meter *Meter
		used  atomic.Bool // a write to it was begun
	}
)

// Dial opens a connection.
func (mt *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	cn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	mc := &meteredConn{Conn: cn, meter: mt}
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.conns = append(mt.conns, mc)
	return mc, nil
}

// closeUnused closes the connections to which nothing was written: net/http keeps a
// connection that was opened for a cancelled call for the next one. It returns how many
// connections were opened, and to how many of them something was written.
func (mt *Meter) closeUnused() (opened, used int) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	for _, mc := range mt.conns {
		if mc.used.Load() {
			used++
			continue
		}
		_ = mc.Close() // nothing can be done about an error
	}
	return len(mt.conns), used
}

// Bytes returns the number of bytes read so far.
func (mt *Meter) Bytes() int64 { return mt.read.Load() }

// Read implements net.Conn.
func (mc *meteredConn) Read(data []byte) (int, error) {
	size, err := mc.Conn.Read(data)
	mc.meter.read.Add(int64(size))
	return size, err
}

// Write implements net.Conn.
func (mc *meteredConn) Write(data []byte) (int, error) {
	mc.used.Store(true) // before the write, which may return after the call has ended
	return mc.Conn.Write(data)
}

// Heads returns responses whose head does not end or is no answer.
func Heads() []Response {
	return []Response{
		{Name: "a status line", Start: "HTTP/1.1 200 ", Repeat: "x"},
		{Name: "not HTTP", Repeat: "x"},
		{Name: "a header line", Start: statusOK + "A: ", Repeat: "x"},
		{Name: "headers", Start: statusOK, Repeat: "A: b\r\n"},
		{Name: "informational responses", Repeat: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{Name: "another protocol", Start: switching, Repeat: "x"},
	}
}

// Bodies returns responses whose body does not end. The header lines end with CR LF each.
func Bodies(header string) []Response {
	return []Response{
		{Name: "a body", Start: statusOK + header + "\r\n", Repeat: "x"},
		{Name: "a body in chunks", Start: statusOK + header + chunked, Repeat: "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
		{Name: "a chunk extension", Start: statusOK + header + chunked + "4;", Repeat: "x"},
		{Name: "chunk extensions", Start: statusOK + header + chunked, Repeat: "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		{Name: "a trailer line", Start: statusOK + header + chunked + "4\r\nabcd\r\n0\r\nA: ", Repeat: "x"},
		{Name: "trailers", Start: statusOK + header + chunked + "4\r\nabcd\r\n0\r\n", Repeat: "A: b\r\n"},
	}
}

// Slow returns responses that come so slowly, or not at all, that only a limit in time
// ends them.
func Slow(header string) []Response {
	return []Response{
		{Name: "a head of one byte a second", Start: statusOK + "A: ", Repeat: "x", Pace: time.Second},
		{Name: "a body of one byte a second", Start: statusOK + header + "\r\n", Repeat: "x", Pace: time.Second},
		{Name: "a trailer of one byte a second", Start: statusOK + header + chunked + "0\r\nA: ", Repeat: "x", Pace: time.Second},
		{Name: "no response"},
		{Name: "no body", Start: statusOK + header + "\r\n"},
		{Name: "another protocol and nothing more", Start: switching},
		{Name: "the request is not read", IgnoreRequest: true},
	}
}

// Start starts a server at a free port of the loopback interface.
func Start(rsp Response) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start an endless server: %w", err)
	}
	srv := &Server{rsp: rsp, ln: ln, stop: make(chan struct{}), conns: make(map[net.Conn]struct{}),
		began: make(chan string, signals), closed: make(chan struct{}, signals)}
	srv.all.Go(srv.accept)
	return srv, nil
}

// Address returns the address of the server.
func (srv *Server) Address() string { return srv.ln.Addr().String() }

// Began receives the method of each request that began to arrive, at most four letters of it.
func (srv *Server) Began() <-chan string { return srv.began }

// Closed receives a value for each connection that the other side closed.
func (srv *Server) Closed() <-chan struct{} { return srv.closed }

// Stop closes all connections and waits until nothing of the server is left.
func (srv *Server) Stop() {
	close(srv.stop)
	_ = srv.ln.Close() // nothing can be done about an error
	srv.mu.Lock()
	for cn := range srv.conns {
		_ = cn.Close()
	}
	srv.mu.Unlock()
	srv.all.Wait()
}

func (srv *Server) accept() {
	for {
		cn, err := srv.ln.Accept()
		if err != nil {
			return
		}
		srv.mu.Lock()
		srv.conns[cn] = struct{}{}
		srv.mu.Unlock()
		srv.all.Go(func() { srv.serve(cn) })
	}
}

// report sends a value to a channel unless that is full.
func report[V any](to chan V, val V) {
	select {
	case to <- val:
	default: // nobody counts this many
	}
}

// serve answers one request and waits for the other side to close the connection.
func (srv *Server) serve(cn net.Conn) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	method, err := rd.Peek(methodBytes)
	if err != nil {
		report(srv.closed, struct{}{})
		return
	}
	report(srv.began, strings.TrimSpace(string(method)))
	if srv.rsp.IgnoreRequest {
		<-srv.stop
		return
	}
	if _, err := http.ReadRequest(rd); err != nil {
		report(srv.closed, struct{}{})
		return
	}
	ended := make(chan struct{})
	srv.all.Go(func() {
		defer close(ended)
		buf := make([]byte, flushBytes)
		for {
			if _, err := rd.Read(buf); err != nil { // the rest of the request, and then the end of the connection
				return
			}
		}
	})
	srv.write(cn, ended)
	select {
	case <-ended:
		report(srv.closed, struct{}{})
	case <-srv.stop:
	}
}

// write sends the response until the connection is closed.
func (srv *Server) write(cn net.Conn, ended <-chan struct{}) {
	if _, err := cn.Write([]byte(srv.rsp.Start)); err != nil || srv.rsp.Repeat == "" {
		return
	}
	data := []byte(srv.rsp.Repeat)
	if srv.rsp.Pace == 0 {
		data = []byte(strings.Repeat(srv.rsp.Repeat, flushBytes/len(srv.rsp.Repeat)+1))
	}
	for {
		if _, err := cn.Write(data); err != nil {
			return
		}
		if srv.rsp.Pace == 0 {
			continue
		}
		select {
		case <-time.After(srv.rsp.Pace):
		case <-ended:
			return
		}
	}
}
