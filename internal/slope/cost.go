package slope

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"alderdyke/internal/backend"
)

// gcRounds is the number of collections after which finalizers and pools have released
// their objects.
const gcRounds = 3

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() float64 {
	for range gcRounds {
		runtime.GC()
	}
	debug.FreeOSMemory()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc + ms.StackInuse)
}

// allocations returns the number of heap objects allocated so far.
func allocations() float64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.Mallocs)
}

// processorTime returns the processor time that this process has used so far.
func processorTime() (time.Duration, error) {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), nil
}

type (
	// connBytes counts the bytes of connections in both directions, without TCP and IP
	// headers.
	connBytes struct{ in, out atomic.Int64 }

	countedConn struct {
		net.Conn
		wc *connBytes
	}
)

// Read counts the bytes received.
func (cc countedConn) Read(buf []byte) (int, error) {
	got, err := cc.Conn.Read(buf)
	cc.wc.in.Add(int64(got))
	return got, err
}

// Write counts the bytes sent.
func (cc countedConn) Write(buf []byte) (int, error) {
	sent, err := cc.Conn.Write(buf)
	cc.wc.out.Add(int64(sent))
	return sent, err
}

func (wc *connBytes) total() float64 { return float64(wc.in.Load() + wc.out.Load()) }

// client returns an HTTP client as the clients of backend servers use it, over counted
// connections.
func (wc *connBytes) client() *http.Client {
	return backend.NewHTTP(backend.Limits{Dial: wc.dial})
}

// transport returns a plain HTTP transport over counted connections.
func (wc *connBytes) transport() *http.Transport {
	return &http.Transport{DialContext: wc.dial, MaxIdleConnsPerHost: 1}
}

func (wc *connBytes) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dr net.Dialer
	cn, err := dr.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return countedConn{Conn: cn, wc: wc}, nil
}

// localServer is an HTTP server on loopback.
type localServer struct {
	hs   *http.Server
	addr string
}

// serve starts a server on a free loopback port. The caller closes it.
func serve(handler http.Handler) (*localServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	st := &localServer{hs: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, addr: ln.Addr().String()}
	go st.hs.Serve(ln)
	return st, nil
}

func (st *localServer) close() { st.hs.Close() }
