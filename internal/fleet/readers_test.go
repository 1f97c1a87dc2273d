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
	// simKeys is the keys of the topic, and simChange the mean span between two
	// records. Every other record says what the key's last one said.
	simKeys   = 12
	simChange = 80 * time.Millisecond
	// simKept is how many records the store keeps behind the newest: 2 s of them, so
	// that who misses more has to read a listing.
	simKept = 25
	// simPiece is how long some of the values are, so that they go in pieces.
	simPiece = 3000
	// readWithin is the span in which a change must be known everywhere.
	readWithin = 2 * clock.Second
)

var errStoreAway = errors.New("the store does not answer")

type (
	// readSim is a fleet that follows a topic of the store.
	readSim struct {
		*simNet
		followers map[*simVM]*simFollower

		mu     sync.Mutex
		recs   []topic.Record
		dates  []clock.Millis          // when the records came
		away   map[string]bool         // VMs that the store does not answer
		slowly map[string]clock.Millis // how much longer it takes to answer a VM
		vi     violations
		due    clock.Millis // from when on changes must be known in time; zero: not now
		reads  int
		mutant func(sf *simFollower) // changes a follower before it starts; may be nil
	}

	// simFollower is one process that follows the topic.
	simFollower struct {
		rs *readSim
		vm *simVM
		fo *topic.Follower

		began clock.Millis

		mu    sync.Mutex
		known map[string]int // by key: the newest value that this process was told
	}
)

func newReadSim(seed uint64) *readSim {
	return &readSim{simNet: newNet(seed), followers: make(map[*simVM]*simFollower), away: make(map[string]bool),
		slowly: make(map[string]clock.Millis)}
}

// valueOf is the number that a value says.
func valueOf(rec topic.Record) int {
	number, _, _ := strings.Cut(string(rec.Value), " ")
	value, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	return value
}

// write appends records for as long as the context lasts.
func (rs *readSim) write(ctx context.Context) {
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
		rs.dates = append(rs.dates, rs.clock.Now())
		rs.mu.Unlock()
		clock.Sleep(ctx, clock.Of(time.Duration(2*rs.chance("pause", number)*float64(simChange))))
	}
}

// noise is text that does not deflate to a datagram.
func (rs *readSim) noise(number uint64) string {
	out := make([]byte, 0, simPiece)
	for len(out) < simPiece {
		out = strconv.AppendInt(out, int64(rs.chance(fmt.Sprint("noise", len(out)), number)*(1<<52)), 36)
	}
	return string(out)
}

// reach is a call's way to the store, and back with what it holds by then.
func (sf *simFollower) reach(ctx context.Context) error {
	if !sf.vm.await() || !clock.Sleep(ctx, 2) {
		return context.Canceled
	}
	sf.rs.mu.Lock()
	sf.rs.reads++
	away := sf.rs.away[sf.vm.self.ID]
	sf.rs.mu.Unlock()
	if away {
		return errStoreAway
	}
	return nil
}

// Newest is the store's listing as this process gets it.
func (sf *simFollower) Newest(ctx context.Context, _ string) ([]topic.Record, uint64, error) {
	if err := sf.reach(ctx); err != nil {
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
	return out, next, sf.back(ctx)
}

// Read is the store's records from an offset on.
func (sf *simFollower) Read(ctx context.Context, _ string, from uint64, _ clock.Millis) ([]topic.Record, uint64, error) {
	if err := sf.reach(ctx); err != nil {
		return nil, 0, err
	}
	sf.rs.mu.Lock()
	next := uint64(len(sf.rs.recs))
	dropped := from+simKept < next
	out := append([]topic.Record(nil), sf.rs.recs[min(from, next):]...)
	sf.rs.mu.Unlock()
	if dropped {
		return nil, 0, topic.ErrRecordsDropped
	}
	return out, next, sf.back(ctx)
}

// back is the way of an answer, which may be slower than news.
func (sf *simFollower) back(ctx context.Context) error {
	sf.rs.mu.Lock()
	span := clock.Millis(2 + 20*sf.rs.chance("store "+sf.vm.self.ID, uint64(len(sf.rs.recs))))
	span += sf.rs.slowly[sf.vm.self.ID]
	sf.rs.mu.Unlock()
	if !clock.Sleep(ctx, span) || !sf.vm.await() {
		return context.Canceled
	}
	return nil
}

// told notes a record that this process is told.
func (sf *simFollower) told(rec topic.Record) {
	value := valueOf(rec)
	sf.mu.Lock()
	older := value < sf.known[rec.Key]
	sf.known[rec.Key] = value
	sf.mu.Unlock()
	sf.rs.mu.Lock()
	defer sf.rs.mu.Unlock()
	sf.rs.vi.note(older, sf.rs.clock.Now(), "something older was told after something newer")
}

// isNews tells whether a record says more than is known.
func (sf *simFollower) isNews(rec topic.Record) bool {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	return sf.known[rec.Key] != valueOf(rec)
}

// startVM starts a further life of a VM.
func (rs *readSim) startVM(ctx context.Context, ix int) {
	sf := &simFollower{rs: rs, began: rs.clock.Now(), known: make(map[string]int)}
	sf.vm = rs.newVM(ctx, ix, simHears{news: func(nw topic.Update) { sf.fo.Receive(nw) }})
	sf.fo = &topic.Follower{Source: sf, Name: "t", Pause: 700, StandbyAfter: 950, SelfReadAfter: 1100, Clock: rs.clock,
		Rank: sf.vm.ne.Rank, Broadcast: sf.vm.tellNews, IsNew: sf.isNews, OnSnapshot: topic.ApplyEach(sf.told), OnChange: sf.told}
	if rs.mutant != nil {
		rs.mutant(sf)
	}
	rs.mu.Lock()
	rs.followers[sf.vm] = sf
	rs.mu.Unlock()
	sf.vm.start()
	go sf.fo.Run(sf.vm.ctx)
}

// tellNews passes on what was read by one VM of each group.
func (vm *simVM) tellNews(nw topic.Update) {
	words, err := newsToWire(nw)
	if err != nil {
		panic(err)
	}
	vm.mu.Lock()
	number := vm.number
	vm.mu.Unlock()
	for ix, gr := range groupsOf(vm.fl.spread().living(func(other board.VM) bool { return other.ID != vm.self.ID })) {
		head := gr.vms[int(vm.net.chance("head "+vm.self.ID+fmt.Sprint(ix), number)*float64(len(gr.vms)))]
		for _, word := range words {
			word = proto.Clone(word).(*peerpb.Datagram)
			word.Forward = gr.wire
			vm.send(head.ID, word)
		}
	}
}

// watch looks every 20 ms, while that is due, whether some VM does not know a
// change that is older than it may be.
func (rs *readSim) watch(ctx context.Context) {
	for clock.Sleep(ctx, 20) {
		rs.mu.Lock()
		now, due := rs.clock.Now(), rs.due
		must := make(map[string]int)
		for ix, rec := range rs.recs {
			if rs.dates[ix] <= now-readWithin {
				must[rec.Key] = valueOf(rec)
			}
		}
		rs.mu.Unlock()
		if due == 0 || now < due {
			continue
		}
		for _, vm := range rs.running() {
			rs.check(vm, must, now)
		}
	}
}

func (rs *readSim) check(vm *simVM, must map[string]int, now clock.Millis) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	sf := rs.followers[vm]
	if sf == nil {
		return // it is about to start
	}
	if vm.frozenSince(now-readWithin) || now-sf.began < readWithin {
		return
	}
	sf.mu.Lock()
	defer sf.mu.Unlock()
	for key, value := range must {
		rs.vi.note(sf.known[key] < value, now, "a change was not known in time")
	}
}

// readFault is something that fails, until the function that it returns is called.
type readFault struct {
	name string
	// strict has each change known in time by all VMs also while the fault lasts:
	// each still reaches the store.
	strict bool
	begin  func(ctx context.Context, rs *readSim) (end func())
}

var readFaults = []readFault{
	{"none", true, func(context.Context, *readSim) func() { return func() {} }},
	{"the first is frozen", true, func(_ context.Context, rs *readSim) func() { return rs.reader(0).freeze() }},
	{"the first two are frozen", true, func(_ context.Context, rs *readSim) func() {
		return together(rs.reader(0).freeze(), rs.reader(1).freeze())
	}},
	{"the first hears nobody", true, func(_ context.Context, rs *readSim) func() {
		first := rs.reader(0).self.ID
		return rs.cutOff(others(first), []string{first})
	}},
	{"nobody hears the first", true, func(_ context.Context, rs *readSim) func() {
		first := rs.reader(0).self.ID
		return rs.cutOff([]string{first}, others(first))
	}},
	{"half do not hear the first", true, func(_ context.Context, rs *readSim) func() {
		first := rs.reader(0).self.ID
		return rs.cutOff([]string{first}, others(first)[:netVMs/2])
	}},
	{"the first is slow", true, func(_ context.Context, rs *readSim) func() {
		first := rs.reader(0).self.ID
		rs.slowDown(first, 100*time.Millisecond)
		return func() { rs.slowDown(first, 0) }
	}},
	{"the first is killed", true, func(_ context.Context, rs *readSim) func() {
		rs.reader(0).stop()
		return func() {}
	}},
	{"the first is killed and starts later", true, func(ctx context.Context, rs *readSim) func() {
		first := rs.reader(0)
		first.stop()
		return func() { rs.restart(ctx, first) }
	}},
	{"the first starts again at once under its name", true, func(ctx context.Context, rs *readSim) func() {
		rs.restart(ctx, rs.reader(0))
		return func() {}
	}},
	{"two believe that they are first", true, func(_ context.Context, rs *readSim) func() {
		one, two := rs.halves(rs.reader(0), rs.reader(1))
		return together(rs.cutOff(one, two), rs.cutOff(two, one))
	}},
	{"half of the VMs are lost", true, func(_ context.Context, rs *readSim) func() {
		one, _ := rs.halves(rs.reader(0), rs.reader(1))
		for _, name := range one {
			rs.vm(name).stop()
		}
		return func() {}
	}},
	{"half of the VMs are lost and start again", true, func(ctx context.Context, rs *readSim) func() {
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
	{"half of the VMs start again at once", true, func(ctx context.Context, rs *readSim) func() {
		one, _ := rs.halves(rs.reader(0), rs.reader(1))
		for _, name := range one {
			rs.restart(ctx, rs.vm(name))
		}
		return func() {}
	}},
	{"a tenth of the datagrams is lost", true, func(_ context.Context, rs *readSim) func() {
		rs.lose(0.1)
		return func() { rs.lose(0) }
	}},
	{"the first is cut off from the store", true, func(_ context.Context, rs *readSim) func() {
		return rs.noStore(rs.reader(0).self.ID)
	}},
	{"the store answers the first slowly", true, func(_ context.Context, rs *readSim) func() {
		return rs.slowStore(rs.reader(0).self.ID)
	}},
	{"the store answers all slowly", false, func(_ context.Context, rs *readSim) func() {
		return rs.slowStore(allNames()...)
	}},
	{"all in line are cut off from the store", false, func(_ context.Context, rs *readSim) func() {
		var names []string
		for rank := range topic.MaxReaders {
			names = append(names, rs.reader(rank).self.ID)
		}
		return rs.noStore(names...)
	}},
	{"a third is cut off from the store", false, func(_ context.Context, rs *readSim) func() {
		return rs.noStore(allNames()[:netVMs/3]...)
	}},
	{"the store is away", false, func(_ context.Context, rs *readSim) func() { return rs.noStore(allNames()...) }},
}

// someRead is faults that begin one after the other and end together, drawn by the
// seed from those after which all VMs live again.
var someRead = readFault{"some at once", false, func(ctx context.Context, rs *readSim) func() {
	var list []readFault
	for _, fa := range readFaults {
		if !lastingLoss(fa.name) {
			list = append(list, fa)
		}
	}
	var ends []func()
	for _, at := range rs.drawn(someFaults, len(list)) {
		ends = append(ends, list[at].begin(ctx, rs))
		time.Sleep(someAfter)
	}
	return together(ends...)
}}

// reader is one of the VMs that read for all, as they see themselves; another one
// where none sees itself there.
func (rs *readSim) reader(rank int) *simVM {
	list := rs.running()
	for _, vm := range list {
		if vm.ne.Rank() == rank {
			return vm
		}
	}
	return list[rank]
}

// noStore cuts VMs off from the store.
func (rs *readSim) noStore(names ...string) (back func()) {
	set := func(away bool) {
		rs.mu.Lock()
		defer rs.mu.Unlock()
		for _, name := range names {
			rs.away[name] = away
		}
	}
	set(true)
	return func() { set(false) }
}

// slowStore has the store answer VMs after most of a second.
func (rs *readSim) slowStore(names ...string) (back func()) {
	set := func(span clock.Millis) {
		rs.mu.Lock()
		defer rs.mu.Unlock()
		for _, name := range names {
			rs.slowly[name] = span
		}
	}
	set(800)
	return func() { set(0) }
}

// restart starts a further life of a VM, whose last one ends here if it lives.
func (rs *readSim) restart(ctx context.Context, vm *simVM) {
	vm.stop()
	rs.startVM(ctx, slices.Index(allNames(), vm.self.ID))
}

// setDue has changes known in time from a point on; zero: not for now.
func (rs *readSim) setDue(at clock.Millis) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.due = at
}

// playReaders plays a fault while the topic changes, and tells what was not as it
// must be. All VMs start at once.
func playReaders(t *testing.T, seed uint64, fa readFault, mutant func(sf *simFollower)) (out []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		rs := newReadSim(seed)
		rs.mutant = mutant
		go rs.write(ctx)
		for ix := range netVMs {
			rs.startVM(ctx, ix)
		}
		go rs.watch(ctx)
		time.Sleep(faultAfter)
		rs.setDue(rs.clock.Now())
		if !fa.strict {
			rs.setDue(0)
		}
		end := fa.begin(ctx, rs)
		time.Sleep(faultFor)
		end()
		if !fa.strict {
			rs.setDue(rs.clock.Now() + clock.Of(readWellAfter))
		}
		time.Sleep(readWellAfter + wellFor)
		rs.mu.Lock()
		defer rs.mu.Unlock()
		out = rs.vi.list()
	})
	return out
}

// readWellAfter is how long after a fault of the store all know all again: the
// longest pause of a VM far behind, and a read.
const readWellAfter = 3 * time.Second

// Whatever becomes of those that read for all, each VM knows each change in time,
// and no process is told something older after something newer.
func TestHandOverOfReaders(t *testing.T) {
	for _, fa := range readFaults {
		for seed := range uint64(handOverSeeds) {
			t.Run(fmt.Sprintf("%s/%d", fa.name, seed), func(t *testing.T) {
				t.Parallel()
				assert.DeepEqual(t, playReaders(t, seed, fa, nil), []string(nil))
			})
		}
	}
}

// The same with several faults at once.
func TestHandOverOfReadersInSomeFaults(t *testing.T) {
	for seed := range uint64(someSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			assert.DeepEqual(t, playReaders(t, seed, someRead, nil), []string(nil))
		})
	}
}

// The check notices followers that take each record that they hear, and ones that
// take news for whole that leave something out.
func TestHandOverOfReadersIsChecked(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  string
		mutant func(sf *simFollower)
		want   string
	}{
		{"each record is taken", "two believe that they are first", func(sf *simFollower) {
			sf.vm.fl.News = func(nw topic.Update) {
				for _, rec := range nw.Records {
					sf.told(rec)
				}
				sf.fo.Receive(nw)
			}
		}, "something older was told after something newer"},
		{"news are taken for whole", "a tenth of the datagrams is lost", func(sf *simFollower) {
			sf.vm.fl.News = func(nw topic.Update) {
				nw.From = 0
				sf.fo.Receive(nw)
			}
		}, "a change was not known in time"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at := slices.IndexFunc(readFaults, func(fa readFault) bool { return fa.name == tc.fault })
			got := strings.Join(playReaders(t, 0, readFaults[at], tc.mutant), "\n")
			assert.Assert(t, strings.Contains(got, tc.want), "%s", got)
		})
	}
}
