package topic

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

// Guards against a record that counts as written after a time at which it was there already.
func TestEndsOfATopic(t *testing.T) {
	var te topicEnds
	assert.Equal(t, te.before(7), clock.Millis(0))
	te = te.with(10, 1000).with(10, 1800).with(10, 1500).with(14, 2600).with(12, 3000)
	for offset, want := range map[uint64]clock.Millis{9: 0, 10: 1800, 13: 1800, 14: 2600, 90: 2600} {
		assert.Equal(t, te.before(offset), want, "offset %d", offset)
	}
	older := te
	for ix := range uint64(2 * maxEnds) {
		te = te.with(20+ix, clock.Millis(4000+ix))
	}
	assert.Equal(t, len(te), maxEnds)
	assert.Equal(t, te.before(14), clock.Millis(0), "the oldest ends are forgotten")
	assert.Equal(t, older.before(14), clock.Millis(2600))
}
