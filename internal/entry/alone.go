package entry

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// alone chooses engines by load reports, for the time that no accountant can
// be asked. The reports are asked for when they are needed, and only of a few
// engines, so that it costs nothing while all is well.
type alone struct {
	vm *VM

	mu  sync.Mutex
	fb  sched.Fallback
	own map[string]int // requests that this VM placed by itself, by engine
}

// chooseAlone places a request without its accountant.
func (vm *VM) chooseAlone(ctx context.Context, ask *peerpb.ReserveAsk) (*peerpb.Grant, error) {
	vw := vm.alone.look(ctx, ask.GetCell())
	vm.alone.mu.Lock()
	defer vm.alone.mu.Unlock()
	vw.OwnRequests = vm.alone.own
	gr, ok := vm.alone.fb.Decide(askOf(vm.Self, ask, vm.Clock.Now()), vw)
	if !ok {
		return nil, refusal.Refusal{
			Ran:        refusal.NotRun,
			Reason:     refusal.SchedulerAway,
			RetryAfter: clock.Second,
			Detail:     "the VM that accounts for the model engines is away, and none has room by its report",
		}
	}
	vm.alone.own[gr.Prefill]++
	vm.alone.own[gr.Decode]++
	return &peerpb.Grant{PrefillServer: gr.Prefill, DecodeServer: gr.Decode}, nil
}

// redirectAlone names another decode engine after one refused, or none.
func (vm *VM) redirectAlone(ctx context.Context, ask *peerpb.ReserveAsk, refused string) string {
	vw := vm.alone.look(ctx, ask.GetCell())
	delete(vw.Reports, refused) // an engine without a report is not chosen
	vm.alone.mu.Lock()
	defer vm.alone.mu.Unlock()
	vw.OwnRequests = vm.alone.own
	id, _ := vm.alone.fb.Redirect(askOf(vm.Self, ask, vm.Clock.Now()), vw)
	return id
}

// ended takes back a placement of chooseAlone.
func (al *alone) ended(gr *peerpb.Grant) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.own[gr.GetPrefillServer()]--
	al.own[gr.GetDecodeServer()]--
}

// look asks the engines of a cell for their load.
func (al *alone) look(ctx context.Context, cellName string) sched.EngineView {
	vw := sched.EngineView{Reports: make(map[string]board.LoadReport)}
	for _, ce := range al.vm.cellList().cells {
		if ce.Name == cellName {
			vw.Servers = ce.Servers
		}
	}
	var mu sync.Mutex
	var gr errgroup.Group
	for _, srv := range vw.Servers {
		gr.Go(func() error {
			within, stop := context.WithTimeout(ctx, aloneWithin.Std())
			defer stop()
			rp, err := al.vm.Engines.Load(within, srv)
			if err != nil {
				return nil // an engine without a report is not chosen
			}
			rp.Server, rp.At = srv.ID, al.vm.Clock.Now()
			mu.Lock()
			defer mu.Unlock()
			vw.Reports[srv.ID] = rp
			return nil
		})
	}
	gr.Wait()
	return vw
}

// aloneWithin bounds the wait for load reports.
const aloneWithin = 100 * clock.Millis(1)
