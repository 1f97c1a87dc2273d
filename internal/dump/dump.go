// Package dump renders the state of a value, unexported fields and what pointers lead to
// included, so that a test can check that a call changes nothing.
//
// # Usage
//
//	before := dump.Text(rl, skip)
//	rl.Explain(req)
//	assert.Equal(t, dump.Text(rl, skip), before)
package dump

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// writer renders one value.
type writer struct {
	out  strings.Builder
	skip func(typ reflect.Type) bool
	seen map[visit]int // pointers on the way, by the order in which they were met
}

// visit identifies what a pointer leads to. A struct and its first field share an address.
type visit struct {
	at  uintptr
	typ reflect.Type
}

// Text renders a value, one field a line. Functions are rendered as nil or not nil,
// channels by their length, and values of the types that skip names, as well as mutexes, are left out.
// Maps are in the order of their rendered keys.
func Text(val any, skip func(typ reflect.Type) bool) string {
	wr := &writer{skip: skip, seen: make(map[visit]int)}
	wr.write("", reflect.ValueOf(val))
	return wr.out.String()
}

func (wr *writer) write(path string, val reflect.Value) {
	if !val.IsValid() || val.Type().PkgPath() == "sync" || wr.skip != nil && wr.skip(val.Type()) {
		return
	}
	switch val.Kind() {
	case reflect.Pointer:
		wr.writePointer(path, val)
	case reflect.Interface:
		wr.write(path, val.Elem())
	case reflect.Struct:
		for ix := range val.NumField() {
			wr.write(path+"."+val.Type().Field(ix).Name, val.Field(ix))
		}
	case reflect.Slice, reflect.Array:
		wr.line(path, "len", val.Len())
		for ix := range val.Len() {
			wr.write(fmt.Sprintf("%s[%d]", path, ix), val.Index(ix))
		}
	case reflect.Map:
		wr.writeMap(path, val)
	case reflect.Chan:
		wr.line(path, "len", val.Len())
	case reflect.Func, reflect.UnsafePointer:
		wr.line(path, "nil", val.IsZero())
	default:
		wr.line(path, "is", val)
	}
}

func (wr *writer) line(path, what string, val any) {
	fmt.Fprintf(&wr.out, "%s %s %v\n", path, what, val)
}

func (wr *writer) writePointer(path string, val reflect.Value) {
	if val.IsNil() {
		wr.line(path, "is", "nil")
		return
	}
	vt := visit{val.Pointer(), val.Type()}
	if number, ok := wr.seen[vt]; ok {
		wr.line(path, "is pointer", number)
		return
	}
	wr.seen[vt] = len(wr.seen)
	wr.write(path, val.Elem())
}

// writeMap renders the entries in the order of their keys. Keys that are pointers are
// rendered by what they lead to.
func (wr *writer) writeMap(path string, val reflect.Value) {
	wr.line(path, "len", val.Len())
	entries := make(map[string][]reflect.Value)
	var keys []string
	for iter := val.MapRange(); iter.Next(); {
		key := keyText(iter.Key(), wr.skip)
		if entries[key] == nil {
			keys = append(keys, key)
		}
		entries[key] = append(entries[key], iter.Value())
	}
	slices.Sort(keys)
	for _, key := range keys {
		for _, entry := range entries[key] {
			wr.write(path+"["+strings.TrimSpace(key)+"]", entry)
		}
	}
}

// keyText renders a key of a map.
func keyText(key reflect.Value, skip func(typ reflect.Type) bool) string {
	wr := &writer{skip: skip, seen: make(map[visit]int)}
	wr.write("", key)
	return wr.out.String()
}
