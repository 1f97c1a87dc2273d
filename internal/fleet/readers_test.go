package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

const (
	// simKeys is the number of keys in the topic, and simMeanChange the mean time
	// between two records. Every other record repeats the key's last value.
	simKeys       = 12
	simMeanChange = 80 * time.Millisecond
	// simRetained is how many records the store retains: 2 s of them, so that a VM
	// that misses more has to read a listing.
	simRetained = 25
	// simLargeValue is the size of some of the values, so that they are fragmented.
	simLargeValue = 3000
	// maxPropagation is the time within which all VMs must have a change.
	maxPropagation = 2 * clock.Second
)

var errStoreUnreachable = errors.New("the store does not answer")

type (
	// readerSim is a fleet that follows a topic of the store.
	readerSim struct {
		*simNet
		followers map[*simVM]*simFollower

		mu          sync.Mutex
		recs        []topic.Record
		writtenAt   []clock.Millis          // when the records were written
		unreachable map[string]bool         // VMs that the store does not answer
		storeDelay  map[string]clock.Millis // additional time that it takes to answer a VM
		vi          violations
		checkFrom   clock.Millis // when the check of propagation begins; zero: not now
		reads       int
		mutate      func(sf *simFollower) // changes a follower before it starts; may be nil
	}

	// simFollower is one process that follows the topic.
	simFollower struct {
		rs *readerSim
		vm *simVM
		fo *topic.Follower

		startedAt clock.Millis

		mu    sync.Mutex
		known map[string]int // by key: the newest value that this process received
	}
)

func newReaderSim(seed uint64) *readerSim {
	return &readerSim{simNet: newSimNet(seed), followers: make(map[*simVM]*simFollower), unreachable: make(map[string]bool),
		storeDelay: make(map[string]clock.Millis)}
}

// valueOf returns the number that a record's value contains.
func valueOf(rec topic.Record) int {
	number, _, _ := strings.Cut(string(rec.Value), " ")
	value, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	return value
}

// write appends records until the context ends.
func (rs *readerSim) write(ctx context.Context) {
	values := make(map[string]int)
	for number := uint64(0); ctx.Err() == nil; number++ {
		key := fmt.Sprint("k", int(rs.chance("key", number)*simKeys))
		if rs.chance("same", number) < 0.5 || values[key] == 0 {
			values[key] = int(number) + 1
		}
		value := fmt.Sprint(values[key], " ")
		if rs.chance("large", uint64(values[key])) < 0.1 {
			value += rs.noise(uint64(values[key]))
		}
		rs.mu.Lock()
		rs.recs = append(rs.recs, topic.Record{Key: key, Value: []byte(value), Offset: number})
		rs.writtenAt = append(rs.writtenAt, rs.clock.Now())
		rs.mu.Unlock()
		clock.Sleep(ctx, clock.Of(time.Duration(2*rs.chance("pause", number)*float64(simMeanChange))))
	}
}

// noise returns text that doesn't deflate to one datagram.
func (rs *readerSim) noise(number uint64) string {
	out := make([]byte, 0, simLargeValue)
	for len(out) < simLargeValue {
		out = strconv.AppendInt(out, int64(rs.chance(fmt.Sprint("noise", len(out)), number)*(1<<52)), 36)
	}
	return string(out)
}

// sendToStore simulates the request of a call to the store, which may be unreachable.
func (sf *simFollower) sendToStore(ctx context.Context) error {
	if !sf.vm.waitResumed() || !clock.Sleep(ctx, 2) {
		return context.Canceled
	}
	sf.rs.mu.Lock()
	sf.rs.reads++
	away := sf.rs.unreachable[sf.vm.self.ID]
	sf.rs.mu.Unlock()
	if away {
		return errStoreUnreachable
	}
	return nil
}

// Newest returns the store's listing as this process receives it.
func (sf *simFollower) Newest(ctx context.Context, _ string) ([]topic.Record, uint64, error) {
	if err := sf.sendToStore(ctx); err != nil {
		return nil, 0, err
	}
	sf.rs.mu.Lock()
	newest := make(map[string]topic.Record)
	for _, rec := range sf.rs.recs {
		newest[rec.Key] = rec
	}
	next := uint64(len(sf.rs.recs))
	sf.rs.mu.Unlock()
	var out []topic.Record
	for _, rec := range newest {
		out = append(out, rec)
	}
	return out, next, sf.receiveReply(ctx)
}

// Read returns the store's records from an offset on.
func (sf *simFollower) Read(ctx context.Context, _ string, from uint64, _ clock.Millis) ([]topic.Record, uint64, error) {
	if err := sf.sendToStore(ctx); err != nil {
		return nil, 0, err
	}
	sf.rs.mu.Lock()
	next := uint64(len(sf.rs.recs))
	dropped := from+simRetained < next
	out := append([]topic.Record(nil), sf.rs.recs[min(from, next):]...)
	sf.rs.mu.Unlock()
	if dropped {
		return nil, 0, topic.ErrRecordsDropped
	}
	return out, next, sf.receiveReply(ctx)
}

// receiveReply simulates the reply of the store, which may be slower than updates.
func (sf *simFollower) receiveReply(ctx context.Context) error {
	sf.rs.mu.Lock()
	span := clock.Millis(2 + 20*sf.rs.chance("store "+sf.vm.self.ID, uint64(len(sf.rs.recs))))
	span += sf.rs.storeDelay[sf.vm.self.ID]
	sf.rs.mu.Unlock()
	if !clock.Sleep(ctx, span) || !sf.vm.waitResumed() {
		return context.Canceled
	}
	return nil
}

// apply records a value that this process received.
func (sf *simFollower) apply(rec topic.Record) {
	value := valueOf(rec)
	sf.mu.Lock()
	older := value < sf.known[rec.Key]
	sf.known[rec.Key] = value
	sf.mu.Unlock()
	sf.rs.mu.Lock()
	defer sf.rs.mu.Unlock()
	sf.rs.vi.recordIf(older, sf.rs.clock.Now(), "an older value was delivered after a newer one")
}

// isNew reports whether a record differs from the known value.
func (sf *simFollower) isNew(rec topic.Record) bool {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	return sf.known[rec.Key] != valueOf(rec)
}

// startVM starts a further incarnation of a VM.
func (rs *readerSim) startVM(ctx context.Context, ix int) {
	sf := &simFollower{rs: rs, startedAt: rs.clock.Now(), known: make(map[string]int)}
	sf.vm = rs.newVM(ctx, ix, simHandlers{topicUpdate: func(nw topic.Update) { sf.fo.Receive(nw) }})
	sf.fo = &topic.Follower{Source: sf, Name: "t", Pause: 700, StandbyAfter: 950, SelfReadAfter: 1100, Clock: rs.clock,
		Rank: sf.vm.mb.Rank, Broadcast: sf.vm.broadcastUpdate, IsNew: sf.isNew, OnSnapshot: topic.ApplyEach(sf.apply), OnChange: sf.apply}
	if rs.mutate != nil {
		rs.mutate(sf)
	}
	rs.mu.Lock()
	rs.followers[sf.vm] = sf
	rs.mu.Unlock()
	sf.vm.start()
	go sf.fo.Run(sf.vm.ctx)
}

// broadcastUpdate sends what was read to one VM of each group, which forwards it.
func (vm *simVM) broadcastUpdate(nw topic.Update) {
	msgs, err := updateToWire(nw)
	if err != nil {
		panic(err)
	}
	vm.mu.Lock()
	number := vm.sequence
	vm.mu.Unlock()
	for ix, gr := range groupsOf(vm.fl.broadcaster().alive(func(other board.VM) bool { return other.ID != vm.self.ID })) {
		head := gr.vms[int(vm.net.chance("head "+vm.self.ID+fmt.Sprint(ix), number)*float64(len(gr.vms)))]
		for _, msg := range msgs {
			msg = proto.Clone(msg).(*peerpb.Datagram)
			msg.Forward = gr.wire
			vm.send(head.ID, msg)
		}
	}
}

// watch checks every 20 ms, from checkFrom on, whether some VM lacks a change that is
// older than maxPropagation.
func (rs *readerSim) watch(ctx context.Context) {
	for clock.Sleep(ctx, 20) {
		rs.mu.Lock()
		now, due := rs.clock.Now(), rs.checkFrom
		required := make(map[string]int)
		for ix, rec := range rs.recs {
			if rs.writtenAt[ix] <= now-maxPropagation {
				required[rec.Key] = valueOf(rec)
			}
		}
		rs.mu.Unlock()
		if due == 0 || now < due {
			continue
		}
		for _, vm := range rs.running() {
			rs.check(vm, required, now)
		}
	}
}

// check records a violation for each required value that a VM lacks, unless the VM started
// or resumed too recently.
func (rs *readerSim) check(vm *simVM, required map[string]int, now clock.Millis) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	sf := rs.followers[vm]
	if sf == nil {
		return // it is about to start
	}
	if vm.frozenSince(now-maxPropagation) || now-sf.startedAt < maxPropagation {
		return
	}
	sf.mu.Lock()
	defer sf.mu.Unlock()
	for key, value := range required {
		rs.vi.recordIf(sf.known[key] < value, now, "a change was not delivered in time")
	}
}

// readFault is a failure that lasts until the function that begin returns is called.
type readFault struct {
	name string
	// strict requires that all VMs get each change in time even while the fault
	// lasts, since each still reaches the store.
	strict bool
	begin  func(ctx context.Context, rs *readerSim) (end func())
}

var readFaults = []readFault{
	{"none", true, func(context.Context, *readerSim) func() { return func() {} }},
	{"first VM frozen", true, func(_ context.Context, rs *readerSim) func() { return rs.reader(0).freeze() }},
	{"first two VMs frozen", true, func(_ context.Context, rs *readerSim) func() {
		return runAll(rs.reader(0).freeze(), rs.reader(1).freeze())
	}},
	{"first VM receives nothing", true, func(_ context.Context, rs *readerSim) func() {
		first := rs.reader(0).self.ID
		return rs.block(namesExcept(first), []string{first})
	}},
	{"first VM reaches no other", true, func(_ context.Context, rs *readerSim) func() {
		first := rs.reader(0).self.ID
		return rs.block([]string{first}, namesExcept(first))
	}},
	{"first VM does not reach half of the others", true, func(_ context.Context, rs *readerSim) func() {
		first := rs.reader(0).self.ID
		return rs.block([]string{first}, namesExcept(first)[:netVMs/2])
	}},
	{"first VM slow", true, func(_ context.Context, rs *readerSim) func() {
		first := rs.reader(0).self.ID
		rs.slowDown(first, 100*time.Millisecond)
		return func() { rs.slowDown(first, 0) }
	}},
	{"first VM killed", true, func(_ context.Context, rs *readerSim) func() {
		rs.reader(0).stop()
		return func() {}
	}},
	{"first VM killed, restarted later", true, func(ctx context.Context, rs *readerSim) func() {
		first := rs.reader(0)
		first.stop()
		return func() { rs.restart(ctx, first) }
	}},
	{"first VM restarted at once under its name", true, func(ctx context.Context, rs *readerSim) func() {
		rs.restart(ctx, rs.reader(0))
		return func() {}
	}},
	{"partition with a first VM on each side", true, func(_ context.Context, rs *readerSim) func() {
		one, two := rs.halves(rs.reader(0), rs.reader(1))
		return runAll(rs.block(one, two), rs.block(two, one))
	}},
	{"half of the VMs killed", true, func(_ context.Context, rs *readerSim) func() {
		one, _ := rs.halves(rs.reader(0), rs.reader(1))
		for _, name := range one {
			rs.vm(name).stop()
		}
		return func() {}
	}},
	{"half of the VMs killed, restarted later", true, func(ctx context.Context, rs *readerSim) func() {
		one, _ := rs.halves(rs.reader(0), rs.reader(1))
		for _, name := range one {
			rs.vm(name).stop()
		}
		return func() {
			for _, name := range one {
				rs.restart(ctx, rs.vm(name))
			}
		}
	}},
	{"half of the VMs restarted at once", true, func(ctx context.Context, rs *readerSim) func() {
		one, _ := rs.halves(rs.reader(0), rs.reader(1))
		for _, name := range one {
			rs.restart(ctx, rs.vm(name))
		}
		return func() {}
	}},
	{"a tenth of the datagrams lost", true, func(_ context.Context, rs *readerSim) func() {
		rs.setLoss(0.1)
		return func() { rs.setLoss(0) }
	}},
	{"first VM can't reach the store", true, func(_ context.Context, rs *readerSim) func() {
		return rs.blockStore(rs.reader(0).self.ID)
	}},
	{"store slow for the first VM", true, func(_ context.Context, rs *readerSim) func() {
		return rs.delayStore(rs.reader(0).self.ID)
	}},
	{"store slow for all VMs", false, func(_ context.Context, rs *readerSim) func() {
		return rs.delayStore(allNames()...)
	}},
	{"no reader can reach the store", false, func(_ context.Context, rs *readerSim) func() {
		var names []string
		for rank := range topic.MaxReaders {
			names = append(names, rs.reader(rank).self.ID)
		}
		return rs.blockStore(names...)
	}},
	{"a third of the VMs can't reach the store", false, func(_ context.Context, rs *readerSim) func() {
		return rs.blockStore(allNames()[:netVMs/3]...)
	}},
	{"store unreachable for all VMs", false, func(_ context.Context, rs *readerSim) func() { return rs.blockStore(allNames()...) }},
}

// combinedReadFaults begins several faults one after the other and ends them together. The
// seed selects them from those after which all VMs are alive again.
var combinedReadFaults = readFault{"combined", false, func(ctx context.Context, rs *readerSim) func() {
	var list []readFault
	for _, fa := range readFaults {
		if !losesVMs(fa.name) {
			list = append(list, fa)
		}
	}
	var ends []func()
	for _, at := range rs.drawDistinct(combinedFaultCount, len(list)) {
		ends = append(ends, list[at].begin(ctx, rs))
		time.Sleep(combinedFaultGap)
	}
	return runAll(ends...)
}}

// reader returns a VM that has the given rank among the readers in its own view; some other
// VM if there is none.
func (rs *readerSim) reader(rank int) *simVM {
	list := rs.running()
	for _, vm := range list {
		if vm.mb.Rank() == rank {
			return vm
		}
	}
	return list[rank]
}

// blockStore makes the store unreachable for VMs.
func (rs *readerSim) blockStore(names ...string) (back func()) {
	set := func(away bool) {
		rs.mu.Lock()
		defer rs.mu.Unlock()
		for _, name := range names {
			rs.unreachable[name] = away
		}
	}
	set(true)
	return func() { set(false) }
}

// delayStore makes the store answer VMs after most of a second.
func (rs *readerSim) delayStore(names ...string) (back func()) {
	set := func(span clock.Millis) {
		rs.mu.Lock()
		defer rs.mu.Unlock()
		for _, name := range names {
			rs.storeDelay[name] = span
		}
	}
	set(800)
	return func() { set(0) }
}

// restart starts a further incarnation of a VM and stops the previous one.
func (rs *readerSim) restart(ctx context.Context, vm *simVM) {
	vm.stop()
	rs.startVM(ctx, slices.Index(allNames(), vm.self.ID))
}

// setCheckFrom sets when the check of propagation begins; zero suspends it.
func (rs *readerSim) setCheckFrom(at clock.Millis) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.checkFrom = at
}

// runReaderSim simulates a fault while the topic changes, and lists the violated
// requirements. All VMs start at once. The function mutate changes a follower before it
// starts, to make it faulty; it may be nil.
func runReaderSim(t *testing.T, seed uint64, fa readFault, mutate func(sf *simFollower)) (out []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		rs := newReaderSim(seed)
		rs.mutate = mutate
		go rs.write(ctx)
		for ix := range netVMs {
			rs.startVM(ctx, ix)
		}
		go rs.watch(ctx)
		time.Sleep(faultStart)
		rs.setCheckFrom(rs.clock.Now())
		if !fa.strict {
			rs.setCheckFrom(0)
		}
		end := fa.begin(ctx, rs)
		time.Sleep(faultDuration)
		end()
		if !fa.strict {
			rs.setCheckFrom(rs.clock.Now() + clock.Of(readRecoveryTime))
		}
		time.Sleep(readRecoveryTime + observationTime)
		rs.mu.Lock()
		defer rs.mu.Unlock()
		out = rs.vi.list()
	})
	return out
}

// readRecoveryTime is how long after a fault of the store all VMs are up to date again:
// the longest pause of a VM that is far behind, and a read.
const readRecoveryTime = 3 * time.Second

// Whichever readers fail, each VM gets each change in time, and no process receives an
// older value after a newer one.
func TestReaderHandover(t *testing.T) {
	for _, fa := range readFaults {
		for seed := range uint64(handoverSeeds) {
			t.Run(fmt.Sprintf("%s/%d", fa.name, seed), func(t *testing.T) {
				t.Parallel()
				assert.DeepEqual(t, runReaderSim(t, seed, fa, nil), []string(nil))
			})
		}
	}
}

// The same holds with several faults at once.
func TestReaderHandoverCombinedFaults(t *testing.T) {
	for seed := range uint64(combinedFaultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			assert.DeepEqual(t, runReaderSim(t, seed, combinedReadFaults, nil), []string(nil))
		})
	}
}

// The simulation detects followers that apply every received record, and followers that
// assume that updates have no gaps.
func TestReaderSimDetectsFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  string
		mutate func(sf *simFollower)
		want   string
	}{
		{"every received record is applied", "partition with a first VM on each side", func(sf *simFollower) {
			sf.vm.fl.OnTopicUpdate = func(nw topic.Update) {
				for _, rec := range nw.Records {
					sf.apply(rec)
				}
				sf.fo.Receive(nw)
			}
		}, "an older value was delivered after a newer one"},
		{"updates are assumed to be without gaps", "a tenth of the datagrams lost", func(sf *simFollower) {
			sf.vm.fl.OnTopicUpdate = func(nw topic.Update) {
				nw.From = 0
				sf.fo.Receive(nw)
			}
		}, "a change was not delivered in time"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at := slices.IndexFunc(readFaults, func(fa readFault) bool { return fa.name == tc.fault })
			got := strings.Join(runReaderSim(t, 0, readFaults[at], tc.mutate), "\n")
			assert.Assert(t, strings.Contains(got, tc.want), "%s", got)
		})
	}
}
