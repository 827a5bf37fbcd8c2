package encoder

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Deflate compresses data in the DEFLATE format.
func Deflate(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return buf.Bytes(), nil
}

// Inflate reverses Deflate. It returns ErrTooLarge if the result would exceed MaxMessage bytes.
func Inflate(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxMessage+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if len(data) > MaxMessage {
		return nil, fmt.Errorf("%w: more than %d bytes when decompressed", ErrTooLarge, MaxMessage)
	}
	return data, nil
}
