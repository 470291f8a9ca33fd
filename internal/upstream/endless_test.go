package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

const (
	// endlessHeadBound is how many bytes of a head without end a runner may send at most before its caller
	// closes: what one read takes and what the kernel keeps, far below what a node's memory holds.
	endlessHeadBound = 8 << 20
	// endlessTime is how long the caller of a head without end waits for its answer.
	endlessTime = 5 * time.Second
)

// errCallerReadsOn is the error of a caller that read endlessHeadBound bytes of a head.
var errCallerReadsOn = errors.New("the caller reads a head without end")

// TestHeadWithoutEndWasReadUntilTheDeadline: a runner begins an answer whose head never ends, until its caller
// closes the connection. The caller must do so, and the request may have run.
func TestHeadWithoutEndWasReadUntilTheDeadline(t *testing.T) {
	filler := strings.Repeat("x", 1000)
	for name, head := range map[string]struct{ begin, again string }{
		"status line":        {"HTTP/1.1 200 ", filler},
		"one header":         {"HTTP/1.1 200 OK\r\nX-Filler: ", filler},
		"many headers":       {"HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n"},
		"interim answers":    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"no answer at all":   {"", filler},
		"line breaks":        {"", "\r\n"},
		"other's answers":    {"", answerText("other", filler)},
		"the other's answer": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + filler + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan error, 1)
			s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
				if _, err := s.next(bufio.NewReader(conn)); err != nil {
					return
				}
				sent <- writeWithoutEnd(conn, head.begin, head.again)
			})
			ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
			defer cancel()
			_, err := NewPool(testNames).Do(ctx, s.call("1"))
			assert.Assert(t, err != nil)
			assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
			assert.NilError(t, ctx.Err(), "the caller read until its deadline")
			ended := <-sent
			assert.Assert(t, !errors.Is(ended, errCallerReadsOn), "%v", ended)
		})
	}
}

// writeWithoutEnd writes until the connection fails, and returns its error, or errCallerReadsOn after
// endlessHeadBound bytes.
func writeWithoutEnd(conn net.Conn, begin, again string) error {
	if _, err := io.WriteString(conn, begin); err != nil {
		return err
	}
	block := strings.Repeat(again, max(1, 8000/len(again)))
	for sent := 0; sent < endlessHeadBound; sent += len(block) {
		if _, err := io.WriteString(conn, block); err != nil {
			return err
		}
	}
	return errCallerReadsOn
}
