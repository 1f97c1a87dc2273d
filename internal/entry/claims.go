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

// The log stream of seat tables and how it is read.
const (
	seatsWait     = 10 * clock.Second
	seatsBatch    = 64
	seatsRetry    = 500 * clock.Millis(1)
	bookTick      = 1 * clock.Second
	askerTick     = 1 * clock.Minute
	handoffWithin = 5 * clock.Second
	claimKeep     = 10 * clock.Minute
	claimLinger   = 1 * clock.Second
)

type (
	claimReply = peerpb.ClaimReply

	// claimant is one run's link to the seats of its key. It lives as long
	// as the run.
	claimant struct {
		vm      *VM
		ctx     context.Context
		stop    context.CancelFunc
		ac      *actor.Actor[claim.AskerEvent, claim.AskerIntent]
		onLost  func() // called when the key is no longer this VM's
		changed signal

		mu     sync.Mutex
		last   claim.Decided
		number int // of decisions so far
	}
)

// seatsStream is the log stream of seat tables.
func (vm *VM) seatsStream() string { return vm.Settings.Log.Stream + "Seats" }

func (vm *VM) initBook() {
	bk := &claim.Book{Self: vm.Self}
	vm.bookState = bk
	vm.book = actor.New[claim.Event, claim.Intent](vm.Clock, claim.Tick{}, bookTick)
	vm.book.Step = vm.stepBook
	vm.book.Do = vm.carryOutBook
	vm.book.WakeAt = actor.WakeOf[claim.Intent](func(wk claim.Wake) clock.Millis { return wk.At })
}

// stepBook takes one step of the book and tells what changed.
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
		vm.fleetMove.raise()
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

func (vm *VM) carryOutBook(in claim.Intent) {
	switch in := in.(type) {
	case claim.Reply:
		vm.replies.answer(in.Token, in.Reply)
	case claim.SendHandoff:
		vm.wg.Go(func() { vm.sendHandoff(in) })
	case claim.Propose:
		vm.Log.Log(event.SeatTableProposed, event.F("Seats", len(in.Table.GetSeats())))
		vm.wg.Go(func() { vm.proposeSeats(in.Table) })
	}
}

// answerClaim asks this VM's book.
func (vm *VM) answerClaim(ctx context.Context, ask *peerpb.ClaimAsk) (*peerpb.Frame, error) {
	ctx, stop := context.WithTimeout(ctx, callWithin.Std())
	defer stop()
	number := vm.replies.ask()
	vm.book.Tell(ctx, claim.Asked{Token: number, Ask: ask})
	reply, err := vm.replies.wait(ctx, number)
	if err != nil {
		return nil, fmt.Errorf("ask the book: %w", err)
	}
	return &peerpb.Frame{Body: &peerpb.Frame_ClaimReply{ClaimReply: reply}}, nil
}

func (vm *VM) tellBook(ctx context.Context, up *peerpb.ClaimUpdate) {
	vm.book.Tell(ctx, claim.Updated{Update: up})
}

func (vm *VM) takeHandoff(ctx context.Context, ho *peerpb.ClaimHandoff) {
	vm.book.Tell(ctx, claim.HandedOff{Handoff: ho})
}

func (vm *VM) sendHandoff(in claim.SendHandoff) {
	ctx, stop := context.WithTimeout(vm.loopCtx, handoffWithin.Std())
	defer stop()
	to, ok := vm.Board.Fleet().VM(in.To.ID)
	if ok {
		fr := &peerpb.Frame{Body: &peerpb.Frame_ClaimHandoff{ClaimHandoff: in.Handoff}}
		if _, err := vm.callPeer(ctx, to, fr); err == nil {
			return
		}
	}
	vm.book.Tell(vm.loopCtx, claim.HandoffFailed{To: in.To, Epoch: in.Handoff.GetEpoch()})
}

// proposeSeats appends a seat table. A lost reply does no harm: a table that
// is not made from the one in force has no effect, and the book proposes
// again if the fleet still differs.
func (vm *VM) proposeSeats(table *peerpb.SeatTable) {
	data, err := proto.Marshal(table)
	if err != nil {
		return
	}
	ctx, stop := context.WithTimeout(vm.loopCtx, handoffWithin.Std())
	defer stop()
	vm.Logs.Append(ctx, vm.seatsStream(), data)
}

// readSeats runs the book: it waits until the seat tables can be known, from
// the log's first record or from a peer, and then follows the log.
func (vm *VM) readSeats(ctx context.Context) {
	next, ok := vm.learnSeats(ctx)
	if !ok {
		return
	}
	vm.wg.Go(func() { vm.book.Run(ctx) })
	if st := vm.restored; st != nil {
		vm.book.Tell(ctx, claim.HistoryReceived{Seats: st})
		next = st.Epoch
	}
	for ctx.Err() == nil {
		ba, err := vm.Logs.Read(ctx, vm.seatsStream(), next, seatsBatch, seatsWait)
		if err != nil {
			clock.Sleep(ctx, seatsRetry)
			continue
		}
		next = vm.applySeats(ctx, ba, next)
	}
}

// learnSeats finds out where the seat tables can be read from.
func (vm *VM) learnSeats(ctx context.Context) (next uint64, ok bool) {
	for ctx.Err() == nil {
		ba, err := vm.Logs.Read(ctx, vm.seatsStream(), 0, 1, 0)
		if err == nil && ba.First == 0 {
			vm.bookState.FromLogStart = true
			return 0, true
		}
		if st := vm.seatsOfPeers(ctx); st != nil {
			vm.restored = st
			return st.Epoch, true
		}
		clock.Sleep(ctx, seatsRetry)
	}
	return 0, false
}

func (vm *VM) applySeats(ctx context.Context, ba logsvc.Batch, next uint64) uint64 {
	for _, rc := range ba.Records {
		var table peerpb.SeatTable
		if proto.Unmarshal(rc.Data, &table) == nil {
			vm.book.Tell(ctx, claim.TableAppended{Epoch: rc.Offset + 1, Table: &table})
		}
	}
	return max(next, ba.Next)
}

// seatsOfPeers asks the other VMs for the seat tables that they know, until
// one answers.
func (vm *VM) seatsOfPeers(ctx context.Context) *claim.SeatTable {
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

// claim starts the search for the seats' grants. The claimant must be ended.
func (rn *run) claim(givenUp board.VMRef, onLost func()) *claimant {
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
		Keep:        claimKeep,
		Patience:    claimTimeout,
		Rand:        vm.rand(vm.claimSeed.Add(1)),
	}
	cm := &claimant{vm: vm, ctx: ctx, stop: stop, onLost: onLost}
	cm.ac = actor.New[claim.AskerEvent, claim.AskerIntent](vm.Clock, claim.AskerTick{}, askerTick)
	cm.ac.Step = ak.Step
	cm.ac.Do = cm.carryOut
	cm.ac.WakeAt = actor.WakeOf[claim.AskerIntent](func(wk claim.Wake) clock.Millis { return wk.At })
	vm.wg.Go(func() { cm.ac.Run(ctx) })
	vm.wg.Go(cm.watch)
	cm.ac.Tell(ctx, claim.Begin{Seats: vm.seats.Load(), Fleet: vm.Board.Fleet()})
	return cm
}

// noClaim is the link of a run that claimed nothing.
func (vm *VM) noClaim() *claimant {
	ctx, stop := context.WithCancel(vm.loopCtx)
	stop()
	return &claimant{vm: vm, ctx: ctx, ac: actor.New[claim.AskerEvent, claim.AskerIntent](vm.Clock, claim.AskerTick{}, askerTick)}
}

// watch passes on changes of the seats and the fleet.
func (cm *claimant) watch() {
	for {
		moved := cm.vm.fleetMove.wait()
		refuted := cm.vm.refuted.wait()
		select {
		case <-cm.ctx.Done():
			return
		case <-moved:
			cm.ac.Tell(cm.ctx, claim.ViewChanged{Seats: cm.vm.seats.Load(), Fleet: cm.vm.Board.Fleet()})
		case <-refuted:
			cm.revalidate()
		}
	}
}

func (cm *claimant) revalidate() {
	cm.ac.Tell(cm.ctx, claim.Revalidate{Seats: cm.vm.seats.Load(), Fleet: cm.vm.Board.Fleet()})
}

func (cm *claimant) carryOut(in claim.AskerIntent) {
	switch in := in.(type) {
	case claim.SendAsk:
		cm.vm.wg.Go(func() { cm.ask(in) })
	case claim.SendUpdate:
		cm.vm.wg.Go(func() { cm.vm.sendUpdate(in) })
	case claim.Decided:
		cm.mu.Lock()
		cm.last = in
		cm.number++
		cm.mu.Unlock()
		cm.vm.logVerdict(in.Verdict)
		if in.Verdict == claim.Lost {
			cm.onLost() // before anybody acts on the decision
		}
		cm.changed.raise()
	}
}

// logVerdict writes the verdicts that an operator should know of.
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

func (cm *claimant) ask(in claim.SendAsk) {
	to, ok := cm.vm.Board.Fleet().VM(in.To.ID)
	if !ok {
		cm.ac.Tell(cm.ctx, claim.AskFailed{Number: in.Number})
		return
	}
	reply, err := cm.vm.callPeer(cm.ctx, to, &peerpb.Frame{Body: &peerpb.Frame_ClaimAsk{ClaimAsk: in.Ask}})
	if err != nil || reply.GetClaimReply() == nil {
		cm.ac.Tell(cm.ctx, claim.AskFailed{Number: in.Number})
		return
	}
	cm.ac.Tell(cm.ctx, claim.Replied{Number: in.Number, Reply: reply.GetClaimReply()})
}

// sendUpdate tells a seat of a claim's state, best effort.
func (vm *VM) sendUpdate(in claim.SendUpdate) {
	ctx, stop := context.WithTimeout(vm.loopCtx, callWithin.Std())
	defer stop()
	if to, ok := vm.Board.Fleet().VM(in.To.ID); ok {
		vm.callPeer(ctx, to, &peerpb.Frame{Body: &peerpb.Frame_ClaimUpdate{ClaimUpdate: in.Update}})
	}
}

// decisions counts the decisions so far.
func (cm *claimant) decisions() int {
	cm.mu.Lock()
	defer cm.mu.Unlock()
	return cm.number
}

// verdict waits for a decision beyond the first so many.
func (cm *claimant) verdict(ctx context.Context, seen int) (claim.Decided, error) {
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

// end lets the final updates leave and then ends the link.
func (cm *claimant) end() { time.AfterFunc(claimLinger.Std(), cm.stop) }

// became tells the seats what became of the key.
func (cm *claimant) became(bc claim.StateChanged) {
	cm.ac.Tell(cm.ctx, bc)
}

// mayDispatch tells, at the last moment, whether a request may still be sent to a
// backend server: none that ends its servers, and one that may run at most once with
// a grant that is not too old; such a grant is asked for anew.
func (rn *run) mayDispatch(ctx context.Context) error {
	if rn.req.Class.Idempotent {
		return rn.checkPoison()
	}
	now := rn.vm.Clock.Now()
	if now < rn.until && int64(now) < rn.vm.fresh.Load() {
		return rn.checkPoison()
	}
	seen := rn.claimed.decisions()
	rn.claimed.revalidate()
	dec, err := rn.claimed.verdict(ctx, seen)
	if err != nil {
		return err
	}
	rn.until = dec.Until
	if dec.Verdict == claim.Lost {
		return errLost
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
