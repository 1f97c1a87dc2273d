package retry_test

import (
	"fmt"
	"math/rand/v2"

	"alderdyke/internal/retry"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

func ExamplePolicy_Decide() {
	po := &retry.Policy{Rand: rand.New(rand.NewPCG(1, 2))}
	po.RecordRequest(0, "hoa-lua", "kiosk-api")
	verdict := po.Decide(20, retry.Attempt{
		Customer: "hoa-lua", Service: "kiosk-api", Number: 1, Deadline: 2 * clock.Second,
		Last: refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed},
	})
	switch vd := verdict.(type) {
	case retry.Retry:
		fmt.Println("again", vd.Reason)
	case retry.GiveUp:
		fmt.Println(vd.Reason, vd.Refusal.Ran)
	}
	// Output: GaveUpMayHaveRun MayHaveRun
}
