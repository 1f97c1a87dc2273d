package entry

import (
	"context"

	"alderdyke/internal/answer"
	"alderdyke/pkg/refusal"
)

// findElsewhere finds the answer of a key that another VM runs or keeps.
func (vm *VM) findElsewhere(_ context.Context, _ requestID) (*answer.Stream, error) {
	return nil, refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.AnswerExpired,
		Detail: "no answer is kept for the key",
	}
}
