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
		ShortHelp: "print a batch as a text that can be edited and applied",
		Flags:     ff.NewFlagSet("batch").SetParent(p.flags),
		Exec: func(ctx context.Context, args []string) error {
			name, err := argument(args, "NAME")
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
			text, err := format(newest([][]presenter.Batch{found})[0])
			if err != nil {
				return err
			}
			_, err = p.stdout.Write(text)
			return err
		},
	}
}

// format returns the operators' text of b. Its base is the version of b.
func format(b presenter.Batch) ([]byte, error) {
	type textService struct {
		Needs []string `json:"needs"`
		Class string   `json:"class"`
		Once  bool     `json:"once"`
		Limit string   `json:"limit"`
	}
	services := make(map[string]textService, len(b.Services))
	for _, s := range b.Services {
		needs := s.Needs
		if needs == nil {
			needs = []string{}
		}
		services[s.Name] = textService{Needs: needs, Class: s.Class, Once: s.Once, Limit: s.Limit}
	}
	type textBatch struct {
		Base     uint64                 `json:"base"`
		Until    time.Time              `json:"until"`
		Services map[string]textService `json:"services"`
	}
	text := map[string]map[string]textBatch{"batches": {b.Name: {b.Version, b.Until, services}}}
	var out bytes.Buffer
	if b.Lapsed {
		fmt.Fprintf(&out, "// Batch %s has lapsed: set until to a future time and list its services again.\n", b.Name)
	}
	encoder := json.NewEncoder(&out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(text); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
