package registrar

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// ResultRetention is how long the result of a change is kept, so that a retry of the change gets the same result.
const ResultRetention = 24 * time.Hour

// changeResults holds the results of accepted changes by change ID, ordered by time.
type changeResults struct {
	list []wire.ChangeResult
	byID map[string]wire.ChangeResult
}

func newChangeResults(list ...wire.ChangeResult) *changeResults {
	r := &changeResults{byID: make(map[string]wire.ChangeResult, len(list))}
	for _, stored := range list {
		r.add(stored)
	}
	return r
}

func (r *changeResults) find(id string) (wire.ChangeResult, bool) {
	stored, ok := r.byID[id]
	return stored, ok
}

func (r *changeResults) add(stored wire.ChangeResult) {
	r.list = append(r.list, stored)
	r.byID[stored.ID] = stored
}

func (r *changeResults) prune(clock int64) {
	for len(r.list) > 0 && r.list[0].At+millis(ResultRetention) < clock {
		delete(r.byID, r.list[0].ID)
		r.list = r.list[1:]
	}
}

// hashEdits returns a hash of the edits without their salts, which differ between retries of a change.
func hashEdits(edits []wire.Edit) uint64 {
	edits = slices.Clone(edits)
	for i := range edits {
		edits[i].Salt = nil
	}
	data, err := encoder.Marshal(edits)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
