package claim

import (
	"cmp"

	"alderdyke/internal/peer/peerpb"
)

// tally sums up the replies of a round.
type tally struct {
	// Numbers of seats.
	granted, noClaim, held, unknown, waiting int // noClaim: have no other claim on record
	absent                                   int // part of unknown: the claim is not on record
	otherPrint                               bool
	attempt                                  uint32
	resume                                   *peerpb.ClaimReply // names a decode that may be resumed
	bestHeld                                 *peerpb.ClaimReply // the Held reply with the highest rank
	bestHeldCount                            int                // seats that hold the claim of bestHeld
}

// tallyReplies counts the replies of the round.
func (ak *Asker) tallyReplies() tally {
	var ta tally
	for _, sa := range ak.asks {
		switch {
		case sa.reply != nil:
			ta.add(sa.reply)
		case sa.failed:
			ta.unknown++
		default:
			ta.waiting++
		}
	}
	if ta.bestHeld != nil {
		for _, sa := range ak.asks {
			if Answer(sa.reply.GetVerdict()) == Held && sa.reply.GetClaim() == ta.bestHeld.GetClaim() {
				ta.bestHeldCount++
			}
		}
	}
	return ta
}

func (ta *tally) add(rp *peerpb.ClaimReply) {
	switch Answer(rp.GetVerdict()) {
	case Granted:
		ta.granted++
		ta.noClaim++
		ta.attempt = max(ta.attempt, rp.GetAttempt())
		if rp.GetDecodeServer() != "" {
			ta.resume = rp
		}
	case Full:
		ta.noClaim++
		ta.unknown++
	case Held:
		ta.held++
		if ta.bestHeld == nil || outranks(rp, ta.bestHeld) {
			ta.bestHeld = rp
		}
	case OtherPrint:
		ta.otherPrint = true
	case Absent:
		ta.absent++
		ta.unknown++
	default:
		ta.unknown++
	}
}

// outranks reports whether the first of two claims on record says more about the key.
func outranks(ra, rb *peerpb.ClaimReply) bool {
	sa, sb := State(ra.GetState()), State(rb.GetState())
	if sa.dispatched() != sb.dispatched() {
		return sa.dispatched()
	}
	return cmp.Or(cmp.Compare(ra.GetAttempt(), rb.GetAttempt()), cmp.Compare(sa.rank(), sb.rank())) > 0
}
