// Command controller replicates the configuration durably and distributes it to the daemons.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"bluebellhoist/controller/runner"
	"bluebellhoist/controller/storer"
	"bluebellhoist/core/logger"
)

func main() {
	flags := ff.NewFlagSet("controller")
	path := flags.StringLong("settings", "controller.json", "settings file")
	root := &ff.Command{
		Name:  "controller",
		Usage: "controller --settings FILE init|run",
		Flags: flags,
		Subcommands: []*ff.Command{
			{
				Name:      "init",
				ShortHelp: "create a cluster with this node as its only voter; run it once, on one node",
				Exec:      func(context.Context, []string) error { return initialize(*path) },
			},
			{
				Name:      "run",
				ShortHelp: "run the node until SIGTERM",
				Exec:      func(ctx context.Context, _ []string) error { return runNode(ctx, *path) },
			},
		},
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:], ff.WithEnvVarPrefix("CONTROLLER"))
	if errors.Is(err, ff.ErrHelp) || errors.Is(err, ff.ErrNoExec) {
		fmt.Fprintln(os.Stderr, ffhelp.Command(root))
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "controller:", err)
		os.Exit(1)
	}
}

// initialize creates a new cluster in the data folder of the node.
func initialize(path string) error {
	s, err := runner.Load(path)
	if err != nil {
		return err
	}
	identity, err := storer.InitCluster(s.Data, s.Node())
	if err != nil {
		return err
	}
	fmt.Println("cluster", identity.Cluster, "node", identity.ID)
	return nil
}

// runNode runs a node with the settings file at path until it stops.
func runNode(ctx context.Context, path string) error {
	s, err := runner.Load(path)
	if err != nil {
		return err
	}
	log, closeLog := logger.Start(s.Name, hclog.LevelFromString(s.Level))
	defer closeLog()
	return runner.Serve(ctx, log, func() (func(context.Context) error, error) {
		r, err := runner.New(s, log, runner.WithFile(path, runner.Parse))
		if err != nil {
			return nil, err
		}
		return r.Run, nil
	})
}
