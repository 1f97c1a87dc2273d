package place_test

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/place"
)

type (
	inner struct {
		Name  string
		Span  clock.Millis
		Parts []string
	}

	outer struct {
		Address netip.AddrPort
		Share   float64
		Count   int
		On      bool
		Inner   inner
		List    []inner
		Seeds   []netip.AddrPort
		Hidden  hidden

		private string
	}

	// hidden is a text type whose values must not be shown.
	hidden struct{ text *string }
)

func (hidden) Concealed() {}

func (hd *hidden) UnmarshalText(text []byte) error {
	if len(text) < 4 {
		return errors.New("too short")
	}
	word := string(text)
	hd.text = &word
	return nil
}

// Each problem is reported at its line and key.
func TestDecodePlaces(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want []string // "line key"
	}{
		"valid":                       {"Share = 1\nCount = 2\nOn = true\n[Inner]\nName = 'x'\nSpan = '5s'\nParts = ['a']", nil},
		"empty":                       {"", nil},
		"dotted":                      {"Inner.Name = 'x'\nInner.Span = '1s'", nil},
		"inline":                      {"Inner = {Name = 'x', Other = 1}", []string{"1 Inner.Other"}},
		"list of inline":              {"List = [{Name = 'x'},\n {Name = 3}]", []string{"2 List[1].Name"}},
		"host name":                   {"Address = 'vm-1:80'", []string{"1 Address"}},
		"host name in a list":         {"Seeds = ['10.0.0.1:1',\n'vm-1:2']", []string{"2 Seeds[1]"}},
		"letter case":                 {"share = 1", []string{"1 share"}},
		"private":                     {"private = 'x'", []string{"1 private"}},
		"unknown table":               {"[Nothing]\nName = 'x'\n[Inner]\nName = 5", []string{"1 Nothing", "4 Inner.Name"}},
		"span without unit":           {"[Inner]\n\nSpan = 5", []string{"3 Inner.Span"}},
		"span that does not parse":    {"[Inner]\nSpan = 'soon'", []string{"2 Inner.Span"}},
		"span not a number":           {"[Inner]\nSpan = nan", []string{"2 Inner.Span"}},
		"table for a value":           {"[Share]\nName = 'x'", []string{"1 Share"}},
		"value for a table":           {"Inner = 5", []string{"1 Inner"}},
		"table for an address":        {"[Address]", []string{"1 Address"}},
		"table twice":                 {"[Inner]\n[Inner]\nName = 'x'", []string{"2 Inner"}},
		"key below a value":           {"Share.Name = 5", []string{"1 Share.Name"}},
		"array of tables for a value": {"[[Share]]\nName = 1", []string{"1 Share"}},
		"second table in an array":    {"[[List]]\nName = 'x'\n[[List]]\nSpan = 'x'", []string{"4 List[1].Span"}},
		"several problems":            {"Share = 'x'\nCount = 1.5\nOn = 1\nInner = {Name = true}\nZ = 1", []string{"1 Share", "2 Count", "3 On", "4 Inner.Name", "5 Z"}},
		"key twice":                   {"Share = 1\nShare = 2", []string{"2 Share"}},
		"too large":                   {"Count = 99999999999999999999", []string{"1 Count"}},
		"invalid TOML":                {"Share = 1\nCount =", []string{"2 "}},
		"secret":                      {"Hidden = 'abc'", []string{"1 Hidden"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out outer
			err := place.Decode("some.toml", []byte(tc.text), &out, nil)
			var got []string
			var es place.Errors
			if errors.As(err, &es) {
				for _, pe := range es {
					got = append(got, fmt.Sprintf("%d %s", pe.Line, pe.Key))
					assert.Equal(t, pe.File, "some.toml")
					assert.Assert(t, pe.Mend != "")
				}
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

func TestDecodeValue(t *testing.T) {
	var out outer
	text := "Address = '10.0.0.1:80'\nShare = 1\n[[List]]\nName = 'a'\n[[List]]\nSpan = '1500ms'\nParts = ['x', 'y']\n"
	assert.NilError(t, place.Decode("some.toml", []byte(text), &out, nil))
	assert.Equal(t, out.Address, netip.MustParseAddrPort("10.0.0.1:80"))
	assert.Equal(t, out.Share, 1.0)
	assert.DeepEqual(t, out.List, []inner{{Name: "a"}, {Span: 1500, Parts: []string{"x", "y"}}})
	assert.Equal(t, out.private, "")
}

// A check sees the valid part of the text. What it reports at or below the key of an
// invalid expression is dropped.
func TestDecodeChecksTheRest(t *testing.T) {
	var out outer
	err := place.Decode("some.toml", []byte("Count = 3\nShare = 'x'\n[Inner]\nName = 'y'"), &out, func() place.Errors {
		var es place.Errors
		es.Add("Share", "0", "write a share")
		es.Add("Inner.Span", "0s", "write a span")
		es.Add("Count", fmt.Sprint(out.Count), "write less")
		return es
	})
	var es place.Errors
	assert.Assert(t, errors.As(err, &es))
	assert.Equal(t, len(es), 3)
	assert.Equal(t, es[0].Error(), "some.toml:1: Count = 3: write less")
	assert.Equal(t, es[1].Error(), "some.toml:2: Share: write a number instead of this String")
	assert.Equal(t, es[2].Error(), "some.toml:3: Inner.Span = 0s: write a span")

	var pe place.Error
	assert.Assert(t, errors.As(err, &pe))
	assert.Equal(t, pe.Line, 1)
}

func TestDecodeBoundsProblems(t *testing.T) {
	text := strings.Repeat("X = 1\n", place.MaxProblems+7)
	err := place.Decode("some.toml", []byte(text), &outer{}, nil)
	var es place.Errors
	assert.Assert(t, errors.As(err, &es))
	assert.Equal(t, len(es), place.MaxProblems+1)
	assert.Equal(t, es[place.MaxProblems].Error(), "some.toml: mend these first; there are 7 more")
}

// For any text, Decode returns nil or an Errors whose entries have a mend and a line that is
// not negative.
func FuzzDecode(f *testing.F) {
	f.Add("Share = 1\n[[List]]\nName = 'a'\n[List.X]\n[Inner]\nSpan = '1s'")
	f.Add("Inner = {Name = 'x', Parts = ['a', 1]}\nSeeds = ['1.2.3.4:5']")
	f.Add("[List]\nName = 'x'\n[[List]]")
	f.Fuzz(func(t *testing.T, text string) {
		var out outer
		err := place.Decode("f", []byte(text), &out, nil)
		var es place.Errors
		if err != nil && !errors.As(err, &es) {
			t.Fatalf("error of another type: %T", err)
		}
		for _, pe := range es {
			if pe.Mend == "" || pe.Line < 0 {
				t.Fatalf("problem without place or mend: %+v", pe)
			}
		}
	})
}
