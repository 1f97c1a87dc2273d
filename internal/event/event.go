// Package event is the catalogue of numbered log events.
//
// Every line that alderdyke logs is one of the events below, so that an
// operator can look up its number in docs/EVENTS.md. The events of a package are
// in a file of this package named after it, have their own range of numbers, and
// are registered in [Catalogue]. A test checks docs/EVENTS.md against the
// catalogue.
//
// Fields never contain a prompt, an answer or a secret.
//
// # Usage
//
//	lg.Log(event.VMDead, event.F("VM", "aarhus-a-1"), event.F("Incarnation", 3))
package event

import (
	"slices"
	"strings"

	"github.com/phuslu/log"
)

// Levels of an event, least severe first.
const (
	Info Level = iota
	Warn
	Error
)

// maxTextBytes bounds a text in a line: errors may quote what callers and other writers of
// the store sent.
const maxTextBytes = 1 << 10

var catalogue []Event

type (
	// Level is the severity of an event.
	Level int

	// Event is one entry of the catalogue.
	Event struct {
		Number  int
		Name    string // in Pascal case
		Level   Level
		Meaning string // what happened
		Action  string // what the operator should do; "none" if the system recovers by itself
	}

	// Field is a named value of a log line.
	Field struct {
		Name  string
		Value any
	}

	// Logger writes events. The zero value discards them.
	Logger struct {
		Out *log.Logger
		VM  string // written with every line
	}
)

// F returns a field with the given name and value.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Log writes one event. Its meaning is the message of the line.
func (lg Logger) Log(ev Event, fields ...Field) {
	if lg.Out == nil {
		return
	}
	en := lg.entry(ev.Level).Int("Event", ev.Number).Str("Name", ev.Name)
	if lg.VM != "" {
		en = en.Str("VM", lg.VM)
	}
	for _, fd := range fields {
		if text, ok := fd.Value.(string); ok && len(text) > maxTextBytes {
			fd.Value = strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
		}
		en = en.Any(fd.Name, fd.Value)
	}
	en.Msg(ev.Meaning)
}

func (lg Logger) entry(lv Level) *log.Entry {
	switch lv {
	case Error:
		return lg.Out.Error()
	case Warn:
		return lg.Out.Warn()
	default:
		return lg.Out.Info()
	}
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(ea, eb Event) int { return ea.Number - eb.Number })
	return all
}

// register adds an event to the catalogue.
func register(number int, name string, lv Level, meaning, action string) Event {
	ev := Event{Number: number, Name: name, Level: lv, Meaning: meaning, Action: action}
	catalogue = append(catalogue, ev)
	return ev
}
