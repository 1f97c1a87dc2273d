package operator

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// For any reply of a VM, readReply decodes it completely or returns a Fault with a
// reason. Only a success or a decided publication is decoded.
func FuzzReadReply(f *testing.F) {
	f.Add(http.StatusOK, `{"Accepted":true,"Revision":7}`)
	f.Add(http.StatusConflict, `{"Accepted":false}`)
	f.Add(http.StatusUnauthorized, `{"Reason":"Unauthorized","Detail":"the token is wrong"}`)
	f.Add(http.StatusBadGateway, `<html>`)
	f.Add(http.StatusInternalServerError, `{}`)
	f.Fuzz(func(t *testing.T, status int, text string) {
		var out PublishReply
		err := readReply(status, []byte(text), &out)
		if err == nil {
			assert.Assert(t, status/100 == 2 || status == http.StatusConflict, "status %d was read as a success", status)
			return
		}
		fa, ok := errors.AsType[Fault](err)
		assert.Assert(t, ok && fa.Reason != "", "%v", err)
	})
}
