package main

import (
	"fmt"
	"net"
	"sync"
)

// silencer passes connections on. Those that are open at a moment can go silent for good,
// without a reset, while new ones work.
type silencer struct {
	ln net.Listener
	to string

	mu   sync.Mutex
	open []*silentPair
}

// silentPair is a connection that is passed on.
type silentPair struct {
	near, far net.Conn

	mu     sync.Mutex
	silent bool
}

func newSilencer(to string) (*silencer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen in front of %s: %w", to, err)
	}
	sl := &silencer{ln: ln, to: to}
	go sl.run()
	return sl, nil
}

func (sl *silencer) address() string { return sl.ln.Addr().String() }

func (sl *silencer) run() {
	for {
		near, err := sl.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", sl.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		pair := &silentPair{near: near, far: far}
		sl.mu.Lock()
		sl.open = append(sl.open, pair)
		sl.mu.Unlock()
		go pair.pass(near, far)
		go pair.pass(far, near)
	}
}

// silence makes the connections that are open now silent, and returns their number.
func (sl *silencer) silence() int {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	count := 0
	for _, pair := range sl.open {
		pair.mu.Lock()
		pair.silent = true
		count++
		pair.mu.Unlock()
	}
	return count
}

// pass copies one direction. A silent connection passes on nothing, neither bytes nor its end.
func (pair *silentPair) pass(from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		size, err := from.Read(buf)
		pair.mu.Lock()
		silent := pair.silent
		pair.mu.Unlock()
		if silent {
			return
		}
		if size > 0 {
			if _, errWrite := to.Write(buf[:size]); errWrite != nil {
				err = errWrite
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}
