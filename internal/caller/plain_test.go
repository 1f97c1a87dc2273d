package caller

import (
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

func TestPlainServices(t *testing.T) {
	rg := serve(t, func(rg *rig) {
		rg.rn.begin = func(_ Request, st *answer.Stream) error {
			data, err := PlainAnswer{
				Status: http.StatusTeapot, Body: []byte("full"),
				Header: http.Header{"X-Plant": {"7"}, headerRefusal: {"Starting"}, "Connection": {"close"}},
			}.Encode()
			if err != nil {
				return err
			}
			return st.Whole(data)
		}
	})
	resp := rg.do(t, http.MethodPut, "/services/feltapp/records/a%20b?q=1", "body", "X-In", "1", "Te", "trailers")
	assert.Equal(t, resp.StatusCode, http.StatusTeapot)
	assert.Equal(t, text(t, resp), "full")
	assert.Equal(t, resp.Header.Get("X-Plant"), "7")
	assert.Equal(t, resp.Header.Get(headerRefusal), "", "a service can't fake a refusal")
	got := rg.rn.started[0]
	assert.Equal(t, got.Class.Name, "lookup")
	assert.Equal(t, got.Plain.Path+"?"+got.Plain.Query, "/records/a%20b?q=1")
	assert.Equal(t, string(got.Plain.Body), "body")
	assert.Equal(t, got.Plain.Header.Get("X-In"), "1")
	assert.Equal(t, got.Plain.Header.Get("Authorization")+got.Plain.Header.Get("Te"), "")
	for path, want := range map[string]refusal.Reason{
		"/services/feltapp/records/../certify":     refusal.BadRequest,
		"/services/feltapp/records/%2e%2e/certify": refusal.BadRequest,
		"/services/feltapp/records%2fcertify":      refusal.BadRequest,
		"/services/feltapp//records":               refusal.BadRequest,
		"/services/other/records":                  refusal.UnknownService,
	} {
		assert.Equal(t, refusalIn(t, rg.do(t, http.MethodGet, path, "")).Reason, want, path)
	}
	for path, want := range map[string]string{"/records": "lookup", "/recordsX": "certify", "/records/certify/1": "certify", "/": "certify"} {
		assert.Equal(t, rg.do(t, http.MethodGet, "/services/feltapp"+path, "").StatusCode, http.StatusTeapot)
		assert.Equal(t, rg.rn.started[len(rg.rn.started)-1].Class.Name, want, path)
	}
}

func TestFingerprint(t *testing.T) {
	mark := func(body string) string {
		cb, err := parseChat([]byte(body))
		assert.NilError(t, err)
		ch, err := cb.newChat(template.Class{MaxTokens: 5})
		assert.NilError(t, err)
		return hex.EncodeToString(ch.fingerprint("findings"))
	}
	one := mark(chatText)
	assert.Equal(t, one, mark(`{"stream":false,"user":"x","messages":[{"content":[{"type":"text","text":"weld 7"}],"role":"user"}],"model":"rapportmodel"}`))
	assert.Assert(t, one != mark(strings.Replace(chatText, "weld 7", "weld 8", 1)))
	assert.Assert(t, one != mark(strings.Replace(chatText, "{", `{"max_tokens":2,`, 1)))
}

func TestUnreadableAnswersMayHaveRun(t *testing.T) {
	for name, begin := range map[string]func(Request, *answer.Stream) error{
		"whole":   func(_ Request, st *answer.Stream) error { return st.Whole([]byte(`{"Status":1}`)) },
		"end":     func(_ Request, st *answer.Stream) error { return st.End([]byte(`{"Tokens":"x"}`)) },
		"unknown": func(_ Request, st *answer.Stream) error { return st.Add(answer.Event{Kind: "Whole?"}) },
		"fault":   func(Request, *answer.Stream) error { return io.ErrClosedPipe },
	} {
		t.Run(name, func(t *testing.T) {
			rg := serve(t, func(rg *rig) { rg.rn.begin = begin })
			assert.Equal(t, refusalIn(t, rg.do(t, http.MethodGet, "/services/feltapp/x", "")).Ran, refusal.MayHaveRun)
			assert.Equal(t, refusalIn(t, rg.chat(t)).Ran, refusal.MayHaveRun)
			rg.halt(t) // every handler has returned
		})
	}
}

func TestPlainAnswerOnAStreamThatBegan(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.Limits = Limits{HeaderWait: 1} })
	st := answer.NewStream()
	rg.rn.streams["k"] = st
	resp := rg.do(t, http.MethodGet, "/v1/answers/k", "", "Accept", "text/event-stream")
	data, err := PlainAnswer{Status: 200, Body: []byte("x")}.Encode()
	assert.NilError(t, err)
	assert.NilError(t, st.Whole(data))
	assert.Assert(t, strings.Contains(text(t, resp), "event: whole\ndata: "+string(data)+"\n\n"))
}
