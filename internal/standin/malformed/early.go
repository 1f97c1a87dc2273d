package malformed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// EarlyBodyBytes is a length of a request's body of which an EarlyServer leaves so much
	// unread that the client is still writing it when the answer ends.
	EarlyBodyBytes = 2 << 20
	// writeBufferBytes is the size of the buffer that the kernel has for the body.
	writeBufferBytes = 64 << 10
)

type (
	// EarlyServer answers a request without reading its body, and then ends the connection.
	// The client's end of the connection, which Dial opens, makes the order of events
	// certain: the write of the body learns of the end before the read of the answer. One
	// request can be made; further connections get no answer.
	EarlyServer struct {
		ln     net.Listener
		answer string
		end    func(cn *net.TCPConn)
		all    sync.WaitGroup
		dialed atomic.Bool
		client *earlyConn // the first that was dialed
	}

	// earlyConn is the client's end of a connection. Its read after the answer waits for the
	// error of the write that is in progress, and that error is returned only after the read,
	// so that the client can't close the connection before.
	earlyConn struct {
		net.Conn
		left int // bytes of the answer that were not read yet
		fail sync.Once
		end  sync.Once

		awaited chan struct{} // closed when the end of the answer is to be read
		failed  chan struct{} // closed when a write has failed
		ended   chan struct{} // closed when the end of the answer was read

		errWrite error // of the first write that failed; set before failed is closed
		errRead  error // of the end of the answer; set before ended is closed
	}
)

// ResetConnection resets a connection.
func ResetConnection(cn *net.TCPConn) { _ = cn.SetLinger(0) } // and the server closes it

// EndAndResetConnection ends an answer in order, and resets the connection then.
func EndAndResetConnection(cn *net.TCPConn) {
	_ = cn.CloseWrite() // the reset follows all the same
	ResetConnection(cn)
}

// StartEarly starts a server at a free port of the loopback interface. It sends the answer,
// calls end and closes the connection.
func StartEarly(answer string, end func(cn *net.TCPConn)) (*EarlyServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a server of early answers: %w", err)
	}
	es := &EarlyServer{ln: ln, answer: answer, end: end, client: &earlyConn{
		left: len(answer), awaited: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{}),
	}}
	es.all.Go(es.serve)
	return es, nil
}

// Address returns the address of the server.
func (es *EarlyServer) Address() string { return es.ln.Addr().String() }

// Dial opens the client's end of the connection.
func (es *EarlyServer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	cn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial a server of early answers: %w", err)
	}
	if es.dialed.Swap(true) {
		return cn, nil
	}
	if err := cn.(*net.TCPConn).SetWriteBuffer(writeBufferBytes); err != nil {
		return nil, fmt.Errorf("limit the buffer of a connection: %w", err)
	}
	es.client.Conn = cn
	return es.client, nil
}

// Errors returns the errors with which the first write failed, and with which the read after
// the answer ended, once both have.
func (es *EarlyServer) Errors() (write, read error) {
	<-es.client.ended
	return es.client.errWrite, es.client.errRead
}

// Stop waits until nothing of the server is left. The request must have been made.
func (es *EarlyServer) Stop() {
	_ = es.ln.Close() // nothing can be done about an error
	es.all.Wait()
}

func (es *EarlyServer) serve() {
	cn, err := es.ln.Accept()
	if err != nil {
		return
	}
	defer cn.Close()
	if _, err := http.ReadRequest(bufio.NewReaderSize(cn, 16)); err != nil {
		return
	}
	if _, err := io.WriteString(cn, es.answer); err != nil {
		return
	}
	<-es.client.awaited
	es.end(cn.(*net.TCPConn))
}

// Write writes to the connection.
func (ec *earlyConn) Write(data []byte) (int, error) {
	size, err := ec.Conn.Write(data)
	if err != nil {
		ec.fail.Do(func() {
			ec.errWrite = err
			close(ec.failed)
		})
		<-ec.ended
	}
	return size, err
}

// Read reads from the connection.
func (ec *earlyConn) Read(data []byte) (int, error) {
	if ec.left > 0 {
		size, err := ec.Conn.Read(data)
		ec.left -= size
		return size, err
	}
	ec.end.Do(func() {
		close(ec.awaited)
		<-ec.failed
		_, ec.errRead = ec.Conn.Read(data)
		close(ec.ended)
	})
	return 0, ec.errRead
}
