package starter_test

import (
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/soak/starter"
)

// TestProcess guards against unexpected exits that go unreported and against reports of requested exits.
func TestProcess(t *testing.T) {
	unexpectedExits := make(chan string, 1)
	start := func(t *testing.T, script string) *starter.Process {
		t.Helper()
		p := starter.New("p", []string{"sh", "-c", script}, filepath.Join(t.TempDir(), "log"), func(name string, _ error) { unexpectedExits <- name })
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		return p
	}
	t.Run("unexpected exit", func(t *testing.T) {
		start(t, "exit 3")
		is.New(t).Equal(<-unexpectedExits, "p")
	})
	t.Run("killed and restarted", func(t *testing.T) {
		is := is.New(t)
		p := start(t, "exec sleep 60")
		p.Kill()
		p.Kill() // no effect, the process is not running
		is.NoErr(p.Start())
		p.Kill()
		is.Equal(len(unexpectedExits), 0)
	})
	t.Run("ignores SIGTERM", func(t *testing.T) {
		is := is.New(t)
		p := start(t, "trap '' TERM; echo ready; while :; do sleep 1; done")
		time.Sleep(100 * time.Millisecond) // wait until the shell has set its trap
		is.True(errors.Is(p.Stop(100*time.Millisecond), starter.ErrStopTimeout))
		is.Equal(len(unexpectedExits), 0)
	})
}
