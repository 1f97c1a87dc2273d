package relay

import (
	"context"
	"slices"

	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

const (
	// serverAskPart is the part of a route's objective that an ask for a plain server may
	// take, within minServerAsk and maxServerAsk: a round trip between failure domains
	// takes 3 ms, and a VM that is slow to answer is worth less than its answer.
	serverAskPart = 1.0 / 16
	minServerAsk  = 4 * clock.Millis(1)
	maxServerAsk  = 12 * clock.Millis(1)
	// defaultServerAsk applies to routes without an objective.
	defaultServerAsk = 8 * clock.Millis(1)
	// maxServerAsks bounds the asks of all VMs together in a second, so that a small VM
	// that chooses for all is not overloaded: 2.3 times the 209 requests a second of a
	// fleet of 133 VMs are 480. Beyond it VMs choose by themselves.
	maxServerAsks = 600.0
	// maxServerReports bounds the reports without an ask in the same way.
	maxServerReports = 600.0
	// serverAskBurst is how many asks, or reports without one, a VM may make at once.
	serverAskBurst = 6.0
	// serverReporters is how many schedulers get reports and are asked: the one that
	// chooses and the next in line, which then can choose at once. A third one would
	// count what it assigns and not hear when that ends.
	serverReporters = 2
	// choiceLogInterval is the shortest time between two log lines on the choice for a
	// service.
	choiceLogInterval = 10 * clock.Second
	// estimateInterval is how often the gauges of the estimate are set.
	estimateInterval = clock.Second
)

// Kinds of the choice of a plain server, as logged.
const (
	choiceOwn       choiceKind = "Own"       // by this VM
	choiceAllocated choiceKind = "Allocated" // by the VM that chooses for all
	choiceFallback  choiceKind = "Fallback"  // by this VM, because that VM did not choose
)

type (
	// Allocators gives access to the VMs that choose plain servers for the whole fleet;
	// they are those of Schedulers.
	Allocators interface {
		// HasSchedulers reports whether the fleet is large enough to have such VMs.
		HasSchedulers() bool
		// AskServer asks one of them for a server; ok is false if it knows too little of
		// the servers.
		AskServer(ctx context.Context, vm string, ask balance.Ask) (an balance.Allocation, ok bool, err error)
		// ReportServer tells one of them that a request of this VM has ended.
		ReportServer(vm string, rp balance.Report)
	}

	choiceKind string

	// allocations is what the relay knows of the choice of plain servers by one VM.
	allocations struct {
		allocator   balance.Allocator           // of this VM, for all VMs
		silent      map[string]*balance.Silence // by scheduler
		asks        balance.Allowance
		reports     balance.Allowance
		lastNumber  uint64                  // of a request that was asked for
		logged      map[string]loggedChoice // by service
		estimatedAt clock.Millis            // when the gauges were last set
	}

	loggedChoice struct {
		kind choiceKind
		at   clock.Millis
	}

	// allocated is the server that was chosen for a request by the VM that counts it there.
	allocated struct {
		balance.Allocation
		number uint64 // zero: none
	}
)

// allocate asks for a server for a request of a busy service. Without an answer the
// request has no allocated server, and this VM chooses by itself.
func (rl *Relay) allocate(ctx context.Context, ex *exchange, denied []string) {
	rl.endAllocation(ex)
	if !rl.hasAllocators() {
		return
	}
	vms, here := rl.allocatorVMs()
	rl.mu.Lock()
	now := rl.now()
	if !rl.chooser.WantsAsk(now, ex.svc.Name) {
		rl.recordChoice(now, ex.svc.Name, choiceOwn, "")
		rl.mu.Unlock()
		return
	}
	rl.allocations.lastNumber++
	ask := rl.serverAsk(now, ex, denied)
	ask.Number = rl.allocations.lastNumber
	vm, remote := rl.firstAllocator(now, vms)
	remote = remote && rl.mayAsk(now)
	rl.mu.Unlock()
	an, ok := balance.Allocation{}, false
	switch {
	case remote:
		an, ok = rl.askServer(ctx, vm, ex, ask)
	case here:
		vm = ""
		an, ok = rl.AnswerServer(ask)
	}
	rl.applyAllocation(ex, vm, ask, an, ok)
}

// serverAsk returns the ask for a server, without a number. The lock is held.
func (rl *Relay) serverAsk(now clock.Millis, ex *exchange, denied []string) balance.Ask {
	ask := balance.Ask{Service: ex.svc.Name, Version: ex.version}
	ask.Excluded = append(append(ask.Excluded, ex.tried...), denied...)
	ask.Excluded = append(ask.Excluded, rl.chooser.Unusable(now, ex.svc.Name)...)
	ask.Excluded = ask.Excluded[:min(len(ask.Excluded), maxExcluded)]
	return ask
}

func (rl *Relay) hasAllocators() bool {
	return rl.Allocators != nil && rl.Schedulers != nil && rl.Allocators.HasSchedulers()
}

// allocatorVMs lists the VMs to ask, and reports whether this VM may choose for itself
// after them.
func (rl *Relay) allocatorVMs() (vms []string, here bool) {
	vms, here = rl.Schedulers.SchedulerVMs()
	if len(vms) >= serverReporters {
		return vms[:serverReporters], false
	}
	return vms, here
}

// firstAllocator returns the first scheduler that is not skipped. The lock is held.
func (rl *Relay) firstAllocator(now clock.Millis, vms []string) (vm string, ok bool) {
	for _, vm := range vms {
		if si := rl.allocations.silent[vm]; si == nil || !si.IsActive(now) {
			return vm, true
		}
	}
	return "", false
}

// mayAsk reports whether this VM may ask once more now. The lock is held.
func (rl *Relay) mayAsk(now clock.Millis) bool {
	return rl.take(&rl.allocations.asks, now, maxServerAsks)
}

// take takes from an allowance of which each VM has the same part. The lock is held.
func (rl *Relay) take(al *balance.Allowance, now clock.Millis, all float64) bool {
	others := 0
	if rl.OtherVMs != nil {
		ids, _ := rl.OtherVMs()
		others = len(ids)
	}
	al.Rate, al.Burst = all/float64(others+1), serverAskBurst
	return al.Take(now)
}

// askServer asks a scheduler for a server, and skips it for a while if it has none.
func (rl *Relay) askServer(ctx context.Context, vm string, ex *exchange, ask balance.Ask) (an balance.Allocation, ok bool) {
	within, stop := context.WithTimeout(ctx, serverAskTimeout(ex.rt.Objective).Std())
	an, ok, err := rl.Allocators.AskServer(within, vm, ask)
	stop()
	if ctx.Err() != nil {
		return balance.Allocation{}, false
	}
	outcome := "Known"
	switch {
	case err != nil:
		ok, outcome = false, "Silent"
	case !ok:
		outcome = "Unknown"
	}
	rl.count("ServerAsks", map[string]string{"Outcome": outcome})
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.allocations.silent == nil {
		rl.allocations.silent = make(map[string]*balance.Silence)
	}
	si := rl.allocations.silent[vm]
	if si == nil {
		si = &balance.Silence{}
		rl.allocations.silent[vm] = si
	}
	if ok {
		si.End()
	} else {
		si.Begin(rl.now())
	}
	return an, ok
}

// serverAskTimeout returns how long an ask for a server may take.
func serverAskTimeout(objective clock.Millis) clock.Millis {
	if objective <= 0 {
		return defaultServerAsk
	}
	return min(max(clock.Millis(serverAskPart*float64(objective)), minServerAsk), maxServerAsk)
}

// applyAllocation records the result of an ask.
func (rl *Relay) applyAllocation(ex *exchange, vm string, ask balance.Ask, an balance.Allocation, ok bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	if !ok {
		rl.recordChoice(now, ex.svc.Name, choiceFallback, vm)
		return
	}
	ex.allocated = allocated{Allocation: an, number: ask.Number}
	rl.chooser.ObserveBusy(now, ex.svc.Name, an.Busy)
	rl.recordChoice(now, ex.svc.Name, choiceAllocated, vm)
}

// recordChoice logs that the kind of choice for a service changed, at most once in
// choiceLogInterval. The lock is held.
func (rl *Relay) recordChoice(now clock.Millis, service string, kind choiceKind, by string) {
	last, known := rl.allocations.logged[service]
	if !known {
		last.kind = choiceOwn
	}
	if kind == last.kind || known && now-last.at < choiceLogInterval {
		return
	}
	if rl.allocations.logged == nil {
		rl.allocations.logged = make(map[string]loggedChoice)
	}
	rl.allocations.logged[service] = loggedChoice{kind: kind, at: now}
	rl.Log.Log(event.RelayChoiceChanged, event.F("Service", service), event.F("Kind", kind), event.F("Other", by))
}

// endAllocation reports that a request does not go to the server that was chosen for it.
func (rl *Relay) endAllocation(ex *exchange) {
	if ex.allocated.number != 0 {
		rl.sendServerReport(balance.Report{Number: ex.allocated.number, Server: ex.allocated.Server})
		ex.allocated = allocated{}
	}
}

// reportServerEnd reports the end of a request at a server and the load that it stated, to
// the VMs that choose for all. Servers that state no load need no reports.
func (rl *Relay) reportServerEnd(ex *exchange, bs board.BackendServer, out balance.Outcome) {
	rp := balance.Report{Number: ex.allocated.number, Server: bs.ID, Full: out.Result == balance.Busy, Load: out.Load}
	switch out.Result {
	case balance.Success:
		rp.Took = max(out.Took, 1)
	case balance.Failure, balance.Timeout, balance.Gone:
		rp.Failed = true
	case balance.Busy, balance.Cancelled:
	}
	ex.allocated = allocated{}
	if !rl.hasAllocators() {
		return
	}
	rl.mu.Lock()
	now := rl.now()
	send := rl.chooser.StatesLoad(now, bs.Service) && (rp.Number != 0 || rl.take(&rl.allocations.reports, now, maxServerReports))
	rl.mu.Unlock()
	if send {
		rl.sendServerReport(rp)
	}
}

func (rl *Relay) sendServerReport(rp balance.Report) {
	if !rl.hasAllocators() {
		return
	}
	vms, here := rl.allocatorVMs()
	for _, vm := range vms {
		rl.Allocators.ReportServer(vm, rp)
	}
	if here {
		rl.ReceiveServerReport(rp)
	}
}

// AnswerServer chooses a plain server for a request of another VM, or of this one; false
// if too little is known of the servers.
func (rl *Relay) AnswerServer(ask balance.Ask) (balance.Allocation, bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	now := rl.now()
	an, ok := rl.allocations.allocator.Choose(now, ask)
	if ok && rl.Scope != nil && now-rl.allocations.estimatedAt >= estimateInterval {
		rl.allocations.estimatedAt = now
		es, sc := rl.allocations.allocator.Estimate(now, ask.Service), rl.Scope.Tagged(map[string]string{"Service": ask.Service})
		sc.Gauge("EstimateSpread").Update(es.Spread)
		sc.Gauge("EstimateAge").Update(float64(es.Age) / float64(clock.Second))
	}
	return an, ok
}

// ReceiveServerReport records the end of a request of another VM, or of this one.
func (rl *Relay) ReceiveServerReport(rp balance.Report) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	rl.allocations.allocator.Observe(rl.now(), rp)
}

// updateAllocator gives the allocator a new list of servers, and forgets VMs and services
// that are gone. The lock is held.
func (rl *Relay) updateAllocator(now clock.Millis, list []board.BackendServer) {
	rl.allocations.allocator.Update(now, list)
	for service := range rl.allocations.logged {
		if !slices.ContainsFunc(list, func(bs board.BackendServer) bool { return bs.Service == service }) {
			delete(rl.allocations.logged, service)
		}
	}
	for vm, si := range rl.allocations.silent {
		if !si.IsActive(now) {
			delete(rl.allocations.silent, vm)
		}
	}
}
