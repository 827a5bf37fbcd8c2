// Command soak runs controllers and daemons as separate processes on loopback addresses, injects random faults and
// checks that callers, upstreams and operators observe what the system guarantees.
//
// Exit codes: 0 no violations; 1 violations found; 2 invalid usage; 3 a soak could not be started or completed.
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

// Exit codes, explained in the package comment.
const (
	exitGood       = 0
	exitViolations = 1
	exitUsage      = 2
	exitNoRun      = 3
)

// settings are the values of the command's flags.
type settings struct {
	runner.Settings
	seeds    string
	parallel int
	firstNet int  // second byte of the first loopback network to try
	planOnly bool // print the faults without injecting them
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs the command with the given arguments and returns the exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := settings{}
	flags := ff.NewFlagSet("soak")
	flags.StringVar(&s.seeds, 0, "seeds", "1", "seeds and ranges of seeds, such as 1-50,77")
	flags.IntVar(&s.parallel, 0, "parallel", 1, "number of seeds to run concurrently")
	flags.IntVar(&s.firstNet, 0, "net", 40, "second byte of the first loopback network to try; networks in use are skipped")
	flags.StringVar(&s.ProgramDir, 0, "programs", "out/bin", "folder with the programs controller and daemon")
	flags.StringVar(&s.Dir, 0, "folder", "out/soak", "folder for settings, data and logs of the soaks")
	flags.IntVar(&s.Controllers, 0, "controllers", 3, "controllers")
	flags.IntVar(&s.Daemons, 0, "daemons", 6, "number of daemons, 3 to 199, each with an upstream")
	flags.DurationVar(&s.FaultDuration, 0, "duration", 30*time.Second, "time during which faults are injected")
	flags.Float64Var(&s.CallsPerSecond, 0, "rate", 80, "mean number of calls per second")
	flags.DurationVar(&s.Converge, 0, "converge", 7*time.Second, "time in which changes must be in effect while at most one controller is disturbed")
	flags.BoolVar(&s.planOnly, 0, "plan", "print the planned faults without running them")
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintf(stderr, "%s\n%v\n", ffhelp.Flags(flags), err)
		return exitUsage
	}
	seeds, err := parseSeeds(s.seeds)
	if err != nil || s.Daemons < 3 || s.Daemons > 199 || s.Controllers < 1 || s.Controllers > 50 || s.parallel < 1 || s.firstNet < 1 || s.firstNet+s.parallel > 255 {
		fmt.Fprintln(stderr, "soak: invalid value of --seeds, --daemons (3 to 199), --controllers (1 to 50), --net or --parallel:", err)
		return exitUsage
	}
	return s.runSeeds(ctx, seeds, stdout)
}

// parseSeeds parses a comma-separated list of seeds and ranges of seeds.
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

// runSeeds runs the seeds, up to s.parallel of them concurrently, prints their reports and returns the highest exit code.
func (s settings) runSeeds(ctx context.Context, seeds []uint64, stdout io.Writer) int {
	type report struct {
		code int
		text string
	}
	reports := make(chan report, s.parallel)
	code, running := exitGood, 0
	for len(seeds) > 0 || running > 0 {
		for len(seeds) > 0 && running < s.parallel && ctx.Err() == nil {
			soakSettings := s.Settings
			soakSettings.Seed = seeds[0]
			seeds, running = seeds[1:], running+1
			go func() {
				code, text := s.runSeed(ctx, soakSettings)
				reports <- report{code, text}
			}()
		}
		if running == 0 {
			return exitNoRun
		}
		finished := <-reports
		running, code = running-1, max(code, finished.code)
		fmt.Fprint(stdout, finished.text)
	}
	return code
}

// runSeed runs one seed, or only plans its faults, and returns the exit code and the report. The folder of a soak
// without violations is removed.
func (s settings) runSeed(ctx context.Context, soakSettings runner.Settings) (int, string) {
	soakSettings.Dir = filepath.Join(s.Dir, fmt.Sprint("seed-", soakSettings.Seed))
	var report strings.Builder
	fail := func(err error) (int, string) {
		fmt.Fprintf(&report, "seed %d: not run to the end: %v; see %s\n", soakSettings.Seed, err, soakSettings.Dir)
		return exitNoRun, report.String()
	}
	if err := os.RemoveAll(soakSettings.Dir); err != nil {
		return fail(err)
	}
	if err := os.MkdirAll(soakSettings.Dir, 0o755); err != nil {
		return fail(err)
	}
	logFile, err := os.Create(filepath.Join(soakSettings.Dir, "soak.log"))
	if err != nil {
		return fail(err)
	}
	defer func() { _ = logFile.Close() }()
	loopbackNet, release, err := reserveLoopbackNet(s.firstNet)
	if err != nil {
		return fail(err)
	}
	defer release()
	soakSettings.LoopbackNet = loopbackNet
	r := runner.New(soakSettings, hclog.New(&hclog.LoggerOptions{Output: logFile, TimeFormat: "15:04:05.000"}))
	if s.planOnly {
		for _, step := range planner.Plan(soakSettings.Seed, r.Topology()) {
			fmt.Fprintln(&report, step)
		}
		return exitGood, report.String()
	}
	result, err := r.Run(ctx)
	if err != nil {
		return fail(err)
	}
	fmt.Fprintf(&report, "seed %d: %d faults, %d calls (%.3f answered), %d runs, %d changes, %d violations\n",
		soakSettings.Seed, result.Faults, result.Calls, result.AnsweredRatio, result.Runs, result.Changes, len(result.Violations))
	for _, violation := range result.Violations {
		fmt.Fprintln(&report, "  ", violation)
	}
	if len(result.Violations) > 0 {
		fmt.Fprintln(&report, "   logs in", soakSettings.Dir)
		return exitViolations, report.String()
	}
	if err := os.RemoveAll(soakSettings.Dir); err != nil {
		return fail(err)
	}
	return exitGood, report.String()
}
