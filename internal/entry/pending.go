package entry

import (
	"context"
	"fmt"
	"sync"
)

// pending matches replies to the requests that wait for them. Each request has a
// number. The zero value is ready to use.
type pending[Reply any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan Reply
}

// open registers a request. The caller must call wait, which removes it.
func (pd *pending[Reply]) open() uint64 {
	pd.mu.Lock()
	defer pd.mu.Unlock()
	if pd.waiting == nil {
		pd.waiting = make(map[uint64]chan Reply)
	}
	pd.lastID++
	pd.waiting[pd.lastID] = make(chan Reply, 1)
	return pd.lastID
}

// resolve delivers a reply, also before wait is called. A reply without a waiting request,
// and any but the first, is dropped.
func (pd *pending[Reply]) resolve(number uint64, reply Reply) {
	pd.mu.Lock()
	defer pd.mu.Unlock()
	select {
	case pd.waiting[number] <- reply:
	default:
	}
}

// wait returns the reply, or the error of a context that ends first, and removes the request.
func (pd *pending[Reply]) wait(ctx context.Context, number uint64) (Reply, error) {
	pd.mu.Lock()
	ch := pd.waiting[number]
	pd.mu.Unlock()
	defer pd.remove(number)
	select {
	case reply := <-ch:
		return reply, nil
	case <-ctx.Done():
		var none Reply
		return none, fmt.Errorf("wait for reply %d: %w", number, context.Cause(ctx))
	}
}

func (pd *pending[Reply]) remove(number uint64) {
	pd.mu.Lock()
	defer pd.mu.Unlock()
	delete(pd.waiting, number)
}
