package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"alderdyke/internal/answer"
	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/claim"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// Timeouts and limits of model requests.
const (
	// tokenTimeout is the maximum wait for a token, including the first one,
	// after which a decode engine counts as lost.
	tokenTimeout = 10 * clock.Second
	// importTimeout limits one transfer of a KV cache.
	importTimeout = 8 * clock.Second
	// cancelConfirmTimeout limits the wait for engines to confirm a cancel. After
	// that, what they hold counts as unknown.
	cancelConfirmTimeout = 3 * clock.Second
	// minReportedPause is the shortest pause of an engine that is reported to the
	// scheduler: a shorter one is over before the engine's next load report.
	minReportedPause = reportInterval
	// maxResumeAttempts limits the attempts to reopen a broken token stream.
	maxResumeAttempts = 3
	// spareTokens is how many tokens more than its request allows an answer may have: an
	// engine that continues a run may add one.
	spareTokens = 16
	// maxTokenBytes and spareAnswerBytes bound the bytes of an answer, which stays in
	// memory until its caller has read it: the longest entries of usual vocabularies have
	// up to 256 bytes.
	maxTokenBytes    = 256
	spareAnswerBytes = 64 << 10
)

var (
	errPreempted     = errors.New("the scheduler revoked the grant")
	errUnknownServer = errors.New("the backend server is not in the VM list")
	errAnswerTooLong = errors.New("the answer is longer than the request allows")
	errOtherAttempt  = errors.New("the engine continued with another attempt")
)

type (
	// streamOpener opens a decode's token stream at a given token.
	streamOpener func(ctx context.Context, srv board.BackendServer, request string, from int) (*engine.Stream, error)

	// modelAttempt is one attempt to prefill and decode a request.
	modelAttempt struct {
		rn               *run
		name             string // of the request at the engines, new for each attempt
		number           int    // of the current grant or import, sent to the engines as the attempt
		rs               *reservation
		prefill          board.BackendServer
		decode           board.BackendServer
		kv               engine.PrefillResult
		usedEngines      map[string]struct{} // engines that may hold state of the attempt
		cancels          []<-chan struct{}   // cancels of the current grant; each is closed when it is complete
		placedLocally    bool                // placed by this VM without a scheduler
		releasePlacement func()              // releases a local placement
	}
)

// runModel runs a request on the model engines, with retries, until it ends.
func (rn *run) runModel(ctx context.Context) error {
	for try := 0; ; try++ {
		err := rn.attemptModel(ctx, try)
		if err == nil || ctx.Err() != nil {
			return err
		}
		rn.tr.add(event.AttemptFailed, err.Error())
		if err := rn.awaitRetry(ctx, try, err); err != nil {
			return err
		}
	}
}

// attemptModel makes one attempt: it waits for a slot, runs the prefill, transfers the KV
// cache and decodes. If the scheduler revokes the grant, the same attempt waits for
// another slot.
func (rn *run) attemptModel(ctx context.Context, try int) (err error) {
	if err := rn.checkPoison(); err != nil {
		return err
	}
	ma := &modelAttempt{
		rn:               rn,
		name:             rn.engineName(try),
		usedEngines:      make(map[string]struct{}),
		releasePlacement: func() {},
	}
	ma.rs = rn.vm.reserve(ctx, ma.reserveAsk(try), rn.tr)
	defer func() {
		ma.releasePlacement()
		ma.release(ctx, err)
	}()
	for {
		if err = ma.place(ctx); err != nil {
			return err
		}
		if err = ma.runPrefill(ctx); err != nil {
			return err
		}
		err = ma.transferKV(ctx)
		if !errors.Is(err, errPreempted) {
			break
		}
		ma.cancelRevoked()
	}
	if err != nil {
		return err
	}
	return ma.runDecode(ctx, rn.tokenCount())
}

// engineName returns the name of one attempt at the engines. The name includes the
// VM, because two VMs may run an idempotent key under the same claim number.
func (rn *run) engineName(try int) string {
	self := rn.vm.Self
	by := hashID(fmt.Sprintf("%s/%d", self.ID, self.Incarnation))
	return fmt.Sprintf("%s/%s/%d.%d.%016x", rn.id.Customer, rn.id.Key, rn.attempt, try, by)
}

// tokenCount returns the number of tokens that the answer already has.
func (rn *run) tokenCount() int {
	events, _ := rn.st.Len()
	return events
}

func (ma *modelAttempt) reserveAsk(try int) *peerpb.ReserveAsk {
	req := ma.rn.req
	return &peerpb.ReserveAsk{
		Cell:          ma.rn.vm.cellForRequest(req.Chat.Model, req.Chat.PrefixHash),
		Request:       ma.name,
		Customer:      req.Customer,
		Class:         req.Class.Name,
		Quick:         ma.rn.quick(),
		PromptTokens:  int64(req.Chat.PromptTokens),
		PrefixHash:    req.Chat.PrefixHash,
		MaxTokens:     int64(req.Chat.MaxTokens),
		TTFT:          int64(req.Class.TTFT),
		TPOT:          int64(req.Class.TPOT),
		Deadline:      int64(ma.rn.deadline - ma.rn.vm.Clock.Now()),
		Share:         req.Class.Share,
		PrefillWeight: req.Template.PrefillWeight,
		Attempt:       uint32(try),
	}
}

// place waits for a grant, or chooses engines by load reports if no scheduler can
// be reached.
func (ma *modelAttempt) place(ctx context.Context) error {
	gr, err := ma.rs.awaitGrant(ctx)
	if errors.Is(err, errSchedulerAway) {
		if gr, err = ma.rn.vm.placeByReports(ctx, ma.rs.ask); err == nil {
			ma.placedLocally = true
			ma.releasePlacement = func() { ma.rn.vm.fallback.release(gr) }
		}
	}
	if err != nil {
		return failure{"wait for a slot", err}
	}
	ma.number++
	ma.rn.tr.add(event.Granted, gr.GetPrefillServer()+" to "+gr.GetDecodeServer())
	var ok bool
	if ma.prefill, ok = ma.rn.vm.server(gr.GetPrefillServer()); !ok {
		return failure{"use the grant", errUnknownServer}
	}
	ma.decode, _ = ma.rn.vm.server(gr.GetDecodeServer()) // the grant may name no decode engine yet
	return nil
}

// runPrefill runs the prefill.
func (ma *modelAttempt) runPrefill(ctx context.Context) error {
	rn := ma.rn
	sc, err := rn.beginCall(ctx, ma.prefill, rn.checkDispatch)
	if err != nil {
		return err
	}
	ma.rs.sendProgress(sched.Prefilling, ma.prefill.ID, 0, 0)
	ma.usedEngines[ma.prefill.ID] = struct{}{}
	kv, err := rn.vm.Engines.Prefill(ctx, ma.prefill, engine.PrefillOrder{
		Request:      ma.name,
		Customer:     rn.id.Customer,
		Attempt:      ma.number,
		Quick:        rn.quick(),
		Prompt:       rn.req.Chat.Prompt,
		PromptTokens: rn.req.Chat.PromptTokens + rn.tokenCount(),
		Answered:     rn.st.Tokens(),
	})
	if !backend.NotRun(err) {
		rn.mayHaveBeenSent.Store(true)
	}
	rn.recordCall(ctx, sc, err)
	if err != nil {
		ma.reportDecline(err)
		return failure{"prefill", err}
	}
	ma.kv = kv
	ma.prefill.Incarnation = rn.vm.incarnations.Latest(ma.prefill.ID) // the one that keeps the KV cache
	took := rn.vm.Clock.Now() - sc.began
	ma.rs.sendProgress(sched.Prefilled, ma.prefill.ID, 0, took)
	rn.tr.add(event.PrefillDone, ma.prefill.ID)
	return nil
}

// reportDecline reports to the scheduler why an engine declined: its role was
// changed without the scheduler's knowledge, or it accepts nothing for a while. The
// engine's next load report would be too late for the next attempt, or would not
// contain it at all.
func (ma *modelAttempt) reportDecline(err error) {
	var de backend.DeclinedError
	switch {
	case !errors.As(err, &de):
	case de.Reason == backend.WrongRole:
		ma.rs.sendEngineState(stageWrongRole, de.Server, 0)
	default:
		if server, rest := requestedPause(err); rest > 0 {
			ma.rs.sendEngineState(stageResting, server, rest)
		}
	}
}

// requestedPause returns the engine that accepts no calls and the pause that it
// requested; zero if there is none. A retry delay with another reason is about the
// single request or a short moment, and does not count.
func requestedPause(err error) (server string, rest clock.Millis) {
	server, rest = backend.RetryAfterOf(err)
	if _, why := backend.OutcomeOf(err); why != backend.Refused || rest < minReportedPause {
		return "", 0
	}
	return server, rest
}

// cancelEngine cancels this attempt at one engine.
func (ma *modelAttempt) cancelEngine(server string) {
	delete(ma.usedEngines, server)
	ma.cancels = append(ma.cancels, ma.rn.vm.janitor.cancelAttempts(ma.rn.vm.runCtx, server, ma.name, ma.number))
}

// cancelRevoked cancels at the engines what is left of a revoked grant, and confirms it to the
// scheduler when they have answered.
func (ma *modelAttempt) cancelRevoked() {
	for server := range ma.usedEngines {
		ma.cancelEngine(server)
	}
	cancels, rs, attempt := ma.cancels, ma.rs, ma.rs.attempt
	ma.cancels = nil
	ma.rn.vm.wg.Go(func() {
		for _, done := range cancels {
			select {
			case <-done:
			case <-rs.ctx.Done():
				return
			}
		}
		rs.confirmRevoked(attempt)
	})
}

// release gives up the slot. After a failure it first cancels at the engines that may
// hold state. The slot is released once they confirm, or at once if an engine can't be
// reached, so that the scheduler is informed of that.
func (ma *modelAttempt) release(ctx context.Context, err error) {
	if err == nil {
		ma.rs.end(sched.Ended)
		return
	}
	if ma.rn.takenOver(ctx) {
		ma.rs.abandon() // the scheduler frees the slot once no engine holds the run
		return
	}
	var settled []<-chan struct{}
	for server := range ma.usedEngines {
		settled = append(settled, ma.rn.vm.janitor.cancelAll(ma.rn.vm.runCtx, server, ma.name))
	}
	if ctx.Err() == nil && unreachable(err) {
		ma.rs.end(sched.Lost)
		return
	}
	ma.rn.vm.wg.Go(func() {
		within := time.After(cancelConfirmTimeout.Std())
		for _, done := range settled {
			select {
			case <-done:
			case <-within:
				ma.rs.end(sched.Lost)
				return
			}
		}
		ma.rs.end(sched.Cancelled)
	})
}

// unreachable reports whether an engine did not respond, or not completely.
func unreachable(err error) bool {
	var notSent backend.NotSentError
	var inDoubt backend.InDoubtError
	return errors.As(err, &notSent) || errors.As(err, &inDoubt)
}

// runDecode starts the decode and copies its tokens to the end.
func (ma *modelAttempt) runDecode(ctx context.Context, have int) error {
	rn := ma.rn
	if err := rn.checkPoison(); err != nil {
		return err
	}
	sc := sentCall{server: ma.decode, holdsRequest: true, began: rn.vm.Clock.Now()}
	st, err := rn.vm.Engines.Decode(ctx, ma.decode, engine.DecodeOrder{
		Request:   ma.name,
		Attempt:   ma.number,
		MaxTokens: rn.req.Chat.MaxTokens,
		From:      have,
	})
	if err != nil {
		rn.recordHeldCall(ctx, sc, err)
		ma.reportDecline(err)
		return failure{"decode", err}
	}
	ma.rs.sendProgress(sched.Decoding, ma.decode.ID, 0, 0)
	rn.claimed.reportState(decodingState(ma.decode, ma.name))
	rn.tr.add(event.DecodeStarted, ma.decode.ID)
	return rn.copyStream(ctx, st, sc, ma.name, have, rn.vm.Engines.Resume)
}

// resumeDecode resumes a decode that a lost VM started, if the engine still has it.
// The decode may belong to another run of the key than the part of the answer that is
// here, so it is read from the start and compared with that part. A decode that can't
// be read to the end is cancelled, unless another VM took the request over.
func (rn *run) resumeDecode(ctx context.Context, dec claim.Decided) bool {
	if dec.DecodeServer == "" {
		return false
	}
	srv, ok := rn.vm.server(dec.DecodeServer)
	if !ok {
		return false
	}
	rn.mayHaveBeenSent.Store(true)
	sc := sentCall{server: srv, holdsRequest: true, answered: true} // assumed; this VM has no record of it
	if dec.DecodeIncarnation != 0 {
		sc.server.Incarnation = dec.DecodeIncarnation
	}
	st, err := openWithRetry(ctx, rn.vm.Engines.Resume, srv, dec.EngineRequest, 0)
	if err != nil {
		if dec.DecodeIncarnation != 0 {
			rn.recordHeldCall(ctx, sc, err)
		}
		return false
	}
	sc.server.Incarnation = rn.vm.incarnations.Latest(srv.ID) // fresh, as the engine has just responded
	rn.claimed.reportState(decodingState(sc.server, dec.EngineRequest))
	if err := rn.copyStream(ctx, st, sc, dec.EngineRequest, 0, rn.vm.Engines.Resume); err != nil {
		if !rn.takenOver(ctx) {
			rn.vm.janitor.cancelAll(rn.vm.runCtx, srv.ID, dec.EngineRequest)
		}
		return false
	}
	return true
}

// followDecode reads the decode of a runner that can't be reached, from its start as
// in resumeDecode. The decode stays the runner's: it is neither cancelled nor claimed.
// When the runner responds again or is lost, the stream stops and the request is
// claimed again.
func (rn *run) followDecode(ctx context.Context, dec claim.Decided) bool {
	srv, ok := rn.vm.server(dec.DecodeServer)
	if !ok || rn.req.Chat == nil {
		return false
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	rn.vm.wg.Go(func() { rn.vm.awaitVMLoss(ctx, dec.Runner, func() { stop(errKeyLost) }) })
	rn.vm.wg.Go(func() { rn.awaitRunner(ctx, dec.Runner, func() { stop(errReclaim) }) })
	st, err := openWithRetry(ctx, rn.vm.Engines.Follow, srv, dec.EngineRequest, 0)
	if err != nil {
		return false
	}
	rn.tr.add(event.ReadOn, srv.ID)
	srv.Incarnation = rn.vm.incarnations.Latest(srv.ID) // fresh, as the engine has just responded
	return rn.copyStream(ctx, st, sentCall{server: srv, holdsRequest: true}, dec.EngineRequest, 0, rn.vm.Engines.Follow) == nil
}

// awaitVMLoss calls lost when a VM is considered dead or has left: its runs may then
// be taken over, and are cancelled if no VM does so.
func (vm *VM) awaitVMLoss(ctx context.Context, ref board.VMRef, lost func()) {
	for {
		moved := vm.fleetChanged.wait()
		other, ok := vm.Board.Fleet().VM(ref.ID)
		if !ok || other.Incarnation != ref.Incarnation || other.Health == board.Dead || other.Health == board.Left {
			lost()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-moved:
		}
	}
}

// copyStream copies tokens to the answer until the last one, and reopens a broken
// stream at the point where it broke. From is the index of the first token of the
// stream; tokens that the answer already has must be identical.
func (rn *run) copyStream(ctx context.Context, st *engine.Stream, sc sentCall, name string, from int, reopen streamOpener) error {
	attempt := st.Attempt
	for tries := 0; ; {
		got, err := rn.copyTokens(ctx, st)
		st.Close()
		from += got
		sc.answered = sc.answered || got > 0
		if err == nil {
			return rn.endAnswer(from)
		}
		rn.recordCall(ctx, sc, err)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if got > 0 {
			tries = 0
		}
		_, other := errors.AsType[answer.OtherAnswerError](err)
		if tries++; tries > maxResumeAttempts || other || errors.Is(err, engine.ErrEnded) || errors.Is(err, errAnswerTooLong) {
			return failure{"stream", err}
		}
		if !clock.Sleep(ctx, clock.Millis(tries)*reopenDelay) {
			return context.Cause(ctx)
		}
		if st, err = openWithRetry(ctx, reopen, sc.server, name, from); err != nil {
			return failure{"resume", err}
		}
		if st.Attempt != attempt { // its tokens do not continue the earlier ones
			st.Close()
			return failure{"resume", errOtherAttempt}
		}
	}
}

// openWithRetry opens a decode's token stream. It retries if the engine's response
// leaves open whether it has the decode.
func openWithRetry(ctx context.Context, open streamOpener, srv board.BackendServer, name string, from int) (*engine.Stream, error) {
	for tries := 1; ; tries++ {
		st, err := open(ctx, srv, name, from)
		if err == nil {
			return st, nil
		}
		if _, doubt := errors.AsType[backend.InDoubtError](err); !doubt || tries == maxResumeAttempts {
			return nil, fmt.Errorf("open the stream of a decode: %w", err)
		}
		if !clock.Sleep(ctx, clock.Millis(tries)*reopenDelay) {
			return nil, context.Cause(ctx)
		}
	}
}

// copyTokens adds tokens to the answer and returns how many were received. A nil error
// means that the last token was received and that the answer has none after it.
func (rn *run) copyTokens(ctx context.Context, st *engine.Stream) (int, error) {
	for got := 0; ; got++ {
		tok, err := rn.nextToken(ctx, st)
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		if err := rn.joinToken(tok); err != nil {
			return got, err
		}
		if tok.Last {
			return got + 1, nil
		}
	}
}

// joinToken adds a new token; one that the answer already has must be identical.
func (rn *run) joinToken(tok engine.Token) error {
	ev := answer.Event{ID: tok.Index, Kind: answer.Token, Data: []byte(tok.Text)}
	if err := rn.checkLength(ev); err != nil {
		return err
	}
	if err := rn.st.AddOrVerify(ev); err != nil {
		return fmt.Errorf("add a token: %w", err)
	}
	rn.countAnswer()
	if rn.firstPieceAt == 0 {
		rn.firstPieceAt = rn.vm.Clock.Now()
	}
	if tok.Last && tok.Index+1 < rn.tokenCount() {
		return fmt.Errorf("end the answer: %w", answer.OtherAnswerError{ID: tok.Index + 1})
	}
	return nil
}

// checkLength returns errAnswerTooLong if an answer with a further token would be longer
// than the request allows.
func (rn *run) checkLength(ev answer.Event) error {
	if rn.req.Chat == nil || rn.req.Chat.MaxTokens <= 0 || ev.Kind != answer.Token {
		return nil
	}
	most := rn.req.Chat.MaxTokens
	if ev.ID >= most+spareTokens || rn.st.TextBytes()+len(ev.Data) > spareAnswerBytes+most*maxTokenBytes {
		return errAnswerTooLong
	}
	return nil
}

func (rn *run) nextToken(ctx context.Context, st *engine.Stream) (engine.Token, error) {
	ctx, stop := context.WithTimeout(ctx, tokenTimeout.Std())
	defer stop()
	return st.Next(ctx)
}

func (rn *run) endAnswer(tokens int) error {
	data, err := json.Marshal(caller.ChatEnd{
		Tokens:       tokens,
		PromptTokens: rn.req.Chat.PromptTokens,
		FinishReason: rn.finishReason(tokens),
	})
	if err != nil {
		return fmt.Errorf("write the end of the answer: %w", err)
	}
	if err := rn.st.End(data); err != nil {
		return fmt.Errorf("end the answer: %w", err)
	}
	return nil
}

// finishReason returns the reason for the end of the answer, as the callers' protocol
// names it.
func (rn *run) finishReason(tokens int) string {
	if tokens >= rn.req.Chat.MaxTokens {
		return "length"
	}
	return "stop"
}

func (rn *run) quick() bool { return rn.req.Class.Urgency == template.Quick }
