package usage

import "math"

const (
	// priorMean and priorSpread stand for what is not observed yet: the mean
	// of an answer's length over its caller's guess, and its standard
	// deviation over that mean, where guesses are right in the median and
	// lengths spread around them by a half on the scale of logarithms.
	priorMean   = 1.13
	priorSpread = 0.53
	// priorWeight is the answers that the prior counts for, and maxWeight
	// those after which older ones begin to count less: the spread of 20
	// answers is known to a sixth of itself.
	priorWeight = 20
	maxWeight   = 400
	// growthDeviations is how many standard deviations the runs of an engine
	// may together exceed their expected growth by: 39 in 40 times they
	// stay below.
	growthDeviations = 2.0
)

type (
	// lengths is how long the answers of each route came out against their
	// callers' guesses. The zero value knows the prior alone.
	lengths struct {
		routes map[string]*ratios
		all    ratios
	}

	// ratios are the moments of lengths over guesses.
	ratios struct {
		weight, sum, squares float64
	}
)

// observe notes an answer that came to its end.
func (ls *lengths) observe(route string, guess, generated int) {
	if guess <= 0 || generated <= 0 {
		return
	}
	if ls.routes == nil {
		ls.routes = make(map[string]*ratios)
	}
	if ls.routes[route] == nil {
		ls.routes[route] = &ratios{}
	}
	ratio := float64(generated) / float64(guess)
	ls.routes[route].add(ratio)
	ls.all.add(ratio)
}

// mean is the expected length of an answer of the route over its guess.
func (ls *lengths) mean(route string) float64 {
	rt := ls.routes[route]
	if rt == nil {
		rt = &ls.all
	}
	return rt.mean()
}

// spread is the standard deviation of an answer's length over its mean.
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
