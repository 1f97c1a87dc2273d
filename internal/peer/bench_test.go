package peer_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

// segmentHeaders is the size of the headers of one TCP segment over IPv4 with
// timestamps, in bytes.
const segmentHeaders = 52

func startBenchTransport(tb testing.TB, tr *peer.Transport) *peer.Transport {
	tb.Helper()
	tr.Listen, tr.Secret = "127.0.0.1:0", secret
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	<-tr.Ready()
	tb.Cleanup(func() {
		cancel()
		assert.Check(tb, <-done)
	})
	return tr
}

func benchVM(tr *peer.Transport) board.VM {
	return board.VM{VMRef: tr.Self, Peer: tr.Address().String()}
}

func counterValue(scope tally.TestScope, name string) int64 {
	if cs := scope.Snapshot().Counters()[name+"+"]; cs != nil {
		return cs.Value()
	}
	return 0
}

// memoryInUse returns the memory of heap and stacks after garbage collection.
func memoryInUse() (bytes float64, goroutines int) {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc + ms.StackInuse), runtime.NumGoroutine()
}

// benchHub serves the other VMs of a benchmark and dials none itself.
func benchHub(tb testing.TB, clk clock.Source) *peer.Transport {
	return startBenchTransport(tb, &peer.Transport{Self: ref("hub", 1), Handler: echo, Clock: clk,
		Limits: peer.Limits{MaxSessions: 1 << 12, MaxStreams: 1 << 12}})
}

// BenchmarkIdleSession reports the memory of one session without streams, both sides
// together, and the number of its goroutines.
func BenchmarkIdleSession(b *testing.B) {
	const spokes = 300
	for b.Loop() {
		hub := benchHub(b, nil)
		var from []*peer.Transport
		for ix := range spokes {
			from = append(from, startBenchTransport(b, &peer.Transport{Self: ref(fmt.Sprint("spoke", ix), 1)}))
		}
		bytes, routines := memoryInUse()
		began := time.Now()
		for _, tr := range from {
			_, err := tr.Call(context.Background(), benchVM(hub), explain("key"))
			assert.NilError(b, err)
		}
		took := time.Since(began)
		awaitQuiescence()
		after, routinesAfter := memoryInUse()
		b.ReportMetric((after-bytes)/spokes, "B/session-pair")
		b.ReportMetric(float64(routinesAfter-routines)/spokes, "goroutines/session-pair")
		b.ReportMetric(float64(took.Microseconds())/spokes, "us/dial-and-call")
	}
}

// awaitQuiescence waits until all goroutines that end by themselves have ended.
func awaitQuiescence() {
	for last := -1; last != runtime.NumGoroutine(); {
		last = runtime.NumGoroutine()
		time.Sleep(50 * time.Millisecond)
	}
}

// BenchmarkOpenStream reports the memory of one idle stream, both sides together, its
// handler's goroutine included.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		hub := benchHub(b, nil)
		tr := startBenchTransport(b, &peer.Transport{Self: ref("spoke", 1)})
		_, err := tr.Call(context.Background(), benchVM(hub), explain("key"))
		assert.NilError(b, err)
		awaitQuiescence()
		bytes, routines := memoryInUse()
		open := make([]*peer.Conn, streams)
		for ix := range open {
			cn, err := tr.Open(context.Background(), benchVM(hub))
			assert.NilError(b, err)
			assert.NilError(b, cn.Send(explain("key")))
			_, err = cn.Recv()
			assert.NilError(b, err)
			open[ix] = cn
		}
		awaitQuiescence()
		after, routinesAfter := memoryInUse()
		b.ReportMetric((after-bytes)/streams, "B/stream-pair")
		b.ReportMetric(float64(routinesAfter-routines)/streams, "goroutines/stream-pair")
		for _, cn := range open {
			cn.Close()
		}
	}
}

// BenchmarkCall reports time, allocations and bytes of one small call on an existing
// session.
func BenchmarkCall(b *testing.B) {
	scope := tally.NewTestScope("", nil)
	hub := benchHub(b, nil)
	tr := startBenchTransport(b, &peer.Transport{Self: ref("spoke", 1), Scope: scope})
	_, err := tr.Call(context.Background(), benchVM(hub), explain("key"))
	assert.NilError(b, err)
	sent := counterValue(scope, "PeerBytesSent") + counterValue(scope, "PeerBytesReceived")
	b.ReportAllocs()
	calls := 0
	for b.Loop() {
		_, err := tr.Call(context.Background(), benchVM(hub), explain("key"))
		if err != nil {
			b.Fatal(err)
		}
		calls++
	}
	sent = counterValue(scope, "PeerBytesSent") + counterValue(scope, "PeerBytesReceived") - sent
	b.ReportMetric(float64(sent)/float64(calls), "TCP-B/call")
}

// BenchmarkDatagram reports the cost of sending and checking one probe.
func BenchmarkDatagram(b *testing.B) {
	scope := tally.NewTestScope("", nil)
	hub := benchHub(b, nil)
	tr := startBenchTransport(b, &peer.Transport{Self: ref("spoke", 1), Scope: scope})
	b.ReportAllocs()
	sends := 0
	for b.Loop() {
		dg := &peerpb.Datagram{Body: &peerpb.Datagram_Probe{Probe: &peerpb.Probe{Number: 5}}}
		if err := tr.SendDatagram(benchVM(hub), dg); err != nil {
			b.Fatal(err)
		}
		sends++
	}
	b.ReportMetric(float64(counterValue(scope, "PeerDatagramBytesSent"))/float64(sends), "UDP-B/datagram")
}

// broadcastVMs is how many other VMs receive a message in BenchmarkBroadcast.
const broadcastVMs = 88

// usageDatagram makes a message of the usual size: six engines with two runs each.
func usageDatagram() *peerpb.Datagram {
	us := &peerpb.Usage{}
	for ix := range 6 {
		us.Engines = append(us.Engines, &peerpb.EngineUsage{Engine: fmt.Sprintf("i-7f3a91c%d", ix), Tokens: []uint32{5200, 7400}, Left: []uint32{4300, 900}})
	}
	return &peerpb.Datagram{Body: &peerpb.Datagram_Usage{Usage: us}}
}

// BenchmarkBroadcast reports the cost of sending a message to all other VMs, once as a
// separate datagram for each and once as the same datagram for all.
func BenchmarkBroadcast(b *testing.B) {
	hub := benchHub(b, nil)
	tr := startBenchTransport(b, &peer.Transport{Self: ref("spoke", 1)})
	vms := make([]board.VM, broadcastVMs)
	for ix := range vms {
		vms[ix] = benchVM(hub)
	}
	b.Run("SendDatagram", func(b *testing.B) {
		for b.Loop() {
			for _, vm := range vms {
				if err := tr.SendDatagram(vm, usageDatagram()); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
	b.Run("Broadcast", func(b *testing.B) {
		for b.Loop() {
			if err := tr.Broadcast(vms, usageDatagram()); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// A session sends nothing without streams; with streams it sends one ping for each period
// of silence, and only the side that dialled does.
func TestIdleTraffic(t *testing.T) {
	clk := new(clock.Manual)
	sb := start(t, &peer.Transport{Self: ref("b", 1), Handler: echo, Clock: clk})
	sa := start(t, &peer.Transport{Self: ref("a", 1), Clock: clk, IdleTimeout: clock.Hour})
	wire := func() int64 { return sa.counted("PeerBytesSent", "") + sa.counted("PeerBytesReceived", "") }
	_, err := sa.Call(t.Context(), sb.vm(), explain("key"))
	assert.NilError(t, err)
	setup := wire()
	t.Logf("session with one call: %d bytes of TCP payload, both directions", setup)

	cn, err := sa.Open(t.Context(), sb.vm())
	assert.NilError(t, err)
	assert.NilError(t, cn.Send(explain("key")))
	_, err = cn.Recv()
	assert.NilError(t, err)
	pings := func() int64 { return sa.counted("PeerPings", "") }
	ping := func(upTo int64) {
		eventually(t, "pings with replies", func() bool {
			if sa.PingPending() {
				return false
			}
			if pings() >= upTo {
				return true
			}
			clk.Advance(peer.DefaultKeepAlive)
			sa.Sweep()
			return false
		})
	}
	ping(1) // the reply arrives after everything that was sent before
	before, beforePings := wire(), pings()
	ping(beforePings + 4)
	perPing := (wire() - before) / (pings() - beforePings)
	t.Logf("ping and reply: %d bytes of TCP payload, %d with headers and acknowledgements", perPing, perPing+4*segmentHeaders)
	assert.Assert(t, perPing > 0 && perPing <= 80, "%d bytes for a ping", perPing)
	assert.Equal(t, sb.counted("PeerPings", ""), int64(0))

	cn.Close()
	eventually(t, "no streams", func() bool { return sa.Streams() == 0 })
	rest, pinged := wire(), sa.counted("PeerPings", "")
	for range 10 {
		clk.Advance(peer.DefaultKeepAlive)
		sa.Sweep()
		sb.Sweep()
	}
	assert.Equal(t, wire(), rest)
	assert.Equal(t, sa.counted("PeerPings", ""), pinged)
}
