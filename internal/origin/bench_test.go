package origin_test

import (
	"fmt"
	"runtime"
	"testing"

	"alderdyke/internal/origin"
	"alderdyke/pkg/clock"
)

// BenchmarkRecordMemory measures the heap that a full table of records takes.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 16384
	for b.Loop() {
		var before, after runtime.MemStats
		rg := newNetwork(1).regs["vm-0"]
		runtime.GC()
		runtime.ReadMemStats(&before)
		for ix := range records {
			rg.Handle(origin.Request{ID: origin.IDOf("", fmt.Sprint(ix)), Record: origin.Record{Service: "model", Version: fmt.Sprint("v1.", ix%9)}, Life: clock.Minute})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(rg)
	}
}

// BenchmarkHandle measures a request of another VM.
func BenchmarkHandle(b *testing.B) {
	rg := newNetwork(1).regs["vm-0"]
	rq := origin.Request{ID: origin.IDOf("", "a1"), Record: origin.Record{Service: "model", Version: "v1"}, Life: clock.Minute}
	for b.Loop() {
		rg.Handle(rq)
	}
}
