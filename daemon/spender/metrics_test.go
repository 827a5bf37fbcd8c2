package spender

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// TestCounter guards against metrics that grow with the number of tenants, and calls that are not counted.
func TestCounter(t *testing.T) {
	is := is.New(t)
	c := newCounter(hclog.NewNullLogger())
	for i := range 2 * maxNamedTenants {
		c.count(fmt.Sprint("tenant-", i), Admitted, nil)
		c.count(fmt.Sprint("tenant-", i), Refused, ErrOverLimit)
	}
	is.Equal(len(c.tenants), maxNamedTenants)
	is.Equal(c.tenants["tenant-7"].asked.Get(), uint64(2))
	is.Equal(c.tenants["tenant-7"].outcomes[Admitted].Get(), uint64(1))
	is.Equal(c.other.outcomes[Refused].Get(), uint64(maxNamedTenants))
}
