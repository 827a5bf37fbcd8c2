// Package encoder encodes wire messages as CBOR and decodes them within size limits. It also compresses messages.
package encoder

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage is the maximum size in bytes of an encoded message that Unmarshal accepts, and of decompressed data.
const MaxMessage = 16 << 20

// ErrMalformed reports data that cannot be decoded, or a value that cannot be encoded.
var ErrMalformed = errors.New("malformed message")

// ErrTooLarge reports a message larger than MaxMessage.
var ErrTooLarge = errors.New("message too large")

var (
	encMode = mustMode(cbor.CoreDetEncOptions().EncMode())
	decMode = mustMode(decodeOptions(1 << 20).DecMode())
	// Saved state comes from the process's own data folder and may contain any number of claims.
	stateDecMode = mustMode(decodeOptions(math.MaxInt32).DecMode())
)

func decodeOptions(maxArrayElements int) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      1 << 16,
		IndefLength:      cbor.IndefLengthForbidden,
	}
}

func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(fmt.Sprintf("encoder: invalid options: %v", err))
	}
	return mode
}

// Marshal encodes v deterministically: equal values have equal encodings.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return data, nil
}

// Unmarshal decodes data into v.
func Unmarshal(data []byte, v any) error {
	if len(data) > MaxMessage {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(data), MaxMessage)
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}

// UnmarshalState decodes saved state into v without a size limit.
func UnmarshalState(data []byte, v any) error {
	if err := stateDecMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}
