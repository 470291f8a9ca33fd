// Package body holds the bodies of requests in memory, in pieces that are allocated as the bytes arrive.
package body

import (
	"bytes"
	"io"
)

const (
	// minPiece and maxPiece bound the size of a piece, in bytes. A piece is as large as all before it
	// together, so that little memory is unused and there are few pieces.
	minPiece = 4 << 10
	maxPiece = 256 << 10
)

// Body is the content of a request. It must not be changed, and may be read concurrently.
type Body struct {
	pieces [][]byte
	length int
}

// New returns a body with a content, which the caller must not change any more.
func New(content []byte) Body {
	if len(content) == 0 {
		return Body{}
	}
	return Body{pieces: [][]byte{content}, length: len(content)}
}

// Len returns the length in bytes.
func (b Body) Len() int { return b.length }

// Reader returns a reader of the content from its beginning.
func (b Body) Reader() io.Reader {
	if len(b.pieces) == 1 {
		return bytes.NewReader(b.pieces[0])
	}
	readers := make([]io.Reader, 0, len(b.pieces))
	for _, piece := range b.pieces {
		readers = append(readers, bytes.NewReader(piece))
	}
	return io.MultiReader(readers...)
}

// Bytes returns the content in one piece, which is a copy if the body has several.
func (b Body) Bytes() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	return bytes.Join(b.pieces, nil)
}

// WriteTo writes the content.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	var total int64
	for _, piece := range b.pieces {
		count, err := w.Write(piece)
		total += int64(count)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Read reads a body to its end. length is its announced length, negative if there is none. take is called with
// the size of each piece, in bytes, before it is allocated; its error ends the read.
func Read(r io.Reader, length int64, take func(bytes int) error) (Body, error) {
	var b Body
	for {
		size := b.nextPiece(length)
		if size == 0 {
			return b, nil
		}
		if err := take(size); err != nil {
			return Body{}, err
		}
		piece := make([]byte, size)
		count, err := io.ReadFull(r, piece)
		if count > 0 {
			b.pieces, b.length = append(b.pieces, piece[:count]), b.length+count
		}
		switch {
		case err == nil:
		case length < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF):
			return b, nil
		default:
			return Body{}, err
		}
	}
}

// nextPiece returns the size of the next piece; zero if the announced length is reached.
func (b Body) nextPiece(length int64) int {
	size := min(max(b.length, minPiece), maxPiece)
	if length >= 0 {
		size = int(min(int64(size), length-int64(b.length)))
	}
	return size
}
