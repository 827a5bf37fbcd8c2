package loader

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// JSON decodes JSON into v and ignores unknown fields. It accepts only text that can be read in one way: UTF-8, each key once
// and one value. The case of a key matters. Errors name the place and no value, which may be a secret.
func JSON(text []byte, v any) error {
	return decode(text, v)
}

// KnownJSON is like JSON but rejects unknown fields.
func KnownJSON(text []byte, v any) error {
	return decode(text, v, json.RejectUnknownMembers(true))
}

func decode(text []byte, v any, opts ...json.Options) error {
	if err := json.Unmarshal(text, v, opts...); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, decodeError(text, err))
	}
	return nil
}

// decodeError returns an error that names the place in the text, without the names and types of this program.
func decodeError(text []byte, err error) error {
	var syntax *jsontext.SyntacticError
	if errors.As(err, &syntax) {
		before := text[:min(int(syntax.ByteOffset), len(text))]
		line := bytes.Count(before, []byte("\n")) + 1
		column := len(before) - bytes.LastIndexByte(before, '\n')
		if errors.Is(err, jsontext.ErrDuplicateName) {
			return fmt.Errorf("line %d, column %d: %w %q", line, column, syntax.Err, syntax.JSONPointer.LastToken())
		}
		return fmt.Errorf("line %d, column %d: %w", line, column, syntax.Err)
	}
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		return err
	}
	place := cmp.Or(strings.TrimPrefix(string(semantic.JSONPointer), "/"), "text")
	if errors.Is(err, json.ErrUnknownName) {
		return fmt.Errorf("%s: unknown field %q", place, semantic.JSONPointer.LastToken())
	}
	return fmt.Errorf("%s must be %s", place, describeType(semantic.GoType))
}

// describeType describes the JSON values that a type is decoded from.
func describeType(t reflect.Type) string {
	if t == nil {
		return "a value of another type"
	}
	if name := t.String(); t.Kind() != reflect.Pointer && specialTypes[name] != "" {
		return specialTypes[name]
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return fmt.Sprintf("an integer of %d bits", t.Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("a positive integer of %d bits", t.Bits())
	case reflect.Slice, reflect.Array:
		return "a list"
	}
	return "an object"
}

// specialTypes describes the types that are decoded from text of their own format.
var specialTypes = map[string]string{
	"time.Time":       `a time such as "2027-03-31T00:00:00Z"`,
	"loader.Duration": `a duration such as "1.5s"`,
	"netip.AddrPort":  `an IP address and port such as "127.0.0.1:8080"`,
}
