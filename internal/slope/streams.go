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
	apiKey            = "a-key-of-the-measurement"
	answerTokens      = 278
	tokenText         = " boiler"
	openTarget        = 250 // requests of one VM that decode at peak load: 25.5/s for 9.7 s each
	connectionsTarget = 1000
)

var (
	callerCounts = []int{1, 5, 10, 25, 50, 100}

	errBadStatus = errors.New("unexpected status")
)

type (
	// openAnswers starts answers whose streams the study fills.
	openAnswers struct {
		mu      sync.Mutex
		streams []*answer.Stream
	}

	// callerServer is the real caller API of one VM.
	callerServer struct {
		srv    *caller.Server
		runner *openAnswers
		stop   context.CancelFunc
		done   chan error
	}
)

// Start implements [caller.Runner].
func (ha *openAnswers) Start(context.Context, caller.Request) (*answer.Stream, error) {
	st := answer.NewStream()
	st.Token([]byte(tokenText))
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.streams = append(ha.streams, st)
	return st, nil
}

// Find implements [caller.Runner].
func (ha *openAnswers) Find(context.Context, string, string) (*answer.Stream, error) { return nil, nil }

// Addresses implements [caller.Runner].
func (ha *openAnswers) Addresses() ([]caller.Address, clock.Millis) {
	return []caller.Address{{Address: "10.0.0.1:8443", FailureDomain: "domain-0"}}, 1
}

// Accepting implements [caller.Runner].
func (ha *openAnswers) Accepting() error { return nil }

func startCallerServer(ctx context.Context) (*callerServer, error) {
	sum := sha256.Sum256([]byte(apiKey))
	tpl := typicalTemplate(0).WithKeyHash(hex.EncodeToString(sum[:]))
	bd := &board.Board{}
	bd.SetTemplates(&board.Templates{
		Ready:      true,
		ByCustomer: map[string]board.ActiveTemplate{tpl.Customer: {Template: tpl, Revision: 1}},
		ByKeyHash:  map[string]string{hex.EncodeToString(sum[:]): tpl.Customer},
	})
	ctx, stop := context.WithCancel(ctx)
	cs := &callerServer{runner: &openAnswers{}, stop: stop, done: make(chan error, 1)}
	cs.srv = &caller.Server{Listen: "127.0.0.1:0", Runner: cs.runner, Board: bd,
		Limits: caller.Limits{ListLag: 1, StopWait: 1, IdleTimeout: clock.Hour}}
	go func() { cs.done <- cs.srv.Run(ctx) }()
	select {
	case <-cs.srv.Ready():
		return cs, nil
	case err := <-cs.done:
		stop()
		return nil, fmt.Errorf("start the caller server: %w", err)
	}
}

// sendRequest sends a request over a new connection and returns the connection and its
// reader.
func (cs *callerServer) sendRequest(request string) (net.Conn, *bufio.Reader, error) {
	cn, err := net.Dial("tcp", cs.srv.Addr().String())
	if err != nil {
		return nil, nil, fmt.Errorf("dial the caller server: %w", err)
	}
	if _, err := io.WriteString(cn, request); err != nil {
		return cn, nil, fmt.Errorf("send the request: %w", err)
	}
	return cn, bufio.NewReaderSize(cn, 1<<10), nil
}

// close closes the connections, ends all answers and stops the server.
func (cs *callerServer) close(conns []net.Conn) {
	for _, cn := range conns {
		cn.Close()
	}
	cs.runner.mu.Lock()
	for _, st := range cs.runner.streams {
		st.End([]byte("{}"))
	}
	cs.runner.mu.Unlock()
	cs.stop()
	<-cs.done
}

// measureStreams measures the memory of answers, of idle caller connections and of
// streams that callers read.
func measureStreams(ctx context.Context, rp *Report) error {
	measureAnswers(rp)
	idle := rp.addSeries(Series{Name: "IdleConnectionMemory", Along: "idle connections", Unit: "B", Kind: Memory,
		Shape: Linear, Target: connectionsTarget})
	request := fmt.Sprintf("GET /v1/addresses HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\n\r\n", apiKey)
	if err := holdConnections(ctx, idle, request, readResponse); err != nil {
		return fmt.Errorf("idle connections: %w", err)
	}
	open := rp.addSeries(Series{Name: "OpenStreamMemory", Along: "open streams", Unit: "B", Kind: Memory,
		Shape: Linear, Target: openTarget})
	body := `{"model":"rapportmodel","stream":true,"max_tokens":278,"messages":[{"role":"user","content":"` +
		strings.Repeat("weld 7 leaks. ", 200) + `"}]}`
	request = fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
	if err := holdConnections(ctx, open, request, readToFirstToken); err != nil {
		return fmt.Errorf("open streams: %w", err)
	}
	return measureTokens(ctx, rp, request)
}

// measureAnswers measures the memory of complete answers of typical length.
func measureAnswers(rp *Report) {
	memory := rp.addSeries(Series{Name: "AnswerMemory", Along: "answers of 278 tokens", Unit: "B", Kind: Memory,
		Shape: Linear, Target: openTarget})
	for _, count := range callerCounts {
		empty := memoryInUse()
		var streams []*answer.Stream
		for range count {
			st := answer.NewStream()
			for range answerTokens {
				st.Token([]byte(tokenText))
			}
			streams = append(streams, st)
		}
		memory.addPoint(count, memoryInUse()-empty)
		runtime.KeepAlive(streams)
	}
}

// holdConnections sends one request on each connection, keeps the connections open and
// adds the memory that they hold at each count. A first connection is not counted,
// because it allocates what all connections share.
func holdConnections(ctx context.Context, memory *Series, request string, read func(rd *bufio.Reader) error) error {
	cs, err := startCallerServer(ctx)
	if err != nil {
		return err
	}
	var conns []net.Conn
	defer func() { cs.close(conns) }()
	warm, rd, err := cs.sendRequest(request)
	if err != nil {
		return err
	}
	conns = append(conns, warm)
	if err := read(rd); err != nil {
		return err
	}
	empty := memoryInUse()
	for _, count := range callerCounts {
		for len(conns) <= count {
			cn, rd, err := cs.sendRequest(request)
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
		memory.addPoint(count, memoryInUse()-empty)
	}
	return nil
}

// readResponse reads a response with a Content-Length.
func readResponse(rd *bufio.Reader) error {
	rsp, err := http.ReadResponse(rd, nil)
	if err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w %d", errBadStatus, rsp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		return fmt.Errorf("read the body: %w", err)
	}
	return nil
}

// readToFirstToken reads a stream up to its first token.
func readToFirstToken(rd *bufio.Reader) error {
	for {
		line, err := rd.ReadString('\n')
		if err != nil {
			return fmt.Errorf("read the stream: %w", err)
		}
		if strings.Contains(line, strings.TrimSpace(tokenText)) {
			return nil
		}
		if strings.HasPrefix(line, "HTTP/1.1 ") && !strings.HasPrefix(line, "HTTP/1.1 200") {
			return fmt.Errorf("%w %q", errBadStatus, line)
		}
	}
}

// measureTokens streams tokens to one caller and measures their cost.
func measureTokens(ctx context.Context, rp *Report, request string) error {
	const tokens = 20_000
	cs, err := startCallerServer(ctx)
	if err != nil {
		return err
	}
	cn, rd, err := cs.sendRequest(request)
	if err != nil {
		return err
	}
	defer cs.close([]net.Conn{cn})
	if err := readToFirstToken(rd); err != nil {
		return err
	}
	cs.runner.mu.Lock()
	st := cs.runner.streams[0]
	cs.runner.mu.Unlock()
	began, err := processorTime()
	if err != nil {
		return err
	}
	size := 0
	for range tokens {
		st.Token([]byte(tokenText))
		got, err := readToNextToken(rd)
		if err != nil {
			return err
		}
		size += got
	}
	ended, err := processorTime()
	if err != nil {
		return err
	}
	rp.addFact("TokenBytes", Count, float64(size)/tokens, "B sent to a caller for one token")
	rp.addFact("TokenTime", Time, float64((ended-began).Microseconds())/tokens, "us for one token that is sent by itself, both ends")
	return nil
}

// readToNextToken reads up to the next token and returns the number of bytes read.
func readToNextToken(rd *bufio.Reader) (int, error) {
	size := 0
	for {
		line, err := rd.ReadString('\n')
		size += len(line)
		if err != nil {
			return size, fmt.Errorf("read the stream: %w", err)
		}
		if strings.Contains(line, strings.TrimSpace(tokenText)) {
			return size, nil
		}
	}
}
