package carrier

import (
	"time"

	"bluebellhoist/core/wire"
)

// messageRow is the encoding of a message as an array. The keys of maps would take more than half of the bytes.
type messageRow struct {
	_      struct{} `cbor:",toarray"`
	Kind   string
	Seq    uint64
	Batch  string
	Voters int
	Items  []itemRow
}

type itemRow struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	Mod    uint64
	Count  int
	Extra  int
	Wait   time.Duration
}

func newRow(msg wire.Quota) messageRow {
	row := messageRow{Kind: msg.Kind, Seq: msg.Seq, Batch: msg.Batch, Voters: msg.Voters, Items: make([]itemRow, len(msg.Items))}
	for i, item := range msg.Items {
		row.Items[i] = itemRow{Tenant: item.Tenant, Mod: item.Mod, Count: item.Count, Extra: item.Extra, Wait: item.Wait}
	}
	return row
}

func (r messageRow) message() wire.Quota {
	msg := wire.Quota{Kind: r.Kind, Seq: r.Seq, Batch: r.Batch, Voters: r.Voters, Items: make([]wire.QuotaItem, len(r.Items))}
	for i, item := range r.Items {
		msg.Items[i] = wire.QuotaItem{Tenant: item.Tenant, Mod: item.Mod, Count: item.Count, Extra: item.Extra, Wait: item.Wait}
	}
	return msg
}
