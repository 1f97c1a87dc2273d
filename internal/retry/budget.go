package retry

import "alderdyke/pkg/clock"

// maxBudgets is the number of budgets at which full ones are dropped. A full budget
// equals a new one, so nothing is lost.
const maxBudgets = 4096

type (
	// account identifies a budget.
	account struct{ customer, service string }

	// bucket holds the retries that were earned and not spent.
	bucket struct {
		tokens float64
		at     clock.Millis // last refill
	}
)

// bucket returns the budget refilled up to now. A new one is full, or with
// Settings.StartEmpty holds what was earned since the clock's start.
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

// dropFull removes the budgets that are full now.
func (po *Policy) dropFull(now clock.Millis) {
	for ac, bk := range po.budgets {
		bk.refill(now, po.Settings)
		if bk.tokens >= po.Settings.Burst {
			delete(po.budgets, ac)
		}
	}
}

// refill adds what was earned over the time since the last refill.
func (bk *bucket) refill(now clock.Millis, st Settings) {
	if now <= bk.at {
		return
	}
	bk.earn(st.Refill*float64(now-bk.at)/float64(clock.Second), st.Burst)
	bk.at = now
}

// earn adds a number of retries, which need not be whole, up to a largest number.
func (bk *bucket) earn(part, most float64) { bk.tokens = min(bk.tokens+part, most) }

// spend takes the cost and reports whether the bucket held enough; otherwise nothing is
// taken.
func (bk *bucket) spend(cost float64) bool {
	if bk.tokens < cost {
		return false
	}
	bk.tokens -= cost
	return true
}
