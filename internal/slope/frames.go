package slope

import (
	"bytes"
	"fmt"

	"alderdyke/internal/claim"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

// Contents of typical messages.
const (
	fingerprintBytes = 32 // length of a request's fingerprint
	typicalClaim     = 0x9e3779b97f4a7c15
)

// requestKey returns a key like those of callers: a UUID.
func requestKey(number int) string {
	return fmt.Sprintf("7f9c24e8-3b12-4fef-91e2-%012d", number)
}

func doneFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Done{Done: &peerpb.Done{}}}
}

func claimAskFrame(number int) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ClaimAsk{ClaimAsk: &peerpb.ClaimAsk{
		Key: requestKey(number), Customer: "kedelsyn", Fingerprint: bytes.Repeat([]byte{7}, fingerprintBytes),
		RunnerID: "domain-0-000", RunnerIncarnation: typicalIncarnation, Keep: int64(10 * clock.Minute),
		Claim: typicalClaim, Group: typicalClaim,
	}}}
}

func claimReplyFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ClaimReply{ClaimReply: &peerpb.ClaimReply{
		Verdict: string(claim.Granted), RunnerID: "domain-0-000", RunnerIncarnation: typicalIncarnation,
		State: string(claim.Claimed), Claim: typicalClaim,
	}}}
}

func claimUpdateFrame(number int) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ClaimUpdate{ClaimUpdate: &peerpb.ClaimUpdate{
		Key: requestKey(number), Customer: "kedelsyn", RunnerID: "domain-0-000", RunnerIncarnation: typicalIncarnation,
		State: string(claim.Decoding), DecodeServer: "rapportmodel-decode-41",
		EngineRequest: "kedelsyn/" + requestKey(number) + "/1.0", Claim: typicalClaim,
	}}}
}

func reserveAskFrame(number int) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ReserveAsk{ReserveAsk: &peerpb.ReserveAsk{
		Cell: "rapportmodel/3", Request: "kedelsyn/" + requestKey(number) + "/1.0", Customer: "kedelsyn",
		Class: "findings", PromptTokens: typicalPromptTokens, PrefixHash: typicalClaim, MaxTokens: typicalMaxTokens,
		TTFT: 410, TPOT: 35, Deadline: int64(clock.Minute), Share: 0.2, PrefillWeight: 0.7,
	}}}
}

func progressFrame(stage sched.Stage, server string) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Progress{Progress: &peerpb.Progress{
		Stage: string(stage), Server: server, Took: 300, Attempt: 1}}}
}
