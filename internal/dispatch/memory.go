package dispatch

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// unreservedSize is the capacity up to which a buffer needs no reservation, in bytes: more than most
	// answers have, so that these do not fail because of a few that have no end.
	unreservedSize = 64 << 10
	// maxReserved bounds the reservations of all buffers of a node together, in bytes.
	maxReserved = 32 << 20
)

// errNoMemory is the error of an answer for which the node has no more memory.
var errNoMemory = errors.New("answers take all memory that this node has for them")

// answerMemory is how much memory the buffers of a node have reserved, in bytes.
type answerMemory struct{ reserved atomic.Int64 }

// reserve reserves memory; false if there is not enough.
func (m *answerMemory) reserve(bytes int) bool {
	if m.reserved.Add(int64(bytes)) <= maxReserved {
		return true
	}
	m.reserved.Add(-int64(bytes))
	return false
}

// answerBuffer holds what was read of an answer that is not complete. Beyond unreservedSize it takes part in
// the memory that all answers share.
type answerBuffer struct {
	memory  *answerMemory
	content []byte
	// reserved is the buffer's part of memory, in bytes.
	reserved int
}

// newBuffer returns a buffer of an initial capacity of at most unreservedSize, in bytes.
func (d *Dispatcher) newBuffer(size int) *answerBuffer {
	return &answerBuffer{memory: &d.answers, content: make([]byte, 0, size)}
}

// read reads once from the answer. It grows the buffer if that is full, at most to limit bytes.
func (b *answerBuffer) read(answer io.Reader, limit int) error {
	if len(b.content) == cap(b.content) {
		if err := b.grow(limit); err != nil {
			return err
		}
	}
	count, err := answer.Read(b.content[len(b.content):cap(b.content)])
	b.content = b.content[:len(b.content)+count]
	return err
}

// errTooLarge is the error of an answer, or of an event, that exceeds its own limit.
var errTooLarge = errors.New("larger than the limit")

// grow doubles the capacity, at most to limit bytes. Both copies count until the smaller one is dropped.
func (b *answerBuffer) grow(limit int) error {
	if cap(b.content) >= limit {
		return errTooLarge
	}
	capacity := min(2*cap(b.content), limit)
	wanted := 0
	if capacity > unreservedSize {
		wanted = capacity
	}
	if !b.memory.reserve(wanted) {
		return errNoMemory
	}
	larger := make([]byte, len(b.content), capacity)
	copy(larger, b.content)
	b.release()
	b.content, b.reserved = larger, wanted
	return nil
}

// drop removes the first bytes.
func (b *answerBuffer) drop(count int) { b.content = b.content[:copy(b.content, b.content[count:])] }

// release gives the buffer's reservation back. Its content is not used after that.
func (b *answerBuffer) release() {
	b.memory.reserved.Add(-int64(b.reserved))
	b.reserved = 0
}
