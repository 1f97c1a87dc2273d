package pool

import (
	"math"

	"alderdyke/pkg/clock"
)

const (
	// paceDecay is what earlier observations weigh against a new one: about
	// twenty count.
	paceDecay = 0.95
	// minSizeSpread is the standard deviation of sizes, over their mean, from which
	// a constant part can be told from one that grows with the size.
	minSizeSpread = 0.2
	// minGrowthPart is the part of the mean time by size that at least grows with the
	// size: large work does not take as long as small, whatever a few showed.
	minGrowthPart = 0.5
)

// pace is how long work takes by its size: a constant part and one that grows
// with the size, as observed of late. The zero value knows nothing.
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

// estimate is how long work of a size takes; zero if none was observed.
func (pc pace) estimate(size int) clock.Millis {
	if pc.weight == 0 {
		return 0
	}
	growth := pc.slope()
	constant := (pc.times - growth*pc.sizes) / pc.weight
	return clock.Millis(math.Ceil(constant + growth*float64(size)))
}

// slope is by how many milliseconds work takes longer for each unit of its
// size; zero if that was not observed.
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
