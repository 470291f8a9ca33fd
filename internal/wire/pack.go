package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"lilacvane/internal/fault"
)

// packLevel is low because rows repeat the same names and small machines have little CPU time.
const packLevel = flate.BestSpeed

// PackRows compresses rows. The rows of runners shrink to about a fifth.
func PackRows(rows []TableRow) ([]byte, error) {
	content, err := encoder.Marshal(rows)
	if err != nil {
		return nil, fault.New(fault.CodeInternal, "pack rows", "%v", err)
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, packLevel)
	if err != nil {
		return nil, fault.New(fault.CodeInternal, "pack rows", "%v", err)
	}
	if _, err := writer.Write(content); err != nil {
		return nil, fault.New(fault.CodeInternal, "pack rows", "%v", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fault.New(fault.CodeInternal, "pack rows", "%v", err)
	}
	return packed.Bytes(), nil
}

// UnpackRows decompresses the rows of PackRows. Input that unpacks to more than MaximumMessageBytes
// is rejected. Errors name the peer that sent the bytes.
func UnpackRows(packed []byte, peer string) ([]TableRow, error) {
	const step = "unpack rows"
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaximumMessageBytes+1))
	if err != nil {
		return nil, fault.At(fault.CodeInvalid, step, peer, fault.NotDone, err)
	}
	if len(content) > MaximumMessageBytes {
		return nil, &fault.Error{Code: fault.CodeTooLarge, Step: step, Peer: peer, Ran: fault.NotDone}
	}
	var rows []TableRow
	if err := decoder.Unmarshal(content, &rows); err != nil {
		return nil, fault.At(fault.CodeInvalid, step, peer, fault.NotDone, err)
	}
	return rows, nil
}
