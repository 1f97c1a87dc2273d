package apikey_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/apikey"
)

func TestHashHeader(t *testing.T) {
	long := strings.Repeat("k", apikey.MaxKeyBytes)
	for _, tc := range []struct {
		name   string
		values []string
		want   string
		err    error
	}{
		{"valid key", []string{"Bearer k1"}, apikey.HashKey("k1"), nil},
		{"scheme in another case with extra spaces", []string{" bEARER   k1 "}, apikey.HashKey("k1"), nil},
		{"longest allowed key", []string{"Bearer " + long}, apikey.HashKey(long), nil},
		{"no field", nil, "", apikey.MissingKey},
		{"two fields", []string{"Bearer k1", "Bearer k1"}, "", apikey.MultipleFields},
		{"unsupported scheme", []string{"Basic k1"}, "", apikey.UnsupportedScheme},
		{"no scheme", []string{"k1"}, "", apikey.UnsupportedScheme},
		{"empty field", []string{""}, "", apikey.UnsupportedScheme},
		{"empty key", []string{"Bearer  "}, "", apikey.EmptyKey},
		{"key too long", []string{"Bearer " + long + "k"}, "", apikey.KeyTooLong},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := apikey.HashHeader(tc.values)
			assert.Equal(t, got, tc.want)
			assert.Equal(t, err, tc.err)
		})
	}
}

func TestContainsHash(t *testing.T) {
	known := []string{apikey.HashKey("a"), apikey.HashKey("b")}
	assert.Assert(t, apikey.ContainsHash(apikey.HashKey("b"), known))
	assert.Assert(t, !apikey.ContainsHash(apikey.HashKey("c"), known))
	assert.Assert(t, !apikey.ContainsHash("", nil))
}

// FuzzHash checks that every input yields either a hash or an error, and that
// the error does not contain the key.
func FuzzHash(f *testing.F) {
	f.Add("Bearer k1", "")
	f.Add("Bearer", "Bearer secret")
	f.Fuzz(func(t *testing.T, first, second string) {
		values := []string{first}
		if second != "" {
			values = append(values, second)
		}
		hash, err := apikey.HashHeader(values)
		assert.Equal(t, err == nil, len(hash) == 64, "%q", hash)
		if _, key, _ := strings.Cut(first, " "); err != nil && len(key) > 60 {
			assert.Assert(t, !strings.Contains(err.Error(), key))
		}
	})
}
