package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"alderdyke/internal/invariant"
	"alderdyke/pkg/client"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

type (
	// ongoing is a call in progress.
	ongoing struct {
		mu          sync.Mutex
		call        invariant.Call
		err         error
		explanation string // what the VMs knew about it at its end, if it was not whole
		done        chan struct{}
		stop        context.CancelCauseFunc
	}
)

var errCallerLeft = errors.New("the caller leaves")

func isAttemptOf(name, key string) bool { return strings.HasPrefix(name, customer+"/"+key+"/") }

// keyOf takes the customer and the attempt off an engine's name of a request.
func keyOf(name string) string {
	name = strings.TrimPrefix(name, customer+"/")
	if ix := strings.LastIndexByte(name, '/'); ix >= 0 {
		return name[:ix]
	}
	return name
}

// startCall starts a call and notes its end.
func (fl *fleet) startCall(call invariant.Call, run func(ctx context.Context, og *ongoing) error) *ongoing {
	ctx, stop := context.WithCancelCause(context.Background())
	og := &ongoing{call: call, done: make(chan struct{}), stop: stop}
	og.call.Customer, og.call.Began = customer, time.Now()
	go func() {
		defer close(og.done)
		defer stop(nil)
		err := run(ctx, og)
		ended, story := time.Now(), ""
		if err != nil {
			story = fl.explain(call.Key)
		}
		og.mu.Lock()
		og.err, og.explanation = err, story
		og.call.Ended = ended
		og.call.Outcomes = append(og.call.Outcomes, outcomeOf(ctx, err))
		done := og.call
		og.mu.Unlock()
		fl.updateHistory(func(hs *invariant.History) { hs.Calls = append(hs.Calls, done) })
	}()
	fl.t.Cleanup(func() {
		if fl.t.Failed() {
			fl.logIncomplete(og)
			fl.logRuns(call.Key)
		}
		stop(errCallerLeft)
		<-og.done
	})
	return og
}

// logIncomplete logs what became of a call that has no whole answer.
func (fl *fleet) logIncomplete(og *ongoing) {
	og.mu.Lock()
	defer og.mu.Unlock()
	if len(og.call.Outcomes) == 1 && og.err == nil {
		return
	}
	if len(og.call.Outcomes) == 0 {
		og.explanation = fl.explain(og.call.Key)
	}
	fl.t.Logf("%s: %d bytes, ends %v at %s, error %v\n%s", og.call.Key, len(og.call.Received), og.call.Outcomes,
		og.call.Ended.Format(time.StampMilli), og.err, og.explanation)
}

// logRuns logs what the engines and the VMs know of a key.
func (fl *fleet) logRuns(key string) {
	fl.t.Logf("%s:\n%s", key, fl.explain(key))
	for _, en := range fl.dp.Engines {
		for _, rec := range en.History().Runs {
			if isAttemptOf(rec.Request, key) {
				fl.t.Logf("%s at %s, %s: attempt %d for %s, %d decodes began, %d tokens, %q, %v",
					rec.Request, en.ID, rec.Role, rec.Attempt, rec.VM.ID, rec.Decodes, rec.Tokens, rec.Outcome, rec.Stages)
			}
		}
	}
}

// explain tells what the VMs know about a request.
func (fl *fleet) explain(key string) string {
	for _, vm := range fl.vms {
		if story := fl.explainAt(vm, key); story != "" {
			return story
		}
	}
	return "\tno VM can be asked\n"
}

// explainAt is what one VM and those that it can ask know about a request;
// empty if the VM can't be asked.
func (fl *fleet) explainAt(vm *vm, key string) string {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	reply, err := vm.ops.Explain(ctx, customer, key)
	if err != nil {
		return ""
	}
	var sb strings.Builder
	for _, line := range reply.Lines {
		fmt.Fprintf(&sb, "\t%s %6v %s\n", line.VM, line.Since, line.Text)
	}
	return sb.String()
}

// outcomeOf is the end of a call in the words of the checker. A call that broke
// off has a refusal that promises nothing, as pkg/client would make it.
func outcomeOf(ctx context.Context, err error) invariant.Outcome {
	var rf refusal.Refusal
	switch {
	case err == nil:
		return invariant.Complete{}
	case errors.Is(context.Cause(ctx), errCallerLeft):
		return invariant.CallerLeft{}
	case errors.As(err, &rf):
		return invariant.Refused{Refusal: rf}
	default:
		return invariant.Refused{Refusal: refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.HomeUnreachable, Detail: err.Error()}}
	}
}

func (og *ongoing) addReceived(text string) {
	og.mu.Lock()
	defer og.mu.Unlock()
	og.call.Received += text
}

// received returns what came so far.
func (og *ongoing) received() int {
	og.mu.Lock()
	defer og.mu.Unlock()
	return len(og.call.Received)
}

// hangUp lets the caller go for good, and waits until it is gone.
func (og *ongoing) hangUp() {
	og.stop(errCallerLeft)
	<-og.done
}

// wait waits for the wait of the call.
func (og *ongoing) wait() error {
	<-og.done
	og.mu.Lock()
	defer og.mu.Unlock()
	return og.err
}

// waitRefusal waits for the end and returns the refusal, or a zero one.
func (og *ongoing) waitRefusal() refusal.Refusal {
	var rf refusal.Refusal
	errors.As(og.wait(), &rf)
	return rf
}

// client is a caller's library that knows all VMs.
func (fl *fleet) client() *client.Client {
	cl := &client.Client{APIKey: apiKey, IdleTimeout: 10 * clock.Second}
	for _, vm := range fl.vms {
		cl.Bootstrap = append(cl.Bootstrap, vm.set.Caller.Advertise.String())
	}
	fl.t.Cleanup(cl.Close)
	return cl
}

// promptOf is the prompt that engines get for a note.
func promptOf(note string) string { return fmt.Sprintf(`[{"role":"user","content":%q}]`, note) }

// chat starts a request to the model with a key of its own.
func (fl *fleet) chat(cl *client.Client, class, key string, tokens int) *ongoing {
	note := "Field notes of " + key + ". "
	if class == "findings" {
		note = strings.Repeat(note, 50)
	}
	return fl.chatOf(cl, class, key, note, tokens)
}

// chatOf starts a call of a model with a note of the caller's.
func (fl *fleet) chatOf(cl *client.Client, class, key, note string, tokens int) *ongoing {
	call := invariant.Call{Key: key, Idempotent: true, Request: invariant.Chat{Prompt: promptOf(note), Tokens: tokens}}
	return fl.startCall(call, func(ctx context.Context, og *ongoing) error {
		_, err := cl.Chat(ctx, client.ChatRequest{
			Model: model, Class: class, Key: key, MaxTokens: tokens, Idempotent: true,
			Messages: []client.Message{{Role: "user", Content: note}},
			OnText:   og.addReceived,
		})
		return err
	})
}

// record starts an idempotent call of the plain service.
func (fl *fleet) record(cl *client.Client, key string) *ongoing {
	return fl.plain(cl, http.MethodGet, "/records/"+key, key, true)
}

// payment starts a call of the plain service that may run at most once.
func (fl *fleet) payment(cl *client.Client, key string) *ongoing {
	return fl.plain(cl, http.MethodPost, "/payments/"+key, key, false)
}

func (fl *fleet) plain(cl *client.Client, method, path, key string, idempotent bool) *ongoing {
	call := invariant.Call{Key: key, Idempotent: idempotent, Request: invariant.Plain{Method: method, Path: path}}
	return fl.startCall(call, func(ctx context.Context, og *ongoing) error {
		ans, err := cl.Call(ctx, client.PlainRequest{Service: service, Method: method, Path: path, Key: key, Idempotent: idempotent})
		og.addReceived(string(ans.Body))
		return err
	})
}

// paymentAt sends a payment to one VM, once, with no library in between.
func (fl *fleet) paymentAt(vm *vm, key string) *ongoing {
	return fl.plainAt(vm, http.MethodPost, "/payments/"+key, key, false)
}

// recordAt asks one VM, once, for a record.
func (fl *fleet) recordAt(vm *vm, key string) *ongoing {
	return fl.plainAt(vm, http.MethodGet, "/records/"+key, key, true)
}

func (fl *fleet) plainAt(vm *vm, method, path, key string, idempotent bool) *ongoing {
	call := invariant.Call{Key: key, Idempotent: idempotent, Request: invariant.Plain{Method: method, Path: path}}
	return fl.startCall(call, func(ctx context.Context, og *ongoing) error {
		body, err := sendTo(ctx, vm, method, "/services/"+service+path, key, nil)
		og.addReceived(string(body))
		return err
	})
}

// chatAt asks one VM, once, for an answer that comes as a whole.
func (fl *fleet) chatAt(vm *vm, key string, tokens int) *ongoing {
	note := "Field notes of " + key + ". "
	call := invariant.Call{Key: key, Idempotent: true, Request: invariant.Chat{Prompt: promptOf(note), Tokens: tokens}}
	return fl.startCall(call, func(ctx context.Context, og *ongoing) error {
		payload, err := json.Marshal(map[string]any{
			"model": model, "max_tokens": tokens, "messages": []client.Message{{Role: "user", Content: note}},
		})
		if err != nil {
			return err
		}
		body, err := sendTo(ctx, vm, http.MethodPost, "/v1/chat/completions", key, payload)
		if err != nil {
			return err
		}
		var doc struct {
			Choices []struct{ Message client.Message } `json:"choices"`
		}
		if err := json.Unmarshal(body, &doc); err != nil || len(doc.Choices) != 1 {
			return fmt.Errorf("read the answer: %d choices: %w", len(doc.Choices), err)
		}
		og.addReceived(doc.Choices[0].Message.Content)
		return nil
	})
}

// sendTo sends one request to one VM. A refusal comes back as the error.
func sendTo(ctx context.Context, vm *vm, method, path, key string, payload []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.set.Caller.Advertise.String()+path, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Idempotency-Key", key)
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if _, refused := resp.Header["Alderdyke-Refusal"]; !refused {
		return body, nil
	}
	var doc struct {
		Error refusal.Refusal `json:"error"`
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, err
	}
	return nil, doc.Error
}
