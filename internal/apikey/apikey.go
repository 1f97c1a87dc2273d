// Package apikey reads the API key by which a caller says for which customer it
// speaks. The key itself is known nowhere beyond this package: what is kept,
// compared and told is its hash.
//
// # Usage
//
//	hash, err := apikey.Hash(req.Header.Values("Authorization"))
//	if err != nil { ... } // an Error; it tells nothing of the key
//	if apikey.Among(hash, customer.KeyHashes) { ... }
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// MaxLength bounds an API key, in bytes.
const MaxLength = 512

// Why there is no key.
const (
	Missing     Error = "send the customer's API key as Authorization: Bearer"
	Several     Error = "the request has several Authorization fields; send one"
	OtherScheme Error = "the scheme of Authorization is not Bearer"
	Empty       Error = "the API key is empty"
	TooLong     Error = "the API key is longer than 512 bytes"
)

// Error tells why a request has no API key that can be looked up.
type Error string

// Error is for the caller, and names nothing that it sent.
func (er Error) Error() string { return string(er) }

// Hash reads the key from the values of a request's Authorization fields, and
// returns the hex SHA-256 of it. The error is an Error.
func Hash(values []string) (string, error) {
	switch {
	case len(values) == 0:
		return "", Missing
	case len(values) > 1:
		return "", Several
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	switch {
	case !strings.EqualFold(scheme, "Bearer"):
		return "", OtherScheme
	case key == "":
		return "", Empty
	case len(key) > MaxLength:
		return "", TooLong
	}
	return Of(key), nil
}

// Of is the hash of a key.
func Of(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Among tells whether a hash is one of the known ones. It takes the same time
// whichever it is.
func Among(hash string, known []string) bool {
	found := 0
	for _, kn := range known {
		found |= subtle.ConstantTimeCompare([]byte(hash), []byte(kn))
	}
	return found == 1
}
