// Package inspector decides whether an HTTP response is well-formed and complete. Controllers, daemons and bluebellctl read
// responses through it.
//
// A response is well-formed if its status line, its status and all fields of its header and its trailer are valid, and if
// its header states its length in one way only. It is complete if it ended where the length or the last chunk says. A
// response without either ends with its connection; only a reader that knows how the connection ended may accept it.
package inspector

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// MaxHeadBytes is the largest header section of a response, including those of its interim responses, and the largest
	// trailer.
	MaxHeadBytes = 256 << 10
	// MaxFields is the largest number of fields of a header section or a trailer. Short fields take many times the memory of
	// their bytes.
	MaxFields = 1024
	// FieldBytes is the memory that a field takes besides its name and value: its share of the map, the list of its values
	// and their allocation.
	FieldBytes = 192
)

var (
	// ErrMalformed reports a response that is not valid HTTP.
	ErrMalformed = errors.New("malformed response")
	// ErrTooLarge reports a response with a header section or a trailer above the limits.
	ErrTooLarge = errors.New("response header is too large")
)

// CheckFinal returns an error unless status is that of a final response.
func CheckFinal(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: %d is not a final status", ErrMalformed, status)
	}
	return nil
}

// CheckFields returns an error if the name or a value of a field is invalid.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckStored returns an error if a stored response with the given status and content type cannot be sent.
func CheckStored(status int, contentType string) error {
	if err := CheckFinal(status); err != nil {
		return err
	}
	return checkField("Content-Type", contentType)
}

// checkTrailer returns an error if a field is invalid or states a length, which only a header may do.
func checkTrailer(fields http.Header) error {
	for _, name := range []string{headerLength, headerEncoding} {
		if _, ok := fields[name]; ok {
			return fmt.Errorf("%w: %s in the trailer", ErrMalformed, name)
		}
	}
	return CheckFields(fields)
}

func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("%w: field name %q", ErrMalformed, shorten(name))
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return fmt.Errorf("%w: value %q of field %s", ErrMalformed, shorten(value), name)
	}
	return nil
}

// maxQuotedBytes bounds the part of a malformed line that an error quotes.
const maxQuotedBytes = 80

func shorten(text string) string {
	return text[:min(len(text), maxQuotedBytes)]
}
