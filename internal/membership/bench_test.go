package membership

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// noDeadDelay is the shortest DeadDelay; zero would select the default.
const noDeadDelay = clock.Millis(1)

// variants are compared without DeadDelay, which would hide their false deaths; the
// last one has the default settings.
var variants = []variant{
	{"timeout", Settings{DeadDelay: noDeadDelay}, disabledFeatures{helpers: true, suspicion: true, localHealth: true}},
	{"swim2s-deadline1s", Settings{DeadDelay: noDeadDelay, ProbeDeadline: clock.Second},
		disabledFeatures{localHealth: true, decay: true, stagger: true}},
	{"swim2s", Settings{DeadDelay: noDeadDelay}, disabledFeatures{localHealth: true, decay: true, stagger: true}},
	{"swim6s", Settings{DeadDelay: noDeadDelay, SuspicionMin: 6 * clock.Second},
		disabledFeatures{localHealth: true, decay: true, stagger: true}},
	{"decay", Settings{DeadDelay: noDeadDelay}, disabledFeatures{localHealth: true, stagger: true}},
	{"decay+health", Settings{DeadDelay: noDeadDelay}, disabledFeatures{stagger: true}},
	{"decay+health+stagger", Settings{DeadDelay: noDeadDelay}, disabledFeatures{}},
	{"all", Settings{}, disabledFeatures{}},
}

// BenchmarkDetection compares the variants under 5% loss and pauses of 200 to 800 ms,
// once per 10 s at each VM, and then kills VMs.
func BenchmarkDetection(bb *testing.B) {
	for _, size := range []int{7, 48, 96, 380} {
		for _, vr := range variants {
			if size > 96 && vr.disabled.suspicion {
				continue // flapping makes it take very long
			}
			bb.Run(fmt.Sprintf("size=%d/%s", size, vr.name), func(bb *testing.B) {
				for ix := range bb.N {
					measure(bb, size, vr, uint64(ix+1))
				}
			})
		}
	}
}

// BenchmarkUnstableVMs makes every twelfth VM pause repeatedly for 2 to 4 s, and counts
// the false suspicions and deaths of the others.
func BenchmarkUnstableVMs(bb *testing.B) {
	for _, size := range []int{7, 96} {
		for _, vr := range variants[1:] {
			bb.Run(fmt.Sprintf("size=%d/%s", size, vr.name), func(bb *testing.B) {
				for ix := range bb.N {
					measureUnstable(bb, size, vr, uint64(ix+1))
				}
			})
		}
	}
}

func measureUnstable(bb *testing.B, size int, vr variant, seed uint64) {
	span := clock.Minute * clock.Millis(960/size)
	tf := newFleet(size, min(8, size/2+1), seed, vr)
	tf.run(40 * clock.Second)
	tf.loss = 0.05
	for ix := 0; ix < size; ix += 12 {
		tf.unstable[tf.vms[ix].self.ID] = true
	}
	tf.startPauses(0)
	tf.run(20 * clock.Second)
	tf.countFrom = tf.now
	tf.falseDeaths, tf.falseSuspicions = 0, 0
	tf.resetTraffic()
	tf.run(span)
	bytes, _, _ := tf.perVM(span)
	hours := float64(span) / float64(clock.Hour)
	bb.ReportMetric(bytes, "B/s/VM")
	bb.ReportMetric(float64(tf.falseSuspicions)/hours, "suspicions/h")
	bb.ReportMetric(float64(tf.falseDeaths)/hours, "deaths/h")
}

func measure(bb *testing.B, size int, vr variant, seed uint64) {
	span := max(2*clock.Minute, clock.Minute*clock.Millis(960/size))
	domains := 8
	if size < 8 {
		domains = 4
	}
	tf := newFleet(size, domains, seed, vr)
	tf.run(40 * clock.Second)
	tf.loss = 0.05
	tf.startPauses(10 * clock.Second)
	tf.run(20 * clock.Second)
	tf.countFrom = tf.now
	tf.falseDeaths, tf.falseSuspicions = 0, 0
	tf.resetTraffic()
	tf.run(span)
	bytes, messages, _ := tf.perVM(span)
	hours := float64(span) / float64(clock.Hour)
	bb.ReportMetric(bytes, "B/s/VM")
	bb.ReportMetric(messages, "msgs/s/VM")
	bb.ReportMetric(float64(tf.falseSuspicions)/hours, "suspicions/h")
	bb.ReportMetric(float64(tf.falseDeaths)/hours, "deaths/h")
	for ix := range max(1, min(5, size/8)) {
		tf.kill(tf.vms[ix*size/8+1])
		tf.run(30 * clock.Second)
	}
	tf.reportDetection(bb)
}

func (tf *testFleet) reportDetection(bb *testing.B) {
	var suspected, dead []clock.Millis
	for id := range tf.killed {
		suspected = append(suspected, tf.suspected[id]...)
		dead = append(dead, tf.detected[id]...)
	}
	bb.ReportMetric(float64(quantile(suspected, 0.5))/1000, "suspect-p50-s")
	bb.ReportMetric(float64(quantile(suspected, 0.99))/1000, "suspect-p99-s")
	bb.ReportMetric(float64(quantile(dead, 0.5))/1000, "dead-p50-s")
	bb.ReportMetric(float64(quantile(dead, 0.99))/1000, "dead-p99-s")
}

// BenchmarkDomainLost kills one of 8 failure domains of 380 VMs at once.
func BenchmarkDomainLost(bb *testing.B) {
	for ix := range bb.N {
		tf := newFleet(380, 8, uint64(ix+1), variant{})
		tf.run(60 * clock.Second)
		tf.loss = 0.05
		for _, vm := range tf.vms {
			if vm.self.FailureDomain == "domain-3" {
				tf.kill(vm)
			}
		}
		tf.resetTraffic()
		most := math.Inf(-1)
		for range 20 {
			before := tf.sentBytes()
			tf.run(clock.Second)
			most = max(most, float64(tf.sentBytes()-before)/float64(len(tf.live())))
		}
		bytes, messages, _ := tf.perVM(20 * clock.Second)
		bb.ReportMetric(bytes, "B/s/VM")
		bb.ReportMetric(messages, "msgs/s/VM")
		bb.ReportMetric(most, "sent-B-in-worst-s")
		bb.ReportMetric(float64(tf.falseDeaths), "false-deaths")
		tf.reportDetection(bb)
	}
}

// BenchmarkPartition disconnects one of three regions for 3 minutes.
func BenchmarkPartition(bb *testing.B) {
	for _, size := range []int{7, 380} {
		bb.Run(fmt.Sprintf("size=%d", size), func(bb *testing.B) {
			for ix := range bb.N {
				measurePartition(bb, size, uint64(ix+1))
			}
		})
	}
}

func measurePartition(bb *testing.B, size int, seed uint64) {
	tf := newFleet(size, min(8, size/2+1), seed, variant{})
	tf.run(60 * clock.Second)
	tf.loss = 0.05
	tf.cut = regionCut
	minority := tf.regionVMs()
	fenced, firstDead := clock.Millis(-1), clock.Millis(-1)
	cutAt := tf.now
	tf.resetTraffic()
	for range 300 {
		tf.run(100)
		if fenced < 0 && tf.noneQuorate(minority) {
			fenced = tf.now - cutAt
		}
		if firstDead < 0 && tf.countViews(board.Dead) > 0 {
			firstDead = tf.now - cutAt
		}
	}
	early, _, _ := tf.perVM(30 * clock.Second)
	tf.run(2 * clock.Minute)
	tf.resetTraffic()
	tf.run(30 * clock.Second)
	late, _, _ := tf.perVM(30 * clock.Second)
	tf.cut = nil
	healed := tf.now
	for range 600 {
		if tf.countViews(board.Alive) == size*size {
			break
		}
		tf.run(100)
	}
	bb.ReportMetric(float64(fenced)/1000, "minority-fenced-s")
	bb.ReportMetric(float64(firstDead)/1000, "first-dead-s")
	bb.ReportMetric(float64(tf.unfenced), "unfenced")
	bb.ReportMetric(early, "B/s/VM-first-30s")
	bb.ReportMetric(late, "B/s/VM-after-2m")
	bb.ReportMetric(float64(tf.now-healed)/1000, "merged-s")
}

// BenchmarkStep measures the processor time that one VM of 380 takes for each second of
// virtual time, under loss and pauses.
func BenchmarkStep(bb *testing.B) {
	tf := newFleet(380, 8, 1, variant{})
	tf.run(60 * clock.Second)
	tf.loss = 0.05
	bb.ResetTimer()
	for range bb.N {
		tf.run(clock.Second)
	}
	bb.ReportMetric(float64(bb.Elapsed().Microseconds())/float64(bb.N*380), "µs/VM/s")
}

// BenchmarkMemory measures the heap that one VM's detector retains.
func BenchmarkMemory(bb *testing.B) {
	for _, size := range []int{48, 380} {
		bb.Run(fmt.Sprintf("size=%d", size), func(bb *testing.B) {
			var before, after runtime.MemStats
			for range bb.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				tf := newFleet(size, 8, 1, variant{})
				tf.run(20 * clock.Second)
				tf.queue = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				bb.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size*1024), "KiB/VM")
				runtime.KeepAlive(tf)
			}
		})
	}
}
