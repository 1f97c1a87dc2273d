package sched

import "container/heap"

type (
	// ranking is a heap of engines by score, lowest first. The best engine is found
	// without looking at the others, and an update takes logarithmic time. The zero
	// value is empty.
	ranking struct {
		items []*ranked
		where map[*engine]*ranked
		steps *int // counts comparisons; tests bound its growth
	}

	ranked struct {
		eng   *engine
		score float64
		index int
	}
)

// set inserts the engine or updates its score.
func (rk *ranking) set(eng *engine, score float64) {
	if rk.where == nil {
		rk.where = make(map[*engine]*ranked)
	}
	if it, ok := rk.where[eng]; ok {
		if it.score != score {
			it.score = score
			heap.Fix(rk, it.index)
		}
		return
	}
	it := &ranked{eng: eng, score: score}
	rk.where[eng] = it
	heap.Push(rk, it)
}

// remove removes the engine if present.
func (rk *ranking) remove(eng *engine) {
	if it, ok := rk.where[eng]; ok {
		heap.Remove(rk, it.index)
		delete(rk.where, eng)
	}
}

// best returns the engine with the lowest score, or nil.
func (rk *ranking) best() *engine {
	if len(rk.items) == 0 {
		return nil
	}
	return rk.items[0].eng
}

// Len implements heap.Interface.
func (rk *ranking) Len() int { return len(rk.items) }

// Less orders by score and then by ID, so that replays are deterministic.
func (rk *ranking) Less(ia, ib int) bool {
	if rk.steps != nil {
		*rk.steps++
	}
	ra, rb := rk.items[ia], rk.items[ib]
	if ra.score != rb.score {
		return ra.score < rb.score
	}
	return ra.eng.id < rb.eng.id
}

// Swap implements heap.Interface.
func (rk *ranking) Swap(ia, ib int) {
	rk.items[ia], rk.items[ib] = rk.items[ib], rk.items[ia]
	rk.items[ia].index, rk.items[ib].index = ia, ib
}

// Push implements heap.Interface.
func (rk *ranking) Push(val any) {
	it := val.(*ranked)
	it.index = len(rk.items)
	rk.items = append(rk.items, it)
}

// Pop implements heap.Interface.
func (rk *ranking) Pop() any {
	last := rk.items[len(rk.items)-1]
	rk.items = rk.items[:len(rk.items)-1]
	return last
}
