package claim

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// benchVMs returns a fleet of the given size in 8 failure domains, or in 4 if the fleet
// is small.
func benchVMs(size int) []board.VM {
	domains := 8
	if size < 48 {
		domains = 4
	}
	out := make([]board.VM, size)
	for ix := range out {
		out[ix] = vm(fmt.Sprintf("vm-%03d", ix), fmt.Sprint("domain-", ix%domains), 1)
	}
	return out
}

func benchBooks(size int) map[board.VMRef]*Book {
	vms := benchVMs(size)
	books := map[board.VMRef]*Book{}
	for _, vm := range vms {
		bk := &Book{Self: vm.VMRef, FromLogStart: true, Settings: Settings{MaxRecords: 1 << 22}}
		bk.Step(0, TableAppended{Epoch: 1, Table: table(0, vms...)})
		books[vm.VMRef] = bk
	}
	return books
}

// BenchmarkClaim measures a whole claim without the network: the asker, the seats, and
// the messages between them.
func BenchmarkClaim(b *testing.B) {
	for _, size := range []int{7, 48, 380} {
		for _, idempotent := range []bool{false, true} {
			b.Run(fmt.Sprintf("VMs=%d/Idempotent=%v", size, idempotent), func(b *testing.B) {
				benchmarkClaim(b, size, idempotent)
			})
		}
	}
}

func benchmarkClaim(b *testing.B, size int, idempotent bool) {
	books := benchBooks(size)
	fl := &board.Fleet{Quorate: true, VMs: benchVMs(size)}
	self := fl.VMs[0]
	var messages, bytes int
	b.ReportAllocs()
	for ix := 0; b.Loop(); ix++ {
		ak := testAsker()
		ak.Self, ak.Idempotent, ak.Key = self.VMRef, idempotent, fmt.Sprintf("0190f6c2-7d1e-7a3b-9c4d-%012x", ix)
		ak.Fingerprint = []byte("0123456789abcdef")
		todo := ak.Step(0, Begin{books[self.VMRef].Seats(), fl})
		for len(todo) > 0 {
			sa, ok := todo[0].(SendAsk)
			todo = todo[1:]
			if !ok {
				continue
			}
			rp := reply(books[sa.To], 0, sa.Ask)
			if sa.To != self.VMRef {
				messages += 2
				bytes += proto.Size(sa.Ask) + proto.Size(rp)
			}
			todo = append(todo, ak.Step(0, Replied{sa.Number, rp})...)
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
	b.ReportMetric(float64(bytes)/float64(b.N), "wireB/op")
}

// BenchmarkRecord measures the memory of one record.
func BenchmarkRecord(b *testing.B) {
	const records = 50_000
	for b.Loop() {
		bk := seatedBook(vmA, Settings{})
		before := heapBytes()
		for ix := range records {
			key := fmt.Sprintf("0190f6c2-7d1e-7a3b-9c4d-%012x", ix)
			raw, err := proto.Marshal(askFor(bk, key, uint64(ix)+1, vmB))
			if err != nil {
				b.Fatal(err)
			}
			var ask peerpb.ClaimAsk
			if err := proto.Unmarshal(raw, &ask); err != nil {
				b.Fatal(err)
			}
			reply(bk, 0, &ask)
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "B/record")
		runtime.KeepAlive(bk)
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// BenchmarkTableChange measures what one seat with 1,000 records sends when one VM of
// the fleet is replaced.
func BenchmarkTableChange(b *testing.B) {
	for _, size := range []int{7, 48, 380} {
		b.Run(fmt.Sprintf("VMs=%d", size), func(b *testing.B) { benchmarkTableChange(b, size) })
	}
}

func benchmarkTableChange(b *testing.B, size int) {
	vms := benchVMs(size)
	next := table(1, vms...)
	next.Seats[size-1].Incarnation = 2
	var messages, bytes, records int
	for b.Loop() {
		b.StopTimer()
		bk := &Book{Self: vms[0].VMRef, FromLogStart: true, Settings: Settings{ClaimTTL: clock.Hour}}
		bk.Step(0, TableAppended{Epoch: 1, Table: table(0, vms...)})
		for ix := 0; len(bk.recs.byName) < 1_000; ix++ {
			reply(bk, 0, askFor(bk, fmt.Sprintf("0190f6c2-7d1e-7a3b-9c4d-%012x", ix), 1, vmB))
		}
		b.StartTimer()
		for _, in := range bk.Step(0, TableAppended{Epoch: 2, Table: next}) {
			if sh, ok := in.(SendHandoff); ok {
				messages++
				bytes += proto.Size(sh.Handoff)
				records += len(sh.Handoff.GetRecords())
			}
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
	b.ReportMetric(float64(bytes)/float64(b.N), "wireB/op")
	b.ReportMetric(float64(records)/float64(b.N), "records/op")
	b.ReportMetric(float64(proto.Size(next)), "tableB")
}
