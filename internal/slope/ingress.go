package slope

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"alderdyke/internal/ingress"
	"alderdyke/internal/standin/crowd"
)

const (
	// ingressTarget is how many connections of callers a VM may have that has 134 MB
	// and 4,100 descriptors.
	ingressTarget = 636
	headsTarget   = 16 << 10 // bytes of the largest head that callers may send
	headsHeld     = 32       // requests in progress at once
)

var (
	ingressCounts = []int{50, 100, 200, 400}
	headSizes     = []int{1 << 10, 2 << 10, 4 << 10, 8 << 10, 16 << 10}
)

// heldServer is a server whose requests are in progress until it is closed.
type heldServer struct {
	hs      *http.Server
	address string
	came    chan struct{} // gets one entry for each request of the target /held
	leave   chan struct{}
	conns   []net.Conn
}

// serveHeld starts a server behind an ingress.Listener. The caller closes it.
func serveHeld() (*heldServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	sv := &heldServer{address: ln.Addr().String(), came: make(chan struct{}), leave: make(chan struct{})}
	sv.hs = &http.Server{ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/held" {
				sv.came <- struct{}{}
				<-sv.leave
			}
		})}
	ingress.Prepare(sv.hs)
	go sv.hs.Serve(&ingress.Listener{Listener: ln, Limits: func() ingress.Limits { return ingress.Limits{HeadBytes: 2 * headsTarget} }})
	return sv, nil
}

func (sv *heldServer) close() {
	close(sv.leave)
	for _, cn := range sv.conns {
		cn.Close()
	}
	sv.hs.Close()
}

// connect opens a connection and sends a text.
func (sv *heldServer) connect(ctx context.Context, text string) (net.Conn, error) {
	cn, err := new(net.Dialer).DialContext(ctx, "tcp", sv.address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	sv.conns = append(sv.conns, cn)
	if _, err := io.WriteString(cn, text); err != nil {
		return nil, fmt.Errorf("send a head: %w", err)
	}
	return cn, nil
}

// measureConnections measures what callers' connections and their heads take.
func measureConnections(ctx context.Context, rp *Report) error {
	for _, se := range []struct{ name, text string }{
		{"SilentConnectionMemory", ""},
		{"IdleConnectionMemory", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
	} {
		if err := measureConnection(ctx, rp, se.name, se.text); err != nil {
			return err
		}
	}
	for _, se := range []struct {
		name string
		head func(hd crowd.Head) []byte
	}{
		{"ShortLinesMemory", crowd.Head.ShortLines},
		{"OneValueMemory", crowd.Head.OneValue},
	} {
		if err := measureHeads(ctx, rp, se.name, se.head); err != nil {
			return err
		}
	}
	return nil
}

// measureConnection measures connections that are open, after a request or without one.
func measureConnection(ctx context.Context, rp *Report, name, text string) error {
	memory := rp.addSeries(Series{Name: name, Along: "connections", Unit: "B of both ends", Kind: Memory, Shape: Linear, Target: ingressTarget})
	sv, err := serveHeld()
	if err != nil {
		return err
	}
	defer sv.close()
	before := memoryInUse()
	for _, count := range ingressCounts {
		for len(sv.conns) < count {
			cn, err := sv.connect(ctx, text)
			if err != nil {
				return err
			}
			if text == "" {
				continue
			}
			rsp, err := http.ReadResponse(bufio.NewReader(cn), nil)
			if err != nil {
				return fmt.Errorf("read an answer: %w", err)
			}
			rsp.Body.Close()
		}
		memory.addPoint(count, memoryInUse()-before)
	}
	return nil
}

// measureHeads measures one request in progress with a head of some size, beyond its
// connection.
func measureHeads(ctx context.Context, rp *Report, name string, head func(hd crowd.Head) []byte) error {
	memory := rp.addSeries(Series{Name: name, Along: "bytes of a head", Unit: "B of a parsed head", Kind: Memory, Shape: Linear, Target: headsTarget})
	ordinary := 0.0
	for _, size := range append([]int{0}, headSizes...) {
		sv, err := serveHeld()
		if err != nil {
			return err
		}
		before := memoryInUse()
		fill := head
		if size == 0 {
			fill = crowd.Head.ShortLines // which has nothing to fill
		}
		text := string(fill(crowd.Head{Method: http.MethodGet, Target: "/held", Host: "h", Size: size}))
		for range headsHeld {
			if _, err := sv.connect(ctx, text); err != nil {
				sv.close()
				return err
			}
			<-sv.came
		}
		each := (memoryInUse() - before) / headsHeld
		sv.close()
		if size == 0 {
			ordinary = each
			continue
		}
		memory.addPoint(size, each-ordinary)
	}
	return nil
}
