package caller

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

func TestChunkedBodyIsBounded(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.Limits = Limits{MaxBody: 100} })
	req, err := http.NewRequest(http.MethodPost, rg.base+"/services/feltapp/x", io.LimitReader(zeros{}, 1000))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := rg.http.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
}

type zeros struct{}

func (zeros) Read(buf []byte) (int, error) { return len(buf), nil }

func TestLongBodiesAreBoundedTogether(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.Limits = Limits{BodiesHeld: 100 << 10} })
	long := strings.Repeat("x", 90<<10)
	first := make(chan struct{})
	rg.rn.begin = func(req Request, _ *answer.Stream) error {
		if req.Key == "first" {
			close(first)
		}
		return nil
	}
	got := make(chan string, 1)
	go func() {
		got <- text(t, rg.do(t, http.MethodPost, "/services/feltapp/x", long, headerKey, "first"))
	}()
	<-first
	rf := refusalIn(t, rg.do(t, http.MethodPost, "/services/feltapp/x", long))
	assert.Equal(t, rf.Reason, refusal.QueueFull)
	rg.rn.begin = func(_ Request, st *answer.Stream) error {
		return st.Whole([]byte(`{"Status":200}`))
	}
	assert.Equal(t, rg.do(t, http.MethodPost, "/services/feltapp/x", "quick").StatusCode, http.StatusOK)
	data, err := PlainAnswer{Status: 200, Body: []byte("done")}.Encode()
	assert.NilError(t, err)
	assert.NilError(t, rg.rn.streams["first"].Whole(data))
	assert.Equal(t, <-got, "done")
	rg.halt(t)
	assert.Equal(t, rg.bodyBytes.Load(), int64(0))
	assert.Equal(t, rg.openStreams(), 0)
}

// dialRaw opens a connection and sends bytes on it.
func dialRaw(t *testing.T, rg *rig, sent string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", rg.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(sent))
	assert.NilError(t, err)
	return conn
}

func TestSlowCallersAreCutOff(t *testing.T) {
	slow := serve(t, func(rg *rig) { rg.Limits = Limits{HeaderTimeout: 20} })
	data, err := io.ReadAll(dialRaw(t, slow, "POST /v1/chat/completions HTTP/1.1\r\nHo")) // ends when the server closes
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), "200 OK"))
	assert.Equal(t, len(slow.rn.started), 0)

	rg := serve(t, func(rg *rig) { rg.Limits = Limits{BodyGrace: 20} })
	auth := "Authorization: Bearer " + testKey + "\r\n"
	for name, tc := range map[string]struct{ sent, want string }{
		"body":           {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + auth + "Content-Length: 9\r\n\r\n{", "HTTP/1.1 408"},
		"unread body":    {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{", "HTTP/1.1 401"},
		"unrouted paths": {"POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{", "HTTP/1.1 404"},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := io.ReadAll(dialRaw(t, rg, tc.sent))
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(data), tc.want), "%q", data)
		})
	}
	assert.Equal(t, rg.counterSum("SlowBodies", ""), int64(1))
}

func TestConnectionsAreLimited(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.Limits = Limits{ConnectionsPerIP: 1} })
	begun := make(chan struct{})
	rg.rn.begin = func(Request, *answer.Stream) error {
		close(begun)
		return nil
	}
	dialRaw(t, rg, "GET /services/feltapp/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+testKey+"\r\nIdempotency-Key: k\r\n\r\n")
	<-begun // its request is in progress
	data, err := io.ReadAll(dialRaw(t, rg, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"))
	assert.NilError(t, err)
	head, rest, _ := strings.Cut(string(data), "\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(head, "HTTP/1.1 503 ") && strings.Contains(head, "\r\nRetry-After: 1\r\n") &&
		strings.Contains(head, "\r\nAlderdyke-Refusal: TooManyConnections\r\n"), head)
	assert.Equal(t, rg.counterSum("ConnectionsTurnedAway", ""), int64(1))
	var body errorBody
	assert.NilError(t, json.Unmarshal([]byte(rest), &body))
	assert.Equal(t, body.Error.Reason, refusal.TooManyConnections)
	assert.Equal(t, body.Error.Ran, refusal.NotRun)
	assert.Equal(t, body.Error.RetryAfter, clock.Second)
	assert.Equal(t, rest, `{"error":{"Ran":"NotRun","Reason":"TooManyConnections","RetryAfter":"1s","Detail":"connection limit of this VM"}}`)
}

// A caller that disconnects, or that does not read, no longer follows its answer.
func TestDisconnectedAndStalledCallersAreDetached(t *testing.T) {
	rg := serve(t, func(rg *rig) {
		// Data may stay unacknowledged for twice as long, after which the kernel
		// closes the connection: the machine that runs the test must not take that
		// long between two events.
		rg.Limits = Limits{WriteTimeout: 3 * clock.Second}
		rg.rn.watcherCounts = make(chan int, 16)
	})
	request := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey +
		"\r\nIdempotency-Key: %\r\nContent-Length: " + strconv.Itoa(len(chatText)) + "\r\n\r\n" + chatText
	gone := dialRaw(t, rg, strings.Replace(request, "%", "gone", 1))
	assert.Equal(t, <-rg.rn.watcherCounts, 1)
	assert.NilError(t, gone.Close())
	assert.Equal(t, <-rg.rn.watcherCounts, 0)

	dialRaw(t, rg, strings.Replace(request, "%", "stalled", 1))
	assert.Equal(t, <-rg.rn.watcherCounts, 1)
	piece := []byte(strings.Repeat("x", 1<<20))
	for range 64 { // far more than socket buffers hold
		assert.NilError(t, rg.rn.streams["stalled"].Token(piece))
	}
	assert.Equal(t, <-rg.rn.watcherCounts, 0)
	assert.Equal(t, rg.counterSum("StalledReaders", ""), int64(1))
}

func TestStreamsOfACustomerAreLimited(t *testing.T) {
	rg := serve(t, func(rg *rig) {
		rg.Limits = Limits{StreamsPerCustomer: 1, HeaderWait: 1}
	})
	open := rg.chat(t, headerKey, "k")
	assert.Equal(t, refusalIn(t, rg.chat(t)).Reason, refusal.ShareExceeded)
	assert.NilError(t, rg.rn.streams["k"].End(nil))
	assert.Assert(t, strings.Contains(text(t, open), "[DONE]"))
}
