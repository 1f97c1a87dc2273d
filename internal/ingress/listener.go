package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"alderdyke/internal/event"
	"alderdyke/internal/memory"
	"alderdyke/pkg/clock"
)

const (
	// DefaultHeadBytes bounds a head if Limits do not.
	DefaultHeadBytes = 32 << 10
	// MaxHeaderBytes is for http.Server, whose own limit must not be met first.
	MaxHeaderBytes = 64 << 20
	// logInterval limits the log lines on refusals.
	logInterval = 10 * time.Second
)

// Causes of refusals.
const (
	TooLarge Cause = "TooLarge" // the head has more bytes than allowed
	Slow     Cause = "Slow"     // the head was not whole in time
	NoMemory Cause = "NoMemory" // there is no memory for a head of this cost
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
		Name       string        // of the address, for the log and the metrics
		HeadMemory int64         // bytes that may be charged for heads; zero: no limit
		Limits     func() Limits // in force now; nil: the defaults
		Scope      tally.Scope   // nil: nothing is counted
		Log        event.Logger
		// Response returns the whole answer to what is refused; nil: a plain text.
		Response func(cs Cause) []byte

		once    sync.Once
		limiter *rate.Limiter

		mu      sync.Mutex // guards everything below
		charged int64      // sum of what connections hold
		refused int        // since the last log line
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
}

// Accept returns the next connection, as a *Conn.
func (ln *Listener) Accept() (net.Conn, error) {
	ln.prepare()
	cn, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(cn, ln), nil
}

func (ln *Listener) prepare() {
	ln.once.Do(func() {
		if ln.Scope == nil {
			ln.Scope = tally.NoopScope
		}
		ln.Scope = ln.Scope.Tagged(map[string]string{"Address": ln.Name})
		ln.limiter = rate.NewLimiter(rate.Every(logInterval), 1)
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

// reserve sets what is charged to a connection, and reports false without a change if there is no
// memory for it.
func (ln *Listener) reserve(cn *Conn, bytes int64) bool {
	bytes = max(0, bytes)
	ln.mu.Lock()
	defer ln.mu.Unlock()
	others := ln.charged - cn.held
	if bytes > cn.held && ln.HeadMemory > 0 && others > 0 && others+bytes > ln.HeadMemory {
		return false
	}
	cn.held = bytes
	ln.charged = others + bytes
	ln.Scope.Gauge("HeadBytes").Update(float64(ln.charged))
	return true
}

// release releases what a connection holds.
func (ln *Listener) release(cn *Conn) { ln.reserve(cn, 0) }

// recordRefused counts a refusal, and logs the first and then one line in each interval.
func (ln *Listener) recordRefused(cs Cause, cn net.Conn) {
	ln.Scope.Tagged(map[string]string{"Cause": string(cs)}).Counter("Refused").Inc(1)
	ln.mu.Lock()
	ln.refused++
	refused := ln.refused
	logged := ln.limiter.Allow()
	if logged {
		ln.refused = 0
	}
	ln.mu.Unlock()
	if logged {
		ln.Log.Log(event.HeadsRefused, event.F("Address", ln.Name), event.F("Cause", string(cs)),
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
