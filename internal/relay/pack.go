package relay

import (
	"sync"

	"lilacvane/internal/feed"
	"lilacvane/internal/wire"
)

// packFrom is the size of rows, in bytes, from which they are packed.
const packFrom = 4 << 10

// packKey names what a reader was told: the changes after a revision, or all
// rows, up to another one.
type packKey struct {
	whole    bool
	after    uint64
	revision uint64
}

// packer keeps what was packed last of a table: readers that are at the same
// revision are told the same. Its methods may be called concurrently.
type packer struct {
	mu     sync.Mutex
	key    packKey
	packed []byte
}

// put fills in the rows of a response, packed where they are many.
func (p *packer) put(response *wire.FollowResponse, request wire.FollowRequest, batch feed.Batch) error {
	if sizeOfAll(batch.Rows) < packFrom {
		response.Rows = wireRows(batch.Rows)
		return nil
	}
	key := packKey{whole: request.Whole, after: request.After, revision: batch.Revision}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key != key || p.packed == nil {
		packed, err := wire.PackRows(wireRows(batch.Rows))
		if err != nil {
			return err
		}
		p.key, p.packed = key, packed
	}
	response.Packed = p.packed
	return nil
}

// sizeOf is the size of a row in bytes.
func sizeOf(row feed.Row) int { return len(row.Key) + len(row.Value) }

func sizeOfAll(rows []feed.Row) int {
	size := 0
	for _, row := range rows {
		size += sizeOf(row)
	}
	return size
}

func wireRows(rows []feed.Row) []wire.TableRow {
	var converted []wire.TableRow
	for _, row := range rows {
		converted = append(converted, wire.TableRow(row))
	}
	return converted
}

// rowsOf returns the rows of a relay's response.
func rowsOf(response wire.FollowResponse, relay Peer) ([]feed.Row, error) {
	told := response.Rows
	if len(response.Packed) > 0 {
		var err error
		if told, err = wire.UnpackRows(response.Packed, relay.Address); err != nil {
			return nil, err
		}
	}
	var rows []feed.Row
	for _, row := range told {
		rows = append(rows, feed.Row(row))
	}
	return rows, nil
}
