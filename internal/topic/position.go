package topic

// eraShift leaves room for 10^12 records of a topic in one era. It also leaves 8,000 eras
// below 2^53, the limit for integers such as fencing tokens that are sent as numbers
// between programs.
const eraShift = 40

// Position combines an era and an offset into a number that never decreases along a
// topic. A store that is restored from an older copy assigns offsets again; it then
// starts a new era, and every position of a later era is higher.
func Position(era, offset uint64) uint64 { return era<<eraShift | offset }

// EraOf returns the era of a position.
func EraOf(pos uint64) uint64 { return pos >> eraShift }

// OffsetOf returns the offset of a position within its era.
func OffsetOf(pos uint64) uint64 { return pos & (1<<eraShift - 1) }
