package caller

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
	"alderdyke/pkg/template"
)

const (
	maxKey    = 128 // bytes of a request key
	maxAPIKey = 512 // bytes of an API key
)

// authenticate finds the customer that the API key speaks for. Only hashes of
// keys are known here; they are compared in constant time.
func (srv *Server) authenticate(req *http.Request) (template.Template, error) {
	tps := srv.Board.Templates()
	if !tps.Ready {
		return template.Template{}, refusal.Refusal{
			Ran: refusal.NotRun, Reason: refusal.Starting, RetryAfter: clock.Second,
			Detail: "this VM has not learned the configuration yet",
		}
	}
	if hash, ok := keyHash(req.Header.Get("Authorization")); ok {
		tpl := tps.ByCustomer[tps.ByKeyHash[hash]].Template
		found := 0
		for _, known := range tpl.KeyHashes {
			found |= subtle.ConstantTimeCompare([]byte(hash), []byte(known))
		}
		if found == 1 {
			return tpl, nil
		}
	}
	srv.count("Unauthenticated")
	if srv.unknown.Allow() {
		srv.Logger.Log(event.CallerUnknown, event.F("Remote", remoteIP(req.RemoteAddr)))
	}
	return template.Template{}, refusal.Refusal{
		Ran: refusal.NotRun, Reason: refusal.UnknownCustomer,
		Detail: "send the customer's API key as Authorization: Bearer",
	}
}

// keyHash is the hex SHA-256 of the API key in an Authorization header.
func keyHash(header string) (string, bool) {
	scheme, apiKey, ok := strings.Cut(header, " ")
	apiKey = strings.TrimSpace(apiKey)
	if !ok || !strings.EqualFold(scheme, "Bearer") || apiKey == "" || len(apiKey) > maxAPIKey {
		return "", false
	}
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:]), true
}

// requestKey returns the caller's own key, or makes one.
func requestKey(hd http.Header) (key string, given bool, err error) {
	switch keys := hd.Values(headerKey); {
	case len(keys) == 0:
		return freshKey(), false, nil
	case len(keys) > 1:
		return "", false, badRequest(headerKey + " is given more than once")
	default:
		return keys[0], true, checkKey(keys[0])
	}
}

// freshKey makes a key of 128 random bits or more.
func freshKey() string { return rand.Text() }

func checkKey(key string) error {
	if key == "" || len(key) > maxKey {
		return badRequest("a request key has 1 to 128 bytes")
	}
	for ix := range len(key) {
		if key[ix] <= ' ' || key[ix] > '~' {
			return badRequest("a request key is printable ASCII without spaces")
		}
	}
	return nil
}
