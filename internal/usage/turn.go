package usage

// Turn is a request's rank among the requests of all VMs; the lowest goes first.
// The high bits are the request's priority and the others are random. The time
// that a request has waited is not part of it, because VMs receive each other's
// reports with different delays and would disagree about it.
type Turn = uint32

const (
	// turnBits is the number of random bits of a turn.
	turnBits = 28
	// lowestPriority is the largest priority number that a turn can hold.
	lowestPriority = 1<<(32-turnBits) - 1
)

// NewTurn makes a turn from a priority, of which the lowest number goes first,
// and a random number.
func NewTurn(priority int, drawn uint32) Turn {
	return uint32(min(max(priority, 0), lowestPriority))<<turnBits | drawn>>(32-turnBits)
}

// PriorityOf returns the priority of a turn.
func PriorityOf(turn Turn) int { return int(turn >> turnBits) }

// RankOf returns the part of the turns of its priority that go before a turn.
func RankOf(turn Turn) float64 { return float64(turn&(1<<turnBits-1)) / (1 << turnBits) }
