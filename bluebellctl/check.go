package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"bluebellhoist/core/compiler"
)

func (p *program) check() *ff.Command {
	return &ff.Command{
		Name:      "check",
		Usage:     "bluebellctl check FILE",
		ShortHelp: "validate a change file without contacting a controller",
		Flags:     ff.NewFlagSet("check").SetParent(p.flags),
		Exec: func(_ context.Context, args []string) error {
			path, err := singleArgument(args, "FILE")
			if err != nil {
				return err
			}
			changeFile, err := os.ReadFile(path)
			if err != nil {
				return fmt.Errorf("%w: %v", errUsage, err)
			}
			if _, err := compiler.Parse(changeFile, time.Now()); err != nil {
				return fmt.Errorf("%w: %v", errInvalid, err)
			}
			return nil
		},
	}
}
