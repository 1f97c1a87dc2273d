// Package apikey reads the API key that identifies the customer of a request.
// The key itself is not passed on beyond this package: only its hash is stored,
// compared and reported.
//
// # Usage
//
//	hash, err := apikey.HashHeader(req.Header.Values("Authorization"))
//	if err != nil { ... } // an Error; it reveals nothing of the key
//	if apikey.ContainsHash(hash, customer.KeyHashes) { ... }
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// MaxKeyBytes bounds an API key, in bytes.
const MaxKeyBytes = 512

// Reasons why a request has no usable key.
const (
	MissingKey        Error = "send the customer's API key as Authorization: Bearer"
	MultipleFields    Error = "the request has several Authorization fields; send one"
	UnsupportedScheme Error = "the scheme of Authorization is not Bearer"
	EmptyKey          Error = "the API key is empty"
	KeyTooLong        Error = "the API key is longer than 512 bytes"
)

// Error is the reason why a request has no API key that can be looked up.
type Error string

// Error returns the message for the caller. It repeats nothing that the caller sent.
func (er Error) Error() string { return string(er) }

// HashHeader reads the key from the values of a request's Authorization fields
// and returns its SHA-256 hash in hex. The error is an Error.
func HashHeader(values []string) (string, error) {
	switch {
	case len(values) == 0:
		return "", MissingKey
	case len(values) > 1:
		return "", MultipleFields
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	switch {
	case !strings.EqualFold(scheme, "Bearer"):
		return "", UnsupportedScheme
	case key == "":
		return "", EmptyKey
	case len(key) > MaxKeyBytes:
		return "", KeyTooLong
	}
	return HashKey(key), nil
}

// HashKey returns the SHA-256 hash of a key in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ContainsHash reports whether a hash is one of the known ones. Its running time
// does not depend on which of them matches.
func ContainsHash(hash string, known []string) bool {
	found := 0
	for _, kn := range known {
		found |= subtle.ConstantTimeCompare([]byte(hash), []byte(kn))
	}
	return found == 1
}
