package relay

import (
	"bytes"
	"errors"
	"strconv"
)

// mostEvent bounds the bytes of one event that are held back until it is
// complete. Events here are a few hundred bytes.
const mostEvent = 256 << 10

// errNotNext tells that the events of another engine do not follow the last one
// that the caller has.
var errNotNext = errors.New("the events do not follow those that the caller has")

// splitter holds back the part of a stream of events that is not complete,
// so that a stream that breaks in the middle of an event can go on with the
// whole event. The zero value is ready to use.
type splitter struct {
	held       []byte
	last       string // ID of the last complete event
	joint      bool   // the next event comes from another engine than last
	counts     bool   // IDs counted up by one so far
	gaps       bool   // they did not
	unnumbered bool   // an event without an ID went out behind last
}

// add takes bytes and returns the complete events among all that it holds.
// The result is valid until the next call. The error is errNotNext.
func (sp *splitter) add(data []byte) ([]byte, error) {
	sp.held = append(sp.held, data...)
	end := lastEnd(sp.held)
	if end == 0 && len(sp.held) > mostEvent {
		end = len(sp.held) // no stream of events; pass it on as it is
	}
	out := sp.held[:end]
	sp.held = append([]byte(nil), sp.held[end:]...)
	return out, sp.note(out)
}

// rest returns what is left when the stream has ended well.
func (sp *splitter) rest() ([]byte, error) {
	out := sp.held
	sp.held = nil
	return out, sp.note(out)
}

// drop forgets the event that was broken off.
func (sp *splitter) drop() { sp.held = nil }

// lastEnd is the offset after the last blank line.
func lastEnd(data []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.LastIndex(data, []byte(mark)); at >= 0 {
			end = max(end, at+len(mark))
		}
	}
	return end
}

// note remembers the ID of the last event, and holds the first one of another
// engine against it.
func (sp *splitter) note(events []byte) error {
	var id []byte
	numbered, filled := false, false
	for len(events) > 0 {
		var line []byte
		line, events, _ = bytes.Cut(events, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, numbered = bytes.TrimSpace(value), true
		} else if len(line) > 0 && !isAside(line) {
			filled = true
		}
		if len(line) > 0 && len(events) > 0 {
			continue
		}
		if err := sp.noteEvent(string(id), numbered, filled); err != nil {
			return err
		}
		numbered, filled = false, false
	}
	return nil
}

// isAside tells whether a line is no part of an answer: a comment, or a word to
// the reader of the stream.
func isAside(line []byte) bool {
	return line[0] == ':' || bytes.HasPrefix(line, []byte("retry:")) || bytes.HasPrefix(line, []byte("event:"))
}

// noteEvent notes one event. One that is neither numbered nor filled holds no
// part of an answer.
func (sp *splitter) noteEvent(id string, numbered, filled bool) error {
	if !numbered && !filled {
		return nil
	}
	if sp.joint && (!numbered || !sp.follows(id)) {
		return errNotNext
	}
	sp.joint, sp.unnumbered = false, !numbered
	if numbered {
		sp.step(id)
	}
	return nil
}

// step takes the next ID.
func (sp *splitter) step(id string) {
	first := sp.last == "" && (id == "0" || id == "1")
	if first || isNext(sp.last, id) {
		sp.counts = true
	} else if sp.last != "" {
		sp.gaps = true
	}
	sp.last = id
}

// follows tells whether an event may be the next one behind the last. Where IDs
// counted up by one so far, none may be missing; others must grow, or differ if
// they are no numbers.
func (sp *splitter) follows(id string) bool {
	if sp.counts && !sp.gaps {
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
