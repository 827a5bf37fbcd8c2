// Command loadgen sends a bounded load to daemons on the loopback interface and checks each answer.
//
// Exit codes: 0 passed; 1 an answer was wrong or truncated, an at-most-once call ran more than once, or a refused call
// ran; 2 invalid arguments; 3 the check is partial, because the load or its report failed or the runs of a stand-in
// could not be read.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"bluebellhoist/loadgen/auditor"
	"bluebellhoist/loadgen/generator"
	"bluebellhoist/loadgen/reporter"
)

// Exit codes.
const (
	exitPassed  = 0
	exitFailed  = 1
	exitUsage   = 2
	exitPartial = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs the command with the given arguments and returns its exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	log := hclog.New(&hclog.LoggerOptions{Name: "loadgen", Output: stderr})
	cfg := &settings{}
	flags := cfg.flags()
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintf(stderr, "%s\n%v\n", ffhelp.Flags(flags), err)
		return exitUsage
	}
	load, err := cfg.newGenerator()
	if err == nil {
		err = cfg.parseRunSources()
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	report, err := runLoad(ctx, cfg, load)
	if err != nil {
		log.Error("load failed", "error", err)
		return exitPartial
	}
	if err := writeReport(cfg, report, stdout); err != nil {
		log.Error("report not written", "error", err)
		return exitPartial
	}
	if !report.Passed {
		return exitFailed
	}
	if len(report.Unread) > 0 {
		return exitPartial
	}
	return exitPassed
}

// runLoad sends the load, and compares the answers with the runs counted by the stand-ins.
func runLoad(ctx context.Context, cfg *settings, load *generator.Generator) (reporter.Report, error) {
	collector := reporter.New()
	audit := auditor.New(split(cfg.atMostOnce, ","))
	start := time.Now()
	skipped, err := load.Run(ctx, func(r generator.Result) {
		collector.Add(r)
		audit.RecordOutcome(r.Call.Service.Name, r.Call.Key, outcome(r))
	})
	if err != nil {
		return reporter.Report{}, err
	}
	elapsed := time.Since(start)
	unread := readRuns(cfg, audit)
	verdict := audit.Check()
	if cfg.standins == "" && cfg.runsFiles == "" {
		verdict.Missing = nil
	}
	report := collector.Report(verdict)
	report.Seed, report.Rate, report.Seconds, report.Skipped, report.Unread = cfg.seed, cfg.rate, elapsed.Seconds(), skipped, unread
	return report, nil
}

// outcome returns what r tells the caller about runs of the call.
func outcome(r generator.Result) auditor.Outcome {
	if r.Refused {
		return auditor.Refused
	}
	if r.Status == 200 {
		return auditor.Answered
	}
	return auditor.Unknown
}

// readRuns adds the runs of all stand-ins to audit, and returns an error text for each stand-in whose runs could not be
// read. Its context is its own, so that runs are read after an interrupt as well.
func readRuns(cfg *settings, audit *auditor.Auditor) []string {
	time.Sleep(cfg.settle)
	unread := []string{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, addr := range cfg.standinAddrs {
		if err := audit.FetchRuns(ctx, addr); err != nil {
			unread = append(unread, err.Error())
		}
	}
	for _, runsFile := range cfg.runsFilePaths {
		if err := audit.ReadRuns(runsFile.name, runsFile.value); err != nil {
			unread = append(unread, err.Error())
		}
	}
	return unread
}

// writeReport writes the JSON report, if a path is set, and the text report.
func writeReport(cfg *settings, report reporter.Report, stdout io.Writer) error {
	if cfg.jsonPath != "" {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(cfg.jsonPath, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if cfg.textPath == "" {
		return report.WriteText(stdout)
	}
	file, err := os.Create(cfg.textPath)
	if err != nil {
		return err
	}
	if err := report.WriteText(file); err != nil {
		return err
	}
	return file.Close()
}
