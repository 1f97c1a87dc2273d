package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"alderdyke/internal/actor"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/operator"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/register"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Intervals and timeouts of following the log.
const (
	followerTick   = 250 * clock.Millis(1)
	appendTimeout  = 3 * clock.Second
	publishTimeout = 8 * clock.Second // longer than the follower needs for a verdict
)

// errNotReady means that a peer has not loaded the configuration.
var errNotReady = errors.New("the peer has not loaded the configuration")

type (
	// logFollower runs the decisions on one stream of the log. Other goroutines
	// read its state with query, between two steps.
	logFollower struct {
		vm        *VM
		stream    string
		fo        *register.Follower
		ac        *actor.Actor[register.Event, register.Intent]
		afterStep func(fo *register.Follower) // called after each step; may be nil

		lastReadAt clock.Millis // time of the last successful read
		reachable  bool
	}

	// verdicts holds the operators' calls that wait for the verdict on a
	// publication. The zero value is ready to use.
	verdicts struct {
		mu      sync.Mutex
		waiting map[string][]chan register.Verdict
	}

	// query is a function that runs between two steps.
	query struct {
		register.Event
		run  func(fo *register.Follower)
		done chan struct{}
	}
)

func (vm *VM) newLogFollower(stream string, content register.Content) *logFollower {
	fw := &logFollower{vm: vm, stream: stream, fo: &register.Follower{
		Self:     vm.Self,
		Rand:     vm.rand(hashID(stream)),
		Settings: register.Settings{Content: content},
	}}
	fw.ac = actor.New[register.Event, register.Intent](vm.Clock, register.Tick{}, followerTick)
	fw.ac.Step = fw.step
	fw.ac.Execute = fw.handleIntent
	fw.ac.WakeTime = actor.WakeTimeFunc[register.Intent](func(wk register.Wake) clock.Millis { return wk.At })
	return fw
}

// step executes one event: a query, or an event of the register's follower.
func (fw *logFollower) step(now clock.Millis, ev register.Event) []register.Intent {
	switch ev := ev.(type) {
	case query:
		ev.run(fw.fo)
		close(ev.done)
		return nil
	case register.Read:
		fw.reachable = ev.Err == nil
		if fw.reachable {
			fw.lastReadAt = now
		}
	}
	out := fw.fo.Step(now, ev)
	if fw.afterStep != nil {
		fw.afterStep(fw.fo)
	}
	return out
}

// query runs a function between two steps. It reports false if the context ended
// first. The function does not run after that, because it writes variables that
// its caller reads.
func (fw *logFollower) query(ctx context.Context, ask func(fo *register.Follower)) bool {
	var (
		mu    sync.Mutex
		ended bool
	)
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
	}()
	lk := query{done: make(chan struct{}), run: func(fo *register.Follower) {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			ask(fo)
		}
	}}
	if !fw.ac.Send(ctx, lk) {
		return false
	}
	select {
	case <-lk.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (fw *logFollower) handleIntent(in register.Intent) {
	vm := fw.vm
	switch in := in.(type) {
	case register.ReadLog:
		vm.wg.Go(func() { fw.read(in) })
	case register.Append:
		vm.wg.Go(func() { fw.append(in) })
	case register.RequestRecords:
		vm.wg.Go(func() { fw.askPeer(in) })
	case register.RequestSnapshot:
		vm.wg.Go(func() { fw.askSnapshot(in) })
	case register.TemplatesChanged:
		vm.applyTemplates(in.Templates)
	case register.Verdict:
		vm.verdicts.deliver(in)
	case register.LogEvent:
		vm.Log.Log(in.Event, in.Fields...)
	}
}

func (fw *logFollower) read(in register.ReadLog) {
	ba, err := fw.vm.Logs.Read(fw.vm.loopCtx, fw.stream, in.From, in.Max, in.Wait)
	fw.ac.Send(fw.vm.loopCtx, register.Read{Batch: ba, Err: err})
}

func (fw *logFollower) append(in register.Append) {
	ctx, stop := context.WithTimeout(fw.vm.loopCtx, appendTimeout.Std())
	defer stop()
	offset, err := fw.vm.Logs.Append(ctx, fw.stream, in.Data)
	fw.ac.Send(fw.vm.loopCtx, register.Appended{ID: in.ID, Offset: offset, Err: err})
}

func (fw *logFollower) askPeer(in register.RequestRecords) {
	ctx := fw.vm.loopCtx
	reply, err := fw.vm.callPeer(ctx, in.VM, &peerpb.Frame{Body: &peerpb.Frame_LogAsk{
		LogAsk: &peerpb.LogAsk{Stream: fw.stream, From: in.From, Max: int32(in.Max)},
	}})
	fw.ac.Send(ctx, register.PeerRecords{VM: in.VM.VMRef, Batch: batchFromWire(reply.GetLogRecords()), Err: err})
}

func (fw *logFollower) askSnapshot(in register.RequestSnapshot) {
	ctx := fw.vm.loopCtx
	reply, err := fw.vm.callPeer(ctx, in.VM, &peerpb.Frame{Body: &peerpb.Frame_SnapshotAsk{
		SnapshotAsk: &peerpb.SnapshotAsk{Stream: fw.stream},
	}})
	if err == nil && !reply.GetSnapshot().GetReady() {
		err = errNotReady
	}
	fw.ac.Send(ctx, register.PeerSnapshot{VM: in.VM.VMRef, Data: reply.GetSnapshot().GetData(), Err: err})
}

// applyTemplates puts the configuration into force on this VM.
func (vm *VM) applyTemplates(tp *board.Templates) {
	first := !vm.Board.Templates().Ready && tp.Ready
	vm.Board.SetTemplates(tp)
	if first {
		vm.Log.Log(event.ConfigurationReady, event.F("Customers", len(tp.ByCustomer)), event.F("Applied", tp.Applied))
	}
}

// publish appends an operator's template to the log and waits for the verdict.
func (vm *VM) publish(ctx context.Context, pub operator.Publication) (operator.Verdict, error) {
	ctx, stop := context.WithTimeout(ctx, publishTimeout.Std())
	defer stop()
	decided := vm.verdicts.open(pub.ID)
	tpl := pub.Template
	vm.templateFollower.ac.Send(ctx, register.PublishRequest{ID: pub.ID, Customer: pub.Customer, Base: pub.Base, Template: &tpl, Repeated: pub.Again})
	select {
	case vd := <-decided:
		return operatorVerdict(vd)
	case <-ctx.Done():
		return operator.Verdict{}, fmt.Errorf("publish the template of %s: %w", pub.Customer, context.Cause(ctx))
	}
}

// open returns a channel for the next verdict on a publication. Several operators'
// calls may wait for the same one.
func (vs *verdicts) open(id string) <-chan register.Verdict {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if vs.waiting == nil {
		vs.waiting = make(map[string][]chan register.Verdict)
	}
	ch := make(chan register.Verdict, 1)
	vs.waiting[id] = append(vs.waiting[id], ch)
	return ch
}

func (vs *verdicts) deliver(vd register.Verdict) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	for _, ch := range vs.waiting[vd.ID] {
		ch <- vd
	}
	delete(vs.waiting, vd.ID)
}

// finalReasons holds the reasons for which a repeated publication fails again.
var finalReasons = map[register.Reason]bool{
	register.BaseMismatch: true,
	register.BadValue:     true,
	register.NothingThere: true,
	register.BucketFull:   true,
	register.KeyHashTaken: true,
	register.BadRecord:    true,
}

func operatorVerdict(vd register.Verdict) (operator.Verdict, error) {
	out := operator.Verdict{Revision: vd.Revision, Current: vd.Current, Reason: string(vd.Reason)}
	switch vd.Result {
	case register.Published:
		out.Accepted = true
		return out, nil
	case register.Conflict:
		return out, nil
	case register.NotPublished:
		if finalReasons[vd.Reason] {
			return out, nil
		}
		return out, refusal.Refusal{
			Ran:        refusal.NotRun,
			Reason:     refusal.Reason(vd.Reason),
			RetryAfter: clock.Second,
			Detail:     "the template was not published",
		}
	default:
		return out, fmt.Errorf("the log did not confirm the publication in time: %s", vd.Reason)
	}
}

func (vm *VM) logStatus(now clock.Millis) operator.LogStatus {
	var st operator.LogStatus
	ctx, stop := context.WithTimeout(vm.loopCtx, callTimeout.Std())
	defer stop()
	vm.templateFollower.query(ctx, func(fo *register.Follower) {
		st = operator.LogStatus{
			Position:  fo.Next(),
			Ready:     fo.Ready(),
			Reachable: vm.templateFollower.reachable,
			ReadAge:   now - vm.templateFollower.lastReadAt,
		}
	})
	return st
}

// answerLog sends records of the log to a VM that can't read it.
func (vm *VM) answerLog(ctx context.Context, ask *peerpb.LogAsk) *peerpb.Frame {
	var ba logsvc.Batch
	if fw, ok := vm.followerOf(ask.GetStream()); ok {
		fw.query(ctx, func(fo *register.Follower) { ba = fo.Records(ask.GetFrom(), int(ask.GetMax())) })
	}
	return &peerpb.Frame{Body: &peerpb.Frame_LogRecords{LogRecords: batchToWire(ba)}}
}

// followerOf returns the follower of a stream.
func (vm *VM) followerOf(stream string) (*logFollower, bool) {
	for _, fw := range []*logFollower{vm.templateFollower, vm.leaseFollower} {
		if stream == fw.stream {
			return fw, true
		}
	}
	return nil, false
}

func batchToWire(ba logsvc.Batch) *peerpb.LogRecords {
	out := &peerpb.LogRecords{First: ba.First, Next: ba.Next, End: ba.End}
	for _, rc := range ba.Records {
		out.Records = append(out.Records, &peerpb.LogRecord{Offset: rc.Offset, Data: rc.Data})
	}
	return out
}

func batchFromWire(lr *peerpb.LogRecords) logsvc.Batch {
	out := logsvc.Batch{First: lr.GetFirst(), Next: lr.GetNext(), End: lr.GetEnd()}
	for _, rc := range lr.GetRecords() {
		out.Records = append(out.Records, logsvc.Record{Offset: rc.GetOffset(), Data: rc.GetData()})
	}
	return out
}
