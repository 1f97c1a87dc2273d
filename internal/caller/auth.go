package caller

import (
	"crypto/rand"
	"net/http"

	"alderdyke/internal/apikey"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

const maxKeyBytes = 128 // bytes of a request key

// authenticate finds the customer of the API key. Only hashes of keys are stored
// here; they are compared in constant time.
func (srv *Server) authenticate(req *http.Request) (template.Template, error) {
	tps := srv.Board.Templates()
	if !tps.Ready {
		return template.Template{}, refusal.Refusal{
			Ran: refusal.NotRun, Reason: refusal.Starting, RetryAfter: clock.Second,
			Detail: "this VM has not learned the configuration yet",
		}
	}
	detail := "no customer has this API key"
	hash, err := apikey.HashHeader(req.Header.Values("Authorization"))
	if err != nil {
		detail = err.Error()
	} else if tpl := tps.ByCustomer[tps.ByKeyHash[hash]].Template; apikey.ContainsHash(hash, tpl.KeyHashes) {
		return tpl, nil
	}
	srv.count("Unauthenticated")
	if srv.unknownKeyEvents.Allow() {
		srv.Logger.Log(event.CallerUnknown, event.F("Remote", remoteIP(req.RemoteAddr)))
	}
	return template.Template{}, refusal.Refusal{
		Ran: refusal.NotRun, Reason: refusal.UnknownCustomer, Detail: detail,
	}
}

// requestKey returns the caller's own key, or generates one.
func requestKey(hd http.Header) (key string, given bool, err error) {
	switch keys := hd.Values(headerKey); {
	case len(keys) == 0:
		return newKey(), false, nil
	case len(keys) > 1:
		return "", false, badRequest(headerKey + " is given more than once")
	default:
		return keys[0], true, checkKey(keys[0])
	}
}

// newKey generates a key of at least 128 random bits.
func newKey() string { return rand.Text() }

func checkKey(key string) error {
	if key == "" || len(key) > maxKeyBytes {
		return badRequest("a request key has 1 to 128 bytes")
	}
	for ix := range len(key) {
		if key[ix] <= ' ' || key[ix] > '~' {
			return badRequest("a request key is printable ASCII without spaces")
		}
	}
	return nil
}
