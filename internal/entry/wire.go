package entry

import (
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// stageWithdrawn is the final stage of a runner that no longer needs its slot.
const stageWithdrawn sched.Stage = "Withdrawn"

func doneFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Done{Done: &peerpb.Done{}}}
}

func refusalFrame(rf refusal.Refusal) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Refusal{Refusal: refusalToWire(rf)}}
}

func refusalToWire(rf refusal.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{
		Ran:        string(rf.Ran),
		Reason:     string(rf.Reason),
		RetryAfter: int64(rf.RetryAfter),
		Detail:     rf.Detail,
	}
}

// refusalFromWire decodes a refusal. Anything but the guarantee NotRun counts as
// MayHaveRun.
func refusalFromWire(rf *peerpb.Refusal) refusal.Refusal {
	ran := refusal.MayHaveRun
	if refusal.Ran(rf.GetRan()) == refusal.NotRun {
		ran = refusal.NotRun
	}
	return refusal.Refusal{
		Ran:        ran,
		Reason:     refusal.Reason(rf.GetReason()),
		RetryAfter: clock.Millis(rf.GetRetryAfter()),
		Detail:     rf.GetDetail(),
	}
}

func progressFrame(attempt uint32, stage sched.Stage, server string, tokens int, took clock.Millis) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Progress{Progress: &peerpb.Progress{
		Stage:   string(stage),
		Server:  server,
		Tokens:  int64(tokens),
		Took:    int64(took),
		Attempt: attempt,
	}}}
}
