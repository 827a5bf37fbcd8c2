package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/peterbourgon/ff/v4"

	"bluebellhoist/core/presenter"
)

func (p *program) batch() *ff.Command {
	return &ff.Command{
		Name:      "batch",
		Usage:     "bluebellctl batch NAME",
		ShortHelp: "print a batch as a change file that can be edited and applied",
		Flags:     ff.NewFlagSet("batch").SetParent(p.flags),
		Exec: func(ctx context.Context, args []string) error {
			name, err := singleArgument(args, "NAME")
			if err != nil {
				return err
			}
			c, err := p.client()
			if err != nil {
				return err
			}
			found, _, err := gather[presenter.Batch](ctx, c, "/v1/batches/"+url.PathEscape(name))
			if err != nil {
				return fmt.Errorf("batch %q: %w", name, err)
			}
			changeFile, err := formatBatch(mergeNewest([][]presenter.Batch{found})[0])
			if err != nil {
				return err
			}
			_, err = p.stdout.Write(changeFile)
			return err
		},
	}
}

// changeFileBatch is a batch in the format of a change file, which compiler.Parse reads.
type changeFileBatch struct {
	Base     uint64                       `json:"base"`
	Until    time.Time                    `json:"until"`
	Services map[string]changeFileService `json:"services"`
	Routes   map[string]changeFileRoute   `json:"routes,omitempty"`
	Bounds   *presenter.Bounds            `json:"bounds,omitempty"`
}

// changeFileService is a service in the format of a change file.
type changeFileService struct {
	Needs []string `json:"needs"`
	Class string   `json:"class"`
	Once  bool     `json:"once"`
	Limit string   `json:"limit"`
	Conns int      `json:"conns,omitempty"`
}

// changeFileRoute is a route in the format of a change file.
type changeFileRoute struct {
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Parts    map[string]int `json:"parts"`
	Repeat   bool           `json:"repeat"`
	Timeout  string         `json:"timeout"`
	Target   string         `json:"target"`
	Rank     int            `json:"rank"`
	Attempts int            `json:"attempts"`
	Public   bool           `json:"public,omitempty"`
}

// formatBatch returns a change file that sets b to its present content, with the version of b as base. Controllers hold no
// keys, so a batch with tenants has no such file: applying one without them would open its routes to everyone.
func formatBatch(b presenter.Batch) ([]byte, error) {
	if b.Auth {
		return nil, fmt.Errorf("%w: batch %q has tenants, whose keys cannot be read back; edit the text that was applied, with base %d", errInvalid, b.Name, b.Version)
	}
	batch := changeFileBatch{Base: b.Version, Until: b.Until, Services: make(map[string]changeFileService, len(b.Services)), Bounds: b.Bounds}
	for _, s := range b.Services {
		needs := s.Needs
		if needs == nil {
			needs = []string{}
		}
		batch.Services[s.Name] = changeFileService{Needs: needs, Class: s.Class, Once: s.Once, Limit: s.Limit, Conns: s.Conns}
	}
	if len(b.Routes) > 0 {
		batch.Routes = make(map[string]changeFileRoute, len(b.Routes))
	}
	for _, r := range b.Routes {
		batch.Routes[r.Name] = changeFileRoute{
			Host: r.Host, Prefix: r.Prefix, Parts: r.Parts, Repeat: r.Repeat, Timeout: r.Timeout, Target: r.Target,
			Rank: r.Rank, Attempts: r.Attempts, Public: r.Public,
		}
	}
	var out bytes.Buffer
	if b.Lapsed {
		fmt.Fprintf(&out, "// Batch %s has lapsed: set until to a future time and list its services again.\n", b.Name)
	}
	if b.Revision != 0 {
		fmt.Fprintf(&out, "// Batch %s has revision %d, which another interface set; it can only be changed through that interface.\n", b.Name, b.Revision)
	}
	encoder := json.NewEncoder(&out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(map[string]map[string]changeFileBatch{"batches": {b.Name: batch}}); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
