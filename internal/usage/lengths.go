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
	// of the runs of an engine. Their growth stays below it in 39 of 40 cases.
	growthDeviations = 2.0
)

type (
	// lengths records, for each route, the lengths of answers relative to their
	// callers' estimates. The zero value holds the prior alone.
	lengths struct {
		routes map[string]*ratios
		all    ratios
	}

	// ratios holds the moments of lengths over estimates.
	ratios struct {
		weight, sum, squares float64
	}
)

// observe records the length of a completed answer and its caller's estimate.
func (ls *lengths) observe(route string, estimate, generated int) {
	if estimate <= 0 || generated <= 0 {
		return
	}
	if ls.routes == nil {
		ls.routes = make(map[string]*ratios)
	}
	if ls.routes[route] == nil {
		ls.routes[route] = &ratios{}
	}
	ratio := float64(generated) / float64(estimate)
	ls.routes[route].add(ratio)
	ls.all.add(ratio)
}

// mean returns the expected ratio of an answer's length to its caller's estimate
// for a route; for a route without answers, that of all routes.
func (ls *lengths) mean(route string) float64 {
	rt := ls.routes[route]
	if rt == nil {
		rt = &ls.all
	}
	return rt.mean()
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
