package ingress

import (
	"cmp"
	"container/list"
	"net/netip"
)

type (
	// places are the connections of a Listener. They are guarded by its lock.
	places struct {
		open    int
		sources map[netip.Addr]*source
	}

	// source is a client's IP address. Of its connections those that may yield are listed,
	// the one that waits longest first.
	source struct {
		address   netip.Addr
		open      int
		waiting   list.List // for a head
		receiving list.List // the rest of a body
	}

	// place is what a connection has of the places.
	place struct {
		source  *source
		list    *list.List // of the source; nil: its request is in progress
		element *list.Element
		left    bool
	}
)

// enter gives a connection a place. If there is none, a connection that waits for a head
// yields its own, or else one that waits for the rest of a body: the one that waits longest,
// of the address that has most of them. Without one there is no place.
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
	cn.place = place{source: src}
	cn.place.move(cn, &src.waiting)
}

// longest returns the connection that is to yield.
func (ps *places) longest() *Conn {
	var waiting, receiving *source // with most of them
	for _, src := range ps.sources {
		if waiting == nil || src.waiting.Len() > waiting.waiting.Len() {
			waiting = src
		}
		if receiving == nil || src.receiving.Len() > receiving.receiving.Len() {
			receiving = src
		}
	}
	switch {
	case waiting == nil:
		return nil
	case waiting.waiting.Len() > 0:
		return waiting.longest()
	default:
		return receiving.longest()
	}
}

// longest returns the connection of the source that is to yield.
func (src *source) longest() *Conn {
	el := cmp.Or(src.waiting.Front(), src.receiving.Front())
	if el == nil {
		return nil
	}
	return el.Value.(*Conn)
}

// move puts a connection at the end of a list; nil: of none. It reports false if the
// connection has yielded its place.
func (pl *place) move(cn *Conn, to *list.List) bool {
	if pl.left {
		return false
	}
	if pl.list != nil {
		pl.list.Remove(pl.element)
	}
	if pl.list = to; to != nil {
		pl.element = to.PushBack(cn)
	}
	return true
}

// leave gives the place of a connection back. It may be called more than once.
func (ps *places) leave(cn *Conn) {
	if !cn.place.move(cn, nil) {
		return
	}
	src := cn.place.source
	cn.place.left = true
	ps.open--
	if src.open--; src.open == 0 {
		delete(ps.sources, src.address)
	}
}
