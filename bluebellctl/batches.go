package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v4"

	"bluebellhoist/core/presenter"
)

func (p *program) batches() *ff.Command {
	return &ff.Command{
		Name:      "batches",
		Usage:     "bluebellctl batches",
		ShortHelp: "list the batches",
		Flags:     ff.NewFlagSet("batches").SetParent(p.flags),
		Exec: func(ctx context.Context, _ []string) error {
			c, err := p.client()
			if err != nil {
				return err
			}
			lists, _, err := gather[[]presenter.Batch](ctx, c, "/v1/batches")
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "NAME\tVERSION\tUNTIL\tLAPSED\tSERVICES")
			for _, b := range mergeNewest(lists) {
				fmt.Fprintf(table, "%s\t%d\t%s\t%t\t%d\n", b.Name, b.Version, b.Until.Format(time.RFC3339), b.Lapsed, len(b.Services))
			}
			return table.Flush()
		},
	}
}

// mergeNewest merges the lists of several controllers. It keeps the highest version of each batch, because a partitioned
// controller reports outdated versions.
func mergeNewest(lists [][]presenter.Batch) []presenter.Batch {
	byName := map[string]presenter.Batch{}
	for _, list := range lists {
		for _, b := range list {
			if old, ok := byName[b.Name]; !ok || b.Version > old.Version {
				byName[b.Name] = b
			}
		}
	}
	merged := make([]presenter.Batch, 0, len(byName))
	for _, b := range byName {
		merged = append(merged, b)
	}
	slices.SortFunc(merged, func(a, b presenter.Batch) int { return cmp.Compare(a.Name, b.Name) })
	return merged
}
