package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v4"
)

const (
	// arrivalsMessage is the message of the log lines that count the arrivals at an upstream. It must match tallier.Message.
	arrivalsMessage = "arrivals"
	// arrivalsInterval is the time that one of these lines covers. It must match tallier.Interval.
	arrivalsInterval = 500 * time.Millisecond
)

// arrivals counts the arrivals of calls at the upstreams of a service.
type arrivals struct {
	First   int `json:"first"`   // calls that arrived for the first time
	Retry   int `json:"retry"`   // calls that had been sent to an upstream before
	Caused  int `json:"caused"`  // first arrivals of calls made by runs that were retries
	Refused int `json:"refused"` // arrivals that the retry budget prevented
}

func (a arrivals) plus(b arrivals) arrivals {
	return arrivals{a.First + b.First, a.Retry + b.Retry, a.Caused + b.Caused, a.Refused + b.Refused}
}

// retries returns the arrivals that the retry budget limits.
func (a arrivals) retries() int {
	return a.Retry + a.Caused
}

// retryLimits bounds the retries to a service by all daemons together in any window.
type retryLimits struct {
	ratio  float64
	window time.Duration
	slack  float64
}

// retryWindow is the window in which the retries to a service came closest to their limit.
type retryWindow struct {
	Service  string    `json:"service"`
	Start    time.Time `json:"start"`
	Arrivals arrivals  `json:"arrivals"`
	Allowed  float64   `json:"allowed"` // retries
	Used     float64   `json:"used"`    // retries as a share of the allowed ones
}

func (p *program) budget() *ff.Command {
	flags := ff.NewFlagSet("budget").SetParent(p.flags)
	asJSON := flags.BoolLong("json", "print JSON")
	limits := retryLimits{}
	flags.Float64Var(&limits.ratio, 0, "ratio", 0.2, "retries allowed per call")
	flags.DurationVar(&limits.window, 0, "window", 10*time.Second, "length of the window")
	flags.Float64Var(&limits.slack, 0, "slack", 20, "further retries allowed in a window")
	return &ff.Command{
		Name:      "budget",
		Usage:     "bluebellctl budget [FLAGS] LOG [LOG ...]",
		ShortHelp: "show how close the retries of all daemons came to their limit, from the logs of all VMs",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 || limits.window < arrivalsInterval {
				return fmt.Errorf("%w: at least one log file and a window of %v or more are required", errUsage, arrivalsInterval)
			}
			var all []logLine
			for _, path := range args {
				lines, err := readLog(path)
				if err != nil {
					return err
				}
				all = append(all, lines...)
			}
			windows := worstWindows(all, limits)
			if len(windows) == 0 {
				return fmt.Errorf("%w: the logs count no arrivals at upstreams", errNotFound)
			}
			if *asJSON {
				encoder := json.NewEncoder(p.stdout)
				encoder.SetIndent("", "  ")
				return encoder.Encode(windows)
			}
			return printWindows(p.stdout, windows)
		},
	}
}

// worstWindows returns for each service the window in which its retries came closest to the limit.
func worstWindows(lines []logLine, limits retryLimits) []retryWindow {
	byService := map[string]map[int64]arrivals{}
	for _, line := range lines {
		if line.Message != arrivalsMessage {
			continue
		}
		service := line.stringField("service")
		if byService[service] == nil {
			byService[service] = map[int64]arrivals{}
		}
		// A line is written at the end of the time that it covers.
		interval := line.Time.UnixNano()/int64(arrivalsInterval) - 1
		byService[service][interval] = byService[service][interval].plus(arrivals{
			First: line.count("first"), Retry: line.count("retry"), Caused: line.count("caused"), Refused: line.count("refused"),
		})
	}
	var worst []retryWindow
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		worst = append(worst, worstWindow(service, byService[service], limits))
	}
	return worst
}

// worstWindow returns the window in which the retries to a service came closest to the limit. The calls are counted in that
// window, in the one before or in the one that begins half a window earlier, whichever has most.
func worstWindow(service string, intervals map[int64]arrivals, limits retryLimits) retryWindow {
	length := int64(limits.window / arrivalsInterval)
	sum := func(start int64) (total arrivals) {
		for i := start; i < start+length; i++ {
			total = total.plus(intervals[i])
		}
		return total
	}
	worst := retryWindow{Service: service, Used: math.Inf(-1)}
	for start := range intervals {
		total := sum(start)
		calls := max(total.First, sum(start-length).First, sum(start-length/2).First)
		w := retryWindow{Service: service, Start: time.Unix(0, start*int64(arrivalsInterval)).UTC(), Arrivals: total}
		w.Allowed = limits.ratio*float64(calls) + limits.slack
		w.Used = float64(total.retries()) / max(w.Allowed, 1)
		if w.Used > worst.Used || w.Used == worst.Used && w.Start.Before(worst.Start) {
			worst = w
		}
	}
	return worst
}

func printWindows(w io.Writer, windows []retryWindow) error {
	for _, r := range windows {
		a := r.Arrivals
		if _, err := fmt.Fprintf(w, "%s: %.2f of the limit from %s on: %d retries and %d calls of retried runs, allowed %.0f, %d refused; %d first arrivals\n",
			r.Service, r.Used, r.Start.Format(timeFormat), a.Retry, a.Caused, r.Allowed, a.Refused, a.First); err != nil {
			return err
		}
	}
	return nil
}

// count returns a field of the line that holds a number.
func (l logLine) count(name string) int {
	n, _ := l.Fields[name].(float64)
	return int(n)
}
