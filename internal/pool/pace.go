package pool

import (
	"math"

	"alderdyke/pkg/clock"
)

const (
	// paceDecay is the factor that each new observation applies to the weight of
	// earlier ones. At 0.95 about the last twenty observations count.
	paceDecay = 0.95
	// minSizeSpread is the relative standard deviation of sizes above which the
	// constant part of the time can be separated from the part that grows with
	// the size.
	minSizeSpread = 0.2
	// minGrowthPart is the smallest part of the mean time per unit of size that
	// is attributed to the size. Large work never takes as long as small work,
	// even if a few observations suggest it.
	minGrowthPart = 0.5
)

// pace models the duration of work as a constant part plus a part proportional
// to its size, fitted to recent observations. The zero value has no
// observations.
type pace struct{ weight, sizes, times, squares, products float64 }

func (pc *pace) add(size int, took clock.Millis) {
	sz, tm := float64(size), float64(max(took, 1))
	for _, term := range []struct {
		sum *float64
		val float64
	}{{&pc.weight, 1}, {&pc.sizes, sz}, {&pc.times, tm}, {&pc.squares, sz * sz}, {&pc.products, sz * tm}} {
		*term.sum = paceDecay**term.sum + term.val
	}
}

// estimate returns the expected duration of work of the given size, or zero if
// nothing was observed.
func (pc pace) estimate(size int) clock.Millis {
	if pc.weight == 0 {
		return 0
	}
	growth := pc.slope()
	constant := (pc.times - growth*pc.sizes) / pc.weight
	return clock.Millis(math.Ceil(constant + growth*float64(size)))
}

// slope returns by how many milliseconds the duration grows per unit of size,
// or zero if no size was observed.
func (pc pace) slope() float64 {
	if pc.sizes == 0 {
		return 0
	}
	meanSize, meanTime := pc.sizes/pc.weight, pc.times/pc.weight
	variance := pc.squares/pc.weight - meanSize*meanSize
	growth := meanTime / meanSize
	if variance > minSizeSpread*minSizeSpread*meanSize*meanSize {
		covariance := pc.products/pc.weight - meanSize*meanTime
		growth = min(growth, max(minGrowthPart*growth, covariance/variance))
	}
	return growth
}
