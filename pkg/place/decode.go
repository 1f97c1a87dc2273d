package place

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxProblems is the largest number of problems of one text that are listed.
const MaxProblems = 100

// Decode decodes TOML into the struct that target points to, then calls check,
// which returns the problems of the decoded value by their keys. The error is
// nil or an [Errors] that holds all problems, ordered by line. If there are more
// than [MaxProblems], the last entry states how many were left out.
//
// Expressions that are invalid by themselves are left out of the decoded value. A
// problem that check finds at the key of such an expression, or below it, is not
// reported a second time. A nil check finds nothing.
func Decode(file string, text []byte, target any, check func() Errors) error {
	sc := newScan(text, reflect.TypeOf(target).Elem())
	if sc.run() {
		sc.decode(target)
	}
	if check != nil && !sc.undecodable {
		for _, pe := range check() {
			sc.addProblem(pe)
		}
	}
	for ix, pe := range sc.problems {
		sc.problems[ix] = pe.WithPlace(file, pe.Line)
	}
	slices.SortStableFunc(sc.problems, func(ea, eb Error) int { return cmp.Compare(ea.Line, eb.Line) })
	return sc.problems.bounded(file).Err()
}

// bounded truncates a list that is too long for a person to read.
func (es Errors) bounded(file string) Errors {
	if len(es) <= MaxProblems {
		return es
	}
	more := Error{File: file, Mend: fmt.Sprintf("mend these first; there are %d more", len(es)-MaxProblems)}
	return append(es[:MaxProblems:MaxProblems], more)
}

// decode decodes the valid expressions of the text.
func (sc *scan) decode(target any) {
	dec := toml.NewDecoder(bytes.NewReader(sc.validText())).DisallowUnknownFields()
	err := dec.Decode(target)
	if err == nil {
		return
	}
	sc.undecodable = true
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		sc.problems = append(sc.problems, Error{Mend: err.Error()})
		return
	}
	row, _ := de.Position()
	sc.problems = append(sc.problems, Error{
		Line: row,
		Key:  sc.pathAt(row),
		Mend: strings.TrimPrefix(de.Error(), "toml: "),
	})
}

// pathAt returns the path of the key-value pair or table that holds a line.
func (sc *scan) pathAt(row int) string {
	for _, ex := range sc.expressions {
		if ex.first <= row && row <= ex.last {
			return ex.path
		}
	}
	return ""
}

// validText returns the text with the lines of invalid expressions left empty, so that
// the line numbers of the others stay the same.
func (sc *scan) validText() []byte {
	lines := bytes.Split(sc.text, []byte("\n"))
	for _, ex := range sc.expressions {
		if ex.valid {
			continue
		}
		for row := ex.first; row <= ex.last && row <= len(lines); row++ {
			lines[row-1] = nil
		}
	}
	return bytes.Join(lines, []byte("\n"))
}

// addProblem adds a problem of the decoded value, unless a problem at its key or at
// a key above it was already reported.
func (sc *scan) addProblem(pe Error) {
	if pe.Line == 0 {
		pe.Line = sc.lineOf(pe.Key)
	}
	for key := pe.Key; key != ""; key = parent(key) {
		if sc.bad[key] {
			return
		}
	}
	sc.problems = append(sc.problems, pe)
}

// lineOf returns the line of a key, or of the nearest key above it; zero if none has
// one.
func (sc *scan) lineOf(key string) int {
	for ; key != ""; key = parent(key) {
		if line, ok := sc.lines[key]; ok {
			return line
		}
	}
	return 0
}

// parent returns the key above a key, which for an element of an array is the array, or
// the empty string if there is none.
func parent(key string) string {
	return key[:max(0, strings.LastIndexAny(key, ".["))]
}
