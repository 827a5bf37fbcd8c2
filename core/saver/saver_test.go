package saver_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/saver"
)

// TestReplace guards against a temporary file that a crash left behind and that breaks the next save, and against errors
// that are not returned.
func TestReplace(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(folder, "a.tmp"), []byte("torn and longer than the rest"), 0o600))
	for _, content := range []string{"first", "second"} {
		is.NoErr(saver.Replace(folder, "a", []byte(content)))
		data, err := os.ReadFile(filepath.Join(folder, "a"))
		is.NoErr(err)
		is.Equal(string(data), content)
	}
	is.True(errors.Is(saver.Replace(filepath.Join(folder, "missing"), "a", nil), saver.ErrIO))
}

// TestEnsureFolder guards against a folder that is lost with the machine because the sync of its parent failed in the run
// that created it.
func TestEnsureFolder(t *testing.T) {
	is := is.New(t)
	parent := t.TempDir()
	folder := filepath.Join(parent, "a", "b")
	errSync := errors.New("sync")
	var synced []string
	files := saver.OS()
	files.Sync = func(f *os.File) error {
		synced = append(synced, f.Name())
		if f.Name() == filepath.Dir(folder) && len(synced) == 3 {
			return errSync
		}
		return f.Sync()
	}
	is.True(errors.Is(files.EnsureFolder(folder), saver.ErrIO))
	is.Equal(synced, []string{filepath.Dir(parent), parent, filepath.Dir(folder)})
	is.NoErr(files.EnsureFolder(folder))
	is.Equal(synced[3:], []string{filepath.Dir(folder)})
}
