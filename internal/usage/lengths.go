package usage

import "math"

const (
	// priorMean and priorSpread describe answers before any was observed: the mean
	// ratio of an answer's length to its caller's estimate, and the standard
	// deviation of the ratio relative to that mean. They hold if estimates are
	// right in the median and lengths are log-normal with a deviation of a half.
	priorMean   = 1.13
	priorSpread = 0.53
	// priorWeight is the number of answers that the prior counts for. After
	// maxWeight answers, older ones begin to count less. Twenty answers give the
	// spread to within a sixth of its value.
	priorWeight = 20
	maxWeight   = 400
	// growthDeviations is the margin, in standard deviations, on the joint growth
	// of runs that were reported without a deviation. Their growth stays below it in
	// 39 of 40 cases.
	growthDeviations = 2.0
)

type (
	// lengths records the lengths of answers relative to their callers' estimates.
	// The zero value holds the prior alone.
	lengths struct{ all ratios }

	// ratios holds the moments of lengths over estimates.
	ratios struct {
		weight, sum, squares float64
	}
)

// observe records the length of a completed answer and its caller's estimate.
func (ls *lengths) observe(estimate, generated int) {
	if estimate <= 0 || generated <= 0 {
		return
	}
	ls.all.add(float64(generated) / float64(estimate))
}

// spread returns the standard deviation of the ratio over its mean.
func (ls *lengths) spread() float64 { return ls.all.spread() }

func (rt *ratios) add(ratio float64) {
	if rt.weight >= maxWeight {
		part := maxWeight / (maxWeight + 1.0)
		rt.weight, rt.sum, rt.squares = part*rt.weight, part*rt.sum, part*rt.squares
	}
	rt.weight++
	rt.sum += ratio
	rt.squares += ratio * ratio
}

func (rt *ratios) mean() float64 {
	return (rt.sum + priorWeight*priorMean) / (rt.weight + priorWeight)
}

func (rt *ratios) spread() float64 {
	mean := rt.mean()
	priorSquare := priorMean * priorMean * (1 + priorSpread*priorSpread)
	square := (rt.squares + priorWeight*priorSquare) / (rt.weight + priorWeight)
	return math.Sqrt(max(0, square-mean*mean)) / mean
}
