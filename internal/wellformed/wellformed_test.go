package wellformed_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin/malformed"
	"alderdyke/internal/wellformed"
)

const answerBody = "the whole answer"

// get reads the answer of a server to its end.
func get(t *testing.T, an malformed.Answer) (string, error) {
	t.Helper()
	srv := httptest.NewServer(an)
	defer srv.Close()
	hc := &http.Client{Transport: wellformed.Transport{Base: &http.Transport{}}}
	defer hc.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL, nil)
	assert.NilError(t, err)
	rsp, err := hc.Do(req)
	if err != nil {
		return "", err
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(rsp.Body)
	return string(body), err
}

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, an := range malformed.Statuses("", answerBody) {
		t.Run(an.Name, func(t *testing.T) {
			_, err := get(t, an)
			assert.ErrorIs(t, err, wellformed.ErrStatus)
		})
	}
	for _, an := range malformed.Names("", answerBody) {
		t.Run(an.Name, func(t *testing.T) {
			_, err := get(t, an)
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, io.EOF))
		})
	}
}

func TestUnusualResponsesAreAccepted(t *testing.T) {
	for _, an := range malformed.Unusual("", answerBody) {
		t.Run(an.Name, func(t *testing.T) {
			body, err := get(t, an)
			assert.NilError(t, err)
			assert.Equal(t, body, answerBody)
		})
	}
}
