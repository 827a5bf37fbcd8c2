package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"

	"bluebellhoist/core/presenter"
)

// overview is the merged status of all controllers that answered.
type overview struct {
	Controllers []presenter.Status `json:"controllers"`
	Nodes       []presenter.Node   `json:"nodes"`
	Daemons     []presenter.Daemon `json:"daemons"`
	Failed      []string           `json:"silent"` // errors of the controllers without a usable answer
}

func (p *program) status() *ff.Command {
	flags := ff.NewFlagSet("status").SetParent(p.flags)
	asJSON := flags.BoolLong("json", "print JSON")
	return &ff.Command{
		Name:      "status",
		Usage:     "bluebellctl status [FLAGS]",
		ShortHelp: "show controllers and daemons",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			c, err := p.client()
			if err != nil {
				return err
			}
			o, err := c.overview(ctx)
			if err != nil {
				return err
			}
			if *asJSON {
				encoder := json.NewEncoder(p.stdout)
				encoder.SetIndent("", "  ")
				return encoder.Encode(o)
			}
			return o.print(p.stdout)
		},
	}
}

func (c *client) overview(ctx context.Context) (overview, error) {
	statuses, failed, err := gather[presenter.Status](ctx, c, "/v1/status")
	if err != nil {
		return overview{}, err
	}
	o := mergeStatuses(statuses)
	for _, err := range failed {
		o.Failed = append(o.Failed, err.Error())
	}
	return o, nil
}

// mergeStatuses merges the statuses of several controllers. It takes the membership from the controller with the highest
// applied index. A daemon that reconnected to another controller may still be listed by the previous one, so it takes each
// daemon from the status that reports its highest version.
func mergeStatuses(statuses []presenter.Status) overview {
	o := overview{Controllers: []presenter.Status{}, Nodes: []presenter.Node{}, Daemons: []presenter.Daemon{}, Failed: []string{}}
	daemons := map[string]presenter.Daemon{}
	var maxApplied uint64
	for _, r := range statuses {
		if r.Applied >= maxApplied {
			maxApplied, o.Nodes = r.Applied, r.Nodes
		}
		for _, d := range r.Daemons {
			if old, ok := daemons[d.Name]; !ok || d.Held > old.Held {
				daemons[d.Name] = d
			}
		}
		r.Nodes, r.Daemons = nil, nil
		o.Controllers = append(o.Controllers, r)
	}
	for _, d := range daemons {
		o.Daemons = append(o.Daemons, d)
	}
	slices.SortFunc(o.Daemons, func(a, b presenter.Daemon) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(o.Controllers, func(a, b presenter.Status) int { return cmp.Compare(a.Name, b.Name) })
	return o
}

func (o overview) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CONTROLLER\tROLE\tLEADER\tTERM\tCOMMIT\tAPPLIED\tVERSION\tFRESH")
	for _, c := range o.Controllers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%t\n", c.Name, c.Role, c.Leader, c.Term, c.Commit, c.Applied, c.Version, c.Fresh)
	}
	fmt.Fprintln(table, "\nNODE\tADDRESS\tVOTER")
	for _, n := range o.Nodes {
		fmt.Fprintf(table, "%s\t%s\t%t\n", n.Name, n.Addr, n.Voter)
	}
	fmt.Fprintln(table, "\nDAEMON\tDOMAIN\tBATCH\tHELD")
	for _, d := range o.Daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", d.Name, d.Domain, d.Batch, d.Held)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, failed := range o.Failed {
		if _, err := fmt.Fprintln(out, "no answer:", failed); err != nil {
			return err
		}
	}
	return nil
}
