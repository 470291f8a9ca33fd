package body

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A body is what was sent, however it arrives, and takes no more than one piece beyond what has arrived.
func TestBodyIsWhatWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 100_000).Draw(t, "tens"))
		length := int64(-1)
		if rapid.Bool().Draw(t, "announced") {
			length = int64(len(sent))
		}
		reader := &countingReader{Reader: bytes.NewReader(sent)}
		taken := 0
		b, err := Read(iotest.HalfReader(reader), length, func(size int) error {
			assert.Assert(t, taken <= reader.count, "%d of %d bytes taken", taken, reader.count)
			taken += size
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, b.Len(), len(sent))
		assert.Assert(t, bytes.Equal(b.Bytes(), sent))
		read, err := io.ReadAll(b.Reader())
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(read, sent))
		var written bytes.Buffer
		_, err = b.WriteTo(&written)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(written.Bytes(), sent))
	})
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	count int
}

func (c *countingReader) Read(buffer []byte) (int, error) {
	count, err := c.Reader.Read(buffer)
	c.count += count
	return count, err
}

// An announced body that ends early, a reader that fails, and a lack of memory are errors.
func TestBodyIsNotWhole(t *testing.T) {
	accept := func(int) error { return nil }
	_, err := Read(strings.NewReader("abc"), 4, accept)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = Read(strings.NewReader(""), 4, accept)
	assert.ErrorIs(t, err, io.EOF)
	failed := errors.New("reset")
	_, err = Read(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(failed)), -1, accept)
	assert.ErrorIs(t, err, failed)
	full := errors.New("full")
	_, err = Read(strings.NewReader("abc"), 3, func(int) error { return full })
	assert.ErrorIs(t, err, full)
}
