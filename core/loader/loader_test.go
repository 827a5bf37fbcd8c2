package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/loader"
)

// TestRead guards against errors that do not tell which file they are about.
func TestRead(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	parse := func(data []byte) (string, error) {
		if len(data) == 0 {
			return "", loader.ErrInvalid
		}
		return string(data), nil
	}
	_, err := loader.Read(path, parse)
	is.True(errors.Is(err, loader.ErrInvalid) && strings.Contains(err.Error(), path)) // no such file
	is.NoErr(os.WriteFile(path, nil, 0o600))
	_, err = loader.Read(path, parse)
	is.True(errors.Is(err, loader.ErrInvalid) && strings.Contains(err.Error(), path)) // refused by parse
	is.NoErr(os.WriteFile(path, []byte("x"), 0o600))
	value, err := loader.Read(path, parse)
	is.NoErr(err)
	is.Equal(value, "x")
}

// TestTextHidesLiterals guards against secrets in errors and logs after a typing error next to them.
func TestTextHidesLiterals(t *testing.T) {
	for _, text := range []string{
		`{"keys": [secret]}`, `{"keys": ["\secret"]}`, `{"keys": ["secret]}`, `{"keys": ["secret" "secret"]}`, `{"keys": "secret"}`, `{"keys": [1secret]}`,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			var v struct {
				Keys []string `json:"keys"`
			}
			err := loader.Text([]byte(text), &v)
			is.True(errors.Is(err, loader.ErrInvalid))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}
