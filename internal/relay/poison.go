package relay

import (
	"context"
	"fmt"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/poison"
	"alderdyke/internal/suspect"
	"alderdyke/pkg/refusal"
)

// poisonGuard returns the detector of requests that crash their servers.
func (rl *Relay) poisonGuard() *poison.Guard {
	rl.guardOnce.Do(func() {
		gd := &rl.guard
		gd.Clock, gd.Log, gd.Scope = rl.Clock, rl.Log, rl.Scope
		gd.Key, gd.Broadcast, gd.VMs = rl.MarkKey, rl.SendReport, rl.livingVMs
		gd.Probe, gd.Backends = rl.probe, rl.Backends
	})
	return &rl.guard
}

// probe reports whether the server of a broken call has crashed.
func (rl *Relay) probe(ctx context.Context, cl poison.Call) poison.Finding {
	if rl.hasCrashed(ctx, cl.Server) {
		return poison.Crashed
	}
	return poison.Alive
}

// livingVMs returns the number of VMs that are alive, including this one.
func (rl *Relay) livingVMs() int {
	if rl.OtherVMs == nil {
		return 1
	}
	others, _ := rl.OtherVMs()
	return 1 + len(others)
}

// marksOf returns the marks that identify a request across its retries, and the parts of
// its prompt that it shares with others.
func (rl *Relay) marksOf(ex *exchange) suspect.Marks {
	if ms := ex.marks.Load(); ms != nil {
		return *ms
	}
	req, gd := ex.req, rl.poisonGuard()
	ms := suspect.Marks{
		Request:  gd.Mark([]byte(req.Method), []byte(req.Host), []byte(req.URI), []byte(req.Content), req.Body),
		Customer: gd.Mark([]byte(req.Customer)),
		Parts:    rl.partMarks(ex),
	}
	ex.marks.Store(&ms)
	return ms
}

// partMarks returns the marks of the parts that the request's prompt shares with others.
func (rl *Relay) partMarks(ex *exchange) []suspect.Mark {
	var out []suspect.Mark
	for _, part := range ex.sharedParts() {
		out = append(out, rl.poisonGuard().Mark([]byte(ex.svc.Name), []byte(ex.req.Prompt.Model), []byte(part)))
	}
	return out
}

// sharedParts returns the names of the parts that the request's prompt shares with
// others.
func (ex *exchange) sharedParts() []string {
	if ex.req.Prompt == nil {
		return nil
	}
	return ex.req.Prompt.SharedParts
}

// checkPoison refuses a request under which servers crashed.
func (rl *Relay) checkPoison(ctx context.Context, ex *exchange) error {
	if err := rl.poisonRefusal(ex); err != nil {
		return rl.finalRefusal(ctx, ex, err)
	}
	return nil
}

// poisonRefusal returns the refusal of a request under which servers crashed, or nil. It
// costs nothing while there is no evidence against any request, otherwise the computation
// of its marks: 6 us for 5 KB (BenchmarkMarkOf).
func (rl *Relay) poisonRefusal(ex *exchange) error {
	if !rl.poisonGuard().HasSuspects() {
		return nil
	}
	ms := rl.marksOf(ex)
	return ex.refusalFor(ms, rl.poisonGuard().Check(ms))
}

// refusalFor returns the refusal of a request by a decision on its marks, or nil.
func (ex *exchange) refusalFor(ms suspect.Marks, dc suspect.Decision) error {
	if dc.Verdict != suspect.Refused {
		return nil
	}
	detail := fmt.Sprintf("servers ended when they ran this request (mark %v, refused for %v)", dc.Mark, dc.Since)
	if part := ex.partOf(ms, dc.Mark); part != "" {
		detail = fmt.Sprintf("servers ended when they ran requests with part %q of the prompt (mark %v, refused for %v)", part, dc.Mark, dc.Since)
	}
	return refuse(refusal.EndsServers, dc.After, detail)
}

// partOf returns the name of the shared part that has a mark; empty: it is that of the request.
func (ex *exchange) partOf(ms suspect.Marks, mk suspect.Mark) string {
	if ix := slices.Index(ms.Parts, mk); ix >= 0 {
		return ex.sharedParts()[ix]
	}
	return ""
}

// recordSuccess records that a request got its complete answer. An engine's failure, which
// has no events, says nothing about the parts of the prompt.
func (rl *Relay) recordSuccess(ex *exchange) {
	var ms suspect.Marks
	if rl.poisonGuard().HasSuspects() {
		ms.Request = rl.marksOf(ex).Request
	}
	if ex.eventsSent > 0 {
		ms.Parts = rl.partMarks(ex)
	}
	rl.poisonGuard().RecordSuccess(ex.req.ID, ms)
}

// recordBrokenCall records that a call to a server broke, and returns when it is
// known whether the server has crashed, or after a short time.
func (rl *Relay) recordBrokenCall(ctx context.Context, ex *exchange, bs board.BackendServer, answered bool, beside int) {
	rl.poisonGuard().RecordBrokenCall(ctx, poison.Call{
		Request: ex.req.ID, Parts: ex.sharedParts(), Marks: rl.marksOf(ex), Server: bs, Instance: bs.ID, Answered: answered, Concurrent: beside})
}

// ShareReports periodically sends the other VMs, until the context ends, what this VM
// knows about requests during which servers crashed.
func (rl *Relay) ShareReports(ctx context.Context) { rl.poisonGuard().Share(ctx) }

// ReceiveReport records what another VM reports about requests that crash servers.
func (rl *Relay) ReceiveReport(re suspect.Report) { rl.poisonGuard().RecordRemote(re) }

// otherRunsAt returns the number of other runs at an engine, as far as this VM knows.
func (rl *Relay) otherRunsAt(engine string) int {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return max(0, rl.ledger.RunCount(rl.now(), engine)-1)
}
