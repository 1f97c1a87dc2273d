package ingress

import (
	"container/list"
	"net/netip"
)

type (
	// places are the connections of a Listener. They are guarded by its lock.
	places struct {
		open    int
		sources map[netip.Addr]*source
	}

	// source is a client's IP address.
	source struct {
		address netip.Addr
		open    int
		waiting list.List // its connections that wait for a request, or for more of one; longest first
	}

	// place is what a connection has of the places.
	place struct {
		source  *source
		waiting *list.Element // nil: its request was received
		left    bool
	}
)

// enter gives a connection a place. If there is none, a connection that waits for its client
// yields its own: the one that waits longest, of the address that has most of them. Without
// one there is no place.
func (ps *places) enter(cn *Conn, address netip.Addr, most, mostOfOne int) (yields *Conn, ok bool) {
	src := ps.sources[address]
	if src == nil {
		src = &source{address: address}
	}
	switch {
	case mostOfOne > 0 && src.open >= mostOfOne:
		yields = src.longest()
	case most > 0 && ps.open >= most:
		yields = ps.longest()
	default:
		ps.add(cn, src)
		return nil, true
	}
	if yields == nil {
		return nil, false
	}
	ps.leave(yields)
	ps.add(cn, src)
	return yields, true
}

func (ps *places) add(cn *Conn, src *source) {
	if ps.sources == nil {
		ps.sources = make(map[netip.Addr]*source)
	}
	ps.sources[src.address] = src
	ps.open++
	src.open++
	cn.place = place{source: src, waiting: src.waiting.PushBack(cn)}
}

// longest returns the connection that waits longest of the address that has most of them.
func (ps *places) longest() *Conn {
	var most *source
	for _, src := range ps.sources {
		if most == nil || src.waiting.Len() > most.waiting.Len() {
			most = src
		}
	}
	if most == nil {
		return nil
	}
	return most.longest()
}

func (src *source) longest() *Conn {
	if el := src.waiting.Front(); el != nil {
		return el.Value.(*Conn)
	}
	return nil
}

// begin records that a connection's request was received, and reports false if it has
// yielded its place.
func (ps *places) begin(cn *Conn) bool {
	pl := &cn.place
	if pl.left {
		return false
	}
	if pl.waiting != nil {
		pl.source.waiting.Remove(pl.waiting)
		pl.waiting = nil
	}
	return true
}

// wait records that a connection waits from now on, and reports false if it has yielded its
// place.
func (ps *places) wait(cn *Conn) bool {
	if !ps.begin(cn) {
		return false
	}
	cn.place.waiting = cn.place.source.waiting.PushBack(cn)
	return true
}

// leave gives the place of a connection back. It may be called more than once.
func (ps *places) leave(cn *Conn) {
	if !ps.begin(cn) {
		return
	}
	src := cn.place.source
	cn.place.left = true
	ps.open--
	if src.open--; src.open == 0 {
		delete(ps.sources, src.address)
	}
}
