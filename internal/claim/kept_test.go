package claim

// keptOrders are orders of events in which a guard is missed when it is taken
// away: the kind of move and the index of the message, VM or asker.
var keptOrders = []struct {
	name     string
	without  guard
	scenario string
	order    string
}{
	{"Majority", guardMajority, "TwoAskersTimeoutCrash", ""},
	{"Covers", guardCovers, "ReplacedBehind", ""},
	{"Handoffs", guardHandoffs, "Replaced", ""},
	{"Whole", guardWhole, "ReplacedTwice", ""},
	{"Doubt", guardDoubt, "Replaced", ""},
}
