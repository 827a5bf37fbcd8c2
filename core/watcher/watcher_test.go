package watcher_test

import (
	"context"
	"errors"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/watcher"
)

// fakeFile simulates the settings file. Reading it fails while its content is empty.
type fakeFile struct {
	mu   sync.Mutex
	text string
}

func (f *fakeFile) write(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text = text
}

func (f *fakeFile) read(string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.text == "" {
		return nil, errors.New("no such file")
	}
	return []byte(f.text), nil
}

// TestRun guards against a SIGHUP that does not reload the file immediately, a change that is missed without a signal, and
// unchanged settings that are applied again.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings := &fakeFile{text: "one"}
		signals := make(chan os.Signal)
		var received []string
		w := watcher.New("settings",
			watcher.WithRead(settings.read),
			watcher.WithHangups(func() (<-chan os.Signal, func()) { return signals, func() {} }),
			watcher.WithChanged(func(data []byte) error {
				received = append(received, string(data))
				return errors.New("refused") // rejected content must not be passed again
			}),
		)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		synctest.Wait()

		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(len(received), 0)
		settings.write("two")
		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(received, []string{"two"})
		settings.write("")
		time.Sleep(watcher.Interval + 1)
		settings.write("three")
		time.Sleep(2 * watcher.Interval)
		synctest.Wait()
		is.Equal(received, []string{"two", "three"})
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
	})
}
