package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"strings"
)

// redacted replaces a secret in all output.
const redacted = "***"

// MinSecretBytes is the minimum length of a secret, in bytes.
const MinSecretBytes = 16

// Secret is a token or key. It is printed as "***" by every format verb, in JSON
// and in TOML; only [Secret.Reveal] returns the text. The zero Secret is not set,
// and is empty in JSON and TOML.
type Secret struct {
	text *string // a pointer, so that fmt can't print the text if the Secret is in an unexported field
}

// NewSecret returns a secret. An empty text gives the zero Secret.
func NewSecret(text string) Secret {
	if text == "" {
		return Secret{}
	}
	return Secret{text: &text}
}

// Reveal returns the text, for a header or a key derivation.
func (sc Secret) Reveal() string {
	if sc.text == nil {
		return ""
	}
	return *sc.text
}

// IsZero reports whether the secret is not set.
func (sc Secret) IsZero() bool { return sc.text == nil }

// Equal compares the secret with what a peer presented, in a time that does not
// depend on the content of either. A secret that is not set equals nothing.
func (sc Secret) Equal(presented string) bool {
	want, got := sha256.Sum256([]byte(sc.Reveal())), sha256.Sum256([]byte(presented))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1 && !sc.IsZero()
}

// Format writes "***" for every verb.
func (Secret) Format(state fmt.State, _ rune) {
	_, _ = state.Write([]byte(redacted)) // a Formatter can't return an error
}

// String returns "***".
func (Secret) String() string { return redacted }

// MarshalText returns "***", or nothing if the secret is not set.
func (sc Secret) MarshalText() ([]byte, error) {
	if sc.IsZero() {
		return nil, nil
	}
	return []byte(redacted), nil
}

// UnmarshalText sets the secret. The error never contains the text.
func (sc *Secret) UnmarshalText(text []byte) error {
	value := string(text)
	if len(value) < MinSecretBytes {
		return fmt.Errorf("write at least %d characters, made at random", MinSecretBytes)
	}
	if strings.ContainsFunc(value, func(ch rune) bool { return ch <= ' ' || ch > '~' }) {
		return errors.New("write printable ASCII characters without spaces")
	}
	*sc = NewSecret(value)
	return nil
}

// Concealed marks the type so that problem reports omit the value.
func (Secret) Concealed() {}
