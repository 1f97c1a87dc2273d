package caller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

func TestCallersAreAuthenticated(t *testing.T) {
	rg := serve(t, nil)
	for _, header := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic " + testKey, "Bearer " + strings.Repeat("x", 600)} {
		for _, path := range []string{"/v1/addresses", "/v1/answers/k", "/services/feltapp/records"} {
			resp := rg.do(t, http.MethodGet, path, "", "Authorization", header)
			assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
			assert.Equal(t, refusalIn(t, resp).Ran, refusal.NotRun)
		}
	}
	assert.Equal(t, rg.counterSum("Unauthenticated", ""), int64(18))
	rg.Board.SetTemplates(&board.Templates{})
	resp := rg.chat(t)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, refusalIn(t, resp).Reason, refusal.Starting)
	assert.Equal(t, len(rg.rn.started), 0)
}

func TestBadRequestsNeverStart(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.Limits = Limits{MaxBody: 200} })
	good := chatText
	for name, tc := range map[string]struct {
		body   string
		header []string
		want   refusal.Reason
	}{
		"no JSON":         {"{", nil, refusal.BadRequest},
		"trailing data":   {good + "{}", nil, refusal.BadRequest},
		"no messages":     {`{"model":"rapportmodel"}`, nil, refusal.BadRequest},
		"two answers":     {strings.Replace(good, "{", `{"n":2,`, 1), nil, refusal.BadRequest},
		"no tokens":       {strings.Replace(good, "{", `{"max_tokens":0,`, 1), nil, refusal.BadRequest},
		"image part":      {`{"model":"rapportmodel","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, refusal.BadRequest},
		"unknown model":   {strings.Replace(good, "rapport", "other", 1), nil, refusal.UnknownService},
		"plain as model":  {strings.Replace(good, "rapportmodel", "feltapp", 1), nil, refusal.UnknownService},
		"unknown class":   {good, []string{headerClass, "lookup"}, refusal.UnknownClass},
		"long key":        {good, []string{headerKey, strings.Repeat("k", 129)}, refusal.BadRequest},
		"key with spaces": {good, []string{headerKey, "a b"}, refusal.BadRequest},
		"bad deadline":    {good, []string{headerDeadline, "-2s"}, refusal.BadRequest},
		"bad last event":  {good, []string{headerKey, "k", headerLastID, "-1"}, refusal.BadRequest},
		"resume, no key":  {good, []string{headerLastID, "3"}, refusal.BadRequest},
		"too large":       {good + strings.Repeat(" ", 200), nil, refusal.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			rf := refusalIn(t, rg.do(t, http.MethodPost, "/v1/chat/completions", tc.body, tc.header...))
			assert.Equal(t, rf.Reason, tc.want)
			assert.Equal(t, rf.Ran, refusal.NotRun)
		})
	}
	rf := refusalIn(t, rg.do(t, http.MethodPatch, "/v1/chat/completions", ""))
	assert.Equal(t, rf.Reason, refusal.UnknownService)
	assert.Equal(t, len(rg.rn.started), 0)
}

func TestPlannedStopLetsStreamsFinish(t *testing.T) {
	linger, asked := make(chan time.Time), make(chan clock.Millis, 1)
	rg := serve(t, func(rg *rig) {
		rg.Limits.HeaderWait = 1
		rg.Linger = func(span clock.Millis) <-chan time.Time {
			asked <- span
			return linger
		}
	})
	open := rg.chat(t, headerKey, "long")
	rg.rn.setRefuse(refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.Draining, RetryAfter: 1})
	rg.stop()
	assert.Equal(t, <-asked, 35*clock.Second)
	resp := rg.chat(t)
	assert.Equal(t, refusalIn(t, resp).Reason, refusal.Draining)
	assert.Assert(t, resp.Close, "connections are not kept")
	again := rg.chat(t, headerKey, "long")
	close(linger)
	for dialable(rg.Addr().String()) { // until the listener is closed
		continue
	}
	st := rg.rn.streams["long"]
	assert.NilError(t, st.Token([]byte("whole")))
	assert.NilError(t, st.End(nil))
	for _, resp := range []*http.Response{open, again} {
		content, _ := joinChunks(t, text(t, resp))
		assert.Equal(t, content, "whole")
	}
}

func dialable(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func TestAddresses(t *testing.T) {
	rg := serve(t, nil)
	var body struct {
		Addresses    []struct{ Address, FailureDomain string }
		KeepFor, Key string
	}
	assert.NilError(t, json.Unmarshal([]byte(text(t, rg.do(t, http.MethodGet, "/v1/addresses", ""))), &body))
	assert.Equal(t, body.Addresses[0].Address, "10.0.0.1:80")
	assert.Equal(t, body.KeepFor, "30s")
	assert.NilError(t, checkKey(body.Key))

	fl := &board.Fleet{Quorate: true}
	for _, name := range []string{"a1", "a2", "b1", "b2", "c1"} {
		fl.VMs = append(fl.VMs, board.VM{VMRef: board.VMRef{ID: name}, Caller: name, FailureDomain: name[:1], Listed: true})
	}
	fl.VMs[0].Leaving = true
	fl.VMs[2].Health = board.Suspect
	fl.VMs[3].Health = board.Dead
	first := map[string]int{}
	for ix := range 200 {
		got := pickAddresses(Candidates(fl), strconv.Itoa(ix), 4)
		assert.Equal(t, len(got), 3)
		assert.Equal(t, got[2].Address, "b1", "a suspected VM comes last")
		first[got[0].Address]++
	}
	assert.Assert(t, first["a2"] > 50 && first["c1"] > 50, "%v", first)
	fl.Quorate = false
	got := pickAddresses(Candidates(fl), "k", 4)
	assert.Equal(t, got[0].FailureDomain+got[1].FailureDomain, "bb", "the majority may be beyond the partition")
}

func TestPlannedStopIsBounded(t *testing.T) {
	rg := serve(t, func(rg *rig) { rg.Limits = Limits{HeaderWait: 1, StopWait: 1} })
	open := rg.chat(t)
	rg.stop()
	assert.ErrorIs(t, <-rg.done, context.DeadlineExceeded)
	_, err := io.ReadAll(open.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "what is cut off must not look whole")
	rg.done <- nil // for halt
}

func TestAddressInUse(t *testing.T) {
	rg := serve(t, nil)
	other := &Server{Listen: rg.Addr().String(), Runner: rg.rn, Board: rg.Board}
	assert.ErrorContains(t, other.Run(t.Context()), "listen for callers")
}
