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

// Intervals and limits of reconciling a cell with the reports of its engines.
const (
	// runningInterval is how often an engine lists its runs and their VMs when
	// nothing is in doubt. Long lists are requested less often:
	// runningIntervalPerRun is added for each run, up to maxRunningInterval, so
	// that the idle cost of the lists does not grow with them.
	runningInterval       = 10 * clock.Second
	runningIntervalPerRun = 100 * clock.Millis(1)
	maxRunningInterval    = 2 * clock.Minute
	// lossDoubtPeriod is how long all runs are in doubt after a VM was lost,
	// replaced or started.
	lossDoubtPeriod = 10 * clock.Second
	// runningDoubtInterval is the interval while a VM is lost or a stream is broken.
	runningDoubtInterval = 1 * clock.Second
	// fleetKnownAfter is the time after its start in which a VM with a quorum
	// learns of every serving VM: one that it does not know then has left the
	// fleet.
	fleetKnownAfter = 1 * clock.Minute
	// minOrphanHold is how long a request of a lost VM is kept for another VM
	// to take it over, unless its customer's template sets a longer wait.
	minOrphanHold = 10 * clock.Second
	// maxReportMisses is the number of consecutive failed reports after which an
	// engine gets no new work.
	maxReportMisses = 3
)

type (
	// reconciler compares the scheduling state of one cell with its engines: it
	// forwards load reports, determines which engines are fit for new work,
	// releases orphans that engines no longer hold, and cancels the requests of
	// lost VMs.
	reconciler struct {
		hc *heldCell

		mu      sync.Mutex
		misses  map[string]int
		leaving map[string]bool
		drained map[string]bool // engines without new work because of a pending order
		roles   map[string]reportedRole
		reports map[string]board.LoadReport

		listedAt    clock.Millis           // time of the last listing of runs
		listedRuns  int                    // number of runs in that listing
		epoch       uint64                 // of the fleet at the last check
		lossSum     uint64                 // digest of its VMs and of which are lost
		lostAt      clock.Millis           // last change of the digest
		absentLists map[string]int         // consecutive listings without an orphan, by request
		strays      map[stray]clock.Millis // time at which a lost VM's request was found
	}

	// stray is a request that an engine holds for a lost VM.
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

// run polls the engines of the cell, and lists their runs when that is due, until the
// context ends.
func (rc *reconciler) run(ctx context.Context) {
	rc.absentLists = make(map[string]int)
	rc.strays = make(map[stray]clock.Millis)
	for {
		rc.pollLoad(ctx)
		rc.observeCell()
		rc.hc.audit()
		if rc.listDue() {
			rc.reconcile(ctx)
		}
		if !clock.Sleep(ctx, reportInterval) {
			return
		}
	}
}

// markUnfit marks the engines that get no new work as leaving, and sets the role that
// each engine reports, because the VM list may lag behind a role change.
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

// pollLoad polls the load of all engines of the cell concurrently.
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
			rc.hc.ac.Send(ctx, sched.Servers{Servers: rc.markUnfit(servers)})
			return
		}
	}
}

// pollEngine polls the load of one engine and reports whether its fitness or role changed.
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
	rc.hc.ac.Send(ctx, sched.Report{Load: rp})
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

// recordMiss counts a failed load report, and reports whether it is the one that makes
// the engine unfit for new work.
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

// listDue reports whether the runs of the engines must be listed now.
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

// runningDelay returns the interval between two listings of runs when nothing is in
// doubt, given the number of runs in the last one.
func runningDelay(runs int) clock.Millis {
	return min(maxRunningInterval, max(runningInterval, clock.Millis(runs)*runningIntervalPerRun))
}

// lossDigest returns a digest that changes when a VM is lost, restarted or added, but
// not when a VM is only suspected.
func lossDigest(fl *board.Fleet) uint64 {
	var sum uint64
	for _, vm := range fl.VMs {
		sum += hashID(fmt.Sprintf("%s %d %t", vm.ID, vm.Incarnation, vm.Health == board.Dead || vm.Health == board.Left))
	}
	return sum
}

// reconcile compares the runs of the engines with the scheduling state.
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

// stoppedServing reports whether a VM is known to have stopped serving: it is considered
// dead, has left, or was replaced by a newer incarnation.
func (vm *VM) stoppedServing(ref board.VMRef) bool {
	fl := vm.Board.Fleet()
	other, ok := fl.VM(ref.ID)
	if !ok {
		return fl.Quorate && vm.Clock.Now()-vm.startedAt > fleetKnownAfter
	}
	return other.Incarnation > ref.Incarnation || other.Health == board.Dead || other.Health == board.Left
}

// cancelStray cancels a lost VM's request if no VM has taken it over in time.
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

// orphanHold returns how long a customer's orphaned requests are kept: the longest time
// that its streams wait for a caller.
func (rc *reconciler) orphanHold(customer string) clock.Millis {
	hold := minOrphanHold
	for _, cl := range rc.hc.vm.Board.Templates().ByCustomer[customer].Template.Classes {
		hold = max(hold, cl.StreamWait)
	}
	return hold
}

// releaseOrphans frees the slots of requests whose streams were lost, once two
// consecutive listings found them at none of their engines.
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
