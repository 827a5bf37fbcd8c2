package spender

import "bluebellhoist/core/apportioner"

// Limit is the limit on the calls of one tenant over the whole mesh.
type Limit = apportioner.Limit

// Bound states how many calls of a tenant may arrive in any window.
type Bound = apportioner.Bound
