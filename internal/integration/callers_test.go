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
		explanation string // explanation by the VMs at the end of the call, if it failed
		done        chan struct{}
		stop        context.CancelCauseFunc
	}
)

var errCallerLeft = errors.New("the caller has left")

// isAttemptOf reports whether an engine's name of a request, which is
// "CUSTOMER/KEY/ATTEMPT", contains the given key.
func isAttemptOf(name, key string) bool { return strings.HasPrefix(name, customer+"/"+key+"/") }

// keyOf returns the key in an engine's name of a request, which also contains the
// customer and the attempt.
func keyOf(name string) string {
	name = strings.TrimPrefix(name, customer+"/")
	if ix := strings.LastIndexByte(name, '/'); ix >= 0 {
		return name[:ix]
	}
	return name
}

// startCall starts a call and records it in the history when it ends.
func (fl *fleet) startCall(call invariant.Call, run func(ctx context.Context, og *ongoing) error) *ongoing {
	ctx, stop := context.WithCancelCause(context.Background())
	og := &ongoing{call: call, done: make(chan struct{}), stop: stop}
	og.call.Customer, og.call.Began = customer, time.Now()
	go func() {
		defer close(og.done)
		defer stop(nil)
		err := run(ctx, og)
		ended, explanation := time.Now(), ""
		if err != nil {
			explanation = fl.explain(call.Key)
		}
		og.mu.Lock()
		og.err, og.explanation = err, explanation
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

// logIncomplete logs the state of a call that has no complete answer.
func (fl *fleet) logIncomplete(og *ongoing) {
	og.mu.Lock()
	defer og.mu.Unlock()
	if len(og.call.Outcomes) == 1 && og.err == nil {
		return
	}
	if len(og.call.Outcomes) == 0 {
		og.explanation = fl.explain(og.call.Key)
	}
	fl.t.Logf("%s: %d bytes, outcomes %v at %s, error %v\n%s", og.call.Key, len(og.call.Received), og.call.Outcomes,
		og.call.Ended.Format(time.StampMilli), og.err, og.explanation)
}

// logRuns logs the explanation by the VMs and the runs at the engines of a key.
func (fl *fleet) logRuns(key string) {
	fl.t.Logf("%s:\n%s", key, fl.explain(key))
	for _, en := range fl.dp.Engines {
		for _, rec := range en.History().Runs {
			if isAttemptOf(rec.Request, key) {
				fl.t.Logf("%s at %s, %s: attempt %d for %s, %d decodes started, %d tokens, outcome %q, stages %v",
					rec.Request, en.ID, rec.Role, rec.Attempt, rec.VM.ID, rec.Decodes, rec.Tokens, rec.Outcome, rec.Stages)
			}
		}
	}
}

// explain returns the explanation of a request by the first VM that answers.
func (fl *fleet) explain(key string) string {
	for _, vm := range fl.vms {
		if explanation := fl.explainAt(vm, key); explanation != "" {
			return explanation
		}
	}
	return "\tno VM answers\n"
}

// explainAt returns the explanation of a request by one VM and those that it can
// reach, or "" if the VM does not answer.
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

// outcomeOf returns the outcome of a call for the checker. A call that broke off
// gets a refusal that says that it may have run, as pkg/client would return it.
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

// received returns the number of bytes received so far.
func (og *ongoing) received() int {
	og.mu.Lock()
	defer og.mu.Unlock()
	return len(og.call.Received)
}

// hangUp cancels the call, as a caller that does not return, and waits for its end.
func (og *ongoing) hangUp() {
	og.stop(errCallerLeft)
	<-og.done
}

// wait waits for the end of the call and returns its error.
func (og *ongoing) wait() error {
	<-og.done
	og.mu.Lock()
	defer og.mu.Unlock()
	return og.err
}

// waitRefusal waits for the end of the call and returns its refusal, or the
// zero value.
func (og *ongoing) waitRefusal() refusal.Refusal {
	var rf refusal.Refusal
	errors.As(og.wait(), &rf)
	return rf
}

// client returns a client that has the addresses of all VMs.
func (fl *fleet) client() *client.Client {
	cl := &client.Client{APIKey: apiKey, IdleTimeout: 10 * clock.Second}
	for _, vm := range fl.vms {
		cl.Bootstrap = append(cl.Bootstrap, vm.set.Caller.Advertise.String())
	}
	fl.t.Cleanup(cl.Close)
	return cl
}

// promptOf returns the prompt that engines get for a note.
func promptOf(note string) string { return fmt.Sprintf(`[{"role":"user","content":%q}]`, note) }

// chat starts a request to the model with a note that contains the key.
func (fl *fleet) chat(cl *client.Client, class, key string, tokens int) *ongoing {
	note := "Field notes of " + key + ". "
	if class == "findings" {
		note = strings.Repeat(note, 50)
	}
	return fl.chatWithNote(cl, class, key, note, tokens)
}

// chatWithNote starts a request to the model with the given note.
func (fl *fleet) chatWithNote(cl *client.Client, class, key, note string, tokens int) *ongoing {
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

// fetchRecord starts an idempotent call of the plain service.
func (fl *fleet) fetchRecord(cl *client.Client, key string) *ongoing {
	return fl.callPlain(cl, http.MethodGet, "/records/"+key, key, true)
}

// sendPayment starts a call of the plain service that may run at most once.
func (fl *fleet) sendPayment(cl *client.Client, key string) *ongoing {
	return fl.callPlain(cl, http.MethodPost, "/payments/"+key, key, false)
}

// callPlain starts a call of the plain service through the client library.
func (fl *fleet) callPlain(cl *client.Client, method, path, key string, idempotent bool) *ongoing {
	call := invariant.Call{Key: key, Idempotent: idempotent, Request: invariant.Plain{Method: method, Path: path}}
	return fl.startCall(call, func(ctx context.Context, og *ongoing) error {
		ans, err := cl.Call(ctx, client.PlainRequest{Service: service, Method: method, Path: path, Key: key, Idempotent: idempotent})
		og.addReceived(string(ans.Body))
		return err
	})
}

// sendPaymentAt sends a payment to one VM, once, without the client library.
func (fl *fleet) sendPaymentAt(vm *vm, key string) *ongoing {
	return fl.callPlainAt(vm, http.MethodPost, "/payments/"+key, key, false)
}

// fetchRecordAt sends an idempotent call of the plain service to one VM, once.
func (fl *fleet) fetchRecordAt(vm *vm, key string) *ongoing {
	return fl.callPlainAt(vm, http.MethodGet, "/records/"+key, key, true)
}

// callPlainAt sends a call of the plain service to one VM, once, without the
// client library.
func (fl *fleet) callPlainAt(vm *vm, method, path, key string, idempotent bool) *ongoing {
	call := invariant.Call{Key: key, Idempotent: idempotent, Request: invariant.Plain{Method: method, Path: path}}
	return fl.startCall(call, func(ctx context.Context, og *ongoing) error {
		body, err := sendTo(ctx, vm, method, "/services/"+service+path, key, nil)
		og.addReceived(string(body))
		return err
	})
}

// chatAt sends a request to the model to one VM, once, for an answer that is
// not streamed.
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

// sendTo sends one HTTP request to one VM and returns the body. A refusal is
// returned as the error.
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
