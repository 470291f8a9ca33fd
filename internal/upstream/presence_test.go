package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unframedThen returns the presence of a runner that answers without a length and then does something
// before it closes the connection. further is what it does with each further connection.
func unframedThen(t *testing.T, then func(*scriptedRunner), further func(conn net.Conn)) (Presence, *Pool) {
	t.Helper()
	s := serveScript(t, func(s *scriptedRunner, number int, conn net.Conn) {
		if number > 1 {
			further(conn)
			return
		}
		id, err := s.next(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nbody")
		then(s)
	})
	pool := NewPool(testNames)
	pool.presenceSettle = 200 * time.Millisecond
	answer, err := pool.Do(t.Context(), s.call("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, answer.Framing, FramedByClose)
	presence, _ := answer.Presence(t.Context())
	return presence, pool
}

// TestPresenceAfterUnframedAnswer checks what the next connections to a runner show after an answer that
// ended with its connection, and that one that stays open is kept.
func TestPresenceAfterUnframedAnswer(t *testing.T) {
	nothing := func(*scriptedRunner) {}
	for name, test := range map[string]struct {
		then    func(*scriptedRunner)
		further func(conn net.Conn)
		want    Presence
		idle    int
	}{
		"stays": {then: nothing, further: func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, want: Present, idle: 1},
		"ends":  {then: func(s *scriptedRunner) { _ = s.listener.Close() }, want: Ended},
		"resets further connections": {then: nothing, want: Present, further: func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}},
		"a proxy closes further connections": {then: nothing, want: Ended, further: func(net.Conn) {}},
		"sends bytes unasked": {then: nothing, want: PresenceUnknown, further: func(conn net.Conn) {
			_, _ = io.WriteString(conn, "x")
			_, _ = io.Copy(io.Discard, conn)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			presence, pool := unframedThen(t, test.then, test.further)
			assert.Equal(t, presence, test.want)
			assert.Equal(t, len(pool.idle["r"]), test.idle)
		})
	}
}
