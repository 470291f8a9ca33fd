package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxAnswerHead bounds what is read of a connection until the head of an answer is complete, in bytes,
// with the heads of interim answers before it.
const maxAnswerHead = 64 << 10

// errHeadTooLong is the error of a runner that sends more than maxAnswerHead and no complete head.
var errHeadTooLong = errors.New("the head of the answer has no end")

// headLimiter bounds what is read from a connection while it is expected to bring the head of an answer. It
// is used by the reader of the connection only.
type headLimiter struct {
	source io.Reader
	// limited is set while a head is expected, left is how much may still be read of it, in bytes.
	limited bool
	left    int
}

// expectHead begins the limit, endHead ends it.
func (l *headLimiter) expectHead() { l.limited, l.left = true, maxAnswerHead }
func (l *headLimiter) endHead()    { l.limited = false }

// Read reads from the connection, at most what is left of the limit.
func (l *headLimiter) Read(buffer []byte) (int, error) {
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

// protocolMajor is the major version of the protocol that runners speak.
const protocolMajor = 1

// checkHead returns why a head that could be read is none. The library accepts any version, and keeps a name
// with a space as a name of its own, so that an answer would lose its length.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != protocolMajor {
		return fmt.Errorf("the answer is of %s", response.Proto)
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("header name %q with a space", name)
		}
	}
	return nil
}

var (
	oldProtocol    = []byte("HTTP/1.0")
	encodingHeader = []byte("transfer-encoding:")

	errOldEncoding = errors.New("an answer of HTTP/1.0 has a transfer encoding")
)

// checkOldHead returns an error if the next answer is of HTTP/1.0 and has a transfer encoding, which that version
// does not know: the library drops the encoding, and would take the chunks for the body. The head of an answer of
// HTTP/1.0 must fit into the reader's buffer.
func checkOldHead(reader *bufio.Reader) error {
	begin, err := reader.Peek(len(oldProtocol))
	if err != nil {
		return unexpected(err)
	}
	if !bytes.Equal(begin, oldProtocol) {
		return nil
	}
	head, err := peekHead(reader)
	if err != nil {
		return unexpected(err)
	}
	for line := range bytes.Lines(head) {
		if len(line) >= len(encodingHeader) && bytes.EqualFold(line[:len(encodingHeader)], encodingHeader) {
			return errOldEncoding
		}
	}
	return nil
}

// peekHead returns the next head without reading it.
func peekHead(reader *bufio.Reader) ([]byte, error) {
	for size := 1; ; size = reader.Buffered() + 1 {
		if _, err := reader.Peek(size); err != nil {
			return nil, err
		}
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return nil, err
		}
		if end := headEnd(buffered); end > 0 {
			return buffered[:end], nil
		}
	}
}

// headEnd returns the length of the head at the begin of content; zero if it has no end yet.
func headEnd(content []byte) int {
	end := 0
	for line := range bytes.Lines(content) {
		end += len(line)
		if text := bytes.TrimRight(line, "\r\n"); len(text) == 0 && line[len(line)-1] == '\n' {
			return end
		}
	}
	return 0
}

// unexpected returns err as the error of an answer that ended before its end.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
