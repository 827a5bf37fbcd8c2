// Package loader reads settings written in JSON with comments.
package loader

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

// ErrInvalid reports settings that cannot be read or decoded.
var ErrInvalid = errors.New("cannot load JSON")

// File decodes the settings file at path into v. It rejects unknown fields.
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

// Read returns what parse makes of the content of the file at path.
func Read[T any](path string, parse func(data []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	value, err := parse(data)
	if err != nil {
		return value, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}

// withoutLiteral removes the malformed literal that the parser appends to its errors, since it may be a secret.
func withoutLiteral(message string) string {
	const end = "invalid literal"
	if before, _, found := strings.Cut(message, end); found {
		return before + end
	}
	return message
}

// Text decodes JSON with comments into v. It rejects unknown fields.
func Text(text []byte, v any) error {
	// Standardize replaces comments by spaces in place, so that error positions remain correct.
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return fmt.Errorf("%w: %s", ErrInvalid, withoutLiteral(err.Error()))
	}
	return KnownJSON(plain, v)
}
