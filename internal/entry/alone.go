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

// fallbackPlacer chooses engines by load reports while no scheduler can be
// reached. It requests the reports on demand and from the engines of one cell
// only, so it costs nothing during normal operation.
type fallbackPlacer struct {
	vm *VM

	mu     sync.Mutex
	fb     sched.Fallback
	placed map[string]int // requests that this VM placed itself, by engine
}

// placeByReports places a request without its scheduler.
func (vm *VM) placeByReports(ctx context.Context, ask *peerpb.ReserveAsk) (*peerpb.Grant, error) {
	vw := vm.fallback.collectReports(ctx, ask.GetCell())
	vm.fallback.mu.Lock()
	defer vm.fallback.mu.Unlock()
	vw.OwnRequests = vm.fallback.placed
	gr, ok := vm.fallback.fb.Decide(askFromWire(vm.Self, ask, vm.Clock.Now()), vw)
	if !ok {
		return nil, refusal.Refusal{
			Ran:        refusal.NotRun,
			Reason:     refusal.SchedulerAway,
			RetryAfter: clock.Second,
			Detail:     "the VM that accounts for the model engines is away, and none has room by its report",
		}
	}
	vm.fallback.placed[gr.Prefill]++
	vm.fallback.placed[gr.Decode]++
	return &peerpb.Grant{PrefillServer: gr.Prefill, DecodeServer: gr.Decode}, nil
}

// redirectByReports returns another decode engine after one refused, or "" if none is left.
func (vm *VM) redirectByReports(ctx context.Context, ask *peerpb.ReserveAsk, refused string) string {
	vw := vm.fallback.collectReports(ctx, ask.GetCell())
	delete(vw.Reports, refused) // an engine without a report is not chosen
	vm.fallback.mu.Lock()
	defer vm.fallback.mu.Unlock()
	vw.OwnRequests = vm.fallback.placed
	id, _ := vm.fallback.fb.Redirect(askFromWire(vm.Self, ask, vm.Clock.Now()), vw)
	return id
}

// release undoes a placement of placeByReports.
func (fp *fallbackPlacer) release(gr *peerpb.Grant) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	fp.placed[gr.GetPrefillServer()]--
	fp.placed[gr.GetDecodeServer()]--
}

// collectReports requests load reports from the engines of a cell.
func (fp *fallbackPlacer) collectReports(ctx context.Context, cellName string) sched.EngineView {
	vw := sched.EngineView{Reports: make(map[string]board.LoadReport)}
	for _, ce := range fp.vm.cellList().cells {
		if ce.Name == cellName {
			vw.Servers = ce.Servers
		}
	}
	var mu sync.Mutex
	var gr errgroup.Group
	for _, srv := range vw.Servers {
		gr.Go(func() error {
			within, stop := context.WithTimeout(ctx, fallbackReportTimeout.Std())
			defer stop()
			rp, err := fp.vm.Engines.Load(within, srv)
			if err != nil {
				return nil // an engine without a report is not chosen
			}
			rp.Server, rp.At = srv.ID, fp.vm.Clock.Now()
			mu.Lock()
			defer mu.Unlock()
			vw.Reports[srv.ID] = rp
			return nil
		})
	}
	gr.Wait()
	return vw
}

// fallbackReportTimeout limits the wait for load reports.
const fallbackReportTimeout = 100 * clock.Millis(1)
