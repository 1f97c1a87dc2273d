package relay

import "errors"

const (
	// spareEvents is how many events more than tokens an answer may have: one for the
	// role, one for the usage and one for the end of the stream are usual.
	spareEvents = 16
	// maxTokenBytes bounds the bytes of an answer for each token that its request allows.
	// An event with the probabilities of 20 other tokens has 2 to 4 KB.
	maxTokenBytes = 16 << 10
	// minAnswerBytes is the least bound of an answer's bytes, whatever its tokens: four
	// of the largest events.
	minAnswerBytes = 4 * maxEventBytes
)

var (
	// errNoEvents reports that maxEventBytes of a stream of events have no field of one.
	errNoEvents = errors.New("the stream of events holds something else")
	// errAnswerTooLong reports an answer with more events or bytes than its request allows.
	errAnswerTooLong = errors.New("the answer is longer than the request allows")
)

// mustBeEvents reports whether a run is a generation whose answer is a stream of events.
// Another answer may have any form, and a stream of a plain service has no limit but its
// time.
func (rn *run) mustBeEvents() bool { return rn.pl.server.ID != "" && rn.isEventStream() }

// checkLength returns errAnswerTooLong if an engine sent more events than the tokens of its
// request, or more bytes than these can have.
func (rn *run) checkLength() error {
	pr := rn.ex.req.Prompt
	if rn.pl.server.ID == "" || pr == nil {
		return nil
	}
	limit := minAnswerBytes // of an engine's failure
	if succeeded(rn.rsp.StatusCode) {
		if pr.MaxOutput <= 0 {
			return nil // the request has no limit
		}
		limit = max(limit, (pr.MaxOutput+spareEvents)*maxTokenBytes)
		if rn.isEventStream() && rn.sp.events > pr.MaxOutput+spareEvents {
			return errAnswerTooLong
		}
	}
	if rn.received > limit {
		return errAnswerTooLong
	}
	return nil
}
