package usage

import "math"

const (
	// improbable is the probability of an answer as long as what a run has already
	// generated, below which the moments of the rest are taken from the tail of the
	// distribution: differences of nearly equal numbers lose their digits there.
	improbable = 1e-6
	// minDeviation marks a run whose rest is known: zero would mean unknown.
	minDeviation = 1
)

type (
	// Output is what is known of the length of a run's answer, in tokens.
	Output struct {
		Route     string
		Estimate  int // of the caller; zero: none
		Most      int // that the caller accepts, after which the engine ends the run; zero: unlimited
		Generated int // so far
	}

	// fits holds, for each route, how the lengths of answers depend on their
	// estimates. The zero value holds the prior alone.
	fits struct {
		routes map[string]*fit
		all    fit
	}

	// fit is a linear regression of the logarithm of an answer's length over its
	// estimate on the logarithm of the estimate. Estimates that err by a factor
	// exceed the usual length mostly because they err, so a high estimate is followed
	// by an answer that is shorter than estimated, and the regression leaves a
	// smaller deviation than the ratio of the two. The zero value holds the prior.
	fit struct {
		weight, sumX, sumY, sumXX, sumXY, sumYY float64
	}

	// logNormal is a distribution of lengths.
	logNormal struct {
		location, scale float64 // mean and standard deviation of the logarithm
	}
)

// observe records the length of a completed answer and its caller's estimate.
func (fs *fits) observe(route string, estimate, generated int) {
	if estimate <= 0 || generated <= 0 {
		return
	}
	if fs.routes == nil {
		fs.routes = make(map[string]*fit)
	}
	if fs.routes[route] == nil {
		fs.routes[route] = &fit{}
	}
	xx := math.Log(float64(estimate))
	yy := math.Log(float64(generated)) - xx
	fs.routes[route].add(xx, yy)
	fs.all.add(xx, yy)
}

// of returns the distribution of the length of an answer of a route; for a route
// without answers, by those of all routes.
func (fs *fits) of(route string, estimate int) logNormal {
	if ft := fs.routes[route]; ft != nil {
		return ft.predict(estimate)
	}
	return fs.all.predict(estimate)
}

func (ft *fit) add(xx, yy float64) {
	if ft.weight >= maxWeight {
		part := maxWeight / (maxWeight + 1.0)
		*ft = fit{part * ft.weight, part * ft.sumX, part * ft.sumY, part * ft.sumXX, part * ft.sumXY, part * ft.sumYY}
	}
	ft.weight++
	ft.sumX += xx
	ft.sumY += yy
	ft.sumXX += xx * xx
	ft.sumXY += xx * yy
	ft.sumYY += yy * yy
}

// predict returns the distribution for an estimate. The prior, by which lengths are
// proportional to their estimates, counts as priorWeight answers.
func (ft *fit) predict(estimate int) logNormal {
	priorVariance := math.Log(1 + priorSpread*priorSpread)
	priorOffset := math.Log(priorMean) - priorVariance/2
	all := ft.weight + priorWeight
	offset := (ft.sumY + priorWeight*priorOffset) / all
	var meanX, slope, explained float64
	if ft.weight > 0 {
		meanX = ft.sumX / ft.weight
		varX := max(0, ft.sumXX-ft.sumX*meanX) + priorWeight*priorVariance
		covariance := ft.sumXY - ft.sumY*meanX
		slope = covariance / varX
		explained = slope * covariance
	}
	squares := ft.sumYY + priorWeight*(priorVariance+priorOffset*priorOffset) - all*offset*offset
	variance := max(0, squares-explained) / all
	xx := math.Log(float64(estimate))
	return logNormal{location: xx + offset + slope*(xx-meanX), scale: math.Sqrt(variance)}
}

// Remaining returns the expected number of tokens that a run still generates, and
// its standard deviation. A run without an estimate is expected to generate all
// that its caller accepts.
func (le *Ledger) Remaining(out Output) (left, deviation int) {
	most := math.Inf(1)
	if out.Most > 0 {
		most = float64(max(0, out.Most-out.Generated))
	}
	if out.Estimate <= 0 {
		if out.Most <= 0 {
			return 0, 0
		}
		return int(most), minDeviation
	}
	mean, dev := le.fits.of(out.Route, out.Estimate).remaining(float64(out.Generated), most)
	return int(mean + 0.5), max(minDeviation, int(dev+0.5))
}

// remaining returns the mean and the standard deviation of what is left of a length
// of which a part is reached, if no more than most is left.
func (ln logNormal) remaining(reached, most float64) (mean, deviation float64) {
	if ln.scale == 0 {
		return min(most, max(0, math.Exp(ln.location)-reached)), 0
	}
	longer := ln.above(reached, 0)
	if longer < improbable {
		// The tail beyond a length falls off like an exponential distribution.
		mean = min(most, reached*ln.scale/ln.standard(reached))
		return mean, mean
	}
	end := reached + most
	capped := ln.above(end, 0)
	first, second := ln.partial(reached, end, 1), ln.partial(reached, end, 2)
	if capped > 0 {
		first += end * capped
		second += end * end * capped
	}
	first, second = first/longer, second/longer
	mean = min(most, max(0, first-reached))
	return mean, math.Sqrt(max(0, second-first*first))
}

// standard returns a length in standard deviations of the logarithm.
func (ln logNormal) standard(length float64) float64 {
	return (math.Log(length) - ln.location) / ln.scale
}

// above returns the part of the moment of an order that lies above a length; order
// zero gives the probability, relative to the whole moment.
func (ln logNormal) above(length float64, order float64) float64 {
	if length <= 0 {
		return 1
	}
	if math.IsInf(length, 1) {
		return 0
	}
	return math.Erfc((ln.standard(length)-order*ln.scale)/math.Sqrt2) / 2
}

// partial returns the moment of an order between two lengths.
func (ln logNormal) partial(from, to, order float64) float64 {
	whole := math.Exp(order*ln.location + order*order*ln.scale*ln.scale/2)
	return whole * (ln.above(from, order) - ln.above(to, order))
}
