package clock_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

func TestOf(t *testing.T) {
	assert.Equal(t, clock.Of(1999*time.Microsecond), clock.Millis(1))
	assert.Equal(t, clock.Of(-1999*time.Microsecond), clock.Millis(-1))
	assert.Equal(t, (2 * clock.Second).Std(), 2*time.Second)
}

func TestUnmarshalText(t *testing.T) {
	for _, tc := range []struct {
		text string
		want clock.Millis
		err  string
	}{
		{text: "250ms", want: 250},
		{text: "1m30s", want: 90 * clock.Second},
		{text: "0", want: 0},
		{text: "-2s", want: -2 * clock.Second},
		{text: "1500us", err: "finer than a millisecond"},
		{text: "10", err: "write a number with a unit"},
		{text: "", err: "write a number with a unit"},
	} {
		ms := clock.Millis(7)
		err := ms.UnmarshalText([]byte(tc.text))
		if tc.err != "" {
			assert.ErrorContains(t, err, tc.err, "%q", tc.text)
			assert.Equal(t, ms, clock.Millis(7), "%q was rejected but changed the span", tc.text)
			continue
		}
		assert.NilError(t, err, "%q", tc.text)
		assert.Equal(t, ms, tc.want, "%q", tc.text)
	}
}

func TestOrBoottime(t *testing.T) {
	var mn clock.Manual
	mn.Advance(5)
	assert.Equal(t, clock.OrBoottime(&mn).Now(), clock.Millis(5))
	assert.Equal(t, clock.OrBoottime(nil), clock.Source(clock.Boottime{}))
}

func FuzzUnmarshalText(f *testing.F) {
	for _, text := range []string{"250ms", "1m30s", "-2s", "1500us", "10", "", "9223372036854775807ns"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var ms, again clock.Millis
		if ms.UnmarshalText(text) != nil {
			return
		}
		back, err := ms.MarshalText()
		assert.NilError(t, err)
		assert.NilError(t, again.UnmarshalText(back), "%q was written as %q", text, back)
		assert.Equal(t, again, ms)
	})
}

func ExampleManual() {
	var mn clock.Manual
	mn.Advance(250)
	fmt.Println(mn.Advance(clock.Second))
	// Output: 1.25s
}
