// Package loader reads settings written in JSON with comments.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// ErrInvalid reports JSON that cannot be used.
var ErrInvalid = errors.New("not usable")

// File reads the settings at path into v and rejects unknown fields.
func File(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if err := Text(text, v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Text decodes JSON with comments into v and rejects unknown fields.
func Text(text []byte, v any) error {
	// Standardize blanks out comments in place, so that positions in errors stay right.
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if dec.More() {
		return fmt.Errorf("%w: data after the first value", ErrInvalid)
	}
	return nil
}
