package claim

// violatingOrders are orders of events that lead to a violation if a guard is disabled.
// Each step is a kind of move and the index of the message, VM or asker.
var violatingOrders = []struct {
	name     string
	disabled guard
	scenario string
	order    string
}{
	{"Majority", guardMajority, "TwoAskersTimeoutCrash", "crash 2 timeout 1 deliver 0 deliver 1 deliver 0 deliver 0 deliver 0"},
	{"Covers", guardCovers, "ReplacedBehind", "deliver 0 deliver 1 timeout 0 table 3 deliver 3 deliver 2 table 1 deliver 2 deliver 4 deliver 3 deliver 3 deliver 1 deliver 1 deliver 1 deliver 1 crash 0 deliver 1 deliver 0 deliver 0"},
	{"Handoffs", guardHandoffs, "Replaced", "table 3 timeout 0 table 1 deliver 3 deliver 0 deliver 4 deliver 4 deliver 4 deliver 4 deliver 0 crash 0 table 2 deliver 0 deliver 1 deliver 0 deliver 4 deliver 0 deliver 2 deliver 2 deliver 2 deliver 1 deliver 0 deliver 0"},
	{"CoversAll", guardCoversAll, "ReplacedTwice", "table 5 deliver 0 timeout 1 table 1 table 5 deliver 4 deliver 6 deliver 2 table 4 table 3 deliver 2 deliver 3 deliver 5 deliver 0 deliver 3 table 1 deliver 1 table 3 deliver 4 table 4 deliver 4 deliver 4 deliver 0 deliver 0 deliver 0 deliver 2 deliver 1 crash 3 deliver 0 deliver 1 deliver 0 deliver 0 deliver 0 deliver 0 deliver 0"},
	{"Doubt", guardDoubt, "Replaced", "deliver 0 table 1 table 2 deliver 4 deliver 5 deliver 1 timeout 1 deliver 1 table 3 deliver 5 deliver 3 deliver 4 deliver 4 deliver 2 table 0 deliver 1 deliver 2 deliver 4 deliver 4 deliver 0 deliver 4 deliver 4 deliver 4 deliver 4 deliver 3 deliver 0 deliver 2 deliver 2 crash 0 deliver 0 deliver 1"},
}
