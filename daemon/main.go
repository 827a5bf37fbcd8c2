// Command daemon is the proxy on an upstream VM.
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
	// gcPercent trades memory, of which a daemon uses little, for fewer collections during calls.
	gcPercent = 400
	// memoryLimit makes the collector work harder before a daemon exceeds its 128 MB.
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
		Exec:  func(ctx context.Context, _ []string) error { return start(ctx, *path) },
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

func start(ctx context.Context, path string) error {
	s, err := runner.Load(path)
	if err != nil {
		return err
	}
	log, end := logger.Start(s.Name, hclog.LevelFromString(s.Level))
	defer end()
	r, err := runner.New(s, log, runner.WithFile(path, runner.Parse))
	if err != nil {
		return err
	}
	return r.Run(ctx)
}
