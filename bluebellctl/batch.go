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

// textBatch is a batch in the operators' text.
type textBatch struct {
	Base     uint64                 `json:"base"`
	Until    time.Time              `json:"until"`
	Services map[string]textService `json:"services"`
	Routes   map[string]textRoute   `json:"routes,omitempty"`
	Bounds   *presenter.Bounds      `json:"bounds,omitempty"`
}

type textService struct {
	Needs []string `json:"needs"`
	Class string   `json:"class"`
	Once  bool     `json:"once"`
	Limit string   `json:"limit"`
	Conns int      `json:"conns,omitempty"`
}

type textRoute struct {
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Parts    map[string]int `json:"parts"`
	Repeat   bool           `json:"repeat"`
	Timeout  string         `json:"timeout"`
	Target   string         `json:"target"`
	Rank     int            `json:"rank"`
	Attempts int            `json:"attempts"`
}

// format returns the operators' text of b. Its base is the version of b.
func format(b presenter.Batch) ([]byte, error) {
	batch := textBatch{Base: b.Version, Until: b.Until, Services: make(map[string]textService, len(b.Services)), Bounds: b.Bounds}
	for _, s := range b.Services {
		needs := s.Needs
		if needs == nil {
			needs = []string{}
		}
		batch.Services[s.Name] = textService{Needs: needs, Class: s.Class, Once: s.Once, Limit: s.Limit, Conns: s.Conns}
	}
	if len(b.Routes) > 0 {
		batch.Routes = make(map[string]textRoute, len(b.Routes))
	}
	for _, r := range b.Routes {
		batch.Routes[r.Name] = textRoute{
			Host: r.Host, Prefix: r.Prefix, Parts: r.Parts, Repeat: r.Repeat, Timeout: r.Timeout, Target: r.Target,
			Rank: r.Rank, Attempts: r.Attempts,
		}
	}
	var out bytes.Buffer
	if b.Lapsed {
		fmt.Fprintf(&out, "// Batch %s has lapsed: set until to a future time and list its services again.\n", b.Name)
	}
	if b.Revision != 0 {
		fmt.Fprintf(&out, "// Batch %s is at revision %d of another interface and can only be changed through that one.\n", b.Name, b.Revision)
	}
	encoder := json.NewEncoder(&out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(map[string]map[string]textBatch{"batches": {b.Name: batch}}); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
