package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

// TestPackedRows checks that rows survive packing unchanged and become much smaller.
func TestPackedRows(t *testing.T) {
	var rows []TableRow
	size := 0
	for i := range 200 {
		value := fmt.Appendf(nil, `{"service":"drafts","address":"10.1.2.%d:8000","state":"ready","slots":64,"models":[{"name":"model-%d","version":1}]}`, i, i)
		rows = append(rows, TableRow{Key: fmt.Sprintf("runner-%d", i), Value: value, Revision: uint64(i), Deleted: false})
		size += len(value)
	}
	rows = append(rows, TableRow{Key: "gone", Revision: 900, Deleted: true})
	packed, err := PackRows(rows)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < size/4, "%d bytes of %d", len(packed), size)
	unpacked, err := UnpackRows(packed, "peer")
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, rows)
}

// TestBadPackedRows checks that input which is corrupt or would take too much memory is rejected
// with the name of the peer.
func TestBadPackedRows(t *testing.T) {
	var bomb bytes.Buffer
	writer, err := flate.NewWriter(&bomb, flate.BestSpeed)
	assert.NilError(t, err)
	_, err = writer.Write(make([]byte, 2*MaximumMessageBytes))
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
	_, err = UnpackRows(bomb.Bytes(), "peer")
	assert.Assert(t, fault.IsCode(err, fault.CodeTooLarge), "%v", err)
	for _, broken := range [][]byte{{0}, {1, 2, 3}, []byte("text")} {
		_, err := UnpackRows(broken, "peer-1")
		assert.Assert(t, fault.IsCode(err, fault.CodeInvalid), "%v", err)
		assert.ErrorContains(t, err, "peer-1")
	}
}

// FuzzUnpackRows checks that no input from a peer makes UnpackRows panic.
func FuzzUnpackRows(f *testing.F) {
	packed, err := PackRows([]TableRow{{Key: "a", Value: []byte("b"), Revision: 1}, {Key: "c", Deleted: true}})
	assert.NilError(f, err)
	f.Add(packed)
	f.Add([]byte{3, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		rows, err := UnpackRows(content, "peer")
		if err == nil {
			_, err = PackRows(rows)
			assert.NilError(t, err)
		}
	})
}
