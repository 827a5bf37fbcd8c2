package accountant_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/accountant"
)

const (
	memory = 100 << 20
	mib    = 1 << 20
)

// fixture is an account and the callers that it has shed, in order.
type fixture struct {
	*accountant.Account
	shed []string
}

func newFixture() *fixture {
	return &fixture{Account: accountant.New(accountant.WithMemory(memory))}
}

// hold opens a holder that occupies memory and releases it as soon as it is shed.
func (f *fixture) hold(t *testing.T, caller string, bytes int64) *accountant.Holder {
	t.Helper()
	var h *accountant.Holder
	h = f.Open(caller, func() {
		f.shed = append(f.shed, caller)
		h.Close()
	})
	if err := h.Grow(context.Background(), bytes); err != nil {
		t.Errorf("%s does not fit: %v", caller, err)
	}
	time.Sleep(time.Second)
	return h
}

// TestShed guards against shedding ordinary callers instead of those that occupy the most for the longest time.
func TestShed(t *testing.T) {
	run := func(name string, f func(t *testing.T, is *is.I, a *fixture)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, is.New(t), newFixture()) })
		})
	}
	run("largest", func(t *testing.T, is *is.I, a *fixture) {
		a.hold(t, "small", 1000)
		a.hold(t, "large", 20*mib)
		a.hold(t, "medium", 10*mib)
		a.hold(t, "last", 10*mib)
		is.Equal(a.shed, []string{"large"})
	})
	run("longest", func(t *testing.T, is *is.I, a *fixture) {
		for i := range 4 {
			a.hold(t, fmt.Sprint(i), 10*mib)
		}
		is.Equal(a.shed, []string{"0"})
	})
	run("running last", func(t *testing.T, is *is.I, a *fixture) {
		a.hold(t, "running", 20*mib).SetRunning(true)
		a.hold(t, "receiving", 10*mib)
		a.hold(t, "last", 10*mib)
		is.Equal(a.shed, []string{"receiving"})
	})
	run("the new one itself", func(t *testing.T, is *is.I, a *fixture) {
		a.hold(t, "running", 30*mib).SetRunning(true)
		h := a.Open("new", func() {})
		is.True(errors.Is(h.Grow(context.Background(), 20*mib), accountant.ErrShed))
		is.Equal(len(a.shed), 0)
	})
	run("room for small ones", func(t *testing.T, is *is.I, a *fixture) {
		a.hold(t, "running", 35*mib).SetRunning(true)
		for i := range 60 {
			a.hold(t, fmt.Sprint(i), 64<<10)
		}
		is.Equal(len(a.shed), 0)
	})
	run("many small ones", func(t *testing.T, is *is.I, a *fixture) {
		a.hold(t, "stalled", 60<<10)
		for i := range 10000 {
			a.hold(t, fmt.Sprint(i), 1000).Close()
		}
		for i := range 1000 {
			a.hold(t, fmt.Sprint(i), 60<<10)
		}
		is.Equal(a.shed[0], "stalled")
		is.True(a.Used() <= a.Size())
	})
	run("connections", func(t *testing.T, is *is.I, a *fixture) {
		a.hold(t, "large", 30*mib)
		a.AddFixed(20 * mib)
		is.Equal(a.shed, []string{"large"})
		is.Equal(a.Used(), int64(20*mib))
	})
	run("answers", func(t *testing.T, is *is.I, a *fixture) {
		first, second := a.hold(t, "first", 1000), a.hold(t, "second", 1000)
		first.Replace(10 * mib)
		second.Replace(35 * mib)
		is.Equal(a.shed, []string{"second"})
		is.True(a.Used() <= a.Size())
	})
}

// TestWait guards against a holder that gets memory before others have released it, and against one that waits forever.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newFixture()
		slow := a.Open("slow", func() {})
		is.NoErr(slow.Grow(context.Background(), 30*mib))
		time.Sleep(time.Second)
		waiting := a.Open("waiting", func() {})
		is.True(errors.Is(waiting.Grow(context.Background(), 20*mib), accountant.ErrShed)) // slow keeps its memory
		is.True(slow.IsShed())
		result := make(chan error, 1)
		go func() { result <- waiting.Grow(context.Background(), 20*mib) }()
		synctest.Wait()
		is.Equal(len(result), 0)
		slow.Close()
		is.NoErr(<-result)
		is.Equal(a.Used(), int64(20*mib))
		is.True(errors.Is(waiting.Grow(context.Background(), memory), accountant.ErrTooLarge))
		waiting.Close()
		waiting.Close()
		is.Equal(a.Used(), int64(0))
	})
}
