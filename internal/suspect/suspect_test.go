package suspect_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

func markOf(name string) suspect.Mark { return suspect.MarkOf([]byte("key"), []byte(name)) }

// end is an end with others beside, before the server answered.
func end(name, server string) suspect.End {
	return suspect.End{Mark: markOf(name), Server: server, Beside: 7}
}

func TestMarkIsOfKeyAndParts(t *testing.T) {
	parts := func(parts ...string) (out [][]byte) {
		for _, part := range parts {
			out = append(out, []byte(part))
		}
		return out
	}
	one := suspect.MarkOf([]byte("key"), parts("POST", "h", "/x")...)
	assert.Equal(t, one, suspect.MarkOf([]byte("key"), parts("POST", "h", "/x")...))
	for _, other := range []suspect.Mark{
		suspect.MarkOf([]byte("other"), parts("POST", "h", "/x")...),
		suspect.MarkOf([]byte("key"), parts("POST", "h/", "x")...),
		suspect.MarkOf([]byte("key"), parts("POST", "h", "/x", "")...),
	} {
		assert.Assert(t, one != other)
	}
}

// fives is five ends of a request, so far from each other, each with one of another
// request at another server.
func fives(other, name string, apart clock.Millis) (out []suspect.End) {
	for ix := range 5 {
		age := clock.Millis(4-ix) * apart
		one, two := end(other, fmt.Sprint("o", ix)), end(name, fmt.Sprint("n", ix))
		one.Age, two.Age = age, age
		out = append(out, one, two)
	}
	return out
}

// What ends come to, and what is made of it.
func TestEvidence(t *testing.T) {
	const moment, apart = clock.Millis(1), clock.Second
	answered := func(en suspect.End) suspect.End { en.Answered = true; return en }
	alone := func(en suspect.End) suspect.End { en.Beside = 0; return en }
	for _, tc := range []struct {
		name  string
		every clock.Millis // between two ends
		ends  []suspect.End
		want  suspect.Verdict
	}{
		{"one", apart, []suspect.End{end("a", "1")}, suspect.Suspected},
		{"two", apart, []suspect.End{end("a", "1"), end("a", "2")}, suspect.Suspected},
		{"three", apart, []suspect.End{end("a", "1"), end("a", "2"), end("a", "3")}, suspect.Refused},
		{"one that three VMs tell of", apart, []suspect.End{end("a", "1"), end("a", "1"), end("a", "1")}, suspect.Suspected},
		{"two alone", apart, []suspect.End{alone(end("a", "1")), alone(end("a", "2"))}, suspect.Refused},
		{"three answered", apart, []suspect.End{answered(end("a", "1")), answered(end("a", "2")), answered(end("a", "3"))}, suspect.Suspected},
		{"another's", apart, []suspect.End{end("b", "1"), end("b", "2"), end("b", "3")}, suspect.Clear},
		{"with many servers at once", moment, []suspect.End{end("b", "4"), end("b", "5"), end("a", "1"), end("a", "2"), end("a", "3")}, suspect.Suspected},
		{"five answered", apart, []suspect.End{answered(end("a", "1")), answered(end("a", "2")), answered(end("a", "3")),
			answered(end("a", "4")), answered(end("a", "5"))}, suspect.Refused},
		{"five times with a server beside", 0, fives("b", "a", 2*apart), suspect.Refused},
		{"five at once, with five beside", 0, fives("b", "a", moment), suspect.Suspected},
		{"beside one that is refused", apart, []suspect.End{end("b", "1"), end("b", "2"), end("b", "3"), end("a", "1"), end("a", "2"), end("a", "3")}, suspect.Clear},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := &suspect.Tracker{}
			now := clock.Minute
			for _, en := range tc.ends {
				tr.Note(now, en)
				now += tc.every
			}
			vd, _ := tr.Look(now, markOf("a"))
			assert.Equal(t, vd, tc.want)
		})
	}
}

// A refusal says when it ends, and ends then.
func TestRefusalEnds(t *testing.T) {
	tr := &suspect.Tracker{}
	for ix := range 3 {
		tr.Note(clock.Millis(ix)*clock.Second, end("a", fmt.Sprint(ix)))
	}
	vd, span := tr.Look(3*clock.Second, markOf("a"))
	assert.Equal(t, vd, suspect.Refused)
	assert.Equal(t, span, suspect.DefaultKeep-3*clock.Second)
	assert.Equal(t, len(tr.Forget(3*clock.Second)), 0)
	assert.DeepEqual(t, tr.Forget(3*clock.Second+span), []suspect.Mark{markOf("a")})
	vd, _ = tr.Look(3*clock.Second+span, markOf("a"))
	assert.Equal(t, vd, suspect.Suspected)
	tr.Forget(clock.Hour)
	assert.Assert(t, !tr.Any())
}

// A whole answer takes the newest end back, and nobody's later word brings it back.
func TestWholeAnswerForgives(t *testing.T) {
	tr, other := &suspect.Tracker{}, &suspect.Tracker{}
	for _, en := range []suspect.End{end("a", "1"), end("a", "2")} {
		tr.Note(0, en)
		other.Note(0, en)
	}
	_, forgiven := tr.Worked(clock.Second, markOf("a"))
	assert.Equal(t, forgiven.Server, "2")
	assert.Assert(t, forgiven.Forgiven)
	assert.Equal(t, other.Note(clock.Second, forgiven).Weight, 1.0)
	assert.Equal(t, tr.Note(clock.Second, end("a", "2")).Weight, 1.0)
	assert.Equal(t, tr.Note(clock.Second, end("a", "3")).Now, suspect.Suspected)
	_, _ = tr.Worked(clock.Second, markOf("a"))
	ch, _ := tr.Worked(clock.Second, markOf("a"))
	assert.Equal(t, ch.Now, suspect.Clear)
	_, none := tr.Worked(clock.Second, markOf("a"))
	assert.Equal(t, none.Server, "")
}

// A VM that started late learns what the others know, with its age.
func TestRetell(t *testing.T) {
	tr, late := &suspect.Tracker{}, &suspect.Tracker{}
	tr.Note(0, end("once", "9"))
	for ix := range 3 {
		tr.Note(clock.Millis(ix)*clock.Second, end("a", fmt.Sprint(ix)))
	}
	now := clock.Minute
	for _, en := range tr.Retell(now, 12) {
		late.Note(clock.Hour, en)
	}
	vd, span := late.Look(clock.Hour, markOf("a"))
	assert.Equal(t, vd, suspect.Refused)
	assert.Equal(t, span, suspect.DefaultKeep-now)
	vd, _ = late.Look(clock.Hour, markOf("once"))
	assert.Equal(t, vd, suspect.Clear)
	assert.Equal(t, len(tr.Retell(now, 2)), 2)
	assert.Equal(t, late.Note(clock.Hour, suspect.End{Mark: markOf("b"), Server: "1", Age: suspect.DefaultKeep}).Now, suspect.Clear)
}

// A VM that has just started learns of requests with one end too.
func TestKnown(t *testing.T) {
	tr, started := &suspect.Tracker{}, &suspect.Tracker{}
	tr.Note(10*clock.Second, end("once", "9"))
	for ix := range 2 {
		tr.Note(clock.Millis(ix)*clock.Second, end("a", fmt.Sprint(ix)))
	}
	for _, en := range tr.Known(clock.Minute, 12) {
		started.Note(clock.Hour, en)
	}
	for _, name := range []string{"once", "a"} {
		vd, _ := started.Look(clock.Hour, markOf(name))
		assert.Equal(t, vd, suspect.Suspected, name)
	}
	assert.Equal(t, started.Note(clock.Hour, end("a", "3")).Now, suspect.Refused)
	assert.Equal(t, len(tr.Known(clock.Minute, 2)), 2)
	assert.Equal(t, tr.Known(clock.Minute, 2)[0].Mark, markOf("a"), "of which most is known")
}

// However many requests come under suspicion, those of which most is known stay.
func TestMemoryIsBounded(t *testing.T) {
	tr := &suspect.Tracker{Settings: suspect.Settings{Most: 20}}
	for ix := range 3 {
		tr.Note(clock.Millis(ix)*clock.Second, end("a", fmt.Sprint("killed ", ix)))
	}
	for ix := range 1000 {
		tr.Note(clock.Minute, end(fmt.Sprint("other ", ix), fmt.Sprint(ix)))
	}
	vd, _ := tr.Look(clock.Minute, markOf("a"))
	assert.Equal(t, vd, suspect.Refused)
	assert.Assert(t, len(tr.Retell(clock.Minute, 10000)) <= 3*20)
}

// What a request costs while some other is under suspicion: its mark.
func BenchmarkMarkOf(b *testing.B) {
	body := make([]byte, 5000)
	for b.Loop() {
		suspect.MarkOf([]byte("0123456789abcdef0123456789abcdef"), []byte("POST"), []byte("host"), []byte("/a/b"), body)
	}
}
