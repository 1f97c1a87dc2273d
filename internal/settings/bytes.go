package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Common sizes.
const (
	KiB Bytes = 1 << 10
	MiB       = 1 << 10 * KiB
	GiB       = 1 << 10 * MiB
)

var units = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// Bytes is a size in bytes, written as 512B, 64KiB, 8MiB or 1GiB.
type Bytes int64

// String returns the size as a whole number of the largest possible unit.
func (by Bytes) String() string {
	for _, un := range units {
		if by != 0 && by%un.size == 0 {
			return strconv.FormatInt(int64(by/un.size), 10) + un.suffix
		}
	}
	return strconv.FormatInt(int64(by), 10) + "B"
}

// MarshalText returns the form that UnmarshalText parses.
func (by Bytes) MarshalText() ([]byte, error) { return []byte(by.String()), nil }

// UnmarshalText parses a size such as "8MiB".
func (by *Bytes) UnmarshalText(text []byte) error {
	for _, un := range units {
		digits, ok := strings.CutSuffix(string(text), un.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || count > math.MaxInt64/uint64(un.size) {
			break
		}
		*by = Bytes(count) * un.size
		return nil
	}
	return fmt.Errorf("size %q: write a whole number with a unit such as 64KiB or 8MiB", text)
}
