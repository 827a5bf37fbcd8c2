package compiler_test

import (
	"testing"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

// FuzzParse guards against texts that Parse accepts although no snapshot can be made from them.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"batches": {"a": {"until": "2100-01-01T00:00:00Z", "services": {"x": {"needs": ["y"]}, "y": {}}}}}`))
	f.Add([]byte(`{"drop": {"a": {"base": 3}}}`))
	f.Add([]byte(`{"batches": {"a": {"until": "2100-01-01T00:00:00Z", /* c */ "services": {"x": {"limit": "1ns",},},},}}`))
	f.Add([]byte(`{"batches": {}}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, text []byte) {
		edits, err := compiler.Parse(text, now)
		if err != nil {
			return
		}
		for _, e := range edits {
			if e.Drop {
				continue
			}
			batch := wire.Batch{Name: e.Name, Version: 1, Until: e.Until, Services: e.Services}
			sum, err := compiler.Checksum(batch)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := compiler.New(batch, sum); err != nil {
				t.Fatal(err)
			}
		}
	})
}
