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

// MaxSize is the maximum size in bytes of an answer that a request may ask for.
const MaxSize = 64 << 20

// checksumSize is the length in bytes of the checksum at the end of an answer of requested size.
const checksumSize = 16

var (
	// ErrWrong reports an answer that belongs to another request or is damaged.
	ErrWrong = errors.New("answer is for another request")
	// ErrTruncated reports an incomplete answer.
	ErrTruncated = errors.New("answer is truncated")
)

// Request holds the parts of a request that determine its answer.
type Request struct {
	Method string
	Path   string // path with query
	Hash   string // hash of the body, as returned by the function Hash
}

// Answer is the JSON body of an answer to a request that does not ask for a size.
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

// SizedAnswer returns an answer of size bytes that depends on the request and ends with a checksum.
// If size is less than 16, the answer is only the end of the checksum.
func SizedAnswer(r Request, size int) []byte {
	seed := xxhash.Sum64String(r.Method + "\n" + r.Path + "\n" + r.Hash)
	source := rand.NewPCG(seed, 0)
	data := make([]byte, 0, size+checksumSize)
	for len(data) < size-checksumSize {
		data = binary.LittleEndian.AppendUint64(data, source.Uint64())
	}
	data = data[:max(size-checksumSize, 0)]
	checksum := fmt.Sprintf("%016x", xxhash.Sum64(data)^seed)
	return append(data, checksum[max(checksumSize-size, 0):]...)
}

// CheckSized returns an error unless body is the complete answer of the given size to r.
func CheckSized(r Request, size int, body []byte) error {
	want := SizedAnswer(r, size)
	if bytes.Equal(body, want) {
		return nil
	}
	if len(body) < size && bytes.HasPrefix(want, body) {
		return fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(body), size)
	}
	return fmt.Errorf("%w: %d bytes differ from the %d expected for %s", ErrWrong, len(body), size, r.Path)
}

// Check decodes a JSON answer and returns an error unless it is complete and belongs to r.
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
