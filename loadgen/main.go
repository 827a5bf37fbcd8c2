// Command loadgen sends a bounded load to daemons on the loopback interface and checks each answer.
//
// Exit codes: 0 passed; 1 a wrong, truncated or doubled answer, or a refused call that ran; 2 usage;
// 3 the runs of a stand-in could not be read, so that the check is partial.
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

func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	log := hclog.New(&hclog.LoggerOptions{Name: "loadgen", Output: stderr})
	cfg := &settings{}
	flags := cfg.flags()
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintf(stderr, "%s\n%v\n", ffhelp.Flags(flags), err)
		return exitUsage
	}
	load, err := cfg.generator()
	if err == nil {
		err = cfg.parseRuns()
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	report, err := measure(ctx, cfg, load)
	if err != nil {
		log.Error("load failed", "error", err)
		return exitPartial
	}
	if err := write(cfg, report, stdout); err != nil {
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

// measure sends the load and compares the answers with the runs of the stand-ins.
func measure(ctx context.Context, cfg *settings, load *generator.Generator) (reporter.Report, error) {
	results := reporter.New()
	audit := auditor.New(split(cfg.once, ","))
	start := time.Now()
	skipped, err := load.Run(ctx, func(r generator.Result) {
		results.Add(r)
		audit.Note(r.Call.Service.Name, r.Call.Key, fate(r))
	})
	if err != nil {
		return reporter.Report{}, err
	}
	elapsed := time.Since(start)
	unread := readRuns(cfg, audit)
	verdict := audit.Judge()
	if cfg.standins == "" && cfg.files == "" {
		verdict.Missing = nil
	}
	report := results.Report(verdict)
	report.Seed, report.Rate, report.Seconds, report.Skipped, report.Unread = cfg.seed, cfg.rate, elapsed.Seconds(), skipped, unread
	return report, nil
}

func fate(r generator.Result) auditor.Fate {
	if r.Refused {
		return auditor.Refused
	}
	if r.Status == 200 {
		return auditor.Ran
	}
	return auditor.Open
}

// readRuns returns a line for each stand-in whose runs could not be read. It runs after an interrupt too.
func readRuns(cfg *settings, audit *auditor.Auditor) []string {
	time.Sleep(cfg.settle)
	unread := []string{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, addr := range cfg.standinAddrs {
		if err := audit.Fetch(ctx, addr); err != nil {
			unread = append(unread, err.Error())
		}
	}
	for _, file := range cfg.filePairs {
		if err := audit.Read(file.name, file.value); err != nil {
			unread = append(unread, err.Error())
		}
	}
	return unread
}

func write(cfg *settings, report reporter.Report, stdout io.Writer) error {
	if cfg.json != "" {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(cfg.json, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if cfg.text == "" {
		return report.Text(stdout)
	}
	file, err := os.Create(cfg.text)
	if err != nil {
		return err
	}
	if err := report.Text(file); err != nil {
		return err
	}
	return file.Close()
}
