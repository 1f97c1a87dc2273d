package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"alderdyke/internal/backend"
	wire "alderdyke/internal/engine"
	"alderdyke/internal/standin"
)

const maxCacheEvents = 4096 // number of newest events that are kept

type (
	// prefixCache holds blocks of prompts and evicts the least recently used
	// one when it is full. It is guarded by the engine's mutex.
	prefixCache struct {
		limit      int           // maximum number of blocks
		lag        time.Duration // delay until an event becomes visible
		loss       float64       // fraction of events that are lost
		rng        *rand.Rand
		blocks     map[uint64]*block // by prefix hash
		uses       uint64            // number of calls of match and store so far
		lastNumber uint64            // number of the newest event
		events     []delayedEvent    // oldest first
	}

	block struct {
		used   uint64 // value of uses when the block was last used
		tokens int    // tokens from the start of the prompt to the end of the block
	}

	delayedEvent struct {
		at time.Time // when it becomes visible
		ev wire.CacheEvent
	}
)

// match returns how many blocks from the start are cached, and marks them as used.
func (pc *prefixCache) match(prefixes []uint64) int {
	pc.uses++
	for ix, prefix := range prefixes {
		bl, ok := pc.blocks[prefix]
		if !ok {
			return ix
		}
		bl.used = pc.uses
	}
	return len(prefixes)
}

// store adds the blocks of a prompt, each of which holds the given number of
// tokens.
func (pc *prefixCache) store(prefixes []uint64, tokens int, now time.Time) {
	if pc.blocks == nil {
		pc.blocks = map[uint64]*block{}
	}
	pc.uses++
	for ix, prefix := range prefixes[:min(len(prefixes), pc.limit)] {
		if bl, ok := pc.blocks[prefix]; ok {
			bl.used = pc.uses
			continue
		}
		if len(pc.blocks) >= pc.limit {
			pc.evict(now)
		}
		pc.blocks[prefix] = &block{used: pc.uses, tokens: (ix + 1) * tokens}
		pc.addEvent(wire.Stored, prefix, now)
	}
}

// evict removes the least recently used block.
func (pc *prefixCache) evict(now time.Time) {
	var oldest uint64
	least := pc.uses + 1
	for prefix, bl := range pc.blocks {
		if bl.used < least || bl.used == least && prefix < oldest {
			oldest, least = prefix, bl.used
		}
	}
	pc.addEvent(wire.Evicted, oldest, now)
	delete(pc.blocks, oldest)
}

func (pc *prefixCache) addEvent(kind wire.CacheKind, prefix uint64, now time.Time) {
	pc.lastNumber++
	if pc.loss > 0 && pc.rng.Float64() < pc.loss {
		return
	}
	ev := wire.CacheEvent{Number: pc.lastNumber, Kind: kind, Prefix: prefix, Tokens: pc.blocks[prefix].tokens}
	pc.events = append(pc.events, delayedEvent{at: now.Add(pc.lag), ev: ev})
	if over := len(pc.events) - maxCacheEvents; over > 0 {
		pc.events = pc.events[over:]
	}
}

// visibleEvents returns the events from a number on whose delay has passed.
func (pc *prefixCache) visibleEvents(from uint64, now time.Time) wire.CacheEvents {
	out := wire.CacheEvents{Next: from}
	for _, de := range pc.events {
		if de.at.After(now) {
			break
		}
		if de.ev.Number >= from {
			out.Events = append(out.Events, de.ev)
			out.Next = de.ev.Number + 1
		}
	}
	return out
}

func (en *Engine) serveCacheEvents(rw http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseUint(req.URL.Query().Get("From"), 10, 64)
	if err != nil {
		en.decline(rw, backend.BadOrder, 0)
		return
	}
	en.mu.Lock()
	doc := en.cache.visibleEvents(from, time.Now())
	en.mu.Unlock()
	standin.WriteJSON(rw, doc)
}
