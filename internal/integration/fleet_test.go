package integration

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/invariant"
	"alderdyke/internal/operator"
	enginesim "alderdyke/internal/standin/engine"
	servicesim "alderdyke/internal/standin/service"

	"alderdyke/internal/standin/deployment"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// Customer, services and limits of the fleets in these tests.
const (
	customer = "kedelsyn"
	apiKey   = "kedelsyn-demo-key"
	model    = "rapportmodel"
	service  = "feltapp"

	streamWait = 3 * clock.Second // StreamWait of the model's classes
	// maxHoldAfterEnd is how long engines may hold resources of a request
	// after its call has ended: it covers the wait for the caller to return,
	// the time to detect a lost VM, and the time in which another VM may take
	// its requests over.
	maxHoldAfterEnd = 25 * clock.Second
)

const templateText = `
Customer = "kedelsyn"
KeyHashes = ["98ac03f5f882334253948be0df4d84b2c0dcae8996025b4431f43d87f5d5a575"]
PrefillWeight = 0.5
[[Classes]]
Name = "findings"
Service = "rapportmodel"
Urgency = "Patient"
Idempotent = true
TTFT = "20s"
TPOT = "100ms"
Deadline = "2m"
StreamWait = "3s"
Share = 0.7
MaxTokens = 2048
[[Classes]]
Name = "fieldnote"
Service = "rapportmodel"
Urgency = "Quick"
Idempotent = true
TTFT = "1s"
TPOT = "50ms"
Deadline = "30s"
StreamWait = "3s"
Share = 0.3
MaxTokens = 256
[[Classes]]
Name = "records"
Service = "feltapp"
Urgency = "Quick"
Paths = ["/records"]
Idempotent = true
TTFT = "1s"
Deadline = "15s"
StreamWait = "2s"
Share = 0.5
[[Classes]]
Name = "payments"
Service = "feltapp"
Urgency = "Quick"
Paths = ["/payments"]
Idempotent = false
TTFT = "1s"
Deadline = "15s"
StreamWait = "10s"
Share = 0.5
`

var (
	// processOctet is the second octet of all loopback addresses of this process.
	// It depends on the process ID, so that concurrent processes rarely use the
	// same addresses, and lies below those of the platform's tests.
	processOctet = byte(32 + os.Getpid()%96)
	fleetCount   atomic.Int32 // number of fleets that this process has created
)

type (
	// plan holds the size of a fleet and the settings of its backend servers.
	plan struct {
		vms     int
		prefill int
		decode  int
		plain   int
		engine  enginesim.Settings
		service servicesim.Settings
	}

	// fleet is a running deployment with proxies that inject faults between its
	// parts.
	fleet struct {
		t       *testing.T
		dp      *deployment.Deployment
		vms     []*vm
		net     *peerNet
		number  int // third octet of the loopback addresses of the fleet
		proxies map[deployment.Link]*proxy
		seeds   []string // addresses at which the VMs reach each other, in the order of vms
		tpl     template.Template

		mu   sync.Mutex
		hist invariant.History
	}
)

// defaultPlan returns a plan whose answers take seconds, so that they are in
// progress when a fault is injected.
func defaultPlan() plan {
	set := enginesim.DefaultSettings()
	set.PrefillTokensPerSecond = 50000
	set.LinkBytesPerSecond *= 10
	set.TPOT = 20
	return plan{vms: 3, prefill: 2, decode: 2, plain: 2, engine: set, service: servicesim.Settings{Latency: 30, Slots: 8}}
}

// startFleet starts a deployment and its VMs, publishes the template and waits
// until every VM is ready to serve.
func startFleet(t *testing.T, pl plan) *fleet {
	t.Helper()
	fl := newFleet(t, pl)
	for _, vm := range fl.vms {
		vm.start(t)
	}
	fl.publish(fl.vms[0], "first", 0, fl.tpl)
	for _, vm := range fl.vms {
		fl.awaitServing(vm)
	}
	return fl
}

// newFleet starts a deployment without its VMs.
func newFleet(t *testing.T, pl plan) *fleet {
	t.Helper()
	skipKnownRed(t)
	tpl, err := template.Parse("template.toml", []byte(templateText))
	assert.NilError(t, err)
	fl := &fleet{
		t: t, net: newPeerNet(), number: int(fleetCount.Add(1)), tpl: tpl,
		proxies: make(map[deployment.Link]*proxy),
	}
	domains := []string{"aarhus-a", "aarhus-b", "vejle-1", "herning-1"}
	fl.dp = &deployment.Deployment{
		Model: model, Prefill: pl.prefill, Decode: pl.decode, PlainService: service, Plain: pl.plain,
		FailureDomains: domains, Region: "dk-jylland", Engine: pl.engine, Service: pl.service, Intercept: fl.interceptLink,
	}
	for ix := range pl.vms {
		fl.dp.Hosts = append(fl.dp.Hosts, loopback(fl.number, ix+1))
		fl.seeds = append(fl.seeds, netip.AddrPortFrom(loopback(fl.number, ix+101), 7946).String())
	}
	assert.NilError(t, fl.dp.Start())
	t.Cleanup(func() { assert.Check(t, fl.dp.Close()) })
	for ix := range pl.vms {
		set, err := fl.dp.AddVM(fmt.Sprintf("vm-%d", ix+1), domains[ix%len(domains)])
		assert.NilError(t, err)
		fl.vms = append(fl.vms, newVM(t, set, fl.seeds))
	}
	fl.dp.Publish()
	return fl
}

// interceptLink starts a proxy for an address, or a relay if other VMs connect
// to it.
func (fl *fleet) interceptLink(lk deployment.Link, addr netip.AddrPort) (netip.AddrPort, error) {
	if lk.Kind == deployment.PeerLink {
		// The relay belongs to the VM that is being added, which vms does not contain yet.
		at := netip.MustParseAddrPort(fl.seeds[len(fl.vms)])
		return at, fl.net.startRelay(fl.t, at, addr)
	}
	px, at, err := newProxy(fl.t, fmt.Sprintf("%s of %s", lk.Kind, lk.ID), addr)
	fl.proxies[lk] = px
	return at, err
}

func (fl *fleet) proxy(kind deployment.LinkKind, id string) *proxy {
	return fl.proxies[deployment.Link{Kind: kind, ID: id}]
}

// vm returns the VM with the given ID.
func (fl *fleet) vm(id string) *vm {
	for _, vm := range fl.vms {
		if vm.set.ID == id {
			return vm
		}
	}
	fl.t.Fatalf("no VM %q", id)
	return nil
}

// otherVMs returns all VMs except the given ones.
func (fl *fleet) otherVMs(but ...*vm) []*vm {
	return slices.DeleteFunc(slices.Clone(fl.vms), func(vm *vm) bool { return slices.Contains(but, vm) })
}

// publish publishes a template through a VM and repeats that until it gets a
// reply that says whether the publication is accepted.
func (fl *fleet) publish(through *vm, id string, base uint64, tpl template.Template) operator.PublishReply {
	fl.t.Helper()
	var reply operator.PublishReply
	eventually(fl.t, "the publication "+id+" is decided", func() bool {
		var err error
		reply, err = through.ops.Publish(fl.t.Context(), operator.Publication{ID: id, Customer: customer, Base: base, Template: tpl})
		return err == nil
	})
	return reply
}

// awaitServing waits until a VM has the template, the seats and a quorum, sees
// all running VMs alive, and has load reports of all plain servers.
func (fl *fleet) awaitServing(vm *vm) {
	fl.t.Helper()
	defer func() {
		if fl.t.Failed() {
			st, err := vm.ops.Status(context.Background())
			fl.t.Logf("status of %s: seats %d, quorate %v, fleet %+v, servers %+v, error %v",
				vm.set.ID, st.Seats, st.Quorate, st.Fleet, st.Backends, err)
		}
	}()
	eventually(fl.t, vm.set.ID+" serves", func() bool { return fl.isServing(vm) })
}

func (fl *fleet) isServing(vm *vm) bool {
	st, err := vm.ops.Status(fl.t.Context())
	if err != nil || st.Seats == 0 || !st.Quorate {
		return false
	}
	alive := 0
	for _, other := range st.Fleet {
		if other.Health == "Alive" && !other.Leaving {
			alive++
		}
	}
	reported := 0
	for _, srv := range st.Backends {
		if srv.Role == string(board.Plain) && srv.Reported {
			reported++
		}
	}
	_, err = vm.ops.Template(fl.t.Context(), customer)
	return err == nil && alive == fl.runningVMs() && reported == len(fl.dp.Services) && st.Seats >= min(len(fl.vms), 3)
}

// runningVMs returns the number of VMs whose processes are running.
func (fl *fleet) runningVMs() int {
	count := 0
	for _, vm := range fl.vms {
		if pr := vm.process(); pr != nil && !pr.exited() {
			count++
		}
	}
	return count
}

// awaitDead waits until a VM considers another one dead, and returns the time
// since the given moment.
func (fl *fleet) awaitDead(vm, lost *vm, since time.Time) time.Duration {
	fl.t.Helper()
	eventually(fl.t, vm.set.ID+" considers "+lost.set.ID+" dead", func() bool { return fl.health(vm, lost) == "Dead" })
	return time.Since(since)
}

// health returns the health of a VM as another one reports it, or "" if it is
// unknown.
func (fl *fleet) health(vm, other *vm) string {
	st, err := vm.ops.Status(fl.t.Context())
	if err != nil {
		return ""
	}
	for _, seen := range st.Fleet {
		if seen.ID == other.set.ID {
			return seen.Health
		}
	}
	return ""
}

// watchRevisions records continuously, until the test ends, which revision each
// VM has in force.
func (fl *fleet) watchRevisions() {
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, vm := range fl.vms {
		wg.Go(func() {
			for ctx.Err() == nil {
				fl.observeRevision(ctx, vm)
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	fl.t.Cleanup(func() {
		stop()
		wg.Wait()
	})
}

// observeRevision queries a VM for the revision in force and records it. It
// observes a VM only once at a time, so that observations are recorded in their
// order.
func (fl *fleet) observeRevision(ctx context.Context, vm *vm) uint64 {
	vm.observing.Lock()
	defer vm.observing.Unlock()
	ctx, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	run := vm.runName()
	reply, err := vm.ops.Template(ctx, customer)
	if err != nil {
		return 0
	}
	fl.updateHistory(func(hs *invariant.History) {
		hs.ObservedRevisions = append(hs.ObservedRevisions, invariant.ObservedRevision{VM: run, Customer: customer, Revision: reply.Revision, At: time.Now()})
	})
	return reply.Revision
}

// recordAccepted records that a revision was accepted now and must come in
// force at the VMs.
func (fl *fleet) recordAccepted(revision uint64, vms ...*vm) {
	pb := invariant.Publication{Customer: customer, Revision: revision, Accepted: time.Now()}
	for _, vm := range vms {
		pb.VMs = append(pb.VMs, vm.runName())
	}
	fl.updateHistory(func(hs *invariant.History) { hs.Publications = append(hs.Publications, pb) })
}

// awaitRevision waits until all given VMs have a revision in force, and returns
// how long that took.
func (fl *fleet) awaitRevision(revision uint64, vms ...*vm) time.Duration {
	fl.t.Helper()
	since := time.Now()
	for _, vm := range vms {
		eventually(fl.t, fmt.Sprintf("%s has revision %d", vm.set.ID, revision), func() bool {
			return fl.observeRevision(fl.t.Context(), vm) >= revision
		})
	}
	return time.Since(since)
}

// updateHistory calls write with the history while the fleet's mutex is held.
func (fl *fleet) updateHistory(write func(hs *invariant.History)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	write(&fl.hist)
}

// engineRuns returns the runs of a key at engines of a role.
func (fl *fleet) engineRuns(role board.Role, key string) []*enginesim.Run {
	var out []*enginesim.Run
	for _, en := range fl.dp.Engines {
		for _, rec := range en.History().Runs {
			if rec.Role == role && isAttemptOf(rec.Request, key) {
				out = append(out, rec)
			}
		}
	}
	return out
}

// serviceRuns returns the number of runs of a key at the plain service.
func (fl *fleet) serviceRuns(key string) int {
	count := 0
	for _, sv := range fl.dp.Services {
		count += len(sv.History().RunsOf(customer + "/" + key))
	}
	return count
}

// awaitEnginesFree waits until no engine holds any resources, and returns how
// long that took.
func (fl *fleet) awaitEnginesFree() time.Duration {
	fl.t.Helper()
	since := time.Now()
	eventually(fl.t, "all engines are free", func() bool { return fl.heldByEngines() == 0 })
	return time.Since(since)
}

// heldByEngines returns the number of unfinished runs, memory slots in use and
// retained KV caches at all engines.
func (fl *fleet) heldByEngines() int {
	count := 0
	for _, en := range fl.dp.Engines {
		hs := en.History()
		count += hs.Unfinished + hs.SlotsHeld + hs.KVKept
	}
	return count
}

// checkInvariants waits until the engines are free and checks the history
// against the invariants.
func (fl *fleet) checkInvariants() {
	fl.t.Helper()
	fl.awaitEnginesFree()
	fl.mu.Lock()
	hs := fl.hist
	fl.mu.Unlock()
	hs.MaxHoldAfterEnd = maxHoldAfterEnd
	for _, en := range fl.dp.Engines {
		hs.Engines = append(hs.Engines, en.History())
	}
	for _, sv := range fl.dp.Services {
		hs.Services = append(hs.Services, sv.History())
	}
	found := invariant.Check(hs)
	results.countHistory(len(hs.Calls), len(found))
	for _, vi := range found {
		fl.t.Error(vi)
	}
}
