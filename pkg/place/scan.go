package place

import (
	"encoding"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	addrType            = reflect.TypeFor[netip.AddrPort]()
	concealedType       = reflect.TypeFor[Concealed]()
)

type (
	// Concealed is implemented by types whose values must never be shown.
	Concealed interface{ Concealed() }

	// scan compares the expressions of a TOML text with a Go type.
	scan struct {
		text        []byte
		root        reflect.Type
		parser      unstable.Parser
		breaks      []int // offsets of line breaks
		expressions []expression
		lines       map[string]int  // line of each key path, counted from 1
		bad         map[string]bool // key paths with a problem
		counts      map[string]int  // number of elements of each array of tables
		problems    Errors
		undecodable bool // the text is not valid TOML or could not be decoded

		at  string       // path of the current table
		typ reflect.Type // of the current table; nil if it is unknown
	}

	// expression holds the lines of one key-value pair or table header.
	expression struct {
		path        string
		first, last int
		valid       bool
	}
)

// newScan returns a scan of a text for a value of the struct type root.
func newScan(text []byte, root reflect.Type) *scan {
	sc := &scan{
		text: text, root: root, typ: root,
		lines: map[string]int{}, bad: map[string]bool{}, counts: map[string]int{},
	}
	for ix, ch := range text {
		if ch == '\n' {
			sc.breaks = append(sc.breaks, ix)
		}
	}
	return sc
}

// run checks all expressions and finds their lines. It returns false if the text is not
// valid TOML.
func (sc *scan) run() bool {
	sc.parser.Reset(sc.text)
	for sc.parser.NextExpression() {
		sc.addExpression(sc.parser.Expression())
	}
	for ix := range sc.expressions {
		sc.expressions[ix].last = len(sc.breaks) + 1
		if ix+1 < len(sc.expressions) {
			sc.expressions[ix].last = sc.expressions[ix+1].first - 1
		}
	}
	err := sc.parser.Error()
	if err == nil {
		return true
	}
	sc.undecodable = true
	pe := Error{Mend: "write valid TOML: " + err.Error()}
	var se *unstable.ParserError
	if errors.As(err, &se) {
		pe.Line = sc.line(sc.parser.Range(se.Highlight))
		pe.Mend = "write valid TOML: " + se.Message
	}
	sc.problems = append(sc.problems, pe)
	return false
}

// line returns the line at which a range of the text begins.
func (sc *scan) line(rg unstable.Range) int {
	ix, _ := slices.BinarySearch(sc.breaks, int(rg.Offset))
	return ix + 1
}

// addExpression checks an expression and records its path and first line. Key-value pairs
// in an unknown table are invalid, but not reported one by one.
func (sc *scan) addExpression(nd *unstable.Node) {
	if nd.Kind == unstable.Comment {
		return
	}
	names, line := sc.key(nd)
	before := len(sc.problems)
	inUnknownTable := sc.typ == nil && nd.Kind == unstable.KeyValue
	if !inUnknownTable {
		sc.checkExpression(nd, names, line)
	}
	path := sc.at
	if nd.Kind == unstable.KeyValue {
		path = join(path, strings.Join(names, "."))
	}
	sc.expressions = append(sc.expressions, expression{
		path:  path,
		first: line,
		valid: !inUnknownTable && before == len(sc.problems),
	})
}

// checkExpression checks the value of a key-value pair, or enters the table of a header.
func (sc *scan) checkExpression(nd *unstable.Node, names []string, line int) {
	switch nd.Kind {
	case unstable.Table:
		sc.at, sc.typ = sc.resolve("", sc.root, names, line)
		if sc.typ != nil && !isTable(sc.typ) {
			sc.report(sc.at, line, "", "write a value, not a table")
			sc.typ = nil
		}
	case unstable.ArrayTable:
		sc.checkArrayTable(names, line)
	case unstable.KeyValue:
		path, typ := sc.resolve(sc.at, sc.typ, names, line)
		if typ != nil {
			sc.checkValue(path, typ, nd.Value(), line)
		}
	default:
	}
}

// checkArrayTable enters the next element of an array of tables.
func (sc *scan) checkArrayTable(names []string, line int) {
	last := len(names) - 1
	above, typ := sc.resolve("", sc.root, names[:last], line)
	if typ != nil {
		above, typ = sc.field(above, typ, names[last], line)
	}
	sc.at, sc.typ = above, nil
	if typ == nil {
		return
	}
	if typ.Kind() != reflect.Slice || !isTable(typ.Elem()) {
		sc.report(above, line, "", "write it once; it is no list of tables")
		return
	}
	sc.at, sc.typ = element(above, sc.counts[above]), typ.Elem()
	sc.counts[above]++
	sc.lines[sc.at] = line
}

// key returns the parts of an expression's key and its line.
func (sc *scan) key(nd *unstable.Node) (names []string, line int) {
	for it := nd.Key(); it.Next(); {
		if line == 0 {
			line = sc.line(it.Node().Raw)
		}
		names = append(names, string(it.Node().Data))
	}
	return names, line
}

// resolve follows a dotted key from the struct type typ at path, and returns the path and
// the type of the key. A part that names an array of tables stands for its last element.
// The type is nil if a part of the key is unknown, which is then already reported.
func (sc *scan) resolve(path string, typ reflect.Type, names []string, line int) (string, reflect.Type) {
	for _, name := range names {
		if path, typ = sc.field(path, typ, name, line); typ == nil {
			return path, nil
		}
		if count := sc.counts[path]; count > 0 {
			path, typ = element(path, count-1), typ.Elem()
		}
	}
	return path, typ
}

// field follows one part of a key from the type typ at path, and records the line of the
// part where it occurs first. The type is nil if the part is unknown, which is then already
// reported.
func (sc *scan) field(path string, typ reflect.Type, name string, line int) (string, reflect.Type) {
	path = join(path, name)
	if !isTable(typ) {
		sc.report(path, line, "", "remove this key; the one above it holds a plain value")
		return path, nil
	}
	fd, ok := typ.FieldByName(name)
	if !ok || !fd.IsExported() {
		sc.report(path, line, "", "remove this unknown key, or correct its spelling and letter case")
		return path, nil
	}
	if _, known := sc.lines[path]; !known {
		sc.lines[path] = line
	}
	return path, fd.Type
}

// checkValue compares a value with the type of its target.
func (sc *scan) checkValue(path string, typ reflect.Type, nd *unstable.Node, line int) {
	if reflect.PointerTo(typ).Implements(textUnmarshalerType) {
		sc.checkText(path, typ, nd, line)
		return
	}
	switch typ.Kind() {
	case reflect.Struct:
		sc.checkInlineTable(path, typ, nd, line)
	case reflect.Slice:
		sc.checkArray(path, typ, nd, line)
	case reflect.String:
		sc.expectKind(nd.Kind == unstable.String, path, nd, line, "a string in quotes")
	case reflect.Bool:
		sc.expectKind(nd.Kind == unstable.Bool, path, nd, line, "true or false")
	case reflect.Float64:
		sc.expectKind(nd.Kind == unstable.Float || nd.Kind == unstable.Integer, path, nd, line, "a number")
	default:
		sc.expectKind(nd.Kind == unstable.Integer, path, nd, line, "a whole number")
	}
}

// checkText checks a value that a type decodes from text by itself. The value is not shown
// if its type is Concealed.
func (sc *scan) checkText(path string, typ reflect.Type, nd *unstable.Node, line int) {
	if !sc.expectKind(nd.Kind == unstable.String, path, nd, line, "a string in quotes, with its unit if it has one") {
		return
	}
	err := reflect.New(typ).Interface().(encoding.TextUnmarshaler).UnmarshalText(nd.Data)
	if err == nil {
		return
	}
	value, mend := strconv.Quote(string(nd.Data)), err.Error()
	if typ == addrType {
		mend = "write an IP number and a port, such as 10.0.0.1:8443; host names are not looked up"
	}
	if typ.Implements(concealedType) {
		value = ""
	}
	sc.report(path, line, value, mend)
}

func (sc *scan) checkInlineTable(path string, typ reflect.Type, nd *unstable.Node, line int) {
	if !sc.expectKind(nd.Kind == unstable.InlineTable, path, nd, line, "a table") {
		return
	}
	for it := nd.Children(); it.Next(); {
		if it.Node().Kind != unstable.KeyValue {
			continue
		}
		names, row := sc.key(it.Node())
		if below, elem := sc.resolve(path, typ, names, row); elem != nil {
			sc.checkValue(below, elem, it.Node().Value(), row)
		}
	}
}

func (sc *scan) checkArray(path string, typ reflect.Type, nd *unstable.Node, line int) {
	if !sc.expectKind(nd.Kind == unstable.Array, path, nd, line, "a list in brackets") {
		return
	}
	ix := 0
	for it := nd.Children(); it.Next(); {
		if it.Node().Kind == unstable.Comment {
			continue
		}
		row := line
		if it.Node().Raw.Length > 0 {
			row = sc.line(it.Node().Raw)
		}
		below := element(path, ix)
		sc.lines[below] = row
		sc.checkValue(below, typ.Elem(), it.Node(), row)
		ix++
	}
}

// expectKind reports a value of the wrong kind. The message names the kind and not the
// value, which may be a secret at the wrong key.
func (sc *scan) expectKind(ok bool, path string, nd *unstable.Node, line int, kind string) bool {
	if !ok {
		sc.report(path, line, "", fmt.Sprintf("write %s instead of this %s", kind, nd.Kind))
	}
	return ok
}

// report adds a problem at a key path.
func (sc *scan) report(path string, line int, value, mend string) {
	sc.bad[path] = true
	sc.problems = append(sc.problems, Error{Line: line, Key: path, Value: value, Mend: mend})
}

// isTable reports whether values of a type are written as tables.
func isTable(typ reflect.Type) bool {
	return typ.Kind() == reflect.Struct && !reflect.PointerTo(typ).Implements(textUnmarshalerType)
}

// join returns the path of a name below another path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// element returns the path of an element of an array.
func element(path string, ix int) string { return fmt.Sprintf("%s[%d]", path, ix) }
