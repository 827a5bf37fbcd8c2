// Command soak runs controllers and daemons as separate processes on loopback, plays random faults and checks what callers,
// upstreams and operators see.
//
// Exit codes: 0 nothing found; 1 a promise was broken; 2 usage; 3 a run did not take place.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"bluebellhoist/soak/planner"
	"bluebellhoist/soak/runner"
)

// Exit codes.
const (
	exitGood  = 0
	exitFound = 1
	exitUsage = 2
	exitNoRun = 3
)

type settings struct {
	runner.Settings
	seeds    string
	parallel int
	net      int
	plan     bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := settings{}
	flags := ff.NewFlagSet("soak")
	flags.StringVar(&s.seeds, 0, "seeds", "1", "seeds, as in 1-50,77")
	flags.IntVar(&s.parallel, 0, "parallel", 1, "seeds to play at a time")
	flags.IntVar(&s.net, 0, "net", 40, "second byte of the first loopback network to try; one that is in use is passed over")
	flags.StringVar(&s.Programs, 0, "programs", "out/bin", "folder with the programs controller and daemon")
	flags.StringVar(&s.Folder, 0, "folder", "out/soak", "folder for settings, data and logs")
	flags.IntVar(&s.Controllers, 0, "controllers", 3, "controllers")
	flags.IntVar(&s.Daemons, 0, "daemons", 6, "daemons, each with an upstream; 3 at least")
	flags.DurationVar(&s.Duration, 0, "duration", 30*time.Second, "time of the faults")
	flags.Float64Var(&s.Rate, 0, "rate", 80, "calls a second")
	flags.BoolVar(&s.plan, 0, "plan", "print the faults and end")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintf(stderr, "%s\n%v\n", ffhelp.Flags(flags), err)
		return exitUsage
	}
	seeds, err := parseSeeds(s.seeds)
	if err != nil || s.Daemons < 3 || s.Daemons > 199 || s.Controllers < 1 || s.Controllers > 50 || s.parallel < 1 || s.net < 1 || s.net+s.parallel > 255 {
		fmt.Fprintln(stderr, "soak: seeds, daemons (3 to 199), controllers (1 to 50), net or parallel cannot be used:", err)
		return exitUsage
	}
	return s.all(ctx, seeds, stdout)
}

// parseSeeds reads a list of seeds and ranges.
func parseSeeds(text string) ([]uint64, error) {
	var all []uint64
	for part := range strings.SplitSeq(text, ",") {
		first, last, ranged := strings.Cut(part, "-")
		if !ranged {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 32)
		if err != nil {
			return nil, err
		}
		to, err := strconv.ParseUint(last, 10, 32)
		if err != nil {
			return nil, err
		}
		if to < from {
			return nil, fmt.Errorf("range %q ends before it begins", part)
		}
		for seed := from; seed <= to; seed++ {
			all = append(all, seed)
		}
	}
	return all, nil
}

// all plays seeds, some at a time, and returns the exit code.
func (s settings) all(ctx context.Context, seeds []uint64, stdout io.Writer) int {
	type end struct {
		code int
		text string
	}
	ends := make(chan end, s.parallel)
	code, running := exitGood, 0
	for len(seeds) > 0 || running > 0 {
		for len(seeds) > 0 && running < s.parallel && ctx.Err() == nil {
			one := s.Settings
			one.Seed = seeds[0]
			seeds, running = seeds[1:], running+1
			go func() {
				code, text := s.one(ctx, one)
				ends <- end{code, text}
			}()
		}
		if running == 0 {
			return exitNoRun
		}
		e := <-ends
		running, code = running-1, max(code, e.code)
		fmt.Fprint(stdout, e.text)
	}
	return code
}

// one plays a seed and returns the exit code and the report. The folder of a run without findings is removed.
func (s settings) one(ctx context.Context, one runner.Settings) (int, string) {
	one.Folder = filepath.Join(s.Folder, fmt.Sprint("seed-", one.Seed))
	var report strings.Builder
	fail := func(err error) (int, string) {
		fmt.Fprintf(&report, "seed %d: not played: %v; see %s\n", one.Seed, err, one.Folder)
		return exitNoRun, report.String()
	}
	if err := os.RemoveAll(one.Folder); err != nil {
		return fail(err)
	}
	if err := os.MkdirAll(one.Folder, 0o755); err != nil {
		return fail(err)
	}
	out, err := os.Create(filepath.Join(one.Folder, "soak.log"))
	if err != nil {
		return fail(err)
	}
	defer func() { _ = out.Close() }()
	free, release, err := reserve(s.net)
	if err != nil {
		return fail(err)
	}
	defer release()
	one.Net = free
	r := runner.New(one, hclog.New(&hclog.LoggerOptions{Output: out, TimeFormat: "15:04:05.000"}))
	if s.plan {
		for _, step := range planner.Plan(one.Seed, r.Shape()) {
			fmt.Fprintln(&report, step)
		}
		return exitGood, report.String()
	}
	result, err := r.Run(ctx)
	if err != nil {
		return fail(err)
	}
	fmt.Fprintf(&report, "seed %d: %d faults, %d calls (%.3f answered), %d runs, %d changes, %d found\n",
		one.Seed, result.Steps, result.Calls, result.Served, result.Runs, result.Changes, len(result.Found))
	for _, found := range result.Found {
		fmt.Fprintln(&report, "  ", found)
	}
	if len(result.Found) > 0 {
		fmt.Fprintln(&report, "   logs in", one.Folder)
		return exitFound, report.String()
	}
	if err := os.RemoveAll(one.Folder); err != nil {
		return fail(err)
	}
	return exitGood, report.String()
}
