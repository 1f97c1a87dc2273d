package entry

import "sync"

// signal notifies any number of waiters of a change. The zero value is ready to
// use.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next raise.
func (sg *signal) wait() <-chan struct{} {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if sg.ch == nil {
		sg.ch = make(chan struct{})
	}
	return sg.ch
}

// raise wakes all waiters.
func (sg *signal) raise() {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if sg.ch != nil {
		close(sg.ch)
		sg.ch = nil
	}
}
