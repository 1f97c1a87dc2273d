package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

const (
	prefixBytes   = 1 << 10 // of a prompt without system messages, for its PrefixHash
	maxMessages   = 4096
	messageTokens = 4 // estimated tokens that frame one message
)

type (
	// chatBody is the body of a chat completion request. Other fields are ignored, as
	// is usual in this protocol.
	chatBody struct {
		Model               string        `json:"model"`
		Messages            []chatMessage `json:"messages"`
		MaxTokens           *int          `json:"max_tokens"`
		MaxCompletionTokens *int          `json:"max_completion_tokens"` // the newer name; takes precedence
		Stream              bool          `json:"stream"`
		Choices             *int          `json:"n"`
	}

	chatMessage struct {
		Role    string      `json:"role"`
		Content chatContent `json:"content"`
	}

	// chatContent is a text, or a list of parts that are all text.
	chatContent string

	chatPart struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
)

// UnmarshalJSON parses both forms of a message's content. A part that is not text is
// an error instead of being dropped.
func (cc *chatContent) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		*cc = ""
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*cc = chatContent(text)
		return nil
	}
	var parts []chatPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content is neither a text nor a list of parts")
	}
	var sb strings.Builder
	for ix, part := range parts {
		if part.Type != "text" || part.Text == nil {
			return fmt.Errorf("content part %d is not text", ix)
		}
		sb.WriteString(*part.Text)
	}
	*cc = chatContent(sb.String())
	return nil
}

// parseChat parses and validates the body of a chat completion request. Its errors
// never contain any part of the body.
func parseChat(data []byte) (chatBody, error) {
	var cb chatBody
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&cb); err != nil {
		return chatBody{}, badRequest("the body is not the JSON of a chat completion: " + describeJSONError(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return chatBody{}, badRequest("the body goes on after its JSON object")
	}
	return cb, cb.check()
}

func (cb chatBody) check() error {
	switch {
	case cb.Model == "":
		return badRequest("model is missing")
	case len(cb.Messages) == 0:
		return badRequest("messages is missing or empty")
	case len(cb.Messages) > maxMessages:
		return badRequest(fmt.Sprintf("messages holds more than %d", maxMessages))
	case cb.Choices != nil && *cb.Choices != 1:
		return badRequest("n must be 1: every request has one answer")
	case cb.requestedTokens() != nil && *cb.requestedTokens() <= 0:
		return badRequest("max_tokens must be above 0")
	}
	for ix, msg := range cb.Messages {
		if msg.Role == "" {
			return badRequest(fmt.Sprintf("messages[%d].role is missing", ix))
		}
	}
	return nil
}

func (cb chatBody) requestedTokens() *int {
	if cb.MaxCompletionTokens != nil {
		return cb.MaxCompletionTokens
	}
	return cb.MaxTokens
}

// newChat creates the request for a class from the body.
func (cb chatBody) newChat(cls template.Class) (*Chat, error) {
	prompt, err := render(cb.Messages)
	if err != nil {
		return nil, err
	}
	hash, err := cb.prefixHash(prompt)
	if err != nil {
		return nil, err
	}
	most := cls.MaxTokens
	if asked := cb.requestedTokens(); asked != nil && (most <= 0 || *asked < most) {
		most = *asked
	}
	if most <= 0 {
		return nil, badRequest("max_tokens is missing and the class has no bound")
	}
	return &Chat{
		Model: cb.Model, Prompt: prompt, MaxTokens: most, PrefixHash: hash,
		PromptTokens: estimateTokens(prompt) + messageTokens*len(cb.Messages),
	}, nil
}

// render returns the messages in their canonical form.
func render(msgs []chatMessage) (string, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(msgs); err != nil {
		return "", fmt.Errorf("render the messages: %w", err)
	}
	return strings.TrimSuffix(buf.String(), "\n"), nil
}

// prefixHash computes Chat.PrefixHash.
func (cb chatBody) prefixHash(prompt string) (uint64, error) {
	lead := 0
	for lead < len(cb.Messages) && (cb.Messages[lead].Role == "system" || cb.Messages[lead].Role == "developer") {
		lead++
	}
	switch {
	case lead > 0:
		prefix, err := render(cb.Messages[:lead])
		if err != nil {
			return 0, err
		}
		return xxhash.Sum64String(prefix), nil
	case len(prompt) > prefixBytes:
		return xxhash.Sum64String(prompt[:prefixBytes]), nil
	default:
		return 0, nil
	}
}

// estimateTokens estimates the number of tokens of a text: one token per four ASCII
// bytes, or per four thirds of any other character.
func estimateTokens(text string) int {
	quarters := 0
	for _, rn := range text {
		if rn < utf8.RuneSelf {
			quarters++
		} else {
			quarters += 3
		}
	}
	return (quarters + 3) / 4
}

// chatClass finds the class of a request to a model service: the one that the header
// names, or the first class of the service.
func chatClass(tpl template.Template, service, named string) (template.Class, error) {
	known := false
	for _, cls := range tpl.Classes {
		if cls.Service != service || len(cls.Paths) > 0 {
			continue
		}
		known = true
		if named == "" || cls.Name == named {
			return cls, nil
		}
	}
	if known {
		return template.Class{}, refusal.Refusal{
			Ran: refusal.NotRun, Reason: refusal.UnknownClass,
			Detail: "the customer's template has no class of this name for this model",
		}
	}
	return template.Class{}, refusal.Refusal{
		Ran: refusal.NotRun, Reason: refusal.UnknownService,
		Detail: "the customer's template has no class for this model",
	}
}

// deadline returns the class's deadline, or the caller's own if that is shorter.
func deadline(hd http.Header, cls template.Class) (clock.Millis, error) {
	text := hd.Get(headerDeadline)
	if text == "" {
		return cls.Deadline, nil
	}
	var span clock.Millis
	if err := span.UnmarshalText([]byte(text)); err != nil || span <= 0 {
		return 0, badRequest(headerDeadline + " must be a span above 0 such as 2s or 250ms")
	}
	if cls.Deadline > 0 && cls.Deadline < span {
		return cls.Deadline, nil
	}
	return span, nil
}

// fingerprint computes Request.Fingerprint.
func (ch *Chat) fingerprint(class string) []byte {
	return digest("chat", class, ch.Model, ch.Prompt, fmt.Sprint(ch.MaxTokens))
}

// digest hashes parts so that different lists of parts have different hash inputs.
func digest(parts ...string) []byte {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(sum, "%d:", len(part))
		_, _ = io.WriteString(sum, part)
	}
	return sum.Sum(nil)
}

// describeJSONError describes a JSON error without quoting the text.
func describeJSONError(err error) string {
	var (
		syn *json.SyntaxError
		typ *json.UnmarshalTypeError
	)
	switch {
	case errors.As(err, &syn):
		return fmt.Sprintf("syntax at byte %d", syn.Offset)
	case errors.As(err, &typ):
		return fmt.Sprintf("%s has the wrong type at byte %d", typ.Field, typ.Offset)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "it is cut short"
	default:
		return "a message's content is neither text nor a list of text parts"
	}
}

// chatRequest is the parser of chat completion requests.
func chatRequest(tpl template.Template, req *http.Request, body []byte) (run Request, streamed bool, err error) {
	cb, err := parseChat(body)
	if err != nil {
		return Request{}, false, err
	}
	cls, err := chatClass(tpl, cb.Model, req.Header.Get(headerClass))
	if err != nil {
		return Request{}, false, err
	}
	run = Request{Customer: tpl.Customer, Template: tpl, Class: cls}
	if run.Chat, err = cb.newChat(cls); err != nil {
		return run, false, err
	}
	run.Fingerprint = run.Chat.fingerprint(cls.Name)
	return run, cb.Stream, nil
}
