// Package encoder turns wire messages into CBOR and back, within size limits.
package encoder

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage is the largest encoded message in bytes that Unmarshal accepts.
const MaxMessage = 16 << 20

// ErrMalformed reports bytes that are no valid message.
var ErrMalformed = errors.New("malformed message")

// ErrTooLarge reports a message above MaxMessage.
var ErrTooLarge = errors.New("message too large")

var (
	encMode = mustMode(cbor.CoreDetEncOptions().EncMode())
	decMode = mustMode(decOptions(1 << 20).DecMode())
	// Saved state comes from our own data folder and holds as many claims as there are.
	stateMode = mustMode(decOptions(math.MaxInt32).DecMode())
)

func decOptions(elements int) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: elements,
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

// Marshal encodes v deterministically: equal values give equal bytes.
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

// UnmarshalState decodes saved state into v, without a limit on its size.
func UnmarshalState(data []byte, v any) error {
	if err := stateMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}
