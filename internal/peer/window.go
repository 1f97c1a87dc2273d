package peer

import (
	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

const (
	// windowBits is how far behind the highest sequence number a datagram may be. A VM
	// uses one sequence for its datagrams to all others, so the window must cover what
	// it sends to other VMs in the meantime.
	windowBits = 256
	wordBits   = 64
)

type (
	// replayWindows records which datagrams were received, as in RFC 4303 section
	// 3.4.3, for each VM in its latest incarnation. It is used by one goroutine.
	replayWindows struct {
		max  int // VMs; the one with the oldest datagram is evicted
		byVM map[string]*replayWindow
	}

	// replayWindow belongs to one VM's latest incarnation.
	replayWindow struct {
		incarnation  uint64
		highest      uint64
		lastReceived clock.Millis
		bits         [windowBits / wordBits]uint64 // ring, indexed by sequence number
	}
)

// check records a datagram. It returns the reason for dropping it if its number is not new
// or its incarnation is not the latest.
func (ws *replayWindows) check(from board.VMRef, sequence uint64, now clock.Millis) verdict {
	wd := ws.byVM[from.ID]
	switch {
	case wd == nil:
		wd = ws.add(from)
	case from.Incarnation < wd.incarnation:
		return droppedStaleIncarnation
	case from.Incarnation > wd.incarnation:
		*wd = replayWindow{incarnation: from.Incarnation}
	}
	if !wd.accept(sequence) {
		return droppedReplayed
	}
	wd.lastReceived = now
	return accepted
}

func (ws *replayWindows) add(from board.VMRef) *replayWindow {
	if ws.byVM == nil {
		ws.byVM = make(map[string]*replayWindow)
	}
	if len(ws.byVM) >= ws.max {
		ws.evict()
	}
	wd := &replayWindow{incarnation: from.Incarnation}
	ws.byVM[from.ID] = wd
	return wd
}

func (ws *replayWindows) evict() {
	var oldest string
	for id, wd := range ws.byVM {
		if oldest == "" || wd.lastReceived < ws.byVM[oldest].lastReceived {
			oldest = id
		}
	}
	delete(ws.byVM, oldest)
}

// accept records a sequence number, and reports whether it is new and less than windowBits
// behind the highest one.
func (wd *replayWindow) accept(sequence uint64) bool {
	if sequence > wd.highest {
		wd.slide(sequence)
	} else if wd.highest-sequence >= windowBits {
		return false
	}
	word, bit := sequence/wordBits%uint64(len(wd.bits)), uint64(1)<<(sequence%wordBits)
	if wd.bits[word]&bit != 0 {
		return false
	}
	wd.bits[word] |= bit
	return true
}

// slide moves the window up to the new highest number and clears the numbers that it now
// covers in addition.
func (wd *replayWindow) slide(sequence uint64) {
	if sequence-wd.highest >= windowBits {
		clear(wd.bits[:])
	} else {
		for num := wd.highest + 1; num <= sequence; num++ {
			wd.bits[num/wordBits%uint64(len(wd.bits))] &^= 1 << (num % wordBits)
		}
	}
	wd.highest = sequence
}
