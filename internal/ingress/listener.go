package ingress

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/event"
	"alderdyke/internal/memory"
	"alderdyke/pkg/clock"
)

const (
	// DefaultHeadBytes bounds a head if Limits do not.
	DefaultHeadBytes = 32 << 10
	// logInterval limits the log lines on refusals.
	logInterval = 10 * time.Second
	// maxRejecting new connections are refused with an answer at the same time, and at
	// most one for each rejectingFraction connections.
	maxRejecting      = 64
	rejectingFraction = 16
)

// Causes of refusals.
const (
	TooLarge  Cause = "TooLarge"  // the head has more bytes than allowed
	Slow      Cause = "Slow"      // the head was not whole in time
	NoMemory  Cause = "NoMemory"  // there is no memory for a head of this cost
	Malformed Cause = "Malformed" // net/http has refused the head, which is no valid request
	NoPlace   Cause = "NoPlace"   // requests are in progress on all connections
	Yielded   Cause = "Yielded"   // the connection waited for its client, and another one needed its place
)

type (
	// Cause says why a head or a connection was refused. It is the tag Cause of the counter
	// Refused.
	Cause string

	// Limits bound what one connection may send. They may change between two requests. A
	// timeout that is not positive has no end.
	Limits struct {
		HeadBytes   int          // of a head; zero: DefaultHeadBytes
		HeadTimeout clock.Millis // from the first byte of a head, or from a new connection, to the end of the head
		IdleTimeout clock.Millis // from the end of a request to the first byte of the next head
	}

	// Listener accepts connections that bound the heads of their requests. Set the exported
	// fields before Accept.
	Listener struct {
		net.Listener
		Name       string // of the address, for the log and the metrics
		HeadMemory int64  // bytes that may be charged for heads; zero: no limit
		// Connections may be open at the same time, and ConnectionsPerIP of one IP address;
		// zero: no limit.
		Connections, ConnectionsPerIP int
		Limits                        func() Limits // in force now; nil: the defaults
		Scope                         tally.Scope   // nil: nothing is counted
		Log                           event.Logger
		// Response returns the whole answer to what is refused; nil: a plain text.
		Response func(cs Cause) []byte
		// OnRefused is called for each refusal; it may be nil.
		OnRefused func(cs Cause)

		once        sync.Once
		scope       tally.Scope
		headBytes   tally.Gauge
		connections tally.Gauge
		rejecting   chan struct{} // holds one entry for each new connection that is being refused

		headsRefused, placesRefused *event.Throttle

		mu      sync.Mutex // guards everything below
		charged int64      // sum of what connections hold
		places  places
	}

	// halfCloser is a connection whose two directions can be closed separately, such as
	// *net.TCPConn.
	halfCloser interface{ CloseWrite() error }
)

// statuses of refusals. All of them say that the request did not run.
var statuses = map[Cause]int{
	TooLarge: http.StatusRequestHeaderFieldsTooLarge,
	Slow:     http.StatusRequestTimeout,
	NoMemory: http.StatusServiceUnavailable,
	NoPlace:  http.StatusServiceUnavailable,
}

// Accept returns the next connection that has a place, as a *Conn.
func (ln *Listener) Accept() (net.Conn, error) {
	ln.prepare()
	for {
		raw, err := ln.Listener.Accept()
		if err != nil {
			return nil, err // as it is: net/http tells by its type whether to go on
		}
		cn := newConn(raw, ln)
		yields, ok := ln.enter(cn)
		if yields != nil {
			ln.recordRefused(Yielded, yields.Conn)
			_ = yields.Conn.Close() // nothing is to be done about a connection that is gone
		}
		if ok {
			return cn, nil
		}
		ln.recordRefused(NoPlace, raw)
		ln.reject(raw)
	}
}

func (ln *Listener) enter(cn *Conn) (yields *Conn, ok bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	yields, ok = ln.places.enter(cn, addressOf(cn.Conn), ln.Connections, ln.ConnectionsPerIP)
	if yields != nil {
		ln.charge(yields, 0)
	}
	ln.connections.Update(float64(ln.places.open))
	return yields, ok
}

// reject refuses a new connection. It has no place meanwhile, so there are few of these;
// further ones are closed without an answer.
func (ln *Listener) reject(cn net.Conn) {
	select {
	case ln.rejecting <- struct{}{}:
	default:
		_ = cn.Close() // nothing is to be done about a connection that is gone
		return
	}
	go func() {
		sendRefusal(cn, ln.response(NoPlace))
		_ = cn.Close() // as above
		<-ln.rejecting
	}()
}

// addressOf returns the remote IP address, without its port.
func addressOf(cn net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(cn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap().WithZone("")
}

func (ln *Listener) prepare() {
	ln.once.Do(func() {
		ln.scope = tally.NoopScope
		if ln.Scope != nil {
			ln.scope = ln.Scope.Tagged(map[string]string{"Address": ln.Name})
		}
		ln.headBytes, ln.connections = ln.scope.Gauge("HeadBytes"), ln.scope.Gauge("Connections")
		ln.headsRefused, ln.placesRefused = event.NewThrottle(logInterval), event.NewThrottle(logInterval)
		rejecting := maxRejecting
		if ln.Connections > 0 {
			rejecting = min(rejecting, 1+ln.Connections/rejectingFraction)
		}
		ln.rejecting = make(chan struct{}, rejecting)
	})
}

func (ln *Listener) limits() Limits {
	var lim Limits
	if ln.Limits != nil {
		lim = ln.Limits()
	}
	if lim.HeadBytes <= 0 {
		lim.HeadBytes = DefaultHeadBytes
	}
	return lim
}

// reserve sets what is charged to a connection, and reports false without a change if there
// is no memory for it.
func (ln *Listener) reserve(cn *Conn, bytes int64) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.charge(cn, bytes)
}

// charge is reserve with the lock held.
func (ln *Listener) charge(cn *Conn, bytes int64) bool {
	if cn.place.left {
		bytes = 0
	}
	bytes = max(0, bytes)
	others := ln.charged - cn.held
	if bytes > cn.held && ln.HeadMemory > 0 && others > 0 && others+bytes > ln.HeadMemory {
		return false
	}
	cn.held = bytes
	ln.charged = others + bytes
	ln.headBytes.Update(float64(ln.charged))
	return true
}

// noteReceived records that a part of a request was received after its head, or all of it.
// It reports false if the connection has yielded its place.
func (ln *Listener) noteReceived(cn *Conn, all bool) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if all {
		return ln.places.begin(cn)
	}
	return ln.places.wait(cn)
}

// endRequest records that a connection waits for its next head. What is in its buffer is
// ordinary.
func (ln *Listener) endRequest(cn *Conn) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.charge(cn, 0)
	ln.places.wait(cn)
}

// release releases what a connection holds.
func (ln *Listener) release(cn *Conn) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.charge(cn, 0)
	ln.places.leave(cn)
	ln.connections.Update(float64(ln.places.open))
}

// recordRefused counts a refusal, and logs the first of its event and then one line in each
// interval.
func (ln *Listener) recordRefused(cs Cause, cn net.Conn) {
	ln.scope.Tagged(map[string]string{"Cause": string(cs)}).Counter("Refused").Inc(1)
	if ln.OnRefused != nil {
		ln.OnRefused(cs)
	}
	ev, th := event.HeadsRefused, ln.headsRefused
	if cs == NoPlace || cs == Yielded {
		ev, th = event.ConnectionLimit, ln.placesRefused
	}
	if refused, due := th.Count(); due {
		ln.Log.Log(ev, event.F("Address", ln.Name), event.F("Cause", string(cs)),
			event.F("Remote", cn.RemoteAddr().String()), event.F("Refused", refused))
	}
}

// response returns the whole answer to what is refused.
func (ln *Listener) response(cs Cause) []byte {
	if ln.Response != nil {
		return ln.Response(cs)
	}
	return Response(cs, "text/plain; charset=utf-8", nil, "refused before it was read: "+string(cs)+"\n")
}

// Response returns a whole answer to what is refused, with further header lines. A caller may
// come back after memory.RetryAfter where that may help.
func Response(cs Cause, contentType string, header http.Header, body string) []byte {
	status := statuses[cs]
	var retry string
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + strconv.FormatInt(int64(memory.RetryAfter/clock.Second), 10) + "\r\n"
	}
	var lines string
	for name := range header {
		lines += name + ": " + header.Get(name) + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s%sConnection: close\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), lines, retry, contentType, len(body), body)
}
