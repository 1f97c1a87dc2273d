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
	tokenBytes = 4 // ASCII bytes that count as one token
	lengthMark = "answer tokens "
)

type (
	// callers are the clients of all customers, one at each VM, so that an
	// arrival goes to the VM that the bench sends it to.
	callers struct {
		model string
		byVM  []map[string]*client.Client // by customer
	}

	// end is what became of one call.
	end struct {
		whole  bool
		right  bool // the answer is the one that the engines make for the prompt
		first  clock.Millis
		tpot   float64 // milliseconds between tokens
		reason refusal.Reason
	}

	// watch times the pieces of one answer.
	watch struct {
		src   clock.Monotonic
		start clock.Millis

		mu    sync.Mutex
		first clock.Millis
		last  clock.Millis
	}
)

func newCallers(sets []settings.Settings, bd bench.Deployment) *callers {
	cs := &callers{model: bd.Service}
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

func (cs *callers) close() {
	for _, own := range cs.byVM {
		for _, cl := range own {
			cl.Close()
		}
	}
}

// call sends one arrival and follows it to its end.
func (cs *callers) call(ctx context.Context, number int, arr bench.Arrival) end {
	msgs := messages(number, arr)
	wt := &watch{}
	wt.start = wt.src.Now()
	ans, err := cs.byVM[arr.VM][arr.Class.Customer].Chat(ctx, client.ChatRequest{
		Model:     cs.model,
		Class:     arr.Class.Name,
		Messages:  msgs,
		MaxTokens: arr.Class.Max,
		OnText:    func(string) { wt.piece() },
	})
	if err != nil {
		var rf refusal.Refusal
		errors.As(err, &rf)
		return end{reason: rf.Reason}
	}
	return end{
		whole: true,
		right: ans.Text == strings.Join(standin.Answer(prompt(msgs), arr.Output), ""),
		first: wt.first - wt.start,
		tpot:  float64(wt.last-wt.first) / float64(max(1, ans.Tokens-1)),
	}
}

func (wt *watch) piece() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.last = wt.src.Now()
	if wt.first == 0 {
		wt.first = wt.last
	}
}

// messages make a prompt of the wanted length, with the shared prefix as a
// system message of its own, that tells the stand-in how long to answer.
func messages(number int, arr bench.Arrival) []client.Message {
	var msgs []client.Message
	tokens := arr.Prompt
	if arr.Prefix != 0 {
		msgs = append(msgs, client.Message{Role: "system", Content: filler(fmt.Sprintf("prefix %d ", arr.Prefix), bench.PrefixTokens)})
		tokens -= bench.PrefixTokens
	}
	head := fmt.Sprintf("%s%d; request %d: ", lengthMark, arr.Output, number)
	return append(msgs, client.Message{Role: "user", Content: filler(head, tokens)})
}

func filler(head string, tokens int) string {
	want := max(len(head), tokens*tokenBytes)
	return (head + strings.Repeat("field note. ", want/12+1))[:want]
}

// prompt is the canonical form in which the engines see the messages.
func prompt(msgs []client.Message) string {
	var parts []string
	for _, ms := range msgs {
		parts = append(parts, fmt.Sprintf(`{"role":%q,"content":%q}`, ms.Role, ms.Content))
	}
	return "[" + strings.Join(parts, ",") + "]"
}

// lengthIn reads how long the answer to a prompt is to be.
func lengthIn(prompt string, bound int) int {
	_, rest, ok := strings.Cut(prompt, lengthMark)
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
