package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

func TestPace(t *testing.T) {
	line := func(size int) clock.Millis { return 40 + clock.Millis(size/50) }
	for _, tc := range []struct {
		name  string
		sizes []int
		size  int
		want  clock.Millis
	}{
		{"nothing observed", nil, 5000, 0},
		{"one observation", []int{5000}, 5000, 140},
		{"same size, in proportion", []int{5000, 5000, 5000}, 10000, 280},
		{"constant part is separated", []int{2000, 5000, 9000, 4000}, 20000, 440},
		{"size zero takes the constant part", []int{2000, 5000, 9000, 4000}, 0, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var pc pace
			for _, size := range tc.sizes {
				pc.add(size, line(size))
			}
			got := pc.estimate(tc.size)
			assert.Assert(t, got >= tc.want-1 && got <= tc.want+1, "%s", got)
		})
	}
	var pc pace
	pc.add(0, 30)
	pc.add(0, 50)
	assert.Assert(t, pc.estimate(0) >= 40 && pc.estimate(0) <= 42, "without sizes the estimate is the mean")
}

func TestPaceAdapts(t *testing.T) {
	var pc pace
	for range 50 {
		pc.add(1000, 100)
	}
	for range 200 {
		pc.add(1000, 200)
	}
	assert.Assert(t, pc.estimate(1000) >= 199, "%s", pc.estimate(1000))
}
