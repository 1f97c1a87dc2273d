package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/standin/malformed"
)

// answerBody is the body of the answers in these tests.
const answerBody = "the whole answer"

// callMalformed makes a call to a server and reads its answer to the end.
func callMalformed(t *testing.T, an malformed.Answer, fresh bool) (status int, body []byte, err error) {
	t.Helper()
	srv := httptest.NewServer(an)
	defer srv.Close()
	hc := NewHTTP(Limits{})
	defer hc.CloseIdleConnections()
	rsp, err := Send(t.Context(), hc, Call{Server: "e1", Name: "Prefill", Request: post(t, srv.Listener.Addr().String()), FreshConnection: fresh})
	if err != nil {
		return 0, nil, err
	}
	defer rsp.Body.Close()
	body, err = ReadAll(rsp.Body, bodyBound)
	return rsp.StatusCode, body, err
}

// An answer that breaks HTTP is none, whatever it says of the call: the call may have run.
func checkMalformed(t *testing.T, list []malformed.Answer) {
	t.Helper()
	for _, fresh := range []bool{true, false} {
		for _, an := range list {
			t.Run(an.Name, func(t *testing.T) {
				status, body, err := callMalformed(t, an, fresh)
				oc, _ := OutcomeOf(err)
				assert.Equal(t, oc, InDoubt, "status %d, body %q, %v", status, body, err)
				assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
			})
		}
	}
}

func TestStatusOutsideHTTPIsNoAnswer(t *testing.T) {
	checkMalformed(t, malformed.Statuses(DeclinedHeader+": Full\r\nX: "+secret+"\r\n", answerBody))
}

func TestFieldNameThatIsNoTokenIsNoAnswer(t *testing.T) {
	checkMalformed(t, malformed.Names("X: "+secret+"\r\n", answerBody))
	checkMalformed(t, malformed.Informational("X: "+secret+"\r\n", answerBody))
}

func TestCodingOfAnEarlierVersionIsNoAnswer(t *testing.T) {
	checkMalformed(t, malformed.Codings("X: "+secret+"\r\n", answerBody))
}

// Sound answers of rare forms are answers, with the bodies that their servers sent.
func TestUnusualAnswers(t *testing.T) {
	for _, an := range malformed.Unusual("X: b\r\n", answerBody) {
		t.Run(an.Name, func(t *testing.T) {
			status, body, err := callMalformed(t, an, true)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, string(body), answerBody)
		})
	}
}
