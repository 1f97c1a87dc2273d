package relay

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEventBytes bounds the bytes of one event that are held back until it is
// complete. Events here are a few hundred bytes.
const maxEventBytes = 256 << 10

// errOutOfSequence tells that the events of another engine do not follow the last one
// that the caller has.
var errOutOfSequence = errors.New("the events do not follow those that the caller has")

// splitter holds back the part of a stream of events that is not complete,
// so that a stream that breaks in the middle of an event can go on with the
// whole event. The zero value is ready to use.
type splitter struct {
	pending       []byte
	last          string // ID of the last complete event
	sourceChanged bool   // the next event comes from another engine than last
	sequential    bool   // IDs counted up by one so far
	hasGaps       bool   // they did not
	unnumbered    bool   // an event without an ID went out behind last
}

// add takes bytes and returns the complete events among all that it holds.
// The result is valid until the next call. The error is errOutOfSequence.
func (sp *splitter) add(data []byte) ([]byte, error) {
	sp.pending = append(sp.pending, data...)
	end := lastEventEnd(sp.pending)
	if end == 0 && len(sp.pending) > maxEventBytes {
		end = len(sp.pending) // no stream of events; pass it on as it is
	}
	out := sp.pending[:end]
	sp.pending = append([]byte(nil), sp.pending[end:]...)
	return out, sp.checkEvents(out)
}

// flush returns what is left when the stream has ended well.
func (sp *splitter) flush() ([]byte, error) {
	out := sp.pending
	sp.pending = nil
	return out, sp.checkEvents(out)
}

// discard forgets the event that was broken off.
func (sp *splitter) discard() { sp.pending = nil }

// lastEventEnd is the offset after the last blank line.
func lastEventEnd(data []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.LastIndex(data, []byte(mark)); at >= 0 {
			end = max(end, at+len(mark))
		}
	}
	return end
}

// checkEvents remembers the ID of the last event, and holds the first one of another
// engine against it.
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

// isControlLine tells whether a line is no part of an answer: a comment, or a word to
// the reader of the stream.
func isControlLine(line []byte) bool {
	return line[0] == ':' || bytes.HasPrefix(line, []byte("retry:")) || bytes.HasPrefix(line, []byte("event:"))
}

// checkEvent notes one event. One that is neither numbered nor filled holds no
// part of an answer.
func (sp *splitter) checkEvent(id string, numbered, filled bool) error {
	if !numbered && !filled {
		return nil
	}
	if sp.sourceChanged && (!numbered || !sp.follows(id)) {
		return errOutOfSequence
	}
	sp.sourceChanged, sp.unnumbered = false, !numbered
	if numbered {
		sp.recordID(id)
	}
	return nil
}

// recordID takes the next ID.
func (sp *splitter) recordID(id string) {
	first := sp.last == "" && (id == "0" || id == "1")
	if first || isNext(sp.last, id) {
		sp.sequential = true
	} else if sp.last != "" {
		sp.hasGaps = true
	}
	sp.last = id
}

// follows tells whether an event may be the next one behind the last. Where IDs
// counted up by one so far, none may be missing; others must grow, or differ if
// they are no numbers.
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

// isNext tells whether an ID is one more than another.
func isNext(last, id string) bool {
	was, errWas := strconv.ParseUint(last, 10, 64)
	is, errIs := strconv.ParseUint(id, 10, 64)
	return errWas == nil && errIs == nil && is == was+1
}
