package compiler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellhoist/core/loader"
	"bluebellhoist/core/wire"
)

// MaxTextSize is the maximum size of a configuration text in bytes.
const MaxTextSize = 4 << 20

// text is the configuration text as operators write it.
type text struct {
	Batches map[string]textBatch `json:"batches"`
	Drop    map[string]textDrop  `json:"drop"`
}

type textBatch struct {
	Base     uint64                 `json:"base"`
	Until    time.Time              `json:"until"`
	Services map[string]textService `json:"services"`
	Routes   map[string]textRoute   `json:"routes"`
	Bounds   *textBounds            `json:"bounds"`
	Tenants  map[string]textTenant  `json:"tenants"`
}

type textService struct {
	Needs []string `json:"needs"`
	Class string   `json:"class"`
	Once  bool     `json:"once"`
	Limit string   `json:"limit"`
	Conns int      `json:"conns"`
}

type textDrop struct {
	Base uint64 `json:"base"`
}

// Parse parses and validates a configuration text and returns its edits sorted by batch name.
func Parse(data []byte, now time.Time) ([]wire.Edit, error) {
	if len(data) > MaxTextSize {
		return nil, fmt.Errorf("%w: text has %d bytes, limit is %d", ErrInvalid, len(data), MaxTextSize)
	}
	var t text
	if err := loader.Text(data, &t); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if len(t.Batches)+len(t.Drop) == 0 {
		return nil, fmt.Errorf("%w: text contains no batch", ErrInvalid)
	}
	edits := make([]wire.Edit, 0, len(t.Batches)+len(t.Drop))
	for _, name := range slices.Sorted(maps.Keys(t.Batches)) {
		edit, err := parseBatch(name, t.Batches[name], now)
		if err != nil {
			return nil, err
		}
		edits = append(edits, edit)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Drop)) {
		if _, ok := t.Batches[name]; ok {
			return nil, fmt.Errorf("%w: batch %q is both listed and dropped", ErrInvalid, name)
		}
		edits = append(edits, wire.Edit{Name: name, Base: t.Drop[name].Base, Drop: true})
	}
	slices.SortFunc(edits, func(a, b wire.Edit) int { return cmp.Compare(a.Name, b.Name) })
	return edits, nil
}

func parseBatch(name string, b textBatch, now time.Time) (wire.Edit, error) {
	if !b.Until.After(now) {
		return wire.Edit{}, fmt.Errorf("%w: batch %q: until %v is not in the future", ErrInvalid, name, b.Until.Format(time.RFC3339))
	}
	edit := wire.Edit{Name: name, Base: b.Base, Until: b.Until.UnixMilli()}
	for _, service := range slices.Sorted(maps.Keys(b.Services)) {
		s, err := parseService(name, service, b.Services[service])
		if err != nil {
			return wire.Edit{}, err
		}
		edit.Services = append(edit.Services, s)
	}
	if err := CheckServices(name, edit.Services); err != nil {
		return wire.Edit{}, err
	}
	var err error
	if edit.Routes, err = parseRoutes(name, b.Routes); err != nil {
		return wire.Edit{}, err
	}
	if edit.Bounds, err = b.Bounds.parse(name); err != nil {
		return wire.Edit{}, err
	}
	if b.Tenants != nil {
		edit.Auth, edit.Salt = true, NewSalt()
		if edit.Tenants, err = parseTenants(name, b.Tenants); err != nil {
			return wire.Edit{}, err
		}
	}
	return edit, CheckRoutes(name, edit.Routes, edit.Services)
}

func parseService(batch, name string, s textService) (wire.Service, error) {
	limit := DefaultLimit
	if s.Limit != "" {
		var err error
		if limit, err = time.ParseDuration(s.Limit); err != nil {
			return wire.Service{}, fmt.Errorf("%w: batch %q: service %q: limit: %v", ErrInvalid, batch, name, err)
		}
	}
	class := s.Class
	if class == "" {
		class = Normal
	}
	needs := slices.Clone(s.Needs)
	slices.Sort(needs)
	return wire.Service{
		Name:  name,
		Needs: slices.Compact(needs),
		Class: class,
		Once:  s.Once,
		Limit: limit,
		Conns: max(s.Conns, 0),
	}, nil
}
