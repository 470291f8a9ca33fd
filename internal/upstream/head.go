package upstream

import (
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
