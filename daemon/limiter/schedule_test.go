package limiter_test

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"bluebellhoist/daemon/limiter"
)

// TestManyClasses guards against memory that grows with the number of ranks, and against refusing calls of further ranks.
func TestManyClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ranks = 300
		is := is.New(t)
		l := limiter.New(limiter.WithSlots(1), limiter.WithQueue(ranks))
		done, err := l.Acquire(background, limiter.Class{})
		is.NoErr(err)
		served := make(chan int, ranks)
		for rank := range ranks {
			go func() {
				end, err := l.Acquire(background, limiter.Class{Rank: rank})
				if err == nil {
					served <- rank
					end(limiter.OK)
				}
			}()
		}
		synctest.Wait()
		is.Equal(l.Classes(), limiter.MaxClasses)
		done(limiter.OK)
		synctest.Wait()
		is.Equal(len(served), ranks)
		is.Equal(l.Load(), 0)
		for rank := range ranks { // ranks that are no longer used make room
			end, err := l.Acquire(background, limiter.Class{Rank: ranks + rank})
			is.NoErr(err)
			end(limiter.OK)
		}
		is.Equal(l.Classes(), limiter.MaxClasses)
	})
}

// TestNestedFirst guards against new calls that are served or admitted while calls of running calls wait or are refused.
func TestNestedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := limiter.New(limiter.WithSlots(1), limiter.WithQueue(3))
		done, err := l.Acquire(background, limiter.Class{})
		is.NoErr(err)
		order := make(chan limiter.Class, 10)
		start := func(class limiter.Class) {
			go func() {
				end, err := l.Acquire(background, class)
				if err == nil {
					order <- class
					end(limiter.OK)
				}
			}()
			synctest.Wait()
		}
		urgent, nested, nestedUrgent := limiter.Class{}, limiter.Class{Rank: 9, Nested: true}, limiter.Class{Nested: true}
		for _, class := range []limiter.Class{urgent, nested, nestedUrgent, nested, nested} {
			start(class)
		}
		_, err = l.Acquire(background, nested)
		is.True(errors.Is(err, limiter.ErrFull))
		_, err = l.Acquire(background, urgent)
		is.True(errors.Is(err, limiter.ErrFull)) // not admitted while nested calls are refused
		done(limiter.OK)
		for _, want := range []limiter.Class{nestedUrgent, nested, nested, nested, urgent} {
			is.Equal(<-order, want)
		}
	})
}

// TestLateLast guards against late calls that take a slot which another call waits for.
func TestLateLast(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.acquire()
		order := make(chan limiter.Class, 10)
		for _, class := range []limiter.Class{{Late: true}, {Rank: 9}, {Rank: 9, Nested: true}} {
			go func() {
				end, err := f.Acquire(background, class)
				if err == nil {
					order <- class
					end(limiter.OK)
				}
			}()
			synctest.Wait()
		}
		done(limiter.OK)
		for _, want := range []limiter.Class{{Rank: 9, Nested: true}, {Rank: 9}, {Late: true}} {
			f.Equal(<-order, want)
		}
	})
}
