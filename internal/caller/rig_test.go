package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

const (
	testKey  = "insp-0123456789"
	chatText = `{"model":"rapportmodel","messages":[{"role":"user","content":"weld 7"}],"stream":true}`
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type (
	// fakeRunner keeps one stream per key.
	fakeRunner struct {
		mu            sync.Mutex
		streams       map[string]*answer.Stream
		started       []Request
		begin         func(req Request, st *answer.Stream) error
		refuse        error
		watcherCounts chan int
		list          []Address
	}

	// rig is a running server and a client of it.
	rig struct {
		*Server
		rn    *fakeRunner
		scope tally.TestScope
		base  string
		http  *http.Client
		stop  context.CancelFunc
		done  chan error
	}
)

func (fr *fakeRunner) Start(_ context.Context, req Request) (*answer.Stream, error) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.started = append(fr.started, req)
	if st, ok := fr.streams[req.Key]; ok {
		return st, nil
	}
	if req.Resumed {
		return nil, refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.AnswerExpired}
	}
	st := answer.NewStream()
	if fr.watcherCounts != nil {
		st.OnWatchers(func(now int) { fr.watcherCounts <- now })
	}
	fr.streams[req.Key] = st
	if fr.begin != nil {
		return st, fr.begin(req, st)
	}
	return st, nil
}

func (fr *fakeRunner) Find(_ context.Context, _, key string) (*answer.Stream, error) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.streams[key], nil
}

func (fr *fakeRunner) Addresses() ([]Address, clock.Millis) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.list != nil {
		return fr.list, 30 * clock.Second
	}
	return []Address{{Address: "10.0.0.1:80", FailureDomain: "aarhus-a"}}, 30 * clock.Second
}

func (fr *fakeRunner) Accepting() error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.refuse
}

func (fr *fakeRunner) setRefuse(err error) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.refuse = err
}

func testBoard() *board.Board {
	sum := sha256.Sum256([]byte(testKey))
	hash := hex.EncodeToString(sum[:])
	tpl := template.Template{Customer: "kedelsyn", KeyHashes: []string{hash}, Classes: []template.Class{
		{Name: "findings", Service: "rapportmodel", MaxTokens: 100, Deadline: clock.Minute},
		{Name: "summary", Service: "rapportmodel", MaxTokens: 10, Deadline: clock.Second},
		{Name: "lookup", Service: "feltapp", Paths: []string{"/records"}, Idempotent: true},
		{Name: "certify", Service: "feltapp", Paths: []string{"/records/certify", "/"}},
	}}
	bd := &board.Board{}
	bd.SetTemplates(&board.Templates{
		Ready:      true,
		ByCustomer: map[string]board.ActiveTemplate{"kedelsyn": {Template: tpl}},
		ByKeyHash:  map[string]string{hash: "kedelsyn"},
	})
	return bd
}

// serve runs a server on the loopback address until the test ends.
func serve(t *testing.T, change func(rg *rig)) *rig {
	t.Helper()
	rn := &fakeRunner{streams: map[string]*answer.Stream{}}
	rg := &rig{rn: rn, scope: tally.NewTestScope("", nil), done: make(chan error, 1)}
	linger := make(chan time.Time)
	close(linger)
	rg.Server = &Server{
		Listen: "127.0.0.1:0", Runner: rn, Board: testBoard(), Scope: rg.scope,
		Linger: func(clock.Millis) <-chan time.Time { return linger },
	}
	if change != nil {
		change(rg)
	}
	ctx, cancel := context.WithCancel(context.Background())
	rg.stop = cancel
	go func() { rg.done <- rg.Run(ctx) }()
	<-rg.Ready()
	rg.base = "http://" + rg.Addr().String()
	rg.http = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() { rg.halt(t) })
	return rg
}

// halt stops the server and waits for its last handler.
func (rg *rig) halt(t *testing.T) {
	t.Helper()
	rg.http.CloseIdleConnections()
	rg.stop()
	err := <-rg.done
	rg.done <- err // for the next call
	assert.NilError(t, err)
}

// do sends a request with the test's API key. The header holds names and values in
// turn.
func (rg *rig) do(t *testing.T, method, path, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, rg.base+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for ix := 0; ix < len(header); ix += 2 {
		req.Header.Set(header[ix], header[ix+1])
	}
	resp, err := rg.http.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (rg *rig) chat(t *testing.T, header ...string) *http.Response {
	t.Helper()
	return rg.do(t, http.MethodPost, "/v1/chat/completions", chatText, header...)
}

// counterSum adds up the counters of a name, or those of them with the given reason.
func (rg *rig) counterSum(name, reason string) int64 {
	var sum int64
	for _, ct := range rg.scope.Snapshot().Counters() {
		if ct.Name() == name && (reason == "" || ct.Tags()["Reason"] == reason) {
			sum += ct.Value()
		}
	}
	return sum
}

// text reads the body of a response.
func text(t *testing.T, resp *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(data)
}

// joinChunks joins the content of all chunks and lists the event IDs.
func joinChunks(t *testing.T, stream string) (content string, ids []string) {
	t.Helper()
	sc := bufio.NewScanner(strings.NewReader(stream))
	for sc.Scan() {
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: {")
		if !ok {
			continue
		}
		var ca chatAnswer
		assert.NilError(t, json.Unmarshal([]byte("{"+data), &ca))
		content += ca.Choices[0].Delta.Content
	}
	return content, ids
}

// refusalIn returns the refusal in a response and checks its header.
func refusalIn(t *testing.T, resp *http.Response) refusal.Refusal {
	t.Helper()
	var body errorBody
	assert.NilError(t, json.Unmarshal([]byte(text(t, resp)), &body))
	assert.Equal(t, resp.Header.Get(headerRefusal), string(body.Error.Reason))
	return body.Error
}

// answerWith returns a start function that produces a complete answer of these tokens.
func answerWith(parts ...string) func(Request, *answer.Stream) error {
	return func(_ Request, st *answer.Stream) error {
		for _, part := range parts {
			_ = st.Token([]byte(part))
		}
		return st.End([]byte(`{"Tokens":3,"PromptTokens":2,"FinishReason":"length"}`))
	}
}
