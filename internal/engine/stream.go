package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
)

// readAheadTokens is how many tokens a stream buffers ahead of its reader.
const readAheadTokens = 16

// Errors of a token stream. They are wrapped in an InDoubtError.
var (
	// ErrTorn reports that a token is missing, duplicated or malformed.
	ErrTorn = errors.New("token stream is torn")
	// ErrEnded reports that the engine ended the stream early, for example after a
	// cancel order.
	ErrEnded = errors.New("engine ended the stream early")
	// ErrStreamClosed reports that Close was called.
	ErrStreamClosed = errors.New("token stream is closed")
)

type (
	// Stream is the token stream of one decode. Next must not be called concurrently;
	// Close may be called from any goroutine.
	Stream struct {
		Attempt int // that the tokens belong to

		cl     call
		log    event.Logger
		items  chan item
		closed chan struct{}
		cancel context.CancelFunc
		once   sync.Once
		endErr error
	}

	// item is a token or the error that ends the stream.
	item struct {
		tok Token
		err error
	}
)

// openStream opens a token stream. The context bounds only the time until the engine
// has answered.
func (ec *Client) openStream(ctx context.Context, cl call, from int) (*Stream, error) {
	st, err := ec.connectStream(ctx, cl, from)
	ec.count(cl, err)
	return st, err
}

// connectStream sends the call and starts reading the stream.
func (ec *Client) connectStream(ctx context.Context, cl call, from int) (*Stream, error) {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	rsp, err := ec.send(life, cl)
	if err != nil {
		cancel()
		return nil, err
	}
	if !stop() { // the context has just ended, so the body is lost
		_ = rsp.Body.Close()
		return nil, cl.inDoubt(ctx.Err())
	}
	att, err := strconv.Atoi(rsp.Header.Get(AttemptHeader))
	if err != nil {
		cancel()
		_ = rsp.Body.Close()
		return nil, cl.inDoubt(fmt.Errorf("parse header %s: %w", AttemptHeader, err))
	}
	st := &Stream{
		Attempt: att, cl: cl, log: ec.Log, cancel: cancel,
		items: make(chan item, readAheadTokens), closed: make(chan struct{}),
	}
	go st.read(rsp, from)
	return st, nil
}

// Next waits for the next token. If the context ends first, its error is returned and
// the stream stays usable. After the last token Next returns io.EOF, and after Close
// it may return ErrStreamClosed. Any other error is an InDoubtError and ends the
// stream; [Client.Resume] can continue from there.
func (st *Stream) Next(ctx context.Context) (Token, error) {
	if st.endErr != nil {
		return Token{}, st.endErr
	}
	select {
	case <-ctx.Done():
		return Token{}, fmt.Errorf("wait for token: %w", ctx.Err())
	case <-st.closed:
		return Token{}, ErrStreamClosed
	case it := <-st.items:
		if it.err != nil {
			st.endErr = it.err
		} else if it.tok.Last {
			st.endErr = io.EOF
		}
		return it.tok, it.err
	}
}

// Close closes the connection. The decode continues at the engine.
func (st *Stream) Close() {
	st.once.Do(func() {
		close(st.closed)
		st.cancel()
	})
}

// read parses lines into items until the answer is complete or the stream breaks.
func (st *Stream) read(rsp *http.Response, from int) {
	defer st.cancel()
	defer rsp.Body.Close()
	sc := bufio.NewScanner(rsp.Body)
	sc.Buffer(make([]byte, 0, 512), lineBytes)
	for want := from; ; want++ {
		tok, err := readToken(sc, want)
		if err != nil {
			if errors.Is(err, ErrTorn) {
				st.log.Log(event.EngineStreamTorn, event.F("Server", st.cl.srv.ID), event.F("Index", want))
			}
			err = st.cl.inDoubt(err)
		}
		select {
		case st.items <- item{tok, err}:
		case <-st.closed:
			return
		}
		if err != nil || tok.Last {
			return
		}
	}
}

func readToken(sc *bufio.Scanner, want int) (Token, error) {
	if !sc.Scan() {
		if err := sc.Err(); err != nil {
			return Token{}, fmt.Errorf("read token %d: %w", want, err)
		}
		return Token{}, fmt.Errorf("read token %d: %w", want, io.ErrUnexpectedEOF)
	}
	return ParseToken(sc.Bytes(), want)
}

// ParseToken parses one line of a token stream and checks its index against the
// expected one.
func ParseToken(line []byte, want int) (Token, error) {
	var tok Token
	if err := json.Unmarshal(line, &tok); err != nil {
		// The cause is left out because it would quote the answer.
		return Token{}, fmt.Errorf("token %d is no JSON document: %w", want, ErrTorn)
	}
	if tok.Ended != "" {
		return Token{}, fmt.Errorf("before token %d: %w: %s", want, ErrEnded, knownReason(tok.Ended))
	}
	if tok.Index != want {
		return Token{}, fmt.Errorf("token %d came where %d was due: %w", tok.Index, want, ErrTorn)
	}
	return tok, nil
}

// knownReason keeps free text from an engine out of errors.
func knownReason(said string) backend.Reason {
	switch rs := backend.Reason(said); rs {
	case backend.Cancelled, backend.Leaving:
		return rs
	default:
		return backend.Other
	}
}
