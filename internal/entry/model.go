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

// Spans of model requests.
const (
	// tokenStall is the longest span between two tokens, and before the
	// first, after which a decode engine counts as lost.
	tokenStall = 10 * clock.Second
	// importStall bounds one transfer of a KV cache.
	importStall = 8 * clock.Second
	// confirmWithin bounds the wait for engines to confirm a cancel before
	// what they hold counts as unknown.
	confirmWithin = 3 * clock.Second
	// restLeast is the least span of rest that the accountant is told of: a shorter
	// one is over before its next report.
	restLeast = reportEvery
	// resumeTries bounds how often a broken token stream is opened again.
	resumeTries = 3
)

var (
	errPreempted = errors.New("the accountant took the grant back")
	errUnknown   = errors.New("the backend server is not in the VM list")
	errOtherRun  = errors.New("the engine goes on with another attempt")
)

type (
	// openStream opens a decode's stream where it broke.
	openStream func(ctx context.Context, srv board.BackendServer, request string, from int) (*engine.Stream, error)

	// modelAttempt is one try to prefill and decode a request.
	modelAttempt struct {
		rn      *run
		name    string // of the request at the engines, new for each attempt
		number  int    // of the grant or import in use, which is the attempt at the engines
		rs      *reservation
		prefill board.BackendServer
		decode  board.BackendServer
		kv      engine.PrefillResult
		touched map[string]struct{} // engines that may hold something
		alone   bool                // placed by this VM, no accountant knows
		undo    func()              // takes back a placement that no accountant knows
	}
)

// model runs a request on the model engines, with retries, to its end.
func (rn *run) model(ctx context.Context) error {
	for try := 0; ; try++ {
		err := rn.tryModel(ctx, try)
		if err == nil || ctx.Err() != nil {
			return err
		}
		rn.tr.add(event.AttemptFailed, err.Error())
		if err := rn.again(ctx, try, err); err != nil {
			return err
		}
	}
}

func (rn *run) tryModel(ctx context.Context, try int) (err error) {
	if err := rn.checkPoison(); err != nil {
		return err
	}
	ma := &modelAttempt{
		rn:      rn,
		name:    rn.engineName(try),
		touched: make(map[string]struct{}),
		undo:    func() {},
	}
	ma.rs = rn.vm.reserve(ctx, ma.ask(try), rn.tr)
	defer func() {
		ma.undo()
		ma.leave(ctx, err)
	}()
	for {
		if err = ma.place(ctx); err != nil {
			return err
		}
		if err = ma.compute(ctx); err != nil {
			return err
		}
		err = ma.transfer(ctx)
		if !errors.Is(err, errPreempted) {
			break
		}
		ma.giveBack()
	}
	if err != nil {
		return err
	}
	return ma.generate(ctx, rn.tokens())
}

// engineName names one try at the engines. It tells the VM too, as two VMs may
// run an idempotent key under the same number of its claim.
func (rn *run) engineName(try int) string {
	self := rn.vm.Self
	by := hashID(fmt.Sprintf("%s/%d", self.ID, self.Incarnation))
	return fmt.Sprintf("%s/%s/%d.%d.%016x", rn.id.Customer, rn.id.Key, rn.attempt, try, by)
}

// tokens counts the tokens that the answer holds already.
func (rn *run) tokens() int {
	events, _ := rn.st.Len()
	return events
}

func (ma *modelAttempt) ask(try int) *peerpb.ReserveAsk {
	req := ma.rn.req
	return &peerpb.ReserveAsk{
		Cell:          ma.rn.vm.cellFor(req.Chat.Model, req.Chat.PrefixHash),
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

// place waits for a grant, or chooses by load reports if no accountant can be
// asked.
func (ma *modelAttempt) place(ctx context.Context) error {
	gr, err := ma.rs.grant(ctx)
	if errors.Is(err, errAccountantAway) {
		if gr, err = ma.rn.vm.chooseAlone(ctx, ma.rs.ask); err == nil {
			ma.alone = true
			ma.undo = func() { ma.rn.vm.alone.ended(gr) }
		}
	}
	if err != nil {
		return failure{"wait for a place", err}
	}
	ma.number++
	ma.rn.tr.add(event.Granted, gr.GetPrefillServer()+" to "+gr.GetDecodeServer())
	var ok bool
	if ma.prefill, ok = ma.rn.vm.server(gr.GetPrefillServer()); !ok {
		return failure{"use the grant", errUnknown}
	}
	ma.decode, _ = ma.rn.vm.server(gr.GetDecodeServer()) // none may be free yet
	return nil
}

// compute has the prompt computed.
func (ma *modelAttempt) compute(ctx context.Context) error {
	rn := ma.rn
	if err := rn.mayDispatch(ctx); err != nil {
		return err
	}
	ma.rs.progress(sched.Prefilling, ma.prefill.ID, 0, 0)
	began := rn.vm.Clock.Now()
	ma.touched[ma.prefill.ID] = struct{}{}
	sc := rn.beginCall(ma.prefill)
	kv, err := rn.vm.Engines.Prefill(ctx, ma.prefill, engine.PrefillOrder{
		Request:      ma.name,
		Customer:     rn.id.Customer,
		Attempt:      ma.number,
		Quick:        rn.quick(),
		Prompt:       rn.req.Chat.Prompt,
		PromptTokens: rn.req.Chat.PromptTokens + rn.tokens(),
		Answered:     rn.st.Tokens(),
	})
	if !backend.NotRun(err) {
		rn.sent.Store(true)
	}
	rn.recordCall(ctx, sc, err)
	if err != nil {
		ma.heed(err)
		return failure{"prefill", err}
	}
	ma.kv = kv
	ma.prefill.Incarnation = rn.vm.incarnations.Latest(ma.prefill.ID) // which keeps the KV cache
	took := rn.vm.Clock.Now() - began
	ma.rs.progress(sched.Prefilled, ma.prefill.ID, 0, took)
	rn.tr.add(event.PrefillDone, ma.prefill.ID)
	return nil
}

// heed tells the accountant what an engine that declined says of itself, which its
// next report would tell too late for the next attempt, or not at all: that its role
// was changed unknown to the accountant, or that it takes nothing for a while.
func (ma *modelAttempt) heed(err error) {
	var de backend.DeclinedError
	switch {
	case !errors.As(err, &de):
	case de.Reason == backend.WrongRole:
		ma.rs.tell(wrongRole, de.Server, 0)
	default:
		if server, rest := restOf(err); rest > 0 {
			ma.rs.tell(resting, server, rest)
		}
	}
}

// restOf is the engine that takes no calls for a span, by its own word; zero: none. A
// span beside another reason is about the one request, or about a moment.
func restOf(err error) (server string, rest clock.Millis) {
	server, rest = backend.RetryAfterOf(err)
	if _, why := backend.OutcomeOf(err); why != backend.Refused || rest < restLeast {
		return "", 0
	}
	return server, rest
}

// letGo frees one decode engine of this attempt.
func (ma *modelAttempt) letGo(server string) {
	delete(ma.touched, server)
	ma.rn.vm.janitor.freeAttempt(ma.rn.vm.runCtx, server, ma.name, ma.number)
}

// giveBack frees what a grant that was taken back left at the engines.
func (ma *modelAttempt) giveBack() {
	for server := range ma.touched {
		ma.letGo(server)
	}
}

// leave gives the place back. After a failure it frees whatever engines may
// hold; the place is given back once they confirmed, or at once if an engine
// can't be reached, so that the accountant learns of it.
func (ma *modelAttempt) leave(ctx context.Context, err error) {
	if err == nil {
		ma.rs.end(sched.Ended)
		return
	}
	if ma.rn.takenOver(ctx) {
		ma.rs.abandon() // the accountant frees the place once no engine holds the run
		return
	}
	var settled []<-chan struct{}
	for server := range ma.touched {
		settled = append(settled, ma.rn.vm.janitor.free(ma.rn.vm.runCtx, server, ma.name))
	}
	if ctx.Err() == nil && unreachable(err) {
		ma.rs.end(sched.Lost)
		return
	}
	ma.rn.vm.wg.Go(func() {
		within := time.After(confirmWithin.Std())
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

// unreachable tells whether an engine did not answer, or not to the end.
func unreachable(err error) bool {
	var notSent backend.NotSentError
	var inDoubt backend.InDoubtError
	return errors.As(err, &notSent) || errors.As(err, &inDoubt)
}

// generate starts the decode and follows it to the last token.
func (ma *modelAttempt) generate(ctx context.Context, have int) error {
	rn := ma.rn
	if err := rn.checkPoison(); err != nil {
		return err
	}
	sc := sentCall{server: ma.decode, held: true, began: rn.vm.Clock.Now()}
	st, err := rn.vm.Engines.Decode(ctx, ma.decode, engine.DecodeOrder{
		Request:   ma.name,
		Attempt:   ma.number,
		MaxTokens: rn.req.Chat.MaxTokens,
		From:      have,
	})
	if err != nil {
		rn.recordHeld(ctx, sc, err)
		ma.heed(err)
		return failure{"decode", err}
	}
	ma.rs.progress(sched.Decoding, ma.decode.ID, 0, 0)
	rn.claimed.became(decodesAt(ma.decode, ma.name))
	rn.tr.add(event.DecodeStarted, ma.decode.ID)
	return rn.stream(ctx, st, sc, ma.name, have, rn.vm.Engines.Resume)
}

// resume goes on with a decode that a lost VM started, if the engine still
// has it. The decode may be of another run of the key than the part that is
// here, so it is read from its start and held against that part. One that can't
// be read to its end is cancelled, unless another VM took the request over.
func (rn *run) resume(ctx context.Context, dec claim.Decided) bool {
	if dec.DecodeServer == "" {
		return false
	}
	srv, ok := rn.vm.server(dec.DecodeServer)
	if !ok {
		return false
	}
	rn.sent.Store(true)
	sc := sentCall{server: srv, held: true, answered: true} // as far as this VM knows
	if dec.DecodeIncarnation != 0 {
		sc.server.Incarnation = dec.DecodeIncarnation
	}
	st, err := openAgain(ctx, rn.vm.Engines.Resume, srv, dec.EngineRequest, 0)
	if err != nil {
		if dec.DecodeIncarnation != 0 {
			rn.recordHeld(ctx, sc, err)
		}
		return false
	}
	sc.server.Incarnation = rn.vm.incarnations.Latest(srv.ID) // it has answered just now
	rn.claimed.became(decodesAt(sc.server, dec.EngineRequest))
	if err := rn.stream(ctx, st, sc, dec.EngineRequest, 0, rn.vm.Engines.Resume); err != nil {
		if !rn.takenOver(ctx) {
			rn.vm.janitor.free(rn.vm.runCtx, srv.ID, dec.EngineRequest)
		}
		return false
	}
	return true
}

// readOn follows the decode of a runner that can't be reached, from its start
// as in resume. The decode stays the runner's: it is neither cancelled nor
// claimed. Once the runner answers again, or is lost, the request is looked at
// anew.
func (rn *run) readOn(ctx context.Context, dec claim.Decided) bool {
	srv, ok := rn.vm.server(dec.DecodeServer)
	if !ok || rn.req.Chat == nil {
		return false
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	rn.vm.wg.Go(func() { rn.vm.awaitLoss(ctx, dec.Runner, func() { stop(errLost) }) })
	rn.vm.wg.Go(func() { rn.awaitRunner(ctx, dec.Runner, func() { stop(errAgain) }) })
	st, err := openAgain(ctx, rn.vm.Engines.Follow, srv, dec.EngineRequest, 0)
	if err != nil {
		return false
	}
	rn.tr.add(event.ReadOn, srv.ID)
	srv.Incarnation = rn.vm.incarnations.Latest(srv.ID) // it has answered just now
	return rn.stream(ctx, st, sentCall{server: srv, held: true}, dec.EngineRequest, 0, rn.vm.Engines.Follow) == nil
}

// awaitLoss calls lost once a VM is held dead or has left: what it ran may be
// taken over, and is cancelled if nobody does.
func (vm *VM) awaitLoss(ctx context.Context, ref board.VMRef, lost func()) {
	for {
		moved := vm.fleetMove.wait()
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

// stream passes tokens on until the last one, and opens a broken stream again
// where it broke. From is the index of the first token that comes; those that
// are in the answer already must be the same.
func (rn *run) stream(ctx context.Context, st *engine.Stream, sc sentCall, name string, from int, reopen openStream) error {
	attempt := st.Attempt
	for tries := 0; ; {
		got, err := rn.pass(ctx, st)
		st.Close()
		from += got
		sc.answered = sc.answered || got > 0
		if err == nil {
			return rn.whole(from)
		}
		rn.recordCall(ctx, sc, err)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if got > 0 {
			tries = 0
		}
		_, other := errors.AsType[answer.OtherAnswerError](err)
		if tries++; tries > resumeTries || other || errors.Is(err, engine.ErrEnded) {
			return failure{"stream", err}
		}
		if !clock.Sleep(ctx, clock.Millis(tries)*reopenPause) {
			return context.Cause(ctx)
		}
		if st, err = openAgain(ctx, reopen, sc.server, name, from); err != nil {
			return failure{"resume", err}
		}
		if st.Attempt != attempt { // its tokens are not the rest of those before
			st.Close()
			return failure{"resume", errOtherRun}
		}
	}
}

// openAgain opens a decode's stream, more than once if the engine does not say whether
// it has the decode.
func openAgain(ctx context.Context, open openStream, srv board.BackendServer, name string, from int) (*engine.Stream, error) {
	for tries := 1; ; tries++ {
		st, err := open(ctx, srv, name, from)
		if err == nil {
			return st, nil
		}
		if _, doubt := errors.AsType[backend.InDoubtError](err); !doubt || tries == resumeTries {
			return nil, fmt.Errorf("open the stream of a decode: %w", err)
		}
		if !clock.Sleep(ctx, clock.Millis(tries)*reopenPause) {
			return nil, context.Cause(ctx)
		}
	}
}

// pass joins tokens to the answer and returns how many came. A nil error means
// that the last one did, and that the answer has none behind it.
func (rn *run) pass(ctx context.Context, st *engine.Stream) (int, error) {
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

// joinToken adds a token that is new, and holds any other against the answer.
func (rn *run) joinToken(tok engine.Token) error {
	ev := answer.Event{ID: tok.Index, Kind: answer.Token, Data: []byte(tok.Text)}
	if err := rn.st.AddOrVerify(ev); err != nil {
		return fmt.Errorf("add a token: %w", err)
	}
	if rn.first == 0 {
		rn.first = rn.vm.Clock.Now()
	}
	if tok.Last && tok.Index+1 < rn.tokens() {
		return fmt.Errorf("end the answer: %w", answer.OtherAnswerError{ID: tok.Index + 1})
	}
	return nil
}

func (rn *run) nextToken(ctx context.Context, st *engine.Stream) (engine.Token, error) {
	ctx, stop := context.WithTimeout(ctx, tokenStall.Std())
	defer stop()
	return st.Next(ctx)
}

func (rn *run) whole(tokens int) error {
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

// finishReason says, in the words of the callers' protocol, why the answer
// ended.
func (rn *run) finishReason(tokens int) string {
	if tokens >= rn.req.Chat.MaxTokens {
		return "length"
	}
	return "stop"
}

func (rn *run) quick() bool { return rn.req.Class.Urgency == template.Quick }
