package relay

import (
	"cmp"
	"sync"

	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// minPackedSize is the size of rows, in bytes, from which they are compressed.
const minPackedSize = 4 << 10

// packKey identifies the content of a response: all rows, or the changes after a revision, up to
// another revision.
type packKey struct {
	whole    bool
	after    table.Revision
	revision table.Revision
}

// packer caches the last compressed rows of a table, because readers at the same revision get the
// same rows. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	key    packKey
	packed []byte
}

// put sets the rows of a response, compressed if they are large.
func (p *packer) put(response *wire.FollowResponse, request wire.FollowRequest, batch feed.Batch) error {
	if sizeOfAll(batch.Rows) < minPackedSize {
		response.Rows = wireRows(batch.Rows, batch.Revision.Epoch())
		return nil
	}
	key := packKey{whole: request.Whole, after: table.NewRevision(request.Epoch, request.After), revision: batch.Revision}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key != key || p.packed == nil {
		packed, err := wire.PackRows(wireRows(batch.Rows, batch.Revision.Epoch()))
		if err != nil {
			return err
		}
		p.key, p.packed = key, packed
	}
	response.Packed = p.packed
	return nil
}

// sizeOf returns the size of a row in bytes.
func sizeOf(row feed.Row) int { return len(row.Key) + len(row.Value) }

func sizeOfAll(rows []feed.Row) int {
	size := 0
	for _, row := range rows {
		size += sizeOf(row)
	}
	return size
}

// wireRows returns the rows of a message of an epoch.
func wireRows(rows []feed.Row, epoch table.Epoch) []wire.TableRow {
	var converted []wire.TableRow
	for _, row := range rows {
		sent := wire.TableRow{Key: row.Key, Value: row.Value, Revision: row.Revision.Number(), Deleted: row.Deleted}
		if row.Revision.Epoch() != epoch {
			sent.Epoch = row.Revision.Epoch()
		}
		converted = append(converted, sent)
	}
	return converted
}

// rowsOf returns the rows of the response of a relay.
func rowsOf(response wire.FollowResponse, relay Peer) ([]feed.Row, error) {
	received := response.Rows
	if len(response.Packed) > 0 {
		var err error
		if received, err = wire.UnpackRows(response.Packed, relay.Address); err != nil {
			return nil, err
		}
	}
	var rows []feed.Row
	for _, row := range received {
		revision := table.NewRevision(cmp.Or(row.Epoch, response.Epoch), row.Revision)
		rows = append(rows, feed.Row{Key: row.Key, Value: row.Value, Revision: revision, Deleted: row.Deleted})
	}
	return rows, nil
}
