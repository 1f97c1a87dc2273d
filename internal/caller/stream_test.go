package caller

import (
	"bufio"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/answer"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

func TestStreamedAnswer(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.rn.begin = answerWith("pit", "ting ", "found") })
	resp := rg.chat(t, headerDeadline, "2s")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	body := text(t, resp)
	content, ids := joinChunks(t, body)
	assert.Equal(t, content, "pitting found")
	assert.DeepEqual(t, ids, []string{"0", "1", "2", "3"})
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	assert.Assert(t, strings.Contains(body, `"finish_reason":"length"`))

	req := rg.rn.started[0]
	assert.Equal(t, req.Key, resp.Header.Get(headerKey))
	assert.Assert(t, !req.KeyGiven && len(req.Key) >= 26)
	assert.Equal(t, req.Class.Name, "findings")
	assert.Equal(t, req.Deadline, 2*clock.Second)
	assert.Equal(t, req.Chat.MaxTokens, 100)
	assert.Equal(t, req.Chat.Prompt, `[{"role":"user","content":"weld 7"}]`)
}

func TestWholeAnswer(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.rn.begin = answerWith("å", "ben") })
	resp := rg.do(t, http.MethodPost, "/v1/chat/completions", strings.Replace(chatText, "true", "false", 1))
	var ca chatAnswer
	assert.NilError(t, json.Unmarshal([]byte(text(t, resp)), &ca))
	assert.Equal(t, ca.Choices[0].Message.Content, "åben")
	assert.Equal(t, ca.Usage.TotalTokens, 5)
}

func TestResumeContinuesWhereItBroke(t *testing.T) {
	rg := serve(t, func(rg *rig) {
		rg.rn.begin = answerWith("a", "\xc3", "\xa5", "b") // one character spans two events
	})
	first, _ := joinChunks(t, text(t, rg.chat(t, headerKey, "k1")))
	assert.Equal(t, first, "aåb")
	want := []string{"åb", "åb", "b", "", ""} // after events 0 to 4
	for last, rest := range want {
		resp := rg.chat(t, headerKey, "k1", headerLastID, string(rune('0'+last)))
		content, ids := joinChunks(t, text(t, resp))
		assert.Equal(t, content, rest, "after %d", last)
		assert.Equal(t, ids[len(ids)-1], "4", "the final event comes to every caller")
	}
	resp := rg.do(t, http.MethodGet, "/v1/answers/k1", "", headerLastID, "2", "Accept", "text/event-stream")
	content, _ := joinChunks(t, text(t, resp))
	assert.Equal(t, content, "b")
	resp = rg.do(t, http.MethodGet, "/v1/answers/none", "")
	assert.Equal(t, refusalIn(t, resp).Ran, refusal.MayHaveRun)

	assert.Assert(t, rg.rn.started[len(rg.rn.started)-1].Resumed, "the runner is informed that the caller has a part")
	runs := len(rg.rn.streams)
	resp = rg.chat(t, headerKey, "forgotten", headerLastID, "2")
	assert.Equal(t, refusalIn(t, resp).Reason, refusal.AnswerExpired)
	assert.Assert(t, rg.rn.started[len(rg.rn.started)-1].Resumed)
	assert.Equal(t, len(rg.rn.streams), runs, "a new run is not the rest of an old one")
}

// Every reason has the same status and headers, whether the runner refuses the request
// or the answer ends in the refusal.
func TestRefusalsHaveTheirStatus(t *testing.T) {
	for reason, code := range statusOf {
		rf := refusal.Refusal{Ran: refusal.NotRun, Reason: reason, RetryAfter: 1001, Detail: "why"}
		for _, asEvent := range []bool{true, false} {
			rg := serve(t, func(rg *rig) {
				rg.rn.begin = func(_ Request, st *answer.Stream) error {
					if asEvent {
						return st.Refuse(rf)
					}
					return rf
				}
			})
			resp := rg.chat(t)
			assert.Equal(t, resp.StatusCode, code, reason)
			assert.Equal(t, resp.Header.Get("Retry-After"), "2")
			assert.DeepEqual(t, refusalIn(t, resp), rf)
			assert.Equal(t, rg.counterSum("Refusals", string(reason)), int64(1))
			assert.Assert(t, resp.Header.Get(headerKey) != "")
		}
	}
}

func TestRefusalInTheStream(t *testing.T) {
	rf := refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.VMLost, RetryAfter: 1500}
	rg := serve(t, func(rg *rig) {
		rg.rn.begin = func(_ Request, st *answer.Stream) error {
			_ = st.Token([]byte("half"))
			return st.Refuse(rf)
		}
	})
	body := text(t, rg.chat(t))
	assert.Assert(t, !strings.Contains(body, "[DONE]"))
	_, event, ok := strings.Cut(body, "id: 1\nevent: refusal\ndata: ")
	assert.Assert(t, ok, body)
	assert.Equal(t, event, `{"Ran":"MayHaveRun","Reason":"VMLost","RetryAfter":"1.5s","Detail":""}`+"\n\n")
}

func TestSilentStreamBeginsAndRefusesLater(t *testing.T) {
	rg := serve(t, func(rg *rig) {
		rg.Limits = Limits{HeaderWait: 1, KeepAlive: 1}
	})
	resp := rg.chat(t, headerKey, "quiet") // returns once the status was sent, before any event
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, rg.rn.streams["quiet"].Refuse(refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull}))
	body := text(t, resp)
	assert.Assert(t, strings.HasPrefix(body, ": keep-alive\n\n"))
	assert.Assert(t, strings.Contains(body, "event: refusal\n"))
}

// BenchmarkStream measures one event of a streamed answer over loopback.
func BenchmarkStream(b *testing.B) {
	srv := &Server{Runner: &fakeRunner{streams: map[string]*answer.Stream{}}, Board: testBoard()}
	_, err := srv.handler()
	assert.NilError(b, err)
	st := answer.NewStream()
	hs := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		srv.delivery(wr, req, "", "k", fromStart).deliver(st, true)
	}))
	defer hs.Close()
	assert.NilError(b, st.Token([]byte("tok")))
	resp, err := http.Get(hs.URL)
	assert.NilError(b, err)
	defer func() { _ = resp.Body.Close() }()
	sc := bufio.NewScanner(resp.Body)
	b.ReportAllocs()
	for b.Loop() {
		for sc.Scan() && sc.Text() != "" {
			continue
		}
		if err := st.Token([]byte("tok")); err != nil {
			b.Fatal(err)
		}
	}
	assert.NilError(b, st.End(nil))
}

// Guards against mixing two runs in one answer: if the key of a caller with a part of
// an answer runs again from its start, and the new answer is shorter than that part,
// its end must not reach the caller as the end of the part.
func TestEndOfAShorterAnswerIsRefused(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.rn.begin = answerWith("a", "b") })
	text(t, rg.chat(t, headerKey, "k1"))
	for _, tc := range []struct {
		last  string
		whole bool
	}{{"0", true}, {"1", true}, {"2", true}, {"3", false}, {"17", false}} { // the end is event 2
		resp := rg.chat(t, headerKey, "k1", headerLastID, tc.last)
		if tc.whole {
			assert.Assert(t, strings.HasSuffix(text(t, resp), "data: [DONE]\n\n"), "after %s", tc.last)
			continue
		}
		rf := refusalIn(t, resp)
		assert.Equal(t, rf.Reason, refusal.AnswerExpired, "after %s", tc.last)
		assert.Equal(t, rf.Ran, refusal.MayHaveRun)
	}
}
