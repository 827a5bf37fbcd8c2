package main

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestParseSeeds guards against seeds that are skipped, and against an invalid list of which only a part is used.
func TestParseSeeds(t *testing.T) {
	for _, tt := range []struct {
		text string
		want []uint64
	}{
		{"7", []uint64{7}},
		{"1-3,53", []uint64{1, 2, 3, 53}},
		{"3-1", nil},
		{"", nil},
		{"1,x", nil},
		{"1-", nil},
	} {
		t.Run(tt.text, func(t *testing.T) {
			got, err := parseSeeds(tt.text)
			is := is.New(t)
			is.Equal(err != nil, tt.want == nil)
			is.Equal(got, tt.want)
		})
	}
}

// TestUsage guards against a soak with invalid settings, and against a plan that differs between two runs with one seed.
func TestUsage(t *testing.T) {
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := execute(context.Background(), append(args, "--folder", t.TempDir()), &out, &errs)
		return code, out.String()
	}
	for _, args := range [][]string{{"--seeds", "x"}, {"--daemons", "2"}, {"--controllers", "0"}, {"--net", "250", "--parallel", "9"}, {"--none"}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			code, _ := run(args...)
			is.New(t).Equal(code, exitUsage)
		})
	}
	t.Run("plan", func(t *testing.T) {
		is := is.New(t)
		code, first := run("--plan", "--seeds", "53")
		is.Equal(code, exitGood)
		is.True(strings.Contains(first, "pause d5"))
		_, second := run("--plan", "--seeds", "53")
		is.Equal(first, second)
	})
}

// TestReserve guards against two soaks on one machine that use the same addresses.
func TestReserve(t *testing.T) {
	is := is.New(t)
	first, release, err := reserveLoopbackNet(240)
	is.NoErr(err)
	second, releaseSecond, err := reserveLoopbackNet(240)
	is.NoErr(err)
	defer releaseSecond()
	is.True(second != first)
	release()
	third, releaseThird, err := reserveLoopbackNet(240)
	is.NoErr(err)
	defer releaseThird()
	is.True(third != second)
	_, _, err = reserveLoopbackNet(lastNet + 1)
	is.True(errors.Is(err, errNoFreeNet))
}
