package load

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"alderdyke/internal/sched/bench"
	"alderdyke/internal/settings"
	"alderdyke/internal/standin"
	"alderdyke/pkg/client"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	tokenBytes         = 4 // ASCII bytes counted as one token
	answerLengthPrefix = "answer tokens "
)

type (
	// customerClients holds a client for each customer and VM, so that an arrival goes
	// to the VM that the bench chose for it.
	customerClients struct {
		model string
		byVM  []map[string]*client.Client // by VM index and customer
	}

	// callResult is the outcome of one call.
	callResult struct {
		complete bool
		correct  bool // the answer is the one that the engines generate for the prompt
		ttft     clock.Millis
		tpot     float64        // milliseconds between tokens
		reason   refusal.Reason // empty if the call failed without a refusal
	}

	// answerTimer records when the first and the last text of an answer arrive.
	answerTimer struct {
		src   clock.Monotonic
		start clock.Millis

		mu    sync.Mutex
		first clock.Millis
		last  clock.Millis
	}
)

func newCustomerClients(sets []settings.Settings, bd bench.Deployment) *customerClients {
	cs := &customerClients{model: bd.Service}
	for _, set := range sets {
		own := make(map[string]*client.Client)
		for _, cl := range bd.Classes {
			own[cl.Customer] = &client.Client{
				Bootstrap: []string{set.Caller.Listen.String()},
				APIKey:    apiKey(cl.Customer),
				Attempts:  1,
			}
		}
		cs.byVM = append(cs.byVM, own)
	}
	return cs
}

func (cs *customerClients) close() {
	for _, own := range cs.byVM {
		for _, cl := range own {
			cl.Close()
		}
	}
}

// call sends one arrival and waits until it ends.
func (cs *customerClients) call(ctx context.Context, number int, arr bench.Arrival) callResult {
	msgs := messages(number, arr)
	wt := &answerTimer{}
	wt.start = wt.src.Now()
	ans, err := cs.byVM[arr.VM][arr.Class.Customer].Chat(ctx, client.ChatRequest{
		Model:     cs.model,
		Class:     arr.Class.Name,
		Messages:  msgs,
		MaxTokens: arr.Class.MaxTokens,
		OnText:    func(string) { wt.recordText() },
	})
	if err != nil {
		var rf refusal.Refusal
		errors.As(err, &rf)
		return callResult{reason: rf.Reason}
	}
	return callResult{
		complete: true,
		correct:  ans.Text == strings.Join(standin.Answer(canonicalPrompt(msgs), arr.Output), ""),
		ttft:     wt.first - wt.start,
		tpot:     float64(wt.last-wt.first) / float64(max(1, ans.Tokens-1)),
	}
}

func (wt *answerTimer) recordText() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.last = wt.src.Now()
	if wt.first == 0 {
		wt.first = wt.last
	}
}

// messages builds a prompt of the arrival's length that also tells the stand-in how
// many tokens to answer. A shared prefix becomes a system message of its own.
func messages(number int, arr bench.Arrival) []client.Message {
	var msgs []client.Message
	tokens := arr.Prompt
	if arr.Prefix != 0 {
		msgs = append(msgs, client.Message{Role: "system", Content: fillerText(fmt.Sprintf("prefix %d ", arr.Prefix), bench.PrefixTokens)})
		tokens -= bench.PrefixTokens
	}
	head := fmt.Sprintf("%s%d; request %d: ", answerLengthPrefix, arr.Output, number)
	return append(msgs, client.Message{Role: "user", Content: fillerText(head, tokens)})
}

func fillerText(head string, tokens int) string {
	want := max(len(head), tokens*tokenBytes)
	return (head + strings.Repeat("field note. ", want/12+1))[:want]
}

// canonicalPrompt returns the messages in the canonical form that the engines receive.
func canonicalPrompt(msgs []client.Message) string {
	var parts []string
	for _, ms := range msgs {
		parts = append(parts, fmt.Sprintf(`{"role":%q,"content":%q}`, ms.Role, ms.Content))
	}
	return "[" + strings.Join(parts, ",") + "]"
}

// answerLength parses the answer length out of a prompt. It returns the bound if the
// prompt has none.
func answerLength(prompt string, bound int) int {
	_, rest, ok := strings.Cut(prompt, answerLengthPrefix)
	if !ok {
		return bound
	}
	text, _, _ := strings.Cut(rest, ";")
	tokens, err := strconv.Atoi(text)
	if err != nil || tokens < 1 {
		return bound
	}
	return min(tokens, bound)
}
