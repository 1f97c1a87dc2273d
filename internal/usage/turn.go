package usage

// Turn is a request's place in the order of all VMs; the lowest goes first. Its high
// bits are the request's priority, and the rest is drawn by chance: what VMs know of
// the time that a request has waited differs by the way of their words.
type Turn = uint32

const (
	// turnBits of a turn are drawn.
	turnBits = 28
	// lowestPriority is the last that is told apart.
	lowestPriority = 1<<(32-turnBits) - 1
)

// NewTurn makes a turn of a priority, of which the lowest number goes first, and a
// number that was drawn.
func NewTurn(priority int, drawn uint32) Turn {
	return uint32(min(max(priority, 0), lowestPriority))<<turnBits | drawn>>(32-turnBits)
}

// PriorityOf is the priority of a turn.
func PriorityOf(turn Turn) int { return int(turn >> turnBits) }
