package ingress_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"alderdyke/internal/ingress"
	"alderdyke/pkg/clock"
)

// readTimeout only ends tests that fail.
const readTimeout = 30 * time.Second

// drainTimeout is how long a refused connection is read.
const drainTimeout = time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig serves a handler that answers with the request's target, its body and whether its
// length is ambiguous.
type rig struct {
	*ingress.Listener
	scope tally.TestScope
	// enter is received from before each answer to a request of the target /held; nil: they
	// are answered at once.
	enter chan struct{}
	held  chan struct{} // gets one entry for each of them
	idle  atomic.Int64  // how often a request has ended whose connection remains open

	entered chan struct{} // gets one entry for each request before its body is read; may be nil
	read    atomic.Int64  // bytes of bodies that the handler has read
}

func serve(t *testing.T, set func(rg *rig)) *rig {
	t.Helper()
	base, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rg := &rig{scope: tally.NewTestScope("", nil), held: make(chan struct{}, 64)}
	rg.Listener = &ingress.Listener{Listener: base, Name: "Test", Scope: rg.scope}
	set(rg)
	hs := &http.Server{
		ConnState: rg.countIdle,
		Handler: http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
			if rg.entered != nil {
				rg.entered <- struct{}{}
			}
			body, err := io.ReadAll(countedReader{req.Body, &rg.read})
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if rg.enter != nil && req.URL.Path == "/held" {
				rg.held <- struct{}{}
				<-rg.enter
			}
			_, _ = fmt.Fprintf(wr, "%s %s %v", req.RequestURI, body, ingress.HasAmbiguousLength(req.Context()))
		}),
	}
	ingress.Prepare(hs)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = hs.Serve(rg.Listener) // ends when the server is closed
	}()
	t.Cleanup(func() {
		_ = hs.Close()
		<-done
	})
	return rg
}

// countedReader counts what is read.
type countedReader struct {
	io.Reader
	count *atomic.Int64
}

func (cr countedReader) Read(data []byte) (int, error) {
	size, err := cr.Reader.Read(data)
	cr.count.Add(int64(size))
	return size, err
}

func (rg *rig) countIdle(_ net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		rg.idle.Add(1)
	}
}

// awaitIdle waits until so many requests have ended. A client has its answer a little before.
func (rg *rig) awaitIdle(t *testing.T, requests int64) {
	t.Helper()
	await(t, func() bool { return rg.idle.Load() == requests })
}

// client is a connection whose answers are read one by one.
type client struct {
	net.Conn
	rd *bufio.Reader
}

func (rg *rig) dial(t *testing.T, text string) *client {
	t.Helper()
	return rg.dialFrom(t, "127.0.0.1", text)
}

func (cl *client) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(cl, text)
	assert.NilError(t, err)
}

// answer returns the status and the body of the next answer; zero: the connection ended.
func (cl *client) answer(t *testing.T) (int, string) {
	t.Helper()
	rsp, err := http.ReadResponse(cl.rd, nil)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return 0, ""
	}
	assert.NilError(t, err)
	body, err := io.ReadAll(rsp.Body)
	assert.NilError(t, err)
	return rsp.StatusCode, string(body)
}

// checkAnswer checks the next answer.
func (cl *client) checkAnswer(t *testing.T, status int, body string) {
	t.Helper()
	code, got := cl.answer(t)
	assert.Equal(t, code, status, got)
	assert.Equal(t, got, body)
}

func (rg *rig) refusals(cause string) int64 {
	for _, cr := range rg.scope.Snapshot().Counters() {
		if cr.Name() == "Refused" && cr.Tags()["Cause"] == cause {
			return cr.Value()
		}
	}
	return 0
}

// charged returns the bytes that are charged for heads now.
func (rg *rig) charged() float64 {
	for _, ga := range rg.scope.Snapshot().Gauges() {
		if ga.Name() == "HeadBytes" {
			return ga.Value()
		}
	}
	return 0
}

const request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// Requests of one connection are told apart whatever pieces they come in, also when they are
// sent without waiting for answers.
func TestRequestsOfOneConnection(t *testing.T) {
	rg := serve(t, func(*rig) {})
	texts := []struct{ sent, want string }{
		{request, "/a  false"},
		{"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "/b abc false"},
		{"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\nA \r\n0123456789\r\n0\r\n\r\n", "/c abc0123456789 false"},
		{"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0;e\r\nA: b\r\nC: d\r\n\r\n", "/d \n false"},
		{"POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", "/e hi true"},
	}
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var sent strings.Builder
		var want []string
		for range 8 {
			tx := texts[rnd.IntN(len(texts))]
			sent.WriteString(tx.sent)
			want = append(want, tx.want)
		}
		cl := rg.dial(t, "")
		go func() {
			for text := sent.String(); len(text) > 0; {
				size := 1 + rnd.IntN(min(len(text), 60))
				if seed == 0 {
					size = len(text)
				}
				if _, err := io.WriteString(cl, text[:size]); err != nil {
					return
				}
				text = text[size:]
			}
		}()
		for _, body := range want {
			cl.checkAnswer(t, http.StatusOK, body)
		}
		assert.NilError(t, cl.Close())
	}
}

// Heads that are no request are refused as net/http does it.
func TestMalformedHeads(t *testing.T) {
	rg := serve(t, func(*rig) {})
	for _, text := range []string{
		"\r\n\r\n\r\n", "\n\n\n", strings.Repeat("\r\n", 1000), "GET\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\na b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
	} {
		status, _ := rg.dial(t, text).answer(t)
		assert.Equal(t, status, http.StatusBadRequest, "%q", text)
	}
	await(t, func() bool { return rg.refusals("Malformed") == 7 })
	cl := rg.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"+request)
	status, _ := cl.answer(t)
	assert.Equal(t, status, 0)
	rg.dial(t, request).checkAnswer(t, http.StatusOK, "/a  false")
	assert.Equal(t, rg.refusals("Malformed"), int64(7))
}

// A head that is longer than allowed is refused, and one that is not is served.
func TestHeadsThatAreTooLarge(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.Limits = func() ingress.Limits { return ingress.Limits{HeadBytes: 2000} } })
	for _, tc := range []struct {
		size, status int
		whole        bool
	}{{2000, http.StatusOK, true}, {2001, http.StatusRequestHeaderFieldsTooLarge, true}, {9000, http.StatusRequestHeaderFieldsTooLarge, false}} {
		start := "GET /a HTTP/1.1\r\nHost: h\r\nLong: "
		text := start + strings.Repeat("v", tc.size-len(start)-4)
		if tc.whole {
			text += "\r\n\r\n"
		}
		status, _ := rg.dial(t, text).answer(t)
		assert.Equal(t, status, tc.status)
	}
	assert.Equal(t, rg.refusals("TooLarge"), int64(2))
}

// A head has its time from its first byte on, an idle connection that of the idle timeout,
// and a request in progress as much as it needs.
func TestHeadsThatAreTooSlow(t *testing.T) {
	const headTimeout = 500 * clock.Millis(1)
	rg := serve(t, func(rg *rig) {
		rg.Limits = func() ingress.Limits { return ingress.Limits{HeadTimeout: headTimeout, IdleTimeout: clock.Minute} }
		rg.enter = make(chan struct{})
	})
	cl := rg.dial(t, "GET /a HT")
	cl.checkAnswer(t, http.StatusRequestTimeout, "refused before it was read: Slow\n")
	status, _ := rg.dial(t, "").answer(t)
	assert.Equal(t, status, 0, "a connection that sent nothing")

	kept := rg.dial(t, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\n") // an empty line behind the body
	kept.checkAnswer(t, http.StatusOK, "/a x false")
	time.Sleep(2 * headTimeout.Std())
	kept.send(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\nGET")
	<-rg.held
	time.Sleep(2 * headTimeout.Std())
	rg.enter <- struct{}{}
	kept.checkAnswer(t, http.StatusOK, "/held  false")
	kept.checkAnswer(t, http.StatusRequestTimeout, "refused before it was read: Slow\n")
	assert.Equal(t, rg.refusals("Slow"), int64(2))
}

// largeHead is the head of a request that costs more than an ordinary one.
func largeHead(target string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 2000) + "\r\n"
}

// What heads above the ordinary cost is bounded together, until their requests have ended.
// One is always admitted, and so are ordinary ones.
func TestLargeHeadsAreBoundedTogether(t *testing.T) {
	cost := ingress.HeadCost(len(largeHead("/held")), 2002)
	rg := serve(t, func(rg *rig) {
		rg.HeadMemory = cost * 5 / 2
		rg.enter = make(chan struct{})
	})
	one := rg.dial(t, largeHead("/held"))
	<-rg.held
	two := rg.dial(t, largeHead("/held"))
	<-rg.held
	rg.dial(t, largeHead("/a")).checkAnswer(t, http.StatusServiceUnavailable, "refused before it was read: NoMemory\n")
	rg.dial(t, request).checkAnswer(t, http.StatusOK, "/a  false")
	rg.enter <- struct{}{}
	rg.enter <- struct{}{}
	one.checkAnswer(t, http.StatusOK, "/held  false")
	two.checkAnswer(t, http.StatusOK, "/held  false")
	one.send(t, request)
	one.checkAnswer(t, http.StatusOK, "/a  false")
	rg.dial(t, largeHead("/a")).checkAnswer(t, http.StatusOK, "/a  false")
	assert.Equal(t, rg.refusals("NoMemory"), int64(1))
	assert.NilError(t, one.Close())
	assert.NilError(t, two.Close())

	tight := serve(t, func(rg *rig) { rg.HeadMemory = 1 })
	tight.dial(t, largeHead("/a")).checkAnswer(t, http.StatusOK, "/a  false")
}

// Heads that are not finished are charged with their bytes, which are released with their
// connections.
func TestUnfinishedHeadsAreCharged(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.HeadMemory = 40 << 10 })
	part := "GET /a HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("v", 12<<10)
	var held []*client
	for range 3 {
		held = append(held, rg.dial(t, part))
	}
	await(t, func() bool { return rg.charged() > 24<<10 })
	for rg.refusals("NoMemory") == 0 {
		held = append(held, rg.dial(t, part))
		assert.Assert(t, len(held) < 100)
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, rg.charged() <= 40<<10)
	for _, cl := range held {
		assert.NilError(t, cl.Close())
	}
	await(t, func() bool { return rg.charged() == 0 })
}

func await(t *testing.T, is func() bool) {
	t.Helper()
	for end := time.Now().Add(readTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it does not happen")
		}
	}
}

// dialFrom opens a connection from an IP address.
func (rg *rig) dialFrom(t *testing.T, ip, text string) *client {
	t.Helper()
	cn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).DialContext(t.Context(), "tcp", rg.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = cn.Close() })
	assert.NilError(t, cn.SetReadDeadline(time.Now().Add(readTimeout)))
	cl := &client{Conn: cn, rd: bufio.NewReader(cn)}
	cl.send(t, text)
	return cl
}

// open returns how many connections have places.
func (rg *rig) open() float64 {
	for _, ga := range rg.scope.Snapshot().Gauges() {
		if ga.Name() == "Connections" {
			return ga.Value()
		}
	}
	return 0
}

// Where all places are taken, the connection that waits longest yields to a new one, of the
// address that has most of them. None yields whose request is in progress, and where that is
// so of all, a new one is refused.
func TestConnectionsYieldTheirPlaces(t *testing.T) {
	rg := serve(t, func(rg *rig) {
		rg.Connections = 3
		rg.enter = make(chan struct{})
	})
	single := rg.dialFrom(t, "127.0.0.2", request)
	single.checkAnswer(t, http.StatusOK, "/a  false")
	first := rg.dial(t, request)
	first.checkAnswer(t, http.StatusOK, "/a  false")
	rg.awaitIdle(t, 2)
	second := rg.dial(t, request)
	second.checkAnswer(t, http.StatusOK, "/a  false")
	rg.awaitIdle(t, 3)
	first.send(t, request) // now second waits longest of this address
	first.checkAnswer(t, http.StatusOK, "/a  false")
	rg.awaitIdle(t, 4)
	third := rg.dial(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	<-rg.held
	status, _ := second.answer(t)
	assert.Equal(t, status, 0, "second has yielded its place")
	single.send(t, request)
	single.checkAnswer(t, http.StatusOK, "/a  false")
	first.send(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	<-rg.held
	single.send(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	<-rg.held
	rg.dial(t, request).checkAnswer(t, http.StatusServiceUnavailable, "refused before it was read: NoPlace\n")
	for _, cl := range []*client{first, single, third} {
		rg.enter <- struct{}{}
		defer cl.checkAnswer(t, http.StatusOK, "/held  false")
	}
	await(t, func() bool { return rg.open() == 3 })
	assert.Equal(t, rg.refusals("Yielded"), int64(1))
	assert.Equal(t, rg.refusals("NoPlace"), int64(1))
}

// A connection whose request is not complete yields its place, too: the one that has received
// nothing for longest, also before those that wait for a head since a shorter time.
func TestUnfinishedBodiesYieldTheirPlaces(t *testing.T) {
	const start = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
	rg := serve(t, func(rg *rig) {
		rg.Connections = 3
		rg.enter = make(chan struct{})
		rg.entered = make(chan struct{}, 64)
	})
	first := rg.dial(t, start)
	<-rg.entered
	second := rg.dial(t, start+"b")
	<-rg.entered
	held := rg.dial(t, "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
	<-rg.entered
	<-rg.held
	first.send(t, "b")
	await(t, func() bool { return rg.read.Load() == 3 }) // now second waits longest
	fourth := rg.dial(t, request)
	fourth.checkAnswer(t, http.StatusOK, "/a  false")
	status, _ := second.answer(t)
	assert.Equal(t, status, 0, "second has yielded its place")
	rg.awaitIdle(t, 1)
	rg.dial(t, request).checkAnswer(t, http.StatusOK, "/a  false")
	status, _ = first.answer(t)
	assert.Equal(t, status, 0, "first has yielded its place")
	fourth.send(t, request)
	fourth.checkAnswer(t, http.StatusOK, "/a  false")
	rg.enter <- struct{}{}
	held.checkAnswer(t, http.StatusOK, "/held b false")
	assert.Equal(t, rg.refusals("Yielded"), int64(2))
	assert.Equal(t, rg.refusals("NoPlace"), int64(0))
}

// One address has a limit of its own, within which its connections yield to each other.
func TestConnectionsOfOneAddress(t *testing.T) {
	rg := serve(t, func(rg *rig) {
		rg.Connections, rg.ConnectionsPerIP = 10, 1
		rg.enter = make(chan struct{})
	})
	other := rg.dialFrom(t, "127.0.0.2", "")
	rg.dial(t, request).checkAnswer(t, http.StatusOK, "/a  false")
	rg.awaitIdle(t, 1)
	held := rg.dial(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	<-rg.held
	rg.dial(t, request).checkAnswer(t, http.StatusServiceUnavailable, "refused before it was read: NoPlace\n")
	rg.enter <- struct{}{}
	held.checkAnswer(t, http.StatusOK, "/held  false")
	other.send(t, request)
	other.checkAnswer(t, http.StatusOK, "/a  false")
	assert.NilError(t, held.Close())
	assert.NilError(t, other.Close())
	await(t, func() bool { return rg.open() == 0 })
	rg.dial(t, request).checkAnswer(t, http.StatusOK, "/a  false") // the place was given back
}

// A new connection that is refused is read for a while, since closing it with unread data
// would discard the answer. Only few are refused so at the same time.
func TestRefusedConnectionsAreDrained(t *testing.T) {
	rg := serve(t, func(rg *rig) {
		rg.Connections = 1
		rg.enter = make(chan struct{})
	})
	held := rg.dial(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	<-rg.held
	var refused *client
	for { // once, unless the test is held up for longer than a refusal is drained
		ended := time.Now().Add(drainTimeout)
		refused = rg.dial(t, strings.Repeat("x", 10<<10))
		refused.checkAnswer(t, http.StatusServiceUnavailable, "refused before it was read: NoPlace\n")
		refused.send(t, "late") // fails if the connection was reset
		if status, _ := rg.dial(t, "").answer(t); time.Now().Before(ended) {
			assert.Equal(t, status, 0, "one more than may be refused at the same time")
			break
		}
		assert.NilError(t, refused.Close())
		time.Sleep(drainTimeout)
	}
	assert.NilError(t, refused.Close())
	await(t, func() bool { // the first refusal has ended, and the next one is answered again
		// Nothing is sent: until then the connection is closed at once, and unread data
		// would turn its end into a reset.
		cn := rg.dial(t, "")
		status, _ := cn.answer(t)
		assert.NilError(t, cn.Close())
		return status == http.StatusServiceUnavailable
	})
	rg.enter <- struct{}{}
	held.checkAnswer(t, http.StatusOK, "/held  false")
}
