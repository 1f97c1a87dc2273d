package relay

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
)

// maxEventBytes limits the bytes of one event that are withheld until it is complete.
// Events are usually a few hundred bytes.
const maxEventBytes = 256 << 10

// uncountedBytes are the withheld bytes of a stream that do not count towards the memory for
// requests, like its other buffers: usual events are withheld, and a broken stream of them is
// continued, however little memory there is. An event with the probabilities of 20 other
// tokens has 2 to 4 KB.
const uncountedBytes = 4 << 10

// longestFieldName is the length of the longest field name of an event.
const longestFieldName = len("event")

// longestEventEnd is the length of the longest blank line after a line, less one byte.
const longestEventEnd = len("\r\n\r\n") - 1

// errOutOfSequence reports that the events of another engine do not follow the last
// event that the caller has.
var errOutOfSequence = errors.New("the events do not follow those that the caller has")

// splitter withholds the incomplete end of a stream of events, so that a stream that
// breaks in the middle of an event can continue with the whole event. The zero value
// is ready to use.
type splitter struct {
	pending       []byte
	last          string // ID of the last complete event
	sourceChanged bool   // the next event comes from another engine than the last
	sequential    bool   // IDs counted up by one, unless hasGaps
	hasGaps       bool   // an ID was not one more than the one before
	events        int    // complete events that hold a part of the answer
	unnumbered    bool   // an event without an ID was sent after last
	strict        bool   // the source must be a stream of events
	partial       bool   // a part of an event was passed on, and its end was not
}

// add appends bytes and returns the complete events of everything that it holds. The
// result is valid until the next call. The error is errOutOfSequence or errNoEvents.
func (sp *splitter) add(data []byte) ([]byte, error) {
	continues, counted := sp.partial, sp.events
	searched := max(0, len(sp.pending)-longestEventEnd)
	sp.pending = append(sp.pending, data...)
	end := lastEventEnd(sp.pending[searched:])
	if end > 0 {
		end += searched
	}
	switch {
	case end > 0:
		sp.partial = false
	case len(sp.pending) > maxEventBytes && sp.strict && !sp.partial && !hasField(sp.pending):
		return nil, errNoEvents
	case len(sp.pending) > maxEventBytes:
		return sp.passOn() // too large to withhold, or not a stream of events
	default:
		return nil, nil // without a copy, which each byte of a slow stream would cost
	}
	out := sp.take(end)
	err := sp.checkEvents(out)
	if continues && sp.events > counted {
		sp.events-- // the event counted when its beginning was passed on
	}
	return out, err
}

// take removes the first withheld bytes.
func (sp *splitter) take(size int) []byte {
	out := sp.pending[:size]
	sp.pending = append([]byte(nil), sp.pending[size:]...)
	return out
}

// passOn returns the withheld beginning of an event, but for line ends that may be a part of
// its own end. The rest follows as it comes, and the stream can't be continued inside the
// event. Its parts count as one event.
func (sp *splitter) passOn() ([]byte, error) {
	continues, counted := sp.partial, sp.events
	size := max(len(bytes.TrimRight(sp.pending, "\r\n")), len(sp.pending)-longestEventEnd)
	out := sp.take(size)
	sp.partial = true
	err := sp.checkEvents(out)
	if continues {
		sp.events = counted
	}
	return out, err
}

// countedBytes returns how much of the memory for requests the withheld bytes take.
func (sp *splitter) countedBytes() int64 { return int64(max(0, cap(sp.pending)-uncountedBytes)) }

// flush returns the remaining bytes when the stream has ended in order.
func (sp *splitter) flush() ([]byte, error) {
	out := sp.pending
	sp.pending = nil
	return out, sp.checkEvents(out)
}

// discard drops an incomplete event.
func (sp *splitter) discard() { sp.pending = nil }

// insideEvent reports whether an event has begun and its end was not received. Comments
// and reconnection times are no part of an event.
func (sp *splitter) insideEvent() bool {
	inside := sp.partial
	for left := sp.pending; len(left) > 0; {
		line, rest, ended := bytes.Cut(left, []byte("\n"))
		line, left = bytes.TrimSuffix(line, []byte("\r")), rest
		switch {
		case len(line) == 0 && ended:
			inside = false
		case len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")):
			inside = true
		}
	}
	return inside
}

// beginsWithField reports whether the withheld bytes begin like an event.
func (sp *splitter) beginsWithField() bool {
	name, _, ok := bytes.Cut(sp.pending, []byte(":"))
	return ok && slices.Contains([]string{"id", "data", "event"}, string(name))
}

// hasField reports whether some line begins like a field of an event, or like a comment.
func hasField(data []byte) bool {
	for line := range bytes.Lines(data) {
		name, _, ok := bytes.Cut(line[:min(len(line), longestFieldName+1)], []byte(":"))
		if ok && slices.Contains([]string{"", "id", "data", "event", "retry"}, string(name)) {
			return true
		}
	}
	return false
}

// lastEventEnd returns the offset after the last blank line.
func lastEventEnd(data []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.LastIndex(data, []byte(mark)); at >= 0 {
			end = max(end, at+len(mark))
		}
	}
	return end
}

// checkEvents records the ID of the last event, and checks that the first event of
// another engine follows it.
func (sp *splitter) checkEvents(events []byte) error {
	var id []byte
	numbered, filled := false, false
	for len(events) > 0 {
		var line []byte
		line, events, _ = bytes.Cut(events, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, numbered = bytes.TrimSpace(value), true
		} else if len(line) > 0 && !isControlLine(line) {
			filled = true
		}
		if len(line) > 0 && len(events) > 0 {
			continue
		}
		if err := sp.checkEvent(string(id), numbered, filled); err != nil {
			return err
		}
		numbered, filled = false, false
	}
	return nil
}

// isControlLine reports whether a line is not a part of the answer: a comment, or an
// instruction to the reader of the stream.
func isControlLine(line []byte) bool {
	return line[0] == ':' || bytes.HasPrefix(line, []byte("retry:")) || bytes.HasPrefix(line, []byte("event:"))
}

// checkEvent records one event. An event that is neither numbered nor filled holds no
// part of an answer.
func (sp *splitter) checkEvent(id string, numbered, filled bool) error {
	if !numbered && !filled {
		return nil
	}
	if sp.sourceChanged && (!numbered || !sp.follows(id)) {
		return errOutOfSequence
	}
	sp.sourceChanged, sp.unnumbered = false, !numbered
	sp.events++
	if numbered {
		sp.recordID(id)
	}
	return nil
}

// recordID records the next ID.
func (sp *splitter) recordID(id string) {
	first := sp.last == "" && (id == "0" || id == "1")
	if first || isNext(sp.last, id) {
		sp.sequential = true
	} else if sp.last != "" {
		sp.hasGaps = true
	}
	sp.last = id
}

// follows reports whether an event may be the next after the last one. If IDs counted
// up by one so far, none may be missing; otherwise numbers must grow, and IDs that
// are not numbers must differ.
func (sp *splitter) follows(id string) bool {
	if sp.sequential && !sp.hasGaps {
		return isNext(sp.last, id)
	}
	was, errWas := strconv.ParseUint(sp.last, 10, 64)
	is, errIs := strconv.ParseUint(id, 10, 64)
	if errWas != nil || errIs != nil {
		return id != sp.last
	}
	return is > was
}

// isNext reports whether an ID is one more than another.
func isNext(last, id string) bool {
	was, errWas := strconv.ParseUint(last, 10, 64)
	is, errIs := strconv.ParseUint(id, 10, 64)
	return errWas == nil && errIs == nil && is == was+1
}
