package caller

import (
	"encoding/json"
	"net/http"
	"net/url"
	pathpkg "path"
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"alderdyke/internal/apikey"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

func FuzzChat(f *testing.F) {
	f.Add([]byte(chatText))
	f.Add([]byte(`{"model":"m","messages":[{"role":"system","content":[{"type":"text","text":"<é>"}]}],"max_tokens":7}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"u","content":null}],"n":1,"max_completion_tokens":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cb, err := parseChat(data)
		if err != nil {
			assert.Equal(t, refusalOf(err).Ran, refusal.NotRun)
			return
		}
		ch, err := cb.newChat(template.Class{MaxTokens: 5})
		assert.NilError(t, err)
		assert.Assert(t, ch.MaxTokens > 0 && ch.MaxTokens <= 5 && ch.PromptTokens > 0)
		model, err := json.Marshal(cb.Model)
		assert.NilError(t, err)
		again, err := parseChat([]byte(`{"model":` + string(model) + `,"messages":` + ch.Prompt + `}`))
		assert.NilError(t, err)
		same, err := again.newChat(template.Class{MaxTokens: ch.MaxTokens})
		assert.NilError(t, err)
		assert.DeepEqual(t, same, ch)
	})
}

func FuzzHeaders(f *testing.F) {
	f.Add("Bearer "+testKey, "key-1", "12", "250ms")
	f.Add("bearer  x", "", "007", "1h")
	f.Fuzz(func(t *testing.T, auth, key, last, span string) {
		hash, err := apikey.HashHeader([]string{auth})
		assert.Equal(t, err == nil, len(hash) == 64)
		hd := http.Header{headerKey: {key}}
		hd.Set(headerLastID, last)
		hd.Set(headerDeadline, span)
		if got, given, err := requestKey(hd); err == nil {
			assert.Assert(t, given && got == key && len(key) > 0 && len(key) <= maxKeyBytes && strings.TrimSpace(key) == key)
		}
		if id, err := lastEventID(hd); err == nil {
			assert.Assert(t, id >= 0 || last == "")
		}
		got, err := deadline(hd, template.Class{Deadline: clock.Second})
		assert.Assert(t, err != nil || got > 0 && got <= clock.Second)
	})
}

func FuzzPath(f *testing.F) {
	for _, path := range []string{"/a/b", "/a%2fb", "/../a", "/%2e%2E/", "/a;b", "//", "/%zz"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, escaped string) {
		at := &url.URL{Path: escaped}
		if got, err := checkPath("/" + strings.TrimPrefix(at.EscapedPath(), "/")); err == nil {
			assert.Equal(t, strings.TrimSuffix(pathpkg.Clean(got), "/"), strings.TrimSuffix(got, "/"))
		}
	})
}

func FuzzAnswerData(f *testing.F) {
	f.Add([]byte(`{"Status":200,"Header":{"A":["b"]},"Body":"eA=="}`), 3)
	f.Add([]byte(`{"Tokens":3}`), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if pa, err := DecodePlain(data); err == nil {
			again, err := pa.Encode()
			assert.NilError(t, err)
			same, err := DecodePlain(again)
			assert.NilError(t, err)
			assert.DeepEqual(t, same, pa)
		}
		if end, err := parseEnd(data); err == nil {
			assert.Assert(t, end.FinishReason != "")
		}
		if !utf8.Valid(data) {
			return
		}
		cut = max(0, min(cut, len(data)))
		dl := &delivery{}
		got := dl.completeText(data[:cut]) + dl.completeText(data[cut:])
		assert.Equal(t, got, string(data))
		assert.Equal(t, len(dl.partialChar), 0)
	})
}
