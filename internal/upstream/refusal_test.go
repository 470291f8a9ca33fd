package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusalOfEarlierSendWasTakenForTheNextSend: a runner refuses a request as not run, and sends that
// refusal once more in the place of the next answer on the connection. The caller sends the same request
// again at once: the second refusal must not be taken for the answer, as the request runs.
func TestRefusalOfEarlierSendWasTakenForTheNextSend(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		refused := ""
		for {
			id, err := s.next(reader)
			if err != nil {
				return
			}
			answer := refused
			if s.requests.Load() == 1 {
				refused = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
				answer = refused
			} else {
				answer += answerText(id, "run")
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
	pool := NewPool(testNames)
	for _, refused := range []bool{true, false} {
		answer, err := pool.Do(t.Context(), s.call("1"))
		assert.NilError(t, err)
		assert.Equal(t, answer.NotRun, refused)
		_, err = io.Copy(io.Discard, answer)
		assert.NilError(t, err)
	}
}
