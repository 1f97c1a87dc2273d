package apikey_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/apikey"
)

func TestHash(t *testing.T) {
	long := strings.Repeat("k", apikey.MaxLength)
	for _, tc := range []struct {
		name   string
		values []string
		want   string
		err    error
	}{
		{"a key", []string{"Bearer k1"}, apikey.Of("k1"), nil},
		{"the scheme in another case, and spaces", []string{" bEARER   k1 "}, apikey.Of("k1"), nil},
		{"as long as it may be", []string{"Bearer " + long}, apikey.Of(long), nil},
		{"none", nil, "", apikey.Missing},
		{"two", []string{"Bearer k1", "Bearer k1"}, "", apikey.Several},
		{"another scheme", []string{"Basic k1"}, "", apikey.OtherScheme},
		{"no scheme", []string{"k1"}, "", apikey.OtherScheme},
		{"an empty field", []string{""}, "", apikey.OtherScheme},
		{"an empty key", []string{"Bearer  "}, "", apikey.Empty},
		{"too long", []string{"Bearer " + long + "k"}, "", apikey.TooLong},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := apikey.Hash(tc.values)
			assert.Equal(t, got, tc.want)
			assert.Equal(t, err, tc.err)
		})
	}
}

func TestAmong(t *testing.T) {
	known := []string{apikey.Of("a"), apikey.Of("b")}
	assert.Assert(t, apikey.Among(apikey.Of("b"), known))
	assert.Assert(t, !apikey.Among(apikey.Of("c"), known))
	assert.Assert(t, !apikey.Among("", nil))
}

// Whatever a caller sends, there is a hash or an error, and neither holds the key.
func FuzzHash(f *testing.F) {
	f.Add("Bearer k1", "")
	f.Add("Bearer", "Bearer secret")
	f.Fuzz(func(t *testing.T, first, second string) {
		values := []string{first}
		if second != "" {
			values = append(values, second)
		}
		hash, err := apikey.Hash(values)
		assert.Equal(t, err == nil, len(hash) == 64, "%q", hash)
		if _, key, _ := strings.Cut(first, " "); err != nil && len(key) > 60 {
			assert.Assert(t, !strings.Contains(err.Error(), key))
		}
	})
}
