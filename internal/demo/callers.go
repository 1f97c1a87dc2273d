package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"alderdyke/internal/standin"
	"alderdyke/internal/standin/deployment"
	enginesim "alderdyke/internal/standin/engine"
	"alderdyke/pkg/client"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Classes of examples/kedelsyn.toml, with the number of callers and of output tokens.
const (
	findings  = "findings"
	fieldnote = "fieldnote"
	records   = "records"

	findingsCallers  = 6
	fieldnoteCallers = 12
	recordsCallers   = 24

	findingsTokens  = 48
	fieldnoteTokens = 8
)

type (
	// outcome collects the results of all callers' requests.
	outcome struct {
		mu           sync.Mutex
		classes      map[string]*classOutcome
		refusals     map[refusal.Reason]int
		wrongAnswers []string // answers that differ from what the engines generate, and errors other than refusals
	}

	classOutcome struct {
		sent     int
		complete int
		inTime   int
		target   clock.Millis
	}

	// callerRequest is one caller's request. call invokes its argument first at the
	// first text, or at the whole answer of a plain service.
	callerRequest struct {
		class  string
		target clock.Millis // maximum time until call invokes first
		call   func(ctx context.Context, first func()) error
	}
)

// runCallers sends all callers' requests concurrently and waits until they end.
func (fl *fleet) runCallers(ctx context.Context) *outcome {
	oc := &outcome{classes: make(map[string]*classOutcome), refusals: make(map[refusal.Reason]int)}
	cl := &client.Client{APIKey: APIKey}
	for _, set := range fl.sets {
		cl.Bootstrap = append(cl.Bootstrap, set.Caller.Listen.String())
	}
	defer cl.Close()
	var wg sync.WaitGroup
	for _, vi := range callerRequests(cl, oc) {
		wg.Go(func() { oc.run(ctx, vi) })
	}
	wg.Wait()
	return oc
}

func callerRequests(cl *client.Client, oc *outcome) []callerRequest {
	var out []callerRequest
	for ix := range findingsCallers {
		note := strings.Repeat(fmt.Sprintf("Weld %d, pressure log of boiler %d. ", ix, ix*7), 200)
		out = append(out, oc.chatRequest(cl, findings, note, findingsTokens, 20*clock.Second))
	}
	for ix := range fieldnoteCallers {
		out = append(out, oc.chatRequest(cl, fieldnote, fmt.Sprintf("Valve class of boiler %d?", ix), fieldnoteTokens, clock.Second))
	}
	for ix := range recordsCallers {
		out = append(out, oc.plainRequest(cl, fmt.Sprintf("/records/boiler-%d", ix)))
	}
	return out
}

// chatRequest returns a chat request whose answer is compared with what the engines
// generate.
func (oc *outcome) chatRequest(cl *client.Client, class, note string, tokens int, target clock.Millis) callerRequest {
	return callerRequest{class: class, target: target, call: func(ctx context.Context, first func()) error {
		var once sync.Once
		ans, err := cl.Chat(ctx, client.ChatRequest{
			Model:     Model,
			Class:     class,
			Messages:  []client.Message{{Role: "user", Content: note}},
			MaxTokens: tokens,
			OnText:    func(string) { once.Do(first) },
		})
		if err != nil {
			return fmt.Errorf("send a chat request of class %s: %w", class, err)
		}
		prompt := fmt.Sprintf(`[{"role":"user","content":%q}]`, note)
		if want := strings.Join(standin.Answer(prompt, tokens), ""); ans.Text != want {
			oc.addWrongAnswer(fmt.Sprintf("%s: %d bytes differ from what the engines make", class, len(ans.Text)))
		}
		return nil
	}}
}

func (oc *outcome) plainRequest(cl *client.Client, path string) callerRequest {
	return callerRequest{class: records, target: clock.Second, call: func(ctx context.Context, first func()) error {
		ans, err := cl.Call(ctx, client.PlainRequest{Service: PlainService, Method: http.MethodGet, Path: path})
		if err != nil {
			return fmt.Errorf("call the plain service: %w", err)
		}
		first()
		if want := standin.Reply(http.MethodGet, path, nil); string(ans.Body) != want {
			oc.addWrongAnswer(records + ": the answer belongs to another request")
		}
		return nil
	}}
}

func (oc *outcome) run(ctx context.Context, vi callerRequest) {
	var src clock.Monotonic
	start := src.Now()
	var took clock.Millis
	err := vi.call(ctx, func() { took = src.Now() - start })
	oc.mu.Lock()
	defer oc.mu.Unlock()
	co := oc.classes[vi.class]
	if co == nil {
		co = &classOutcome{target: vi.target}
		oc.classes[vi.class] = co
	}
	co.sent++
	var rf refusal.Refusal
	switch {
	case err == nil:
		co.complete++
		if took <= vi.target {
			co.inTime++
		}
	case errors.As(err, &rf):
		oc.refusals[rf.Reason]++
	default:
		oc.wrongAnswers = append(oc.wrongAnswers, vi.class+": "+err.Error())
	}
}

func (oc *outcome) addWrongAnswer(text string) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.wrongAnswers = append(oc.wrongAnswers, text)
}

// print prints the results by class, the wasted prefill, the refusals and wrong answers.
func (oc *outcome) print(out io.Writer, dp *deployment.Deployment) {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "class\tsent\twhole\tin time\ttarget")
	for _, name := range []string{findings, fieldnote, records} {
		if co := oc.classes[name]; co != nil {
			fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%s\n", name, co.sent, co.complete, co.inTime, co.target)
		}
	}
	tw.Flush()
	var hists []enginesim.History
	for _, en := range dp.Engines {
		hists = append(hists, en.History())
	}
	waste := enginesim.WasteOf(hists...)
	fmt.Fprintf(out, "\nprefill: %d tokens computed, %d wasted\n", waste.Computed, waste.Wasted)
	var reasons []string
	for reason, count := range oc.refusals {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, count))
	}
	slices.Sort(reasons)
	fmt.Fprintf(out, "refusals: %s\n", orNone(reasons))
	fmt.Fprintf(out, "wrong answers: %s\n", orNone(oc.wrongAnswers))
}

func orNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
