// Package echoer builds the answers of stand-in upstreams and checks that an answer belongs to its request.
package echoer

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// MaxSize is the largest answer in bytes that a request may ask for.
const MaxSize = 64 << 20

// sumSize is the length of the checksum that ends a sized answer.
const sumSize = 16

var (
	// ErrWrong reports an answer to another request.
	ErrWrong = errors.New("answer is for another request")
	// ErrTruncated reports an answer that is not whole.
	ErrTruncated = errors.New("answer is truncated")
)

// Request is the part of a request that its answer depends on.
type Request struct {
	Method string
	Path   string // path and query
	Hash   string // hash of the body
}

// Answer is the JSON body of an answer without a size.
type Answer struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Hash    string `json:"hash"`
	Name    string `json:"name"`
	Service string `json:"service"`
	Run     uint64 `json:"run"`
	Error   string `json:"error,omitempty"`
}

// Hash returns the hash of a request body.
func Hash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// New returns the request with the given method, path with query, and body.
func New(method, path string, body []byte) Request {
	return Request{Method: method, Path: path, Hash: Hash(body)}
}

// Fill returns size bytes that depend on the request and end with a checksum.
// Below 16 bytes there is only the end of the checksum.
func Fill(r Request, size int) []byte {
	seed := xxhash.Sum64String(r.Method + "\n" + r.Path + "\n" + r.Hash)
	source := rand.NewPCG(seed, 0)
	data := make([]byte, 0, size+sumSize)
	for len(data) < size-sumSize {
		data = binary.LittleEndian.AppendUint64(data, source.Uint64())
	}
	data = data[:max(size-sumSize, 0)]
	sum := fmt.Sprintf("%016x", xxhash.Sum64(data)^seed)
	return append(data, sum[max(sumSize-size, 0):]...)
}

// CheckSized reports whether body is the whole answer of the given size to r.
func CheckSized(r Request, size int, body []byte) error {
	want := Fill(r, size)
	if bytes.Equal(body, want) {
		return nil
	}
	if len(body) < size && bytes.HasPrefix(want, body) {
		return fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(body), size)
	}
	return fmt.Errorf("%w: %d bytes differ from the %d expected for %s", ErrWrong, len(body), size, r.Path)
}

// Check decodes the JSON answer to r and reports whether it is whole and for r.
func Check(r Request, body []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("%w: %v", ErrTruncated, err)
	}
	if a.Method != r.Method || a.Path != r.Path || a.Hash != r.Hash {
		return a, fmt.Errorf("%w: got %s %s %s, want %s %s %s", ErrWrong, a.Method, a.Path, a.Hash, r.Method, r.Path, r.Hash)
	}
	return a, nil
}
