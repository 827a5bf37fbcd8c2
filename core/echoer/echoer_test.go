package echoer

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestCheckSized guards against accepting an answer that is truncated, damaged or for another request.
func TestCheckSized(t *testing.T) {
	request := New("GET", "/a?size=100", nil)
	other := New("GET", "/b?size=100", nil)
	damaged := SizedAnswer(request, 100)
	damaged[50] ^= 1
	for _, tt := range []struct {
		name string
		size int
		body []byte
		want error
	}{
		{"own", 100, SizedAnswer(request, 100), nil},
		{"empty", 0, nil, nil},
		{"shorter than the checksum", 5, SizedAnswer(request, 5), nil},
		{"truncated", 100, SizedAnswer(request, 100)[:99], ErrTruncated},
		{"too long", 100, append(SizedAnswer(request, 100), 0), ErrWrong},
		{"damaged", 100, damaged, ErrWrong},
		{"foreign", 100, SizedAnswer(other, 100), ErrWrong},
		{"other request and shorter than the checksum", 5, SizedAnswer(other, 5), ErrWrong},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(CheckSized(request, tt.size, tt.body), tt.want))
			is.Equal(len(SizedAnswer(request, tt.size)), tt.size)
		})
	}
}

// TestCheck guards against accepting an answer that is truncated or matches only part of its request.
func TestCheck(t *testing.T) {
	request := New("POST", "/a", []byte("x"))
	for _, tt := range []struct {
		name       string
		answer     Answer
		truncateBy int
		want       error
	}{
		{"own", Answer{Method: "POST", Path: "/a", Hash: request.Hash}, 0, nil},
		{"method", Answer{Method: "GET", Path: "/a", Hash: request.Hash}, 0, ErrWrong},
		{"path", Answer{Method: "POST", Path: "/b", Hash: request.Hash}, 0, ErrWrong},
		{"body", Answer{Method: "POST", Path: "/a", Hash: Hash(nil)}, 0, ErrWrong},
		{"truncated", Answer{Method: "POST", Path: "/a", Hash: request.Hash}, 1, ErrTruncated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			body, err := json.Marshal(tt.answer)
			is.NoErr(err)
			_, err = Check(request, body[:len(body)-tt.truncateBy])
			is.True(errors.Is(err, tt.want))
		})
	}
}
