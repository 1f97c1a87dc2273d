package template_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/place"
	"alderdyke/pkg/template"
)

func validTemplate() template.Template {
	return template.Template{
		Customer:      "kedelsyn",
		KeyHashes:     []string{template.HashKey("a key")},
		PrefillWeight: 0.5,
		Classes: []template.Class{
			{
				Name: "findings", Service: "rapportmodel", Urgency: template.Patient, Idempotent: true,
				TTFT: 20 * clock.Second, TPOT: 100, Deadline: 5 * clock.Minute, StreamWait: clock.Minute,
				Share: 0.7, MaxTokens: 2048,
			},
			{
				Name: "records", Service: "feltapp", Urgency: template.Quick, Paths: []string{"/records"},
				TTFT: 250, Deadline: 2 * clock.Second, Share: 1,
			},
		},
	}
}

func keysOf(err error) []string {
	var keys []string
	var es place.Errors
	if errors.As(err, &es) {
		for _, pe := range es {
			keys = append(keys, pe.Key)
		}
	}
	return keys
}

func TestValidate(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(tp *template.Template, findings, records *template.Class)
		want   []string
	}{
		"valid":            {func(*template.Template, *template.Class, *template.Class) {}, nil},
		"no customer":      {func(tp *template.Template, _, _ *template.Class) { tp.Customer = "" }, []string{"Customer"}},
		"invalid customer": {func(tp *template.Template, _, _ *template.Class) { tp.Customer = "a/b" }, []string{"Customer"}},
		"no key hash":      {func(tp *template.Template, _, _ *template.Class) { tp.KeyHashes = nil }, []string{"KeyHashes"}},
		"bad hash":         {func(tp *template.Template, _, _ *template.Class) { tp.KeyHashes[0] = "sk-secret" }, []string{"KeyHashes[0]"}},
		"upper-case hash":  {func(tp *template.Template, _, _ *template.Class) { tp.KeyHashes[0] = strings.Repeat("AB", 32) }, []string{"KeyHashes[0]"}},
		"weight not a num": {func(tp *template.Template, _, _ *template.Class) { tp.PrefillWeight = math.NaN() }, []string{"PrefillWeight"}},
		"weight above 1":   {func(tp *template.Template, _, _ *template.Class) { tp.PrefillWeight = 1.1 }, []string{"PrefillWeight"}},
		"no classes":       {func(tp *template.Template, _, _ *template.Class) { tp.Classes = nil }, []string{"Classes"}},
		"same name":        {func(_ *template.Template, _, re *template.Class) { re.Name = "findings" }, []string{"Classes[1].Name"}},
		"no service":       {func(_ *template.Template, fi, _ *template.Class) { fi.Service = "" }, []string{"Classes[0].Service"}},
		"urgency":          {func(_ *template.Template, fi, _ *template.Class) { fi.Urgency = "Soon" }, []string{"Classes[0].Urgency"}},
		"share infinite":   {func(_ *template.Template, fi, _ *template.Class) { fi.Share = math.Inf(1) }, []string{"Classes[0].Share"}},
		"share not a num":  {func(_ *template.Template, fi, _ *template.Class) { fi.Share = math.NaN() }, []string{"Classes[0].Share"}},
		"share zero":       {func(_ *template.Template, fi, _ *template.Class) { fi.Share = 0 }, []string{"Classes[0].Share"}},
		"negative target":  {func(_ *template.Template, fi, _ *template.Class) { fi.TTFT = -5 }, []string{"Classes[0].TTFT"}},
		"zero target":      {func(_ *template.Template, fi, _ *template.Class) { fi.TPOT = 0 }, []string{"Classes[0].TPOT"}},
		"no deadline":      {func(_ *template.Template, _, re *template.Class) { re.Deadline = 0 }, []string{"Classes[1].Deadline"}},
		"target too late":  {func(_ *template.Template, _, re *template.Class) { re.TTFT = 3 * clock.Second }, []string{"Classes[1].TTFT"}},
		"wait too long":    {func(_ *template.Template, fi, _ *template.Class) { fi.StreamWait = clock.Hour }, []string{"Classes[0].StreamWait"}},
		"wait negative":    {func(_ *template.Template, fi, _ *template.Class) { fi.StreamWait = -1 }, []string{"Classes[0].StreamWait"}},
		"no tokens":        {func(_ *template.Template, fi, _ *template.Class) { fi.MaxTokens = 0 }, []string{"Classes[0].MaxTokens"}},
		"tokens of plain":  {func(_ *template.Template, _, re *template.Class) { re.MaxTokens, re.TPOT = 5, 5 }, []string{"Classes[1].TPOT", "Classes[1].MaxTokens"}},
		"invalid path":     {func(_ *template.Template, _, re *template.Class) { re.Paths[0] = "/a/../b" }, []string{"Classes[1].Paths[0]"}},
		"path twice":       {func(_ *template.Template, _, re *template.Class) { re.Paths = []string{"/a", "/a"} }, []string{"Classes[1].Paths[1]"}},
		"model and plain":  {func(_ *template.Template, _, re *template.Class) { re.Service, re.Share = "rapportmodel", 0.3 }, []string{"Classes[1].Paths"}},
		"shares above 1": {func(tp *template.Template, fi, _ *template.Class) {
			more := *fi
			more.Name, more.Share = "more", 0.4
			tp.Classes = append(tp.Classes, more)
		}, []string{"Classes[2].Share"}},
	} {
		t.Run(name, func(t *testing.T) {
			tp := validTemplate()
			tc.change(&tp, &tp.Classes[0], &tp.Classes[1])
			err := tp.Validate()
			assert.DeepEqual(t, keysOf(err), tc.want)
			assert.Equal(t, err == nil, tc.want == nil)
			if err != nil {
				assert.Assert(t, !strings.Contains(err.Error(), "sk-secret"), "the error contains a value that may be an API key")
			}
		})
	}
}

func TestParseReportsLines(t *testing.T) {
	text, err := template.Marshal(validTemplate())
	assert.NilError(t, err)
	broken := strings.ReplaceAll(string(text), "TTFT = '20s'", "TTFT = 20\nTtft = '1s'")
	broken = strings.ReplaceAll(broken, "StreamWait = '1m0s'", "StreamWait = '1h0m0s'")

	_, err = template.Parse("kedelsyn.toml", []byte(broken))
	var es place.Errors
	assert.Assert(t, errors.As(err, &es))
	assert.DeepEqual(t, keysOf(err), []string{"Classes[0].TTFT", "Classes[0].Ttft", "Classes[0].StreamWait"})
	lines := strings.Split(broken, "\n")
	for _, pe := range es {
		name := pe.Key[strings.LastIndex(pe.Key, ".")+1:]
		assert.Assert(t, strings.HasPrefix(lines[pe.Line-1], name), "line %d: %q", pe.Line, lines[pe.Line-1])
	}

	_, err = template.Parse("big.toml", make([]byte, template.MaxTextBytes+1))
	assert.ErrorContains(t, err, "at most")
}

func TestExamples(t *testing.T) {
	weights := map[string]float64{}
	for _, name := range []string{"kedelsyn", "hoalua"} {
		file := filepath.Join("..", "..", "examples", name+".toml")
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		tp, err := template.Parse(file, text)
		assert.NilError(t, err)
		assert.Equal(t, tp.Customer, name)
		assert.DeepEqual(t, tp.KeyHashes, []string{template.HashKey(name + "-demo-key")})
		weights[name] = tp.PrefillWeight
	}
	assert.Assert(t, weights["kedelsyn"] > weights["hoalua"])
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tp := validTemplate().
			WithPrefillWeight(rapid.Float64Range(0, 1).Draw(rt, "weight")).
			WithKeyHash(template.HashKey(rapid.String().Draw(rt, "key")))
		cl := tp.Classes[0].
			WithShare(rapid.Float64Range(0.001, 1).Draw(rt, "share")).
			WithTargets(clock.Millis(rapid.IntRange(1, 1000).Draw(rt, "ttft")), clock.Millis(rapid.IntRange(1, 1000).Draw(rt, "tpot"))).
			WithDeadline(clock.Millis(rapid.IntRange(60_000, 86_400_000).Draw(rt, "deadline")))
		tp = tp.WithClass(cl)

		text, err := template.Marshal(tp)
		assert.NilError(rt, err)
		back, err := template.Parse("t", text)
		assert.NilError(rt, err)
		assert.DeepEqual(rt, back, tp)

		text, err = json.Marshal(tp)
		assert.NilError(rt, err)
		back, err = template.DecodeJSON("t", text)
		assert.NilError(rt, err)
		assert.DeepEqual(rt, back, tp)
	})
}

func TestDecodeJSONRejects(t *testing.T) {
	text, err := json.Marshal(validTemplate())
	assert.NilError(t, err)
	for name, bad := range map[string]string{
		"unknown key": strings.Replace(string(text), `"Customer"`, `"Colour":1,"Customer"`, 1),
		"trailing":    string(text) + "{}",
		"span":        strings.Replace(string(text), `"20s"`, `"20"`, 1),
		"type":        strings.Replace(string(text), `"kedelsyn"`, `5`, 1),
		"truncated":   string(text[:len(text)-1]),
		"invalid":     strings.Replace(string(text), `"kedelsyn"`, `""`, 1),
		"empty":       "",
		"too long":    strings.Repeat(" ", template.MaxTextBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := template.DecodeJSON("t", []byte(bad))
			var pe place.Error
			assert.Assert(t, errors.As(err, &pe), "%v", err)
		})
	}
}

// With methods do not modify the value that they are called on.
func TestWithMethodsCopy(t *testing.T) {
	tp, want := validTemplate(), validTemplate()
	other := tp.WithCustomer("other").
		WithClass(tp.Classes[0].WithShare(0.1)).
		WithClass(template.Class{Name: "new"}).
		WithoutClass("records").
		WithKeyHash("x").
		WithoutKeyHash(tp.KeyHashes[0])
	assert.DeepEqual(t, tp, want)
	assert.DeepEqual(t, other.KeyHashes, []string{"x"})
	assert.Equal(t, len(other.Classes), 2)
	assert.Equal(t, other.Classes[0].Share, 0.1)
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"kedelsyn", "hoalua"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".toml"))
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		tp, err := template.Parse("f", text)
		if err != nil {
			if len(keysOf(err)) == 0 {
				t.Fatalf("error without a problem: %v", err)
			}
			return
		}
		back, err := template.Marshal(tp)
		assert.NilError(t, err)
		again, err := template.Parse("g", back)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, tp)
	})
}

func FuzzDecodeJSON(f *testing.F) {
	text, err := json.Marshal(validTemplate())
	assert.NilError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		tp, err := template.DecodeJSON("f", text)
		if err == nil && tp.Validate() != nil {
			t.Fatal("accepted a template that is not valid")
		}
	})
}

func ExampleParse() {
	text := `
Customer = "kedelsyn"
KeyHashes = ["` + template.HashKey("a key") + `"]

[[Classes]]
Name = "findings"
Service = "rapportmodel"
Urgency = "Patient"
TTFT = "20s"
TPOT = "100ms"
Deadline = "5m"
StreamWait = "10m"
Share = 1.5
MaxTokens = 2048
`
	_, err := template.Parse("kedelsyn.toml", []byte(text))
	fmt.Println(err)
	// Output:
	// kedelsyn.toml:12: Classes[0].StreamWait = 10m0s: write at most the Deadline of 5m0s
	// kedelsyn.toml:13: Classes[0].Share = 1.5: write a number above 0 and up to 1
}
