// Package answer reads the heads of HTTP/1 answers from connections. It bounds them, and takes for an answer
// only what the protocol allows.
package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// MaxHead bounds what is read of a connection until the head of an answer is complete, in bytes, with the
	// heads of interim answers before it.
	MaxHead = 64 << 10
	// bufferSize is the size of a reader's buffer, in bytes, until a head needs more.
	bufferSize = 4 << 10
)

// errHeadTooLong is the error of a connection that brings more than MaxHead and no complete head.
var errHeadTooLong = errors.New("the head of the answer has no end")

// Reader reads the answers that a connection brings, one after the other. It is used by one goroutine.
type Reader struct {
	// Reader brings what follows the heads that were read. It may be replaced by ReadHead.
	*bufio.Reader
	source *limitedSource
}

// NewReader returns a reader of what source brings.
func NewReader(source io.Reader) *Reader {
	limited := &limitedSource{source: source}
	return &Reader{Reader: bufio.NewReaderSize(limited, bufferSize), source: limited}
}

// ReadHead reads the head of the answer to a request with a method, without interim answers. Only an answer with 101
// is not the final one: what follows it is of another protocol. An error means that no answer came that can be
// taken for one, and says nothing about whether the request ran.
func (r *Reader) ReadHead(method string) (*http.Response, error) {
	r.source.expectHead()
	defer r.source.endHead()
	for {
		head, err := r.peekHead()
		if err != nil {
			return nil, unexpected(err)
		}
		if err := checkHead(head); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := Check(response); err != nil {
			return nil, err
		}
		if !isInterim(response.StatusCode) || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// isInterim reports whether another answer follows one with this status.
func isInterim(status int) bool { return status < http.StatusOK }

// peekHead returns the next head without reading it.
func (r *Reader) peekHead() ([]byte, error) {
	for size, end := 1, 0; ; size = r.Buffered() + 1 {
		if size > r.Size() {
			r.grow()
		}
		if _, err := r.Peek(size); err != nil {
			return nil, err
		}
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		complete := false
		if end, complete = headEnd(buffered, end); complete {
			return buffered[:end], nil
		}
	}
}

// grow doubles the size of the buffer.
func (r *Reader) grow() {
	// What is buffered can be peeked at.
	buffered, _ := r.Peek(r.Buffered())
	size := 2 * r.Size()
	r.Reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), r.source), size)
}

// headEnd returns the length of the complete lines at the begin of content up to the end of the head. The first lines,
// of a length start, were looked at before.
func headEnd(content []byte, start int) (end int, complete bool) {
	for line := range bytes.Lines(content[start:]) {
		if line[len(line)-1] != '\n' {
			break
		}
		start += len(line)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return start, true
		}
	}
	return start, false
}

// unexpected returns err as the error of an answer that ended before its end.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// limitedSource bounds what is read from a connection while it is expected to bring the head of an answer.
type limitedSource struct {
	source io.Reader
	// limited is set while a head is expected, left is how much may still be read of it, in bytes.
	limited bool
	left    int
}

// expectHead begins the limit, endHead ends it.
func (l *limitedSource) expectHead() { l.limited, l.left = true, MaxHead }
func (l *limitedSource) endHead()    { l.limited = false }

// Read reads from the connection, at most what is left of the limit.
func (l *limitedSource) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.source.Read(buffer)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	count, err := l.source.Read(buffer[:min(len(buffer), l.left)])
	l.left -= count
	return count, err
}
