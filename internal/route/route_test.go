package route_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/route"
)

func shares(names ...string) []route.Share {
	var out []route.Share
	for _, name := range names {
		out = append(out, route.Share{Service: name, Weight: 1})
	}
	return out
}

func table(t *testing.T, version uint64) *route.Table {
	t.Helper()
	tb, err := route.New(version, []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/", Kind: route.Once, Shares: shares("s1")},
		{Name: "deep", Host: "A.example", Prefix: "/x/y/", Kind: route.Idempotent, Shares: shares("s2")},
		{Name: "mid", Host: "a.example", Prefix: "/x/", Kind: route.Stream, Shares: shares("s3")},
	}, []route.Service{{Name: "s3", Engines: &route.Engines{MemoryTokens: 9}}})
	assert.NilError(t, err)
	return tb
}

func TestMatchLongestPrefix(t *testing.T) {
	tb := table(t, 1)
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.EXAMPLE", "/x/y", "mid"},
		{"a.example", "/xy", "all"},
		{"b.example", "/x/y/z", ""},
	} {
		rt, ok := tb.Match(tc.host, tc.path)
		assert.Equal(t, ok, tc.want != "", "%s%s", tc.host, tc.path)
		assert.Equal(t, rt.Name, tc.want, "%s%s", tc.host, tc.path)
	}
}

func TestNilTable(t *testing.T) {
	var tb *route.Table
	_, ok := tb.Match("a.example", "/")
	assert.Assert(t, !ok)
	assert.Equal(t, tb.Version(), uint64(0))
	assert.Equal(t, len(tb.EngineServices()), 0)
	assert.Equal(t, tb.Service("s").Name, "s")
}

func TestEngineServices(t *testing.T) {
	tb := table(t, 1)
	assert.Equal(t, len(tb.EngineServices()), 1)
	assert.Equal(t, tb.Service("s3").Engines.MemoryTokens, 9)
	assert.Assert(t, tb.Service("s1").Engines == nil)
}

func TestInvalidRoutes(t *testing.T) {
	for _, tc := range []struct {
		name string
		rt   route.Route
	}{
		{"prefix without leading slash", route.Route{Prefix: "x/", Kind: route.Once, Shares: shares("s")}},
		{"prefix without trailing slash", route.Route{Prefix: "/x", Kind: route.Once, Shares: shares("s")}},
		{"no service", route.Route{Prefix: "/", Kind: route.Once}},
		{"no kind", route.Route{Prefix: "/", Shares: shares("s")}},
		{"zero weight", route.Route{Prefix: "/", Kind: route.Once, Shares: []route.Share{{Service: "s"}}}},
	} {
		_, err := route.New(3, []route.Route{tc.rt}, nil)
		var re *route.Error
		assert.Assert(t, errors.As(err, &re), tc.name)
	}
}

func TestPickServiceByWeight(t *testing.T) {
	rt := route.Route{Shares: []route.Share{{Service: "s1", Weight: 9}, {Service: "s2", Weight: 1}}}
	for _, tc := range []struct {
		point float64
		want  string
	}{{0, "s1"}, {0.89, "s1"}, {0.91, "s2"}, {0.999, "s2"}} {
		assert.Equal(t, rt.PickService(tc.point), tc.want)
	}
}

func ExampleTable_Match() {
	tb, _ := route.New(7, []route.Route{{Name: "records", Host: "records.example", Prefix: "/plants/",
		Kind: route.Idempotent, Shares: []route.Share{{Service: "feltapp", Weight: 1}}}}, nil)
	rt, ok := tb.Match("records.example", "/plants/17")
	fmt.Println(rt.Name, ok, tb.Version())
	// Output: records true 7
}
