package fleet

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"alderdyke/internal/register"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

// The explorer enumerates all executions of a small world: VMs that all want the lease on
// orders, each with its own link to the store, and a store that is restored from older
// copies. The VMs use the real [leaseView] and [register.Holder]. After each step no two
// VMs may give orders, and no token may be lower than one that was used before.

const (
	// exploreTick is one step of the world. It divides the durations of a lease.
	exploreTick  = clock.Second
	exploreLease = 4 * clock.Second
)

// State of a VM's link to the store during a tick.
const (
	linkUp        = iota
	linkNoReplies // its writes arrive a tick later, the replies to them are lost
	linkCut       // nothing arrives
	linkFrozen    // the VM itself does not run
	linkStates    // number of states
)

type (
	// exploreLimits limits the number of events in a world, by kind.
	exploreLimits struct {
		calm, ticks             int // ticks without events, and ticks with events after them
		restores, otherWrites   int
		linkChanges             int // of the link to the store, for each VM
		vms, restarts, releases int
	}

	// exploreOmissions are safeguards that are left out, to show that the search
	// finds the violations that they prevent.
	exploreOmissions struct {
		noRestoreNotice bool // VMs don't detect a restore of the store
		noEra           bool // positions are plain offsets
		acceptOldEra    bool // a write that was sent in an earlier era is accepted
		noInitialWait   bool // a VM that has read no lease assumes that there is none
	}

	// exploreRecord is a record of the store; enc represents it in the encoding of a
	// world.
	exploreRecord struct {
		rec topic.Record
		enc string
	}

	// exploreVM is one VM. Its holder is immutable and is replaced by each step.
	exploreVM struct {
		view        leaseView
		ho          *register.Holder
		next        uint64 // position to read from; zero: it has listed nothing yet
		listed      bool
		releases    bool // it does not want the lease any more
		link        int
		linkChanges int
		inFlight    *exploreAppend // write on its way to the store
	}

	// exploreAppend is a write of the lease; at is the position at which the topic
	// must end for it.
	exploreAppend struct {
		id   string
		data []byte
		at   uint64
	}

	// exploreWorld is immutable; each step makes a new one.
	exploreWorld struct {
		now         clock.Millis
		era         uint64
		log         []exploreRecord
		vms         []exploreVM
		restores    int
		otherWrites int
		starts      int
		releases    int
		token       uint64 // highest one that was used
		history     *exploreHistory
	}

	// exploreHistory is the steps that led to a world, newest first.
	exploreHistory struct {
		step    string
		earlier *exploreHistory
	}

	// leaseExplorer searches all worlds that are reachable within the limits, and
	// stops at the first violation.
	leaseExplorer struct {
		lim       exploreLimits
		omit      exploreOmissions
		seen      map[uint64]struct{}
		stack     []exploreWorld
		buf       []byte
		violation string
		coverage  map[string]int // how often each rare case occurred
	}

	// minSource makes every random duration the shortest one, which is the one that
	// may be too short.
	minSource struct{}
)

// Uint64 returns a number that yields the minimum of any range of milliseconds, at the
// first draw.
func (minSource) Uint64() uint64 { return 1 << 32 }

func exploreLeases(lim exploreLimits, omit exploreOmissions) *leaseExplorer {
	le := &leaseExplorer{lim: lim, omit: omit, seen: make(map[uint64]struct{}), coverage: make(map[string]int)}
	wo := exploreWorld{era: 1}
	for ix := range lim.vms {
		wo.vms = append(wo.vms, le.newVM(fmt.Sprint("vm", ix)))
	}
	le.push(wo)
	for len(le.stack) > 0 && le.violation == "" {
		last := len(le.stack) - 1
		wo := le.stack[last]
		le.stack = le.stack[:last]
		if wo.now < clock.Millis(lim.calm+lim.ticks)*exploreTick {
			le.step(wo)
		}
	}
	return le
}

// newVM returns a VM that has just started.
func (le *leaseExplorer) newVM(name string) exploreVM {
	ho := &register.Holder{Resource: LeaseKey, Self: name, Rand: rand.New(minSource{}), Duration: exploreLease, Lapses: true, Lossy: !le.omit.noInitialWait}
	return exploreVM{ho: ho, view: leaseView{duration: exploreLease}}
}

// step makes each world that may follow within a tick: first the events of the store, then
// each VM in turn, with each state of its link to the store.
func (le *leaseExplorer) step(wo exploreWorld) {
	wo.now += exploreTick
	for _, next := range le.storeSteps(wo) {
		worlds := []exploreWorld{next}
		for ix := range wo.vms {
			var after []exploreWorld
			for _, wo := range worlds {
				after = append(after, le.vmSteps(wo, ix)...)
			}
			worlds = after
		}
		for _, wo := range worlds {
			le.push(le.checkInvariants(wo))
		}
	}
}

// calm reports whether no events happen yet.
func (le *leaseExplorer) calm(wo exploreWorld) bool {
	return wo.now <= clock.Millis(le.lim.calm)*exploreTick
}

// storeSteps returns the worlds after each possible event of the store: none, a record of
// another key, a restore from a copy of any age.
func (le *leaseExplorer) storeSteps(wo exploreWorld) []exploreWorld {
	out := []exploreWorld{wo}
	if le.calm(wo) {
		return out
	}
	if wo.otherWrites < le.lim.otherWrites {
		next := wo.withStep("a record of another key is written")
		next.otherWrites++
		out = append(out, next.withRecord(exploreRecord{rec: topic.Record{Key: vmKeyPrefix + "x", Value: []byte("{}")}, enc: "o"}))
	}
	if wo.restores < le.lim.restores {
		for kept := range wo.log {
			next := wo.withStep(fmt.Sprintf("the store is restored with %d of %d records", kept, len(wo.log)))
			next.restores++
			next.era++
			next.log = wo.log[:kept:kept]
			out = append(out, next)
		}
	}
	return out
}

// vmSteps returns the worlds after each possible event of one VM within a tick.
func (le *leaseExplorer) vmSteps(wo exploreWorld, ix int) []exploreWorld {
	if le.calm(wo) {
		return []exploreWorld{le.runVM(wo, ix)}
	}
	var out []exploreWorld
	for link := range linkStates {
		vm := wo.vms[ix]
		if link != vm.link && vm.linkChanges >= le.lim.linkChanges {
			continue
		}
		next := wo
		if link != vm.link {
			vm.linkChanges++
			next = next.withStep(fmt.Sprintf("vm%d: its link to the store is now %s", ix, [linkStates]string{"up", "without replies", "cut", "frozen"}[link]))
		}
		vm.link = link
		out = append(out, le.runVM(next.withVM(ix, vm), ix))
	}
	if wo.starts < le.lim.restarts {
		next := wo.withStep(fmt.Sprintf("vm%d restarts", ix))
		next.starts++
		out = append(out, le.runVM(next.withVM(ix, le.newVM(fmt.Sprint("vm", ix, "-", next.starts))), ix))
	}
	if wo.releases < le.lim.releases && !wo.vms[ix].releases {
		next := wo.withStep(fmt.Sprintf("vm%d does not want the lease any more", ix))
		next.releases++
		vm := wo.vms[ix]
		vm.releases = true
		out = append(out, le.runVM(next.withVM(ix, vm), ix))
	}
	return out
}

// runVM applies the VM's write in flight, lets it read, and passes the time to its holder.
func (le *leaseExplorer) runVM(wo exploreWorld, ix int) exploreWorld {
	wo = le.applyInFlight(wo, ix)
	vm := wo.vms[ix]
	if vm.link == linkFrozen {
		return wo
	}
	if vm.link == linkUp {
		vm = le.read(wo, vm)
	}
	ho := *vm.ho
	vm.ho = &ho
	out := ho.Step(wo.now, register.LeaseWanted{Hold: !vm.releases})
	if vm.listed {
		out = append(out, ho.Step(wo.now, register.LeaseObserved{Entry: vm.view.entry, Known: true})...)
	}
	for _, in := range out {
		if in, ok := in.(register.LeaseAppend); ok {
			vm = le.send(vm, in)
		}
	}
	wo = wo.withVM(ix, vm)
	if vm.link == linkUp && vm.inFlight != nil {
		return le.applyInFlight(wo, ix)
	}
	return wo
}

// send puts the write of what a holder appends in flight, as the lease register does.
func (le *leaseExplorer) send(vm exploreVM, in register.LeaseAppend) exploreVM {
	rec, err := register.Parse(0, in.Data)
	if err != nil {
		le.violation = err.Error()
		return vm
	}
	pub := rec.(register.Publish)
	data, at, err := vm.view.Swap(pub.Base, pub.ID, pub.Value)
	if err != nil {
		return vm // the lease has changed; the holder detects that when it reads
	}
	vm.inFlight = &exploreAppend{id: pub.ID, data: data, at: at}
	return vm
}

// applyInFlight applies the VM's write in flight, if the topic ends at the write's offset.
func (le *leaseExplorer) applyInFlight(wo exploreWorld, ix int) exploreWorld {
	vm := wo.vms[ix]
	fl := vm.inFlight
	vm.inFlight = nil
	if fl == nil || vm.link == linkCut || int(topic.OffsetOf(fl.at)) != len(wo.log) {
		return wo.withVM(ix, vm)
	}
	late := !le.omit.noEra && topic.EraOf(fl.at) != wo.era
	if late {
		le.coverage["offset of an earlier era's write matches"]++
		wo = wo.withStep(fmt.Sprintf("vm%d: the offset of its write of an earlier era happens to match", ix))
	}
	data := fl.data
	if le.omit.acceptOldEra {
		data = withEra(data, wo.era)
	}
	wo = wo.withRecord(exploreRecord{rec: topic.Record{Key: LeaseKey, Value: data}, enc: fl.id})
	if vm.link == linkUp && !late {
		rec := le.records(wo)[len(wo.log)-1]
		ho := *vm.ho
		vm.ho = &ho
		vm.view, _ = vm.view.WithRecord(rec)
		ho.Step(wo.now, register.LeaseObserved{Entry: vm.view.entry, Known: true})
	}
	return wo.withVM(ix, vm)
}

// withEra returns a lease record as if it had been written in an era.
func withEra(data []byte, era uint64) []byte {
	var en leaseEntry
	if json.Unmarshal(data, &en) != nil {
		return nil
	}
	en.Era = era
	// Data that was decoded from JSON can be encoded again.
	data, _ = json.Marshal(en)
	return data
}

// read lets a VM read the store as topic.Follower does.
func (le *leaseExplorer) read(wo exploreWorld, vm exploreVM) exploreVM {
	recs, end := le.records(wo), le.position(wo, len(wo.log))
	if vm.listed && topic.EraOf(vm.next) == topic.EraOf(end) && vm.next <= end {
		for _, rec := range recs[topic.OffsetOf(vm.next):] {
			vm.view, _ = vm.view.WithRecord(rec)
		}
		vm.next, vm.view = end, vm.view.WithEnd(end)
		return vm
	}
	if vm.listed && !le.omit.noRestoreNotice {
		vm.view = vm.view.WithRestore()
		le.coverage["a VM detects a restore"]++
	}
	vm.view, _ = vm.view.WithSnapshot(newest(recs))
	vm.listed, vm.next, vm.view = true, end, vm.view.WithEnd(end)
	return vm
}

// newest returns the newest record of each key.
func newest(recs []topic.Record) (out []topic.Record) {
	for ix, rec := range recs {
		if !containsKey(recs[ix+1:], rec.Key) {
			out = append(out, rec)
		}
	}
	return out
}

// checkInvariants records a violation of the invariants in a world.
func (le *leaseExplorer) checkInvariants(wo exploreWorld) exploreWorld {
	var holders []int
	for ix, vm := range wo.vms {
		if vm.link == linkFrozen {
			continue // it checks the time before it gives orders once it resumes
		}
		token, may := vm.ho.MayOrder(wo.now)
		if !may {
			continue
		}
		holders = append(holders, ix)
		if token < wo.token {
			le.fail(wo, fmt.Sprintf("vm%d gives orders with token %s after %s", ix, position(token), position(wo.token)))
		}
		wo.token = max(wo.token, token)
	}
	if len(holders) > 1 {
		le.fail(wo, fmt.Sprintf("%d VMs may give orders", len(holders)))
	}
	if len(holders) > 0 && wo.restores > 0 {
		le.coverage["orders after a restore"]++
	}
	return wo
}

// position formats a revision as its era and offset.
func position(revision uint64) string {
	return fmt.Sprint(topic.EraOf(revision), "/", topic.OffsetOf(revision))
}

// fail records the first violation, with the steps that led to it.
func (le *leaseExplorer) fail(wo exploreWorld, what string) {
	if le.violation == "" {
		le.violation = what + " at " + wo.now.String() + wo.history.String()
	}
}

// String lists the steps, oldest first.
func (es *exploreHistory) String() string {
	var lines []string
	for ; es != nil; es = es.earlier {
		lines = append([]string{es.step}, lines...)
	}
	return "\n  " + strings.Join(lines, "\n  ")
}

func (wo exploreWorld) withStep(step string) exploreWorld {
	wo.history = &exploreHistory{step: wo.now.String() + ": " + step, earlier: wo.history}
	return wo
}

// position returns the position of an offset in the store.
func (le *leaseExplorer) position(wo exploreWorld, offset int) uint64 {
	if le.omit.noEra {
		return uint64(offset)
	}
	return topic.Position(wo.era, uint64(offset))
}

// records returns the store's records with their positions.
func (le *leaseExplorer) records(wo exploreWorld) []topic.Record {
	out := make([]topic.Record, len(wo.log))
	for ix, er := range wo.log {
		out[ix] = er.rec
		out[ix].Offset = le.position(wo, ix)
	}
	return out
}

func (wo exploreWorld) withRecord(er exploreRecord) exploreWorld {
	wo.log = append(wo.log[:len(wo.log):len(wo.log)], er)
	return wo
}

func (wo exploreWorld) withVM(ix int, vm exploreVM) exploreWorld {
	vms := make([]exploreVM, len(wo.vms))
	copy(vms, wo.vms)
	vms[ix] = vm
	wo.vms = vms
	return wo
}

// push adds a world to those to explore, unless an equal one was added before.
func (le *leaseExplorer) push(wo exploreWorld) {
	buf := le.buf[:0]
	for _, num := range []uint64{uint64(wo.now), wo.era, uint64(wo.restores), uint64(wo.otherWrites), uint64(wo.starts), uint64(wo.releases), wo.token} {
		buf = binary.AppendUvarint(buf, num)
	}
	for _, er := range wo.log {
		buf = append(buf, er.enc...)
	}
	for ix := range wo.vms {
		buf = wo.vms[ix].encode(buf)
	}
	le.buf = buf
	key := xxhash.Sum64(buf)
	if _, ok := le.seen[key]; !ok {
		le.seen[key] = struct{}{}
		le.stack = append(le.stack, wo)
	}
}

func (vm *exploreVM) encode(buf []byte) []byte {
	buf = append(buf, '|', byte(vm.link), byte(vm.linkChanges), bit(vm.view.restored), bit(vm.listed), bit(vm.releases))
	for _, num := range []uint64{vm.view.entry.Revision, vm.view.end, vm.next} {
		buf = binary.AppendUvarint(buf, num)
	}
	if vm.inFlight != nil {
		buf = append(buf, vm.inFlight.id...)
		buf = binary.AppendUvarint(buf, vm.inFlight.at)
	}
	return encodeHolder(buf, reflect.ValueOf(vm.ho).Elem())
}

// encodeHolder encodes the state of a holder by reflection, since its fields are not
// accessible outside its package.
func encodeHolder(buf []byte, val reflect.Value) []byte {
	for ix := range val.NumField() {
		switch fld := val.Field(ix); fld.Kind() {
		case reflect.Int, reflect.Int64:
			buf = binary.AppendVarint(buf, fld.Int())
		case reflect.Uint64:
			buf = binary.AppendUvarint(buf, fld.Uint())
		case reflect.Bool:
			buf = append(buf, bit(fld.Bool()))
		case reflect.String:
			buf = append(buf, fld.String()...)
		case reflect.Struct:
			buf = encodeHolder(buf, fld)
		case reflect.Pointer:
			if fld.Type().Elem().Name() == "attempt" && !fld.IsNil() {
				buf = encodeHolder(buf, fld.Elem())
			}
		}
	}
	return buf
}

func bit(is bool) byte {
	if is {
		return 1
	}
	return 0
}

var leaseWorlds = map[string]exploreLimits{
	"from the start":     {vms: 2, ticks: 10, restores: 1, otherWrites: 1, linkChanges: 1},
	"one restore":        {vms: 2, calm: 6, ticks: 8, restores: 1, linkChanges: 2},
	"offsets that match": {vms: 2, calm: 6, ticks: 5, restores: 1, otherWrites: 1, linkChanges: 2},
	"two restores":       {vms: 2, calm: 6, ticks: 7, restores: 2, linkChanges: 1},
	"a VM restarts":      {vms: 2, calm: 6, ticks: 6, restores: 1, linkChanges: 1, restarts: 1},
}

// In no execution of a small world do two VMs give orders or does a token decrease, even
// if the store is restored from copies of any age.
func TestLeaseSurvivesStoreRestores(t *testing.T) {
	t.Parallel()
	for name, lim := range leaseWorlds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			le := exploreLeases(lim, exploreOmissions{})
			t.Logf("%d states, %v", len(le.seen), le.coverage)
			assert.Equal(t, le.violation, "")
			// The search must have covered the cases that it is meant for.
			for _, what := range []string{"offset of an earlier era's write matches", "a VM detects a restore", "orders after a restore"} {
				assert.Assert(t, le.coverage[what] > 100, "%s: %d", what, le.coverage[what])
			}
		})
	}
}

// Each safeguard is needed: without it the search finds two VMs that give orders, or a
// token that decreases.
func TestLeaseNeedsEachSafeguard(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, world string
		omit        exploreOmissions
	}{
		{"restores are detected", "one restore", exploreOmissions{noRestoreNotice: true}},
		{"positions have an era", "one restore", exploreOmissions{noEra: true}},
		{"writes carry their era", "one restore", exploreOmissions{acceptOldEra: true}},
		{"an unseen lease is waited out", "a VM restarts", exploreOmissions{noInitialWait: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			le := exploreLeases(leaseWorlds[tc.world], tc.omit)
			assert.Assert(t, le.violation != "", "not detected in %d states", len(le.seen))
			t.Logf("detected after %d states: %s", len(le.seen), le.violation)
		})
	}
}
