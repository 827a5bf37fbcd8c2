// Command daemon runs the proxy on an upstream's VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"bluebellhoist/core/logger"
	"bluebellhoist/daemon/runner"
)

const (
	// gcPercent trades memory for fewer garbage collections during calls; a daemon uses little memory.
	gcPercent = 400
	// memoryLimit, in bytes, makes the garbage collector run more often before a daemon exceeds its limit of 128 MB.
	memoryLimit = 100 << 20
)

func main() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	flags := ff.NewFlagSet("daemon")
	path := flags.StringLong("settings", "daemon.json", "settings file")
	root := &ff.Command{
		Name:  "daemon",
		Usage: "daemon --settings FILE",
		Flags: flags,
		Exec:  func(ctx context.Context, _ []string) error { return runDaemon(ctx, *path) },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:], ff.WithEnvVarPrefix("DAEMON"))
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(os.Stderr, ffhelp.Command(root))
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "daemon:", err)
		os.Exit(1)
	}
}

// runDaemon runs a daemon with the settings file at path until it stops.
func runDaemon(ctx context.Context, path string) error {
	s, err := runner.Load(path)
	if err != nil {
		return err
	}
	log, closeLog := logger.Start(s.Name, hclog.LevelFromString(s.Level))
	defer closeLog()
	r, err := runner.New(s, log, runner.WithFile(path, runner.Parse))
	if err != nil {
		return err
	}
	return r.Run(ctx)
}
