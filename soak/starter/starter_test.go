package starter_test

import (
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/soak/starter"
)

// TestProcess guards against an end by itself that goes unnoticed, and against one that was wanted and is reported.
func TestProcess(t *testing.T) {
	ended := make(chan string, 1)
	start := func(t *testing.T, script string) *starter.Process {
		t.Helper()
		p := starter.New("p", []string{"sh", "-c", script}, filepath.Join(t.TempDir(), "log"), func(name string, _ error) { ended <- name })
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		return p
	}
	t.Run("ends by itself", func(t *testing.T) {
		start(t, "exit 3")
		is.New(t).Equal(<-ended, "p")
	})
	t.Run("killed and started again", func(t *testing.T) {
		is := is.New(t)
		p := start(t, "exec sleep 60")
		p.Kill()
		p.Kill() // it does not run
		is.NoErr(p.Start())
		p.Kill()
		is.Equal(len(ended), 0)
	})
	t.Run("does not stop", func(t *testing.T) {
		is := is.New(t)
		p := start(t, "trap '' TERM; echo ready; while :; do sleep 1; done")
		time.Sleep(100 * time.Millisecond) // the shell sets its trap
		is.True(errors.Is(p.Stop(100*time.Millisecond), starter.ErrRunning))
		is.Equal(len(ended), 0)
	})
}
