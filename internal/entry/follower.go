package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/operator"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/register"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

var tmpOuts = pending[register.Outcome]{}

func (vm *VM) initFollower() {
	vm.follower = newActor[register.Event, register.Intent](vm.Clock, register.Tick{}, 1000)
	vm.follower.step = func(clock.Millis, register.Event) []register.Intent { return nil }
	vm.follower.wakeAt = func(register.Intent) (clock.Millis, bool) { return 0, false }
}

func (vm *VM) tmpRead(ctx context.Context) {
	st := &register.State{Content: register.Templates}
	for ctx.Err() == nil {
		ba, err := vm.Logs.Read(ctx, "alderdyke", st.Next(), 100, 2000)
		if err != nil {
			sleep(ctx, 200)
			continue
		}
		outs, _ := st.Advance(ba)
		tp := &board.Templates{ByCustomer: map[string]board.InForce{}, ByKeyHash: map[string]string{}, Ready: true, Applied: st.Next()}
		for _, en := range st.Entries() {
			var tpl template.Template
			json.Unmarshal(en.Value, &tpl)
			tp.ByCustomer[en.Key] = board.InForce{Template: tpl, Revision: en.Revision}
			for _, kh := range tpl.KeyHashes {
				tp.ByKeyHash[kh] = en.Key
			}
		}
		vm.Board.SetTemplates(tp)
		_ = outs
	}
}

func (vm *VM) publish(ctx context.Context, pub operator.Publication) (operator.Verdict, error) {
	val, _ := json.Marshal(pub.Template)
	data, err := register.Marshal(register.Publish{ID: pub.ID, Key: pub.Customer, Base: pub.Base, Value: val})
	if err != nil {
		return operator.Verdict{}, err
	}
	off, err := vm.Logs.Append(ctx, "alderdyke", data)
	if err != nil {
		return operator.Verdict{}, fmt.Errorf("publish: %w", err)
	}
	for vm.Board.Templates().Applied <= off {
		time.Sleep(10 * time.Millisecond)
	}
	cur := vm.Board.Templates().ByCustomer[pub.Customer].Revision
	return operator.Verdict{Accepted: cur == off+1, Revision: off + 1, Current: cur}, nil
}

func (vm *VM) logStatus(clock.Millis) operator.LogStatus { return operator.LogStatus{} }

func (vm *VM) answerLog(*peerpb.LogAsk) *peerpb.Frame { return doneFrame() }

var _ = logsvc.Batch{}
