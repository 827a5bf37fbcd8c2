package compiler

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"bluebellhoist/core/wire"
)

// textTenant is a tenant in the configuration text.
type textTenant struct {
	Keys  []string `json:"keys"`
	Rank  *int     `json:"rank"`  // takes precedence over that of the route
	Rate  float64  `json:"rate"`  // calls per second; 0 for no limit
	Burst float64  `json:"burst"` // calls in addition to the rate
}

func parseTenants(batch string, tenantTexts map[string]textTenant) ([]wire.Tenant, error) {
	var tenants []wire.Tenant
	for _, name := range slices.Sorted(maps.Keys(tenantTexts)) {
		tenant, err := tenantTexts[name].parse(name)
		if err != nil {
			return nil, fmt.Errorf("%w: batch %q: tenant %q: %v", ErrInvalid, batch, name, err)
		}
		tenants = append(tenants, tenant)
	}
	return tenants, CheckEditTenants(batch, tenants)
}

// parse returns the tenant as it is in an edit. A repeated key counts once.
func (t textTenant) parse(name string) (wire.Tenant, error) {
	tenant := wire.Tenant{Name: name, Rank: t.Rank, Rate: t.Rate, Burst: t.Burst}
	for i, key := range t.Keys {
		if err := CheckKey(key); err != nil {
			return tenant, fmt.Errorf("keys: key %d %v", i, err)
		}
		tenant.Keys = append(tenant.Keys, DigestKey(key))
	}
	slices.SortFunc(tenant.Keys, bytes.Compare)
	tenant.Keys = slices.CompactFunc(tenant.Keys, bytes.Equal)
	return tenant, nil
}
