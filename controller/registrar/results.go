package registrar

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// AnswerLife is how long the answer to a change is kept for repeats.
const AnswerLife = 24 * time.Hour

// answers keeps the results of accepted changes by change id, in order of time.
type answers struct {
	list []wire.Stored
	byID map[string]wire.Stored
}

func newAnswers(list ...wire.Stored) *answers {
	a := &answers{byID: make(map[string]wire.Stored, len(list))}
	for _, stored := range list {
		a.add(stored)
	}
	return a
}

func (a *answers) find(id string) (wire.Stored, bool) {
	stored, ok := a.byID[id]
	return stored, ok
}

func (a *answers) add(stored wire.Stored) {
	a.list = append(a.list, stored)
	a.byID[stored.ID] = stored
}

func (a *answers) prune(clock int64) {
	for len(a.list) > 0 && a.list[0].At+millis(AnswerLife) < clock {
		delete(a.byID, a.list[0].ID)
		a.list = a.list[1:]
	}
}

func digestEdits(edits []wire.Edit) uint64 {
	data, err := encoder.Marshal(edits)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
