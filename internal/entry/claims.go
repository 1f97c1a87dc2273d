package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/actor"
	"alderdyke/internal/board"
	"alderdyke/internal/claim"
	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Limits of reading the log stream of seat tables, and of key claims.
const (
	seatsReadWait   = 10 * clock.Second
	seatsReadBatch  = 64
	seatsRetryDelay = 500 * clock.Millis(1)
	bookTick        = 1 * clock.Second
	askerTick       = 1 * clock.Minute
	handoffTimeout  = 5 * clock.Second
	claimRetention  = 10 * clock.Minute // for which the seats keep a key after its request has ended
	claimLinger     = 1 * clock.Second  // of a claimant, to send its final updates
)

type (
	claimReply = peerpb.ClaimReply

	// claimant connects one run with the seats of its key. It lives as long
	// as the run.
	claimant struct {
		vm      *VM
		ctx     context.Context
		stop    context.CancelFunc
		ac      *actor.Actor[claim.AskerEvent, claim.AskerIntent]
		onLost  func() // called when this VM loses the key
		changed signal

		mu     sync.Mutex
		last   claim.Decided
		number int // of decisions so far
	}
)

// seatsStream returns the name of the log stream of seat tables.
func (vm *VM) seatsStream() string { return vm.Settings.Log.Stream + "Seats" }

func (vm *VM) initBook() {
	bk := &claim.Book{Self: vm.Self}
	vm.bookState = bk
	vm.book = actor.New[claim.Event, claim.Intent](vm.Clock, claim.Tick{}, bookTick)
	vm.book.Step = vm.stepBook
	vm.book.Execute = vm.handleBookIntent
	vm.book.WakeTime = actor.WakeTimeFunc[claim.Intent](func(wk claim.Wake) clock.Millis { return wk.At })
}

// stepBook executes one step of the claim book and logs what changed.
func (vm *VM) stepBook(now clock.Millis, ev claim.Event) []claim.Intent {
	bk := vm.bookState
	before := bk.Counts()
	out := bk.Step(now, ev)
	after := bk.Counts()
	st := bk.Seats()
	_, seated := ev.(claim.TableAppended)
	switch {
	case st != vm.seats.Load():
		vm.seats.Store(st)
		vm.fleetChanged.raise()
		vm.Log.Log(event.SeatTableInForce, event.F("Epoch", st.Epoch), event.F("Seats", len(st.VMs)))
	case seated:
		vm.Log.Log(event.SeatTableIgnored)
	}
	if after.Conflicts > before.Conflicts {
		vm.Log.Log(event.KeyConflict, event.F("Keys", after.Conflicts-before.Conflicts))
	}
	if after.Refused[claim.Full] > before.Refused[claim.Full] {
		vm.Log.Log(event.BookFull, event.F("Records", after.Records))
	}
	return out
}

func (vm *VM) handleBookIntent(in claim.Intent) {
	switch in := in.(type) {
	case claim.Reply:
		vm.replies.resolve(in.Token, in.Reply)
	case claim.SendHandoff:
		vm.wg.Go(func() { vm.sendHandoff(in) })
	case claim.Propose:
		vm.Log.Log(event.SeatTableProposed, event.F("Seats", len(in.Table.GetSeats())))
		vm.wg.Go(func() { vm.proposeSeats(in.Table) })
	}
}

// answerClaim answers a claim from this VM's book.
func (vm *VM) answerClaim(ctx context.Context, ask *peerpb.ClaimAsk) (*peerpb.Frame, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout.Std())
	defer stop()
	number := vm.replies.open()
	vm.book.Send(ctx, claim.Asked{Token: number, Ask: ask})
	reply, err := vm.replies.wait(ctx, number)
	if err != nil {
		return nil, fmt.Errorf("query the claim book: %w", err)
	}
	return &peerpb.Frame{Body: &peerpb.Frame_ClaimReply{ClaimReply: reply}}, nil
}

func (vm *VM) updateBook(ctx context.Context, up *peerpb.ClaimUpdate) {
	vm.book.Send(ctx, claim.Updated{Update: up})
}

func (vm *VM) receiveHandoff(ctx context.Context, ho *peerpb.ClaimHandoff) {
	vm.book.Send(ctx, claim.HandedOff{Handoff: ho})
}

func (vm *VM) sendHandoff(in claim.SendHandoff) {
	ctx, stop := context.WithTimeout(vm.loopCtx, handoffTimeout.Std())
	defer stop()
	to, ok := vm.Board.Fleet().VM(in.To.ID)
	if ok {
		fr := &peerpb.Frame{Body: &peerpb.Frame_ClaimHandoff{ClaimHandoff: in.Handoff}}
		if _, err := vm.callPeer(ctx, to, fr); err == nil {
			return
		}
	}
	vm.book.Send(vm.loopCtx, claim.HandoffFailed{To: in.To, Epoch: in.Handoff.GetEpoch()})
}

// proposeSeats appends a seat table to the log. A lost reply is harmless: a table
// that was not derived from the one in force has no effect, and the book proposes
// another one if the fleet still differs.
func (vm *VM) proposeSeats(table *peerpb.SeatTable) {
	data, err := proto.Marshal(table)
	if err != nil {
		return
	}
	ctx, stop := context.WithTimeout(vm.loopCtx, handoffTimeout.Std())
	defer stop()
	vm.Logs.Append(ctx, vm.seatsStream(), data)
}

// readSeats runs the book: it waits until the seat tables are available, from the
// log's first record or from a peer, and then follows the log.
func (vm *VM) readSeats(ctx context.Context) {
	next, ok := vm.findSeatsStart(ctx)
	if !ok {
		return
	}
	vm.wg.Go(func() { vm.book.Run(ctx) })
	if st := vm.restoredSeats; st != nil {
		vm.book.Send(ctx, claim.HistoryReceived{Seats: st})
		next = st.Epoch
	}
	for ctx.Err() == nil {
		ba, err := vm.Logs.Read(ctx, vm.seatsStream(), next, seatsReadBatch, seatsReadWait)
		if err != nil {
			clock.Sleep(ctx, seatsRetryDelay)
			continue
		}
		next = vm.applySeats(ctx, ba, next)
	}
}

// findSeatsStart determines the offset from which the seat tables can be read.
func (vm *VM) findSeatsStart(ctx context.Context) (next uint64, ok bool) {
	for ctx.Err() == nil {
		ba, err := vm.Logs.Read(ctx, vm.seatsStream(), 0, 1, 0)
		if err == nil && ba.First == 0 {
			vm.bookState.FromLogStart = true
			return 0, true
		}
		if st := vm.fetchPeerSeats(ctx); st != nil {
			vm.restoredSeats = st
			return st.Epoch, true
		}
		clock.Sleep(ctx, seatsRetryDelay)
	}
	return 0, false
}

func (vm *VM) applySeats(ctx context.Context, ba logsvc.Batch, next uint64) uint64 {
	for _, rc := range ba.Records {
		var table peerpb.SeatTable
		if proto.Unmarshal(rc.Data, &table) == nil {
			vm.book.Send(ctx, claim.TableAppended{Epoch: rc.Offset + 1, Table: &table})
		}
	}
	return max(next, ba.Next)
}

// fetchPeerSeats requests the seat tables from the other VMs, one after the
// other, until one has them.
func (vm *VM) fetchPeerSeats(ctx context.Context) *claim.SeatTable {
	for _, to := range vm.Board.Fleet().Serving() {
		if to.ID == vm.Self.ID {
			continue
		}
		reply, err := vm.callPeer(ctx, to, &peerpb.Frame{Body: &peerpb.Frame_SnapshotAsk{
			SnapshotAsk: &peerpb.SnapshotAsk{Stream: vm.seatsStream()},
		}})
		if err != nil || !reply.GetSnapshot().GetReady() {
			continue
		}
		var hist peerpb.SeatHistory
		if proto.Unmarshal(reply.GetSnapshot().GetData(), &hist) != nil {
			continue
		}
		if st, err := claim.FromHistory(&hist); err == nil {
			return st
		}
	}
	return nil
}

// startClaim starts to claim the key at its seats. The caller must end the claimant.
func (rn *run) startClaim(givenUp board.VMRef, onLost func()) *claimant {
	vm := rn.vm
	ctx, stop := context.WithCancel(vm.loopCtx)
	ak := &claim.Asker{
		Self:        vm.Self,
		Customer:    rn.id.Customer,
		Key:         rn.id.Key,
		Fingerprint: rn.req.Fingerprint,
		Idempotent:  rn.req.Class.Idempotent,
		Fresh:       !rn.req.KeyGiven,
		LostRunner:  givenUp,
		Keep:        claimRetention,
		Patience:    claimTimeout,
		Rand:        vm.rand(vm.claimSeed.Add(1)),
	}
	cm := &claimant{vm: vm, ctx: ctx, stop: stop, onLost: onLost}
	cm.ac = actor.New[claim.AskerEvent, claim.AskerIntent](vm.Clock, claim.AskerTick{}, askerTick)
	cm.ac.Step = ak.Step
	cm.ac.Execute = cm.handleIntent
	cm.ac.WakeTime = actor.WakeTimeFunc[claim.AskerIntent](func(wk claim.Wake) clock.Millis { return wk.At })
	vm.wg.Go(func() { cm.ac.Run(ctx) })
	vm.wg.Go(cm.watchFleet)
	cm.ac.Send(ctx, claim.Begin{Seats: vm.seats.Load(), Fleet: vm.Board.Fleet()})
	return cm
}

// newUnclaimed returns the claimant of a run that claims nothing.
func (vm *VM) newUnclaimed() *claimant {
	ctx, stop := context.WithCancel(vm.loopCtx)
	stop()
	return &claimant{vm: vm, ctx: ctx, ac: actor.New[claim.AskerEvent, claim.AskerIntent](vm.Clock, claim.AskerTick{}, askerTick)}
}

// watchFleet forwards changes of the seats and of the fleet.
func (cm *claimant) watchFleet() {
	for {
		moved := cm.vm.fleetChanged.wait()
		refuted := cm.vm.refuted.wait()
		select {
		case <-cm.ctx.Done():
			return
		case <-moved:
			cm.ac.Send(cm.ctx, claim.ViewChanged{Seats: cm.vm.seats.Load(), Fleet: cm.vm.Board.Fleet()})
		case <-refuted:
			cm.revalidate()
		}
	}
}

// revalidate has the seats confirm the claim again.
func (cm *claimant) revalidate() {
	cm.ac.Send(cm.ctx, claim.Revalidate{Seats: cm.vm.seats.Load(), Fleet: cm.vm.Board.Fleet()})
}

func (cm *claimant) handleIntent(in claim.AskerIntent) {
	switch in := in.(type) {
	case claim.SendAsk:
		cm.vm.wg.Go(func() { cm.sendAsk(in) })
	case claim.SendUpdate:
		cm.vm.wg.Go(func() { cm.vm.sendUpdate(in) })
	case claim.Decided:
		cm.mu.Lock()
		cm.last = in
		cm.number++
		cm.mu.Unlock()
		cm.vm.logVerdict(in.Verdict)
		if in.Verdict == claim.Lost {
			cm.onLost() // before any waiter acts on the decision
		}
		cm.changed.raise()
	}
}

// logVerdict logs the verdicts that matter to an operator.
func (vm *VM) logVerdict(vd claim.Verdict) {
	switch vd {
	case claim.InDoubt:
		vm.Log.Log(event.KeyInDoubt)
	case claim.Unavailable:
		vm.Log.Log(event.SeatsUnreachable)
	case claim.Lost:
		vm.Log.Log(event.KeyLost)
	}
}

func (cm *claimant) sendAsk(in claim.SendAsk) {
	to, ok := cm.vm.Board.Fleet().VM(in.To.ID)
	if !ok {
		cm.ac.Send(cm.ctx, claim.AskFailed{Number: in.Number})
		return
	}
	reply, err := cm.vm.callPeer(cm.ctx, to, &peerpb.Frame{Body: &peerpb.Frame_ClaimAsk{ClaimAsk: in.Ask}})
	if err != nil || reply.GetClaimReply() == nil {
		cm.ac.Send(cm.ctx, claim.AskFailed{Number: in.Number})
		return
	}
	cm.ac.Send(cm.ctx, claim.Replied{Number: in.Number, Reply: reply.GetClaimReply()})
}

// sendUpdate sends the state of a claim to a seat, best effort.
func (vm *VM) sendUpdate(in claim.SendUpdate) {
	ctx, stop := context.WithTimeout(vm.loopCtx, callTimeout.Std())
	defer stop()
	if to, ok := vm.Board.Fleet().VM(in.To.ID); ok {
		vm.callPeer(ctx, to, &peerpb.Frame{Body: &peerpb.Frame_ClaimUpdate{ClaimUpdate: in.Update}})
	}
}

// decisionCount returns the number of decisions so far.
func (cm *claimant) decisionCount() int {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	return cm.number
}

// awaitDecision waits until there are more decisions than seen, and returns the last one.
func (cm *claimant) awaitDecision(ctx context.Context, seen int) (claim.Decided, error) {
	for {
		changed := cm.changed.wait()
		cm.mu.Lock()
		last, number := cm.last, cm.number
		cm.mu.Unlock()
		if number > seen {
			return last, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return claim.Decided{}, fmt.Errorf("claim the key: %w", context.Cause(ctx))
		}
	}
}

// stopLater stops the claimant after a delay, so that the final updates are still sent.
func (cm *claimant) stopLater() { time.AfterFunc(claimLinger.Std(), cm.stop) }

// reportState reports the state of the key to its seats.
func (cm *claimant) reportState(bc claim.StateChanged) {
	cm.ac.Send(cm.ctx, bc)
}

// checkDispatch checks, immediately before a request is sent to a backend server,
// whether that is still allowed. A request that crashes servers is refused. One that
// may run at most once needs a grant that has not expired; an expired one is requested
// again.
func (rn *run) checkDispatch(ctx context.Context) error {
	if err := rn.confirmDispatch(ctx); err != nil {
		return err
	}
	return rn.mayRun()
}

// confirmDispatch is checkDispatch without the memory.
func (rn *run) confirmDispatch(ctx context.Context) error {
	if rn.req.Class.Idempotent {
		return rn.checkPoison()
	}
	now := rn.vm.Clock.Now()
	if now < rn.claimUntil && int64(now) < rn.vm.quorateUntil.Load() {
		return rn.checkPoison()
	}
	seen := rn.claimed.decisionCount()
	rn.claimed.revalidate()
	dec, err := rn.claimed.awaitDecision(ctx, seen)
	if err != nil {
		return err
	}
	rn.claimUntil = dec.Until
	if dec.Verdict == claim.Lost {
		return errKeyLost
	}
	if dec.Verdict != claim.Run && dec.Verdict != claim.TakeOver || rn.vm.Clock.Now() >= dec.Until {
		return refusal.Refusal{
			Ran:        refusal.NotRun,
			Reason:     refusal.HomeUnreachable,
			RetryAfter: clock.Second,
			Detail:     "the VMs that account for the key did not confirm it in time",
		}
	}
	return rn.checkPoison()
}
