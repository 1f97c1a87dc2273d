package entry

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

// Spans of reconciling a cell with what its engines report.
const (
	// runningInterval is how often an engine is asked what it runs, and for
	// whom, when nothing is in doubt. A list of many runs is asked for less
	// often: runningIntervalPerRun is added for each run, up to maxRunningInterval, so that
	// what the lists cost at rest does not grow with them.
	runningInterval       = 10 * clock.Second
	runningIntervalPerRun = 100 * clock.Millis(1)
	maxRunningInterval    = 2 * clock.Minute
	// lossDoubtPeriod is how long everything is in doubt after a VM was lost,
	// replaced or started.
	lossDoubtPeriod = 10 * clock.Second
	// runningDoubtInterval is how often while a VM was lost or a stream broke.
	runningDoubtInterval = 1 * clock.Second
	// fleetKnownAfter after its start a VM with a majority has heard of every VM
	// that serves: one that it does not know has left the fleet.
	fleetKnownAfter = 1 * clock.Minute
	// minOrphanHold is how long a request of a lost VM is kept for another VM
	// to take it over, if its customer's template names no longer wait.
	minOrphanHold = 10 * clock.Second
	// maxReportMisses in a row make an engine take no new work.
	maxReportMisses = 3
)

type (
	// reconciler compares the accounting of one cell with its engines: it
	// passes on load reports, sees which engines are fit for new work, frees
	// orphans that engines no longer hold, and cancels what lost VMs left.
	reconciler struct {
		hc *heldCell

		mu      sync.Mutex
		misses  map[string]int
		leaving map[string]bool
		drained map[string]bool // get no new work, as an order is to change them
		roles   map[string]reportedRole
		reports map[string]board.LoadReport

		listedAt    clock.Millis           // when the engines were last asked what they run
		listedRuns  int                    // that they listed then
		epoch       uint64                 // of the fleet that was last looked at
		lossSum     uint64                 // digest of its VMs, and of which are gone
		lostAt      clock.Millis           // when it last changed
		absentLists map[string]int         // orphan to the polls in a row that did not find it
		strays      map[stray]clock.Millis // since when a lost VM's request is known
	}

	// stray is a request at an engine whose VM is gone.
	stray struct {
		Server  string
		Request string
	}
)

func newReconciler(hc *heldCell) reconciler {
	return reconciler{
		hc:      hc,
		misses:  make(map[string]int),
		leaving: make(map[string]bool),
		drained: make(map[string]bool),
		roles:   make(map[string]reportedRole),
		reports: make(map[string]board.LoadReport),
	}
}

func (rc *reconciler) run(ctx context.Context) {
	rc.absentLists = make(map[string]int)
	rc.strays = make(map[stray]clock.Millis)
	for {
		rc.pollLoad(ctx)
		rc.observeCell()
		if rc.listDue() {
			rc.reconcile(ctx)
		}
		if !clock.Sleep(ctx, reportInterval) {
			return
		}
	}
}

// markUnfit marks the engines that take no new work as leaving, and gives each the
// role that it reports: the VM list may lag behind a change of role.
func (rc *reconciler) markUnfit(servers []board.BackendServer) []board.BackendServer {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	out := make([]board.BackendServer, 0, len(servers))
	for _, srv := range servers {
		if rc.misses[srv.ID] >= maxReportMisses || rc.leaving[srv.ID] || rc.drained[srv.ID] {
			srv.Leaving = true
		}
		if kr, ok := rc.roles[srv.ID]; ok {
			srv.Role = kr.role
		}
		out = append(out, srv)
	}
	return out
}

// pollLoad asks all engines of the cell for their load at once.
func (rc *reconciler) pollLoad(ctx context.Context) {
	servers := rc.hc.servers()
	var gr errgroup.Group
	changed := make([]bool, len(servers))
	for ix, srv := range servers {
		gr.Go(func() error {
			changed[ix] = rc.pollEngine(ctx, srv)
			return nil
		})
	}
	gr.Wait()
	for _, ch := range changed {
		if ch {
			rc.hc.ac.Tell(ctx, sched.Servers{Servers: rc.markUnfit(servers)})
			return
		}
	}
}

// pollEngine asks one engine and tells whether its fitness changed.
func (rc *reconciler) pollEngine(ctx context.Context, srv board.BackendServer) bool {
	within, stop := context.WithTimeout(ctx, reportTimeout.Std())
	defer stop()
	asked := rc.hc.vm.Clock.Now()
	rp, err := rc.hc.vm.Engines.Load(within, srv)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		return rc.recordMiss(srv, err)
	}
	rp.Server = srv.ID
	rp.At = rc.hc.vm.Clock.Now()
	rc.hc.ac.Tell(ctx, sched.Report{Load: rp})
	turned := rc.recordRole(srv.ID, reportedRole{role: rp.Role, at: asked - rp.Age})
	rc.hc.vm.recordReport(rp)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.reports[srv.ID] = rp
	before := rc.misses[srv.ID] >= maxReportMisses || rc.leaving[srv.ID]
	rc.misses[srv.ID] = 0
	rc.leaving[srv.ID] = rp.Leaving
	return before != rp.Leaving || turned
}

func (rc *reconciler) recordMiss(srv board.BackendServer, err error) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.misses[srv.ID]++
	if rc.misses[srv.ID] != maxReportMisses {
		return false
	}
	rc.hc.vm.Log.Log(event.BackendUnreachable, event.F("Server", srv.ID), event.F("Error", err.Error()))
	return true
}

// listDue tells whether it is time to ask the engines what they run.
func (rc *reconciler) listDue() bool {
	now := rc.hc.vm.Clock.Now()
	if fl := rc.hc.vm.Board.Fleet(); fl.Epoch != rc.epoch {
		rc.epoch = fl.Epoch
		if lost := lossDigest(fl); lost != rc.lossSum {
			rc.lossSum, rc.lostAt = lost, now
		}
	}
	every := runningDelay(rc.listedRuns)
	if len(rc.strays) > 0 || now-rc.lostAt < lossDoubtPeriod || len(rc.hc.orphans()) > 0 {
		every = runningDoubtInterval
	}
	if rc.listedAt != 0 && now-rc.listedAt < every {
		return false
	}
	rc.listedAt = now
	return true
}

// runningDelay is the span between two lists of what the engines run, by how
// many runs they listed, when nothing is in doubt.
func runningDelay(runs int) clock.Millis {
	return min(maxRunningInterval, max(runningInterval, clock.Millis(runs)*runningIntervalPerRun))
}

// lossDigest changes when a VM is lost, replaced by a newer run, or new; it
// does not while VMs are only suspected.
func lossDigest(fl *board.Fleet) uint64 {
	var sum uint64
	for _, vm := range fl.VMs {
		sum += hashID(fmt.Sprintf("%s %d %t", vm.ID, vm.Incarnation, vm.Health == board.Dead || vm.Health == board.Left))
	}
	return sum
}

// reconcile holds what the engines run against what is accounted for.
func (rc *reconciler) reconcile(ctx context.Context) {
	held := make(map[string]bool) // requests that some engine runs
	unknown := make(map[string]bool)
	seen := make(map[stray]bool)
	rc.listedRuns = 0
	for _, srv := range rc.hc.servers() {
		runs, err := rc.running(ctx, srv)
		if err != nil {
			unknown[srv.ID] = true
			continue
		}
		rc.listedRuns += len(runs)
		for _, rn := range runs {
			held[rn.Request] = true
			if rc.hc.vm.stoppedServing(rn.VM) {
				st := stray{Server: srv.ID, Request: rn.Request}
				seen[st] = true
				rc.cancelStray(srv, st, rn)
			}
		}
	}
	for st := range rc.strays {
		if !seen[st] && !unknown[st.Server] {
			delete(rc.strays, st)
		}
	}
	rc.releaseOrphans(ctx, held, unknown)
}

func (rc *reconciler) running(ctx context.Context, srv board.BackendServer) ([]engine.Running, error) {
	ctx, stop := context.WithTimeout(ctx, reportTimeout.Std())
	defer stop()
	return rc.hc.vm.Engines.Running(ctx, srv)
}

// stoppedServing tells whether a VM is known not to serve any more: held dead, stopped,
// or replaced by a newer run of the same VM.
func (vm *VM) stoppedServing(ref board.VMRef) bool {
	fl := vm.Board.Fleet()
	other, ok := fl.VM(ref.ID)
	if !ok {
		return fl.Quorate && vm.Clock.Now()-vm.startedAt > fleetKnownAfter
	}
	return other.Incarnation > ref.Incarnation || other.Health == board.Dead || other.Health == board.Left
}

// cancelStray cancels a lost VM's request once nobody took it over in time.
func (rc *reconciler) cancelStray(srv board.BackendServer, st stray, rn engine.Running) {
	now := rc.hc.vm.Clock.Now()
	since, ok := rc.strays[st]
	if !ok {
		rc.strays[st] = now
		return
	}
	if now-since < rc.orphanHold(rn.Customer) {
		return
	}
	rc.hc.vm.Log.Log(event.OrphanCancelled,
		event.F("Server", srv.ID), event.F("Customer", rn.Customer), event.F("VM", rn.VM.ID))
	rc.hc.vm.janitor.cancelAll(rc.hc.vm.runCtx, srv.ID, rn.Request)
}

// orphanHold is the longest span that the customer's streams wait for a caller.
func (rc *reconciler) orphanHold(customer string) clock.Millis {
	hold := minOrphanHold
	for _, cl := range rc.hc.vm.Board.Templates().ByCustomer[customer].Template.Classes {
		hold = max(hold, cl.StreamWait)
	}
	return hold
}

// releaseOrphans frees the places of requests whose streams were lost, once
// two polls in a row found them at none of their engines.
func (rc *reconciler) releaseOrphans(ctx context.Context, held, unknown map[string]bool) {
	orphans := rc.hc.orphans()
	for request, hr := range orphans {
		if held[request] || unknown[hr.prefill] || unknown[hr.decode] {
			rc.absentLists[request] = 0
			continue
		}
		rc.absentLists[request]++
		if rc.absentLists[request] >= 2 {
			delete(rc.absentLists, request)
			rc.hc.releaseOrphan(ctx, request)
		}
	}
	for request := range rc.absentLists {
		if _, ok := orphans[request]; !ok {
			delete(rc.absentLists, request)
		}
	}
}
