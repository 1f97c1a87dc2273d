// Package place reports the problems of a text that a person wrote, each with its
// place (file, line and key) and a way to mend it, and decodes TOML so that all
// problems of a text are reported together.
//
// Keys are matched exactly, letter case included, and a key that the target
// does not have is an error. A value whose type implements
// [encoding.TextUnmarshaler] must be a TOML string.
//
// # Usage
//
//	var tpl Template
//	err := place.Decode("kedelsyn.toml", text, &tpl, tpl.problems)
//	var pe place.Error
//	if errors.As(err, &pe) {
//		fmt.Println(pe.File, pe.Line, pe.Key, pe.Mend)
//	}
package place

import (
	"fmt"
	"strings"
)

type (
	// Error is one problem at one place of a text. It is an immutable value.
	Error struct {
		File  string // empty for a value that came from no file
		Line  int    // counts from 1; zero if unknown
		Key   string // path of the key, such as Classes[1].TTFT
		Value string // the offending value; empty if there is none or it must not be shown
		Mend  string // what to write instead
	}

	// Errors holds all problems of one text. A function that returns it as an error
	// returns nil instead of an empty list.
	Errors []Error
)

// Error formats the problem as "file:line: Key = value: mend", without the parts
// that are unknown.
func (pe Error) Error() string {
	var sb strings.Builder
	switch {
	case pe.File != "" && pe.Line > 0:
		fmt.Fprintf(&sb, "%s:%d: ", pe.File, pe.Line)
	case pe.File != "":
		sb.WriteString(pe.File + ": ")
	case pe.Line > 0:
		fmt.Fprintf(&sb, "line %d: ", pe.Line)
	}
	sb.WriteString(pe.Key)
	if pe.Value != "" {
		sb.WriteString(" = " + pe.Value)
	}
	if pe.Key != "" {
		sb.WriteString(": ")
	}
	sb.WriteString(pe.Mend)
	return sb.String()
}

// WithPlace returns a copy of the problem with another file and line.
func (pe Error) WithPlace(file string, line int) Error {
	pe.File = file
	pe.Line = line
	return pe
}

// Error formats the problems, one per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for ix, pe := range es {
		lines[ix] = pe.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find an [Error].
func (es Errors) Unwrap() []error {
	out := make([]error, len(es))
	for ix, pe := range es {
		out[ix] = pe
	}
	return out
}

// Err returns the list as an error, or nil if it is empty.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}

// Add appends a problem. The value is shown verbatim; leave it empty if it must not
// be shown.
func (es *Errors) Add(key, value, mend string) {
	*es = append(*es, Error{Key: key, Value: value, Mend: mend})
}
