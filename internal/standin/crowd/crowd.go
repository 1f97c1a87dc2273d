// Package crowd plays clients that do not keep to a protocol: many connections that send
// heads without end, heads made of very many lines, or nothing at all. It also reads what
// the process that serves them takes of its machine.
//
// A connection that the server closes is opened again, as clients do that ignore every
// refusal.
//
// # Usage
//
//	hd := crowd.Head{Method: "GET", Target: "/", Host: "h", Size: 16 << 10}
//	cr := crowd.Crowd{Address: "127.0.0.1:8080", Connections: 400,
//		Once: func(int) []byte { return hd.ShortLines() }}
//	ctx, leave := context.WithTimeout(context.Background(), 4*time.Second)
//	defer leave()
//	cr.Run(ctx)
//	peak, err := crowd.PeakMemory(pid)
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// returnPause is between the end of a connection and the next one of the same client.
	returnPause = 500 * time.Millisecond
	// repeatPause is between two pieces of what a client sends without end.
	repeatPause = 2 * time.Millisecond
)

// Crowd is a number of clients of one address, all from one address of their own.
type Crowd struct {
	Address     string
	Connections int
	// Once returns what is sent first on a connection; nil: nothing. The number is that of
	// the connection among all of the crowd.
	Once func(number int) []byte
	// Repeat is sent without end after that; empty: nothing.
	Repeat []byte
}

// Run holds the connections until the context ends.
func (cr Crowd) Run(ctx context.Context) {
	var all sync.WaitGroup
	for first := range cr.Connections {
		all.Go(func() {
			for number := first; ctx.Err() == nil; number += cr.Connections {
				cr.connect(ctx, number)
				wait(ctx, returnPause)
			}
		})
	}
	all.Wait()
}

// Start runs the crowd in the background. It leaves when the returned function is called,
// which waits for that.
func (cr Crowd) Start(ctx context.Context) (leave func()) {
	ctx, end := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { cr.Run(ctx) })
	return func() {
		end()
		running.Wait()
	}
}

// connect plays one connection, until the server closes it or the context ends. Its errors
// are the server's right.
func (cr Crowd) connect(ctx context.Context, number int) {
	cn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", cr.Address)
	if err != nil {
		return
	}
	ctx, end := context.WithCancel(ctx)
	var reading sync.WaitGroup
	reading.Go(func() {
		_, _ = io.Copy(io.Discard, cn)
		end()
	})
	closed := context.AfterFunc(ctx, func() { _ = cn.Close() })
	defer reading.Wait()
	defer closed()
	defer cn.Close()
	defer end()
	if cr.Once != nil {
		if _, err := cn.Write(cr.Once(number)); err != nil {
			return
		}
	}
	for len(cr.Repeat) > 0 && ctx.Err() == nil {
		if _, err := cn.Write(cr.Repeat); err != nil {
			return
		}
		wait(ctx, repeatPause)
	}
	<-ctx.Done()
}

func wait(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
