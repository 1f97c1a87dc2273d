package peer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

var secret = []byte("a secret that all VMs of a test share")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler serves streams with a function.
type handler func(ctx context.Context, from board.VMRef, cn *peer.Conn)

func (hd handler) Serve(ctx context.Context, from board.VMRef, cn *peer.Conn) { hd(ctx, from, cn) }

// echo answers each frame with itself.
var echo = handler(func(_ context.Context, _ board.VMRef, cn *peer.Conn) {
	for {
		fr, err := cn.Recv()
		if err != nil || cn.Send(fr) != nil {
			return
		}
	}
})

// testTransport is a transport that runs until the test ends, or until stop is called.
type testTransport struct {
	*peer.Transport
	scope tally.TestScope
	stop  func()
}

func start(t *testing.T, tr *peer.Transport) *testTransport {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	tr.Scope = scope
	if tr.Listen == "" {
		tr.Listen = "127.0.0.1:0"
	}
	if tr.Secret == nil {
		tr.Secret = secret
	}
	// A busy machine must not change a result: unless a test is about a timeout, none
	// may fire.
	for _, span := range []*clock.Millis{&tr.DialTimeout, &tr.HandshakeTimeout, &tr.PingTimeout, &tr.FrameTimeout} {
		if *span == 0 {
			*span = clock.Minute
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	select {
	case <-tr.Ready():
	case err := <-done:
		cancel()
		t.Fatalf("Run: %v", err)
	}
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			assert.Check(t, <-done)
		})
	}
	t.Cleanup(stop)
	return &testTransport{Transport: tr, scope: scope, stop: stop}
}

func ref(id string, incarnation uint64) board.VMRef {
	return board.VMRef{ID: id, Incarnation: incarnation}
}

// vm returns the VM as the other VMs know it.
func (st *testTransport) vm() board.VM {
	return board.VM{VMRef: st.Self, Peer: st.Address().String()}
}

// counted reads a counter, with the tag Reason if reason is not empty.
func (st *testTransport) counted(name, reason string) int64 {
	var tags map[string]string
	if reason != "" {
		tags = map[string]string{"Reason": reason}
	}
	snap := st.scope.Snapshot().Counters()[tally.KeyForPrefixedStringMap(name, tags)]
	if snap == nil {
		return 0
	}
	return snap.Value()
}

// awaitCount waits until a counter that another goroutine changes has a value.
func (st *testTransport) awaitCount(t *testing.T, name, reason string, want int64) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s %s = %d", name, reason, want), func() bool { return st.counted(name, reason) == want })
}

// eventually waits for a condition that other goroutines bring about. The timeout only
// ends a test that has already failed.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(end) {
			t.Fatalf("condition not reached: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// hasError reports whether the error wraps one of the type.
func hasError[T error](err error) bool {
	var as T
	return errors.As(err, &as)
}

func explain(key string) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ExplainAsk{ExplainAsk: &peerpb.ExplainAsk{Key: key}}}
}
