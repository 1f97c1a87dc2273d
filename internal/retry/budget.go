package retry

import "alderdyke/pkg/clock"

// maxBudgets is the number of budgets after which those that are full again
// are dropped, for a full one is the same as a new one.
const maxBudgets = 4096

type (
	// account names a budget.
	account struct{ customer, service string }

	// bucket holds retries that were earned and not spent.
	bucket struct {
		tokens float64
		at     clock.Millis // up to when it was refilled
	}
)

// bucket returns the budget refilled up to now. A new one is full, or holds what was
// earned since the clock's start.
func (po *Policy) bucket(now clock.Millis, ac account) *bucket {
	bk := po.budgets[ac]
	if bk == nil {
		if len(po.budgets) >= maxBudgets {
			po.dropFull(now)
		}
		bk = &bucket{tokens: po.Settings.Burst, at: now}
		if po.Settings.StartEmpty {
			bk = &bucket{}
		}
		po.budgets[ac] = bk
	}
	bk.refill(now, po.Settings)
	return bk
}

func (po *Policy) dropFull(now clock.Millis) {
	for ac, bk := range po.budgets {
		bk.refill(now, po.Settings)
		if bk.tokens >= po.Settings.Burst {
			delete(po.budgets, ac)
		}
	}
}

// refill adds what the time since the last refill earns.
func (bk *bucket) refill(now clock.Millis, st Settings) {
	if now <= bk.at {
		return
	}
	bk.earn(st.Refill*float64(now-bk.at)/float64(clock.Second), st.Burst)
	bk.at = now
}

func (bk *bucket) earn(part, most float64) { bk.tokens = min(bk.tokens+part, most) }

func (bk *bucket) spend(cost float64) bool {
	if bk.tokens < cost {
		return false
	}
	bk.tokens -= cost
	return true
}
