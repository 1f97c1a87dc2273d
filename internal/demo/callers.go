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

// Names of the classes in examples/kedelsyn.toml, and how many callers of each come.
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
	// outcome is what became of the callers' requests.
	outcome struct {
		mu       sync.Mutex
		classes  map[string]*classOutcome
		refusals map[refusal.Reason]int
		wrong    []string // answers that are not what the engines made
	}

	classOutcome struct {
		sent    int
		whole   int
		inTime  int
		targets clock.Millis
	}

	// visit is one caller's request.
	visit struct {
		class  string
		target clock.Millis // to the first text, or to the whole answer of a plain service
		call   func(ctx context.Context, first func()) error
	}
)

// callers lets all callers at the fleet at once and waits for their ends.
func (fl *fleet) callers(ctx context.Context) *outcome {
	oc := &outcome{classes: make(map[string]*classOutcome), refusals: make(map[refusal.Reason]int)}
	cl := &client.Client{APIKey: APIKey}
	for _, set := range fl.sets {
		cl.Bootstrap = append(cl.Bootstrap, set.Caller.Listen.String())
	}
	defer cl.Close()
	var wg sync.WaitGroup
	for _, vi := range visits(cl, oc) {
		wg.Go(func() { oc.run(ctx, vi) })
	}
	wg.Wait()
	return oc
}

func visits(cl *client.Client, oc *outcome) []visit {
	var out []visit
	for ix := range findingsCallers {
		note := strings.Repeat(fmt.Sprintf("Weld %d, pressure log of boiler %d. ", ix, ix*7), 200)
		out = append(out, oc.chat(cl, findings, note, findingsTokens, 20*clock.Second))
	}
	for ix := range fieldnoteCallers {
		out = append(out, oc.chat(cl, fieldnote, fmt.Sprintf("Valve class of boiler %d?", ix), fieldnoteTokens, clock.Second))
	}
	for ix := range recordsCallers {
		out = append(out, oc.plain(cl, fmt.Sprintf("/records/boiler-%d", ix)))
	}
	return out
}

// chat is a caller who checks the answer token by token.
func (oc *outcome) chat(cl *client.Client, class, note string, tokens int, target clock.Millis) visit {
	return visit{class: class, target: target, call: func(ctx context.Context, first func()) error {
		var once sync.Once
		ans, err := cl.Chat(ctx, client.ChatRequest{
			Model:     Model,
			Class:     class,
			Messages:  []client.Message{{Role: "user", Content: note}},
			MaxTokens: tokens,
			OnText:    func(string) { once.Do(first) },
		})
		if err != nil {
			return fmt.Errorf("ask for a chat of class %s: %w", class, err)
		}
		prompt := fmt.Sprintf(`[{"role":"user","content":%q}]`, note)
		if want := strings.Join(standin.Answer(prompt, tokens), ""); ans.Text != want {
			oc.fault(fmt.Sprintf("%s: %d bytes differ from what the engines make", class, len(ans.Text)))
		}
		return nil
	}}
}

func (oc *outcome) plain(cl *client.Client, path string) visit {
	return visit{class: records, target: clock.Second, call: func(ctx context.Context, first func()) error {
		ans, err := cl.Call(ctx, client.PlainRequest{Service: Plain, Method: http.MethodGet, Path: path})
		if err != nil {
			return fmt.Errorf("call the plain service: %w", err)
		}
		first()
		if want := standin.Reply(http.MethodGet, path, nil); string(ans.Body) != want {
			oc.fault(records + ": the answer belongs to another request")
		}
		return nil
	}}
}

func (oc *outcome) run(ctx context.Context, vi visit) {
	var src clock.Monotonic
	start := src.Now()
	var took clock.Millis
	err := vi.call(ctx, func() { took = src.Now() - start })
	oc.mu.Lock()
	defer oc.mu.Unlock()
	co := oc.classes[vi.class]
	if co == nil {
		co = &classOutcome{targets: vi.target}
		oc.classes[vi.class] = co
	}
	co.sent++
	var rf refusal.Refusal
	switch {
	case err == nil:
		co.whole++
		if took <= vi.target {
			co.inTime++
		}
	case errors.As(err, &rf):
		oc.refusals[rf.Reason]++
	default:
		oc.wrong = append(oc.wrong, vi.class+": "+err.Error())
	}
}

func (oc *outcome) fault(text string) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.wrong = append(oc.wrong, text)
}

// print writes goodput by class, wasted prefill, refusals and wrong answers.
func (oc *outcome) print(out io.Writer, dp *deployment.Deployment) {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "class\tsent\twhole\tin time\ttarget")
	for _, name := range []string{findings, fieldnote, records} {
		if co := oc.classes[name]; co != nil {
			fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%s\n", name, co.sent, co.whole, co.inTime, co.targets)
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
	fmt.Fprintf(out, "wrong answers: %s\n", orNone(oc.wrong))
}

func orNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
