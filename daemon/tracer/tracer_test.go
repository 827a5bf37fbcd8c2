package tracer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/tracer"
)

// TestKindOf guards against calls of a retried run that are taken for calls of a caller.
func TestKindOf(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	newTracer := func() *tracer.Tracer {
		now = start
		tr := tracer.New(tracer.WithClock(func() time.Time { return now }))
		now = now.Add(time.Minute)
		tr.Begin("first", tracer.First, now.Add(time.Second))
		tr.Begin("retry", tracer.Retry, now.Add(time.Second))
		tr.Begin("retry.1", tracer.Nested, now.Add(time.Second))
		tr.Begin("both", tracer.Retry, now.Add(time.Second))
		tr.Begin("both", tracer.First, now.Add(time.Second))
		return tr
	}
	for _, c := range []struct {
		id    string
		after time.Duration
		want  tracer.Kind
	}{
		{"", 0, tracer.First},
		{"retry", 0, tracer.First},
		{"first.1", 0, tracer.First},
		{"retry.2", 0, tracer.Nested},
		{"retry.1.1", 0, tracer.Nested},
		{"both.1", 0, tracer.Nested},
		{"other.1", 0, tracer.First},
		{"retry.2", 1500 * time.Millisecond, tracer.Nested},
		{"retry.2", time.Minute, tracer.First},
		{"other.1", -time.Minute, tracer.Nested},
		{"other", -time.Minute, tracer.First},
	} {
		t.Run(fmt.Sprint(c.id, c.after), func(t *testing.T) {
			tr := newTracer()
			now = now.Add(c.after)
			is.New(t).Equal(tr.KindOf(c.id), c.want)
		})
	}
}

// TestPrune guards against runs that are forgotten while they may still make calls, and against runs that are never
// forgotten.
func TestPrune(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := tracer.New(tracer.WithClock(func() time.Time { return now }))
	now = now.Add(time.Minute)
	tr.Begin("long", tracer.Retry, now.Add(time.Hour))
	for i := range 1000 {
		now = now.Add(time.Second)
		tr.Begin(fmt.Sprint(i), tracer.Retry, now)
	}
	is.Equal(tr.KindOf("long.1"), tracer.Nested)
	is.True(tr.Len() <= 64)
}

// TestArrival guards against arrivals that change on their way between two daemons, and against malformed headers that
// are taken for first arrivals.
func TestArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, a := range []tracer.Arrival{
		{Kind: tracer.First, Started: now},
		{Kind: tracer.First, Started: now.Add(-time.Second)},
		{Kind: tracer.Retry, Started: now.Add(-1500 * time.Millisecond)},
		{Kind: tracer.Nested, Started: now},
	} {
		t.Run(fmt.Sprint(a.Kind, now.Sub(a.Started)), func(t *testing.T) {
			is := is.New(t)
			got, err := tracer.ParseArrival(a.Encode(now), now)
			is.NoErr(err)
			is.Equal(got, a)
		})
	}
	for _, value := range []string{"retry", "retry;", "retry;x", "retry;-1", "third;1", ";1"} {
		t.Run(value, func(t *testing.T) {
			_, err := tracer.ParseArrival(value, now)
			is.New(t).True(err != nil)
		})
	}
}
