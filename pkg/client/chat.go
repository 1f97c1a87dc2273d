package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"alderdyke/pkg/clock"
)

const (
	maxLineBytes = 4 << 20 // of one line of a stream
	noEventID    = -1      // lastID before the first event
)

type (
	// Message is one message of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// ChatRequest is a request to a model service.
	ChatRequest struct {
		Model     string
		Messages  []Message
		MaxTokens int // zero means the maximum of the class

		Class    string       // name of the class; empty means the model's first
		Deadline clock.Millis // zero means the deadline of the class, which is also the maximum

		// Key identifies the request. An application that may restart sets a
		// key and sends the same one again; otherwise each call generates its
		// own.
		Key string

		// Idempotent lets the call retry after a refusal with MayHaveRun, as
		// long as no text was received.
		Idempotent bool

		// OnText, if set, is called with each piece of the answer, in order
		// and exactly once.
		OnText func(text string)
	}

	// ChatAnswer is a model's complete answer.
	ChatAnswer struct {
		Text         string
		FinishReason string
		Tokens       int // output tokens
		Key          string
	}

	// chatCall is a call of a model service.
	chatCall struct {
		cs     *callState
		req    ChatRequest
		body   []byte
		lastID int // ID of the last event received
		text   strings.Builder
		ans    ChatAnswer
	}

	// sseEvent is one server-sent event.
	sseEvent struct {
		id   int // noEventID if it has none
		name string
		data string
	}

	// chatChunk is the data of one event of an answer.
	chatChunk struct {
		Choices []struct {
			Delta        struct{ Content string } `json:"delta"`
			FinishReason *string                  `json:"finish_reason"`
		} `json:"choices"`
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
)

// Chat sends a request to a model service and returns its complete answer, or an
// error that wraps a refusal.Refusal.
func (cl *Client) Chat(ctx context.Context, req ChatRequest) (ChatAnswer, error) {
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []Message `json:"messages"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Stream    bool      `json:"stream"`
	}{req.Model, req.Messages, req.MaxTokens, true})
	if err != nil {
		return ChatAnswer{}, fmt.Errorf("%w: %w", errNotRun("the request can't be encoded"), err)
	}
	cc := &chatCall{cs: &callState{key: req.Key}, req: req, body: body, lastID: noEventID}
	if err := cl.run(ctx, cc.cs, cc); err != nil {
		return ChatAnswer{}, fmt.Errorf("chat completion: %w", err)
	}
	cc.ans.Text, cc.ans.Key = cc.text.String(), cc.cs.key
	return cc.ans, nil
}

func (cc *chatCall) partDelivered() bool { return cc.lastID != noEventID }
func (cc *chatCall) idempotent() bool    { return cc.req.Idempotent }

func (cc *chatCall) request(ctx context.Context, addr string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+addr+"/v1/chat/completions", bytes.NewReader(cc.body))
	if err != nil {
		return nil, fmt.Errorf("make the request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerKey, cc.cs.key)
	if cc.lastID != noEventID {
		req.Header.Set(headerLastID, strconv.Itoa(cc.lastID))
	}
	if cc.req.Class != "" {
		req.Header.Set(headerClass, cc.req.Class)
	}
	if cc.req.Deadline > 0 {
		req.Header.Set(headerDeadline, cc.req.Deadline.String())
	}
	return req, nil
}

func (cc *chatCall) read(resp *http.Response) outcome {
	kind := resp.Header.Get("Content-Type")
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(kind, "text/event-stream") {
		return broken{err: fmt.Errorf("status %d without a stream or a refusal", resp.StatusCode)}
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, maxLineBytes)
	for {
		ev, err := nextEvent(sc)
		if err != nil {
			return broken{err: err}
		}
		oc, err := cc.handleEvent(ev)
		if err != nil {
			return broken{err: err}
		}
		if oc != nil {
			return oc
		}
	}
}

// handleEvent handles one event. The outcome is nil while the answer continues. The text
// of an event that was received before is skipped.
func (cc *chatCall) handleEvent(ev sseEvent) (outcome, error) {
	switch {
	case ev.name == "refusal":
		rf, err := parseRefusal([]byte(ev.data))
		if err != nil {
			return nil, err
		}
		return refused{rf}, nil
	case ev.name != "" || ev.data == "":
		return nil, nil
	case ev.id == noEventID:
		return nil, errors.New("a chunk has no event ID")
	case ev.id > cc.lastID+1:
		return nil, fmt.Errorf("received event %d, expected event %d", ev.id, cc.lastID+1)
	}
	var ck chatChunk
	if err := json.Unmarshal([]byte(ev.data), &ck); err != nil {
		return nil, fmt.Errorf("parse chunk %d: %w", ev.id, err)
	}
	if len(ck.Choices) != 1 {
		return nil, fmt.Errorf("chunk %d has %d choices", ev.id, len(ck.Choices))
	}
	if ev.id > cc.lastID {
		cc.lastID = ev.id
		cc.appendText(ck.Choices[0].Delta.Content)
	}
	if end := ck.Choices[0].FinishReason; end != nil {
		if ev.id < cc.lastID { // the end of a different, shorter answer
			return nil, fmt.Errorf("the answer ends with event %d, but event %d was received before", ev.id, cc.lastID)
		}
		cc.ans.FinishReason, cc.ans.Tokens = *end, ck.Usage.CompletionTokens
		return completed{}, nil
	}
	return nil, nil
}

func (cc *chatCall) appendText(text string) {
	if text == "" {
		return
	}
	cc.text.WriteString(text)
	if cc.req.OnText != nil {
		cc.req.OnText(text)
	}
}

// nextEvent reads one event. The end of the stream is an error, because an answer
// ends with a final event.
func nextEvent(sc *bufio.Scanner) (sseEvent, error) {
	ev := sseEvent{id: noEventID}
	var data []string
	for sc.Scan() {
		line := sc.Text()
		if line == "" {
			if ev.id != noEventID || ev.name != "" || data != nil {
				ev.data = strings.Join(data, "\n")
				return ev, nil
			}
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id, err := strconv.Atoi(value)
			if err != nil || id < 0 {
				return sseEvent{}, errors.New("an event ID is not a number")
			}
			ev.id = id
		case "event":
			ev.name = value
		case "data":
			data = append(data, value)
		}
	}
	if err := sc.Err(); err != nil {
		return sseEvent{}, fmt.Errorf("read the stream: %w", err)
	}
	return sseEvent{}, errors.New("the stream broke off before its final event")
}
