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

// file is a settings file under test; an empty one cannot be read.
type file struct {
	mu   sync.Mutex
	text string
}

func (f *file) write(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text = text
}

func (f *file) read(string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.text == "" {
		return nil, errors.New("not there")
	}
	return []byte(f.text), nil
}

// TestRun guards against a hangup that is not followed at once, a change without a signal that is missed, and settings
// that are taken again although nothing has changed.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings := &file{text: "one"}
		signals := make(chan os.Signal)
		var taken []string
		w := watcher.New("settings",
			watcher.WithRead(settings.read),
			watcher.WithHangups(func() (<-chan os.Signal, func()) { return signals, func() {} }),
			watcher.WithChanged(func(data []byte) error {
				taken = append(taken, string(data))
				return errors.New("refused") // a refused file is not offered again and again
			}),
		)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		synctest.Wait()

		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(len(taken), 0)
		settings.write("two")
		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(taken, []string{"two"})
		settings.write("")
		time.Sleep(watcher.Interval + 1)
		settings.write("three")
		time.Sleep(2 * watcher.Interval)
		synctest.Wait()
		is.Equal(taken, []string{"two", "three"})
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
	})
}
