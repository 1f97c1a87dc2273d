package slope

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/pkg/clock"
)

const (
	apiKey         = "a-key-of-the-measurement"
	tokensOfAnswer = 278
	tokenText      = " boiler"
	openTarget     = 250 // requests of one VM that decode at the peak: 25.5/s, 9.7 s each
	connTarget     = 1000
)

var (
	callerCounts = []int{1, 5, 10, 25, 50, 100}

	errBadStatus = errors.New("unexpected status")
)

type (
	// heldAnswers answers requests with streams that the study fills.
	heldAnswers struct {
		mu      sync.Mutex
		streams []*answer.Stream
	}

	// callerSite is the real callers' side of one VM.
	callerSite struct {
		srv  *caller.Server
		rn   *heldAnswers
		stop context.CancelFunc
		done chan error
	}
)

// Start implements [caller.Runner].
func (ha *heldAnswers) Start(context.Context, caller.Request) (*answer.Stream, error) {
	st := answer.NewStream()
	st.Token([]byte(tokenText))
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.streams = append(ha.streams, st)
	return st, nil
}

// Find implements [caller.Runner].
func (ha *heldAnswers) Find(context.Context, string, string) (*answer.Stream, error) { return nil, nil }

// Addresses implements [caller.Runner].
func (ha *heldAnswers) Addresses() ([]caller.Address, clock.Millis) {
	return []caller.Address{{Address: "10.0.0.1:8443", FailureDomain: "domain-0"}}, 1
}

// Accepting implements [caller.Runner].
func (ha *heldAnswers) Accepting() error { return nil }

func startCallers(ctx context.Context) (*callerSite, error) {
	sum := sha256.Sum256([]byte(apiKey))
	tpl := usualTemplate(0).WithKeyHash(hex.EncodeToString(sum[:]))
	bd := &board.Board{}
	bd.SetTemplates(&board.Templates{
		Ready:      true,
		ByCustomer: map[string]board.ActiveTemplate{tpl.Customer: {Template: tpl, Revision: 1}},
		ByKeyHash:  map[string]string{hex.EncodeToString(sum[:]): tpl.Customer},
	})
	ctx, stop := context.WithCancel(ctx)
	cs := &callerSite{rn: &heldAnswers{}, stop: stop, done: make(chan error, 1)}
	cs.srv = &caller.Server{Listen: "127.0.0.1:0", Runner: cs.rn, Board: bd,
		Limits: caller.Limits{ListLag: 1, StopWait: 1, IdleTimeout: clock.Hour}}
	go func() { cs.done <- cs.srv.Run(ctx) }()
	select {
	case <-cs.srv.Ready():
		return cs, nil
	case err := <-cs.done:
		stop()
		return nil, fmt.Errorf("start the callers' side: %w", err)
	}
}

// ask sends one request on a connection of its own and returns the connection
// and its reader.
func (cs *callerSite) ask(request string) (net.Conn, *bufio.Reader, error) {
	cn, err := net.Dial("tcp", cs.srv.Addr().String())
	if err != nil {
		return nil, nil, fmt.Errorf("dial: %w", err)
	}
	if _, err := io.WriteString(cn, request); err != nil {
		return cn, nil, fmt.Errorf("send: %w", err)
	}
	return cn, bufio.NewReaderSize(cn, 1<<10), nil
}

func (cs *callerSite) close(conns []net.Conn) {
	for _, cn := range conns {
		cn.Close()
	}
	cs.rn.mu.Lock()
	for _, st := range cs.rn.streams {
		st.End([]byte("{}"))
	}
	cs.rn.mu.Unlock()
	cs.stop()
	<-cs.done
}

// measureStreams weighs answers, idle connections of callers and streams that
// callers read.
func measureStreams(ctx context.Context, rp *Report) error {
	measureAnswers(rp)
	idle := rp.series(Series{Name: "IdleConnectionMemory", Along: "idle connections", Unit: "B", Kind: Memory,
		Shape: Linear, Target: connTarget})
	request := fmt.Sprintf("GET /v1/addresses HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\n\r\n", apiKey)
	if err := holdCallers(ctx, idle, request, readWhole); err != nil {
		return fmt.Errorf("idle connections: %w", err)
	}
	open := rp.series(Series{Name: "OpenStreamMemory", Along: "open streams", Unit: "B", Kind: Memory,
		Shape: Linear, Target: openTarget})
	body := `{"model":"rapportmodel","stream":true,"max_tokens":278,"messages":[{"role":"user","content":"` +
		strings.Repeat("weld 7 leaks. ", 200) + `"}]}`
	request = fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
	if err := holdCallers(ctx, open, request, readToken); err != nil {
		return fmt.Errorf("open streams: %w", err)
	}
	return measureTokens(ctx, rp, request)
}

// measureAnswers weighs whole answers of the usual length.
func measureAnswers(rp *Report) {
	memory := rp.series(Series{Name: "AnswerMemory", Along: "answers of 278 tokens", Unit: "B", Kind: Memory,
		Shape: Linear, Target: openTarget})
	for _, count := range callerCounts {
		empty := held()
		var streams []*answer.Stream
		for range count {
			st := answer.NewStream()
			for range tokensOfAnswer {
				st.Token([]byte(tokenText))
			}
			streams = append(streams, st)
		}
		memory.add(count, held()-empty)
		runtime.KeepAlive(streams)
	}
}

// holdCallers keeps connections open after one request on each.
func holdCallers(ctx context.Context, memory *Series, request string, read func(rd *bufio.Reader) error) error {
	cs, err := startCallers(ctx)
	if err != nil {
		return err
	}
	var conns []net.Conn
	defer func() { cs.close(conns) }()
	warm, rd, err := cs.ask(request)
	if err != nil {
		return err
	}
	conns = append(conns, warm)
	if err := read(rd); err != nil {
		return err
	}
	empty := held()
	for _, count := range callerCounts {
		for len(conns) <= count {
			cn, rd, err := cs.ask(request)
			if cn != nil {
				conns = append(conns, cn)
			}
			if err != nil {
				return err
			}
			if err := read(rd); err != nil {
				return err
			}
		}
		memory.add(count, held()-empty)
	}
	return nil
}

// readWhole reads an answer with a length.
func readWhole(rd *bufio.Reader) error {
	rsp, err := http.ReadResponse(rd, nil)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w %d", errBadStatus, rsp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return nil
}

// readToken reads a stream up to its first token.
func readToken(rd *bufio.Reader) error {
	for {
		line, err := rd.ReadString('\n')
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if strings.Contains(line, strings.TrimSpace(tokenText)) {
			return nil
		}
		if strings.HasPrefix(line, "HTTP/1.1 ") && !strings.HasPrefix(line, "HTTP/1.1 200") {
			return fmt.Errorf("%w %q", errBadStatus, line)
		}
	}
}

// measureTokens sends tokens to one caller and counts what they cost.
func measureTokens(ctx context.Context, rp *Report, request string) error {
	const tokens = 20_000
	cs, err := startCallers(ctx)
	if err != nil {
		return err
	}
	cn, rd, err := cs.ask(request)
	if err != nil {
		return err
	}
	defer cs.close([]net.Conn{cn})
	if err := readToken(rd); err != nil {
		return err
	}
	cs.rn.mu.Lock()
	st := cs.rn.streams[0]
	cs.rn.mu.Unlock()
	began, err := processor()
	if err != nil {
		return err
	}
	size := 0
	for range tokens {
		st.Token([]byte(tokenText))
		got, err := readEvent(rd)
		if err != nil {
			return err
		}
		size += got
	}
	ended, err := processor()
	if err != nil {
		return err
	}
	rp.fact("TokenBytes", Count, float64(size)/tokens, "B sent to a caller for one token")
	rp.fact("TokenTime", Time, float64((ended-began).Microseconds())/tokens, "us for one token that is sent by itself, both ends")
	return nil
}

// readEvent reads up to the next token and returns the bytes that it took.
func readEvent(rd *bufio.Reader) (int, error) {
	size := 0
	for {
		line, err := rd.ReadString('\n')
		size += len(line)
		if err != nil {
			return size, fmt.Errorf("read: %w", err)
		}
		if strings.Contains(line, strings.TrimSpace(tokenText)) {
			return size, nil
		}
	}
}
