package template

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/pelletier/go-toml/v2"

	"alderdyke/pkg/place"
)

// MaxTextBytes is the maximum length of the text of one template, in bytes.
const MaxTextBytes = 256 << 10

// Parse parses a template from TOML and validates it. The error is a
// [place.Errors] with all problems of the text.
func Parse(name string, text []byte) (Template, error) {
	if len(text) > MaxTextBytes {
		return Template{}, place.Errors{tooLongError(name)}
	}
	var tp Template
	check := func() place.Errors { return tp.problems() }
	if err := place.Decode(name, text, &tp, check); err != nil {
		return Template{}, err
	}
	return tp.normalized(), nil
}

// Marshal encodes the template as TOML that [Parse] parses.
func Marshal(tp Template) ([]byte, error) {
	text, err := toml.Marshal(tp)
	if err != nil {
		return nil, fmt.Errorf("encode template of customer %q as TOML: %w", tp.Customer, err)
	}
	return text, nil
}

// DecodeJSON decodes a template from JSON and validates it. Unknown keys and data
// after the template are errors. The error is a [place.Errors].
func DecodeJSON(name string, text []byte) (Template, error) {
	if len(text) > MaxTextBytes {
		return Template{}, place.Errors{tooLongError(name)}
	}
	var tp Template
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&tp); err != nil {
		return Template{}, place.Errors{{File: name, Line: lineOf(text, err), Mend: "write a valid template: " + err.Error()}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Template{}, place.Errors{{File: name, Mend: "remove what follows the template"}}
	}
	if err := tp.Validate(); err != nil {
		return Template{}, err
	}
	return tp.normalized(), nil
}

// HashKey returns the hash by which a template identifies an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// normalized returns the template in a normal form, so that templates that mean the
// same have equal values however they were written.
func (tp Template) normalized() Template {
	for ix := range tp.Classes {
		if len(tp.Classes[ix].Paths) == 0 {
			tp.Classes[ix].Paths = nil
		}
	}
	return tp
}

func tooLongError(name string) place.Error {
	return place.Error{File: name, Mend: fmt.Sprintf("write at most %d bytes", MaxTextBytes)}
}

// lineOf returns the line of a JSON error, or 0 if the error has no position.
func lineOf(text []byte, err error) int {
	var se *json.SyntaxError
	var te *json.UnmarshalTypeError
	offset := int64(0)
	switch {
	case errors.As(err, &se):
		offset = se.Offset
	case errors.As(err, &te):
		offset = te.Offset
	default:
		return 0
	}
	return bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n")) + 1
}
