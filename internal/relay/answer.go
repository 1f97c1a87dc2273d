package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/memory"
	"alderdyke/pkg/clock"
)

const (
	// maxBufferedBytes is the largest answer that is read completely before its first
	// byte is sent to the caller, so that another attempt can still follow. Answers
	// of plain services are about a hundredth of it.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the buffer size for answers that are streamed through.
	copyBufferBytes = 16 << 10
	// slowWrite is the time of one write of copyBufferBytes from which on a caller, and
	// not the server, is the reason why an answer does not end in time. A caller that
	// reads 16 KB a second is slower than any usual connection.
	slowWrite = clock.Second
)

// framing is what delimits the body of a response.
type framing string

const (
	byLength     framing = "Length"
	byChunks     framing = "Chunks"
	byConnection framing = "Connection" // the body ends where its connection is closed
)

// errServerCrashed reports that a server crashed when its answer ended.
var errServerCrashed = errors.New("the server crashed when its answer ended")

// hopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// bufferedAnswer is an answer held in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// statusOf returns the status of a response for a log line, or zero if there is none.
func statusOf(rsp *http.Response) int {
	if rsp == nil {
		return 0
	}
	return rsp.StatusCode
}

func framingOf(rsp *http.Response) framing {
	switch {
	case len(rsp.TransferEncoding) > 0:
		return byChunks
	case rsp.ContentLength >= 0:
		return byLength
	default:
		return byConnection
	}
}

// checkEnd returns an InDoubtError if a body that ended in order may be incomplete: a
// process that crashes closes its connections too, which delimits a body that has
// neither a length nor chunks. A server that leaves exits after its last answer.
func (rl *Relay) checkEnd(ctx context.Context, bs board.BackendServer, rsp *http.Response) error {
	listed, ok := rl.Backends().Server(bs.ID)
	if framingOf(rsp) != byConnection || !ok || listed.Leaving || !rl.hasCrashed(ctx, bs) {
		return nil
	}
	return backend.InDoubtError{Server: bs.ID, Call: "Send", Status: rsp.StatusCode, Err: errServerCrashed}
}

// EndToEnd copies a header without its hop-by-hop fields.
func EndToEnd(hd http.Header) http.Header {
	out := maps.Clone(hd)
	for _, line := range hd["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

// bufferAnswer reads an answer to its end. If it exceeds the limit, or the VM has no memory
// for more of it, the part that was read is returned together with a reader for the rest.
// An answer that is passed on needs no more memory, and its server waits while its caller
// reads slowly; only another attempt can no longer follow.
func (rl *Relay) bufferAnswer(hd *memory.Holding, rsp *http.Response) (wh bufferedAnswer, rest io.Reader, err error) {
	wh = bufferedAnswer{status: rsp.StatusCode, header: rsp.Header}
	reserve := func(bytes int64) error {
		if !hd.TryReserve(bytes) {
			return memory.ErrRefused
		}
		return nil
	}
	length := cmp.Or(rsp.ContentLength, -1) // a response that was not read from a connection may state none
	wh.body, err = backend.ReadReserved(rsp.Body, length, maxBufferedBytes+1, reserve)
	if errors.Is(err, memory.ErrRefused) {
		rl.count("AnswersNotHeld", map[string]string{"Reason": "Memory"})
		return wh, rsp.Body, nil
	}
	if err != nil {
		return wh, nil, err
	}
	if len(wh.body) > maxBufferedBytes {
		return wh, rsp.Body, nil
	}
	return wh, nil, nil
}

// writeHeader writes the status and the header of an answer. Without a length the
// body is sent in chunks, and the last chunk marks its end.
func writeHeader(wr http.ResponseWriter, status int, header http.Header) {
	to := wr.Header()
	for name, values := range EndToEnd(header) {
		to[name] = slices.Clone(values)
	}
	if to["Content-Type"] == nil {
		to["Content-Type"] = nil // otherwise net/http would guess one
	}
	if to["Date"] == nil {
		to["Date"] = nil
	}
	wr.WriteHeader(status)
}

// writeBuffered writes an answer held in memory.
func writeBuffered(wr http.ResponseWriter, wh bufferedAnswer) error {
	writeHeader(wr, wh.status, wh.header)
	if _, err := wr.Write(wh.body); err != nil {
		return wrapCut(err)
	}
	return nil
}

// restResult is how the copying of the rest of an answer ended.
type restResult struct {
	errRead, errWrite error
	longestWrite      clock.Millis
}

// copyRest writes the rest of an answer, which was not read, as its server sends it.
func (rl *Relay) copyRest(wr io.Writer, rest io.Reader) (rr restResult) {
	buf := make([]byte, copyBufferBytes)
	for {
		size, err := rest.Read(buf)
		began := rl.now()
		if _, rr.errWrite = wr.Write(buf[:size]); rr.errWrite != nil {
			return rr
		}
		rr.longestWrite = max(rr.longestWrite, rl.now()-began)
		if errors.Is(err, io.EOF) {
			return rr
		}
		if err != nil {
			rr.errRead = err
			return rr
		}
	}
}
