package echoer

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestCheckSized guards against a checker that accepts a truncated, damaged or foreign answer.
func TestCheckSized(t *testing.T) {
	mine := New("GET", "/a?size=100", nil)
	other := New("GET", "/b?size=100", nil)
	damaged := Fill(mine, 100)
	damaged[50] ^= 1
	for _, tt := range []struct {
		name string
		size int
		body []byte
		want error
	}{
		{"own", 100, Fill(mine, 100), nil},
		{"empty", 0, nil, nil},
		{"shorter than the checksum", 5, Fill(mine, 5), nil},
		{"truncated", 100, Fill(mine, 100)[:99], ErrTruncated},
		{"too long", 100, append(Fill(mine, 100), 0), ErrWrong},
		{"damaged", 100, damaged, ErrWrong},
		{"foreign", 100, Fill(other, 100), ErrWrong},
		{"foreign and shorter than the checksum", 5, Fill(other, 5), ErrWrong},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(CheckSized(mine, tt.size, tt.body), tt.want))
			is.Equal(len(Fill(mine, tt.size)), tt.size)
		})
	}
}

// TestCheck guards against an answer that matches only part of its request.
func TestCheck(t *testing.T) {
	mine := New("POST", "/a", []byte("x"))
	for _, tt := range []struct {
		name   string
		answer Answer
		cut    int
		want   error
	}{
		{"own", Answer{Method: "POST", Path: "/a", Hash: mine.Hash}, 0, nil},
		{"method", Answer{Method: "GET", Path: "/a", Hash: mine.Hash}, 0, ErrWrong},
		{"path", Answer{Method: "POST", Path: "/b", Hash: mine.Hash}, 0, ErrWrong},
		{"body", Answer{Method: "POST", Path: "/a", Hash: Hash(nil)}, 0, ErrWrong},
		{"truncated", Answer{Method: "POST", Path: "/a", Hash: mine.Hash}, 1, ErrTruncated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			body, err := json.Marshal(tt.answer)
			is.NoErr(err)
			_, err = Check(mine, body[:len(body)-tt.cut])
			is.True(errors.Is(err, tt.want))
		})
	}
}
