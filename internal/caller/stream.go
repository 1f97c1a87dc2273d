package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"alderdyke/internal/answer"
	"alderdyke/internal/event"
	"alderdyke/internal/memory"
	"alderdyke/pkg/refusal"
)

const (
	kindChunk  = "chat.completion.chunk"
	kindWhole  = "chat.completion"
	finishStop = "stop"
	fromStart  = -1       // last event ID of a caller that has received none
	writePiece = 16 << 10 // bytes of a complete answer that get one write timeout
)

type (
	// ChatEnd is the data of an answer.End event. The zero value means the finish
	// reason "stop" and an unknown number of tokens.
	ChatEnd struct {
		Tokens       int    // output tokens
		PromptTokens int    // as the engine counted them
		FinishReason string // "stop" or "length"
	}

	// delivery is one caller that follows one answer.
	delivery struct {
		srv         *Server
		wr          http.ResponseWriter
		rc          *http.ResponseController
		ctx         context.Context
		class       string
		key         string
		model       string
		lastSeen    int             // ID of the last event that the caller has
		headerSent  bool            // the status was sent
		partialChar []byte          // bytes of an incomplete character
		text        strings.Builder // of a complete answer, as far as it was read
		tokens      int             // read so far
		reader      *answer.Reader  // of the answer; nil once the caller's copy of it is complete
		held        *memory.Holding // of the caller's copy of a complete answer
		heldBytes   int
	}

	chatAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"` // time of sending, in seconds since 1970
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage,omitempty"`
	}

	chatChoice struct {
		Index        int        `json:"index"`
		Delta        *chatDelta `json:"delta,omitempty"`
		Message      *chatDelta `json:"message,omitempty"`
		FinishReason *string    `json:"finish_reason"`
	}

	chatDelta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	chatUsage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
)

// lastEventID parses the header of a caller that reconnects.
func lastEventID(hd http.Header) (int, error) {
	text := hd.Get(headerLastID)
	if text == "" {
		return fromStart, nil
	}
	id, err := strconv.Atoi(text)
	if err != nil || id < 0 || strconv.Itoa(id) != text {
		return 0, badRequest(headerLastID + " must be an event ID of this answer: 0 or above")
	}
	return id, nil
}

// abort breaks the connection, so that the caller can't take what it has for a
// complete answer.
func abort() { panic(http.ErrAbortHandler) }

// stream sends the answer as server-sent events, starting after the last event that
// the caller has. It reads the answer from its start, because a character may span
// several events, and because the final event is sent again to a caller that already
// has it.
func (dl *delivery) stream(st *answer.Stream) {
	dl.reader = st.Attach(0)
	defer dl.release()
	for {
		ev, err := dl.next(dl.reader)
		if err != nil {
			abort()
		}
		if dl.sendAnswerEvent(ev) {
			return
		}
	}
}

// hold counts the caller's own copy of the answer, which is there in any case.
func (dl *delivery) hold(bytes int) {
	more := bytes - dl.heldBytes
	dl.heldBytes = bytes
	switch {
	case more == 0:
	case dl.held == nil:
		dl.held = dl.srv.Memory.Hold(int64(bytes))
	case more > 0:
		dl.held.Add(int64(more))
	default:
		dl.held.Release(int64(-more))
	}
}

// holdWhole counts the complete body that will be written, and lets go of the answer that it was
// copied from, so that the body is all that a slow caller holds.
func (dl *delivery) holdWhole(body []byte) {
	dl.text.Reset()
	dl.reader.Detach() // releases what was reserved for the copy
	dl.reader = nil
	dl.hold(len(body))
}

// release ends the delivery.
func (dl *delivery) release() {
	if dl.reader != nil {
		dl.reader.Detach()
	}
	dl.held.End()
}

// next waits for the next event and keeps the connection alive meanwhile.
func (dl *delivery) next(rd *answer.Reader) (answer.Event, error) {
	lm := dl.srv.limits
	for {
		wait := lm.KeepAlive
		if !dl.headerSent {
			wait = lm.HeaderWait
		}
		ctx, cancel := context.WithTimeout(dl.ctx, wait.Std())
		ev, err := rd.Next(ctx)
		cancel()
		if err == nil || dl.ctx.Err() != nil {
			return ev, err
		}
		dl.send(": keep-alive\n\n")
	}
}

// sendAnswerEvent sends one event and reports whether it was the caller's last.
func (dl *delivery) sendAnswerEvent(ev answer.Event) bool {
	switch ev.Kind {
	case answer.Token:
		dl.sendToken(ev)
		return false
	case answer.End:
		dl.sendEnd(ev)
	case answer.Whole:
		dl.sendWhole(ev)
	case answer.Refused:
		dl.sendRefusal(ev.ID, ev.Refusal)
	default:
		dl.sendRefusal(ev.ID, brokenAnswerRefusal())
	}
	return true
}

func (dl *delivery) sendToken(ev answer.Event) {
	dl.tokens++
	text := dl.completeText(ev.Data)
	if ev.ID <= dl.lastSeen {
		return
	}
	delta := &chatDelta{Content: text}
	if ev.ID == 0 {
		delta.Role = "assistant"
	}
	dl.sendEvent(ev.ID, "", dl.chunk(chatChoice{Delta: delta}, nil))
}

func (dl *delivery) sendEnd(ev answer.Event) {
	if ev.ID < dl.lastSeen { // the caller's part is of another, longer answer
		dl.sendRefusal(ev.ID, otherAnswerRefusal())
		return
	}
	end, err := parseEnd(ev.Data)
	if err != nil {
		dl.sendRefusal(ev.ID, brokenAnswerRefusal())
		return
	}
	choice := chatChoice{
		Delta:        &chatDelta{Content: strings.ToValidUTF8(string(dl.partialChar), "\uFFFD")},
		FinishReason: &end.FinishReason,
	}
	chunk := dl.chunk(choice, dl.usage(end))
	dl.sendEvent(ev.ID, "", chunk)
	dl.send("data: [DONE]\n\n")
	dl.srv.count("AnswersDelivered")
}

// sendWhole sends the answer of a plain service: as the response itself, unless the
// status of a stream was already sent.
func (dl *delivery) sendWhole(ev answer.Event) {
	pa, err := DecodePlain(ev.Data)
	switch {
	case err != nil:
		dl.sendRefusal(ev.ID, brokenAnswerRefusal())
	case dl.headerSent:
		dl.sendEvent(ev.ID, "whole", pa)
	default:
		dl.sendPlain(pa)
	}
}

func (dl *delivery) sendRefusal(id int, rf refusal.Refusal) {
	if !dl.headerSent {
		dl.wr.Header().Set(headerKey, dl.key)
		dl.srv.refuse(dl.wr, dl.class, rf)
		return
	}
	dl.srv.countRefusal(rf, dl.class)
	dl.sendEvent(id, "refusal", rf)
}

// completeText returns the text so far up to the last complete character and keeps
// the remaining bytes.
func (dl *delivery) completeText(data []byte) string {
	all := append(dl.partialChar, data...)
	cut := len(all)
	for back := 1; back < utf8.UTFMax && back <= len(all); back++ {
		if first := all[len(all)-back]; utf8.RuneStart(first) {
			if !utf8.FullRune(all[len(all)-back:]) {
				cut = len(all) - back
			}
			break
		}
	}
	dl.partialChar = append([]byte(nil), all[cut:]...)
	return strings.ToValidUTF8(string(all[:cut]), "\uFFFD")
}

func (dl *delivery) chunk(choice chatChoice, use *chatUsage) chatAnswer {
	ca := dl.newAnswer(kindChunk, choice)
	ca.Usage = use
	return ca
}

func (dl *delivery) newAnswer(object string, choice chatChoice) chatAnswer {
	return chatAnswer{
		ID: "chatcmpl-" + dl.key, Object: object, Created: time.Now().Unix(),
		Model: dl.model, Choices: []chatChoice{choice},
	}
}

func (dl *delivery) usage(end ChatEnd) *chatUsage {
	tokens := end.Tokens
	if tokens <= 0 {
		tokens = dl.tokens
	}
	return &chatUsage{
		PromptTokens: end.PromptTokens, CompletionTokens: tokens, TotalTokens: end.PromptTokens + tokens,
	}
}

// sendEvent sends one server-sent event.
func (dl *delivery) sendEvent(id int, name string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		abort()
	}
	text := fmt.Sprintf("id: %d\n", id)
	if name != "" {
		text += "event: " + name + "\n"
	}
	dl.send(text + "data: " + string(data) + "\n\n")
}

// send writes and flushes within the write timeout. If that fails, it breaks the
// connection.
func (dl *delivery) send(text string) {
	if !dl.headerSent {
		dl.beginStream()
	}
	if err := dl.srv.write(dl.wr, dl.rc, []byte(text)); err != nil {
		dl.srv.recordBrokenWrite(err, dl.key)
		abort()
	}
}

func (dl *delivery) beginStream() {
	dl.headerSent = true
	hd := dl.wr.Header()
	hd.Set("Content-Type", "text/event-stream; charset=utf-8")
	hd.Set("Cache-Control", "no-store")
	hd.Set(headerKey, dl.key)
	dl.wr.WriteHeader(http.StatusOK)
}

// write writes and flushes within the write timeout.
func (srv *Server) write(wr http.ResponseWriter, rc *http.ResponseController, data []byte) error {
	if err := rc.SetWriteDeadline(time.Now().Add(srv.limits.WriteTimeout.Std())); err != nil {
		return fmt.Errorf("set the deadline of a write: %w", err)
	}
	if _, err := wr.Write(data); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := rc.Flush(); err != nil {
		return fmt.Errorf("flush to the caller: %w", err)
	}
	return nil
}

// recordBrokenWrite counts a caller's connection that failed during a write.
func (srv *Server) recordBrokenWrite(err error, key string) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		srv.count("BrokenConnections")
		return
	}
	srv.count("StalledReaders")
	srv.Logger.Log(event.CallerStalled, event.F("Request", key))
}

func parseEnd(data []byte) (ChatEnd, error) {
	var end ChatEnd
	if len(data) > 0 {
		if err := json.Unmarshal(data, &end); err != nil {
			return ChatEnd{}, fmt.Errorf("decode the end of an answer: %s", describeJSONError(err))
		}
	}
	if end.FinishReason == "" {
		end.FinishReason = finishStop
	}
	return end, nil
}

func otherAnswerRefusal() refusal.Refusal {
	return refusal.Refusal{
		Ran: refusal.MayHaveRun, Reason: refusal.AnswerExpired,
		Detail: "the answer that the caller has a part of is no longer kept",
	}
}

func brokenAnswerRefusal() refusal.Refusal {
	return refusal.Refusal{
		Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed, Detail: "the answer can't be read",
	}
}
