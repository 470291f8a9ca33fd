package peer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/wire"
)

// headTime bounds a call whose peer answers out of order.
const headTime = 2 * time.Second

// serveBytes starts a peer that answers the first call on each connection with some bytes, and returns its address. It
// goes on with filler, until the caller closes, unless that is empty.
func serveBytes(t *testing.T, begin, filler string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerBytes(conn, begin, filler)
		}
	}()
	return listener.Addr().String()
}

func answerBytes(conn net.Conn, begin, filler string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	for _, err = io.WriteString(conn, begin); err == nil && filler != ""; _, err = io.WriteString(conn, filler) {
	}
}

// brokenHeads are answers that are none, whose bodies would be messages if the head were another.
func brokenHeads(t *testing.T) map[string]string {
	t.Helper()
	content, err := wire.Encode(wire.TunnelResponse{Refused: true})
	assert.NilError(t, err)
	message := string(content)
	answer := func(status, lines string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(message), message)
	}
	return map[string]string{
		"status 000":                 answer("000 Some", ""),
		"status 099, nested":         "HTTP/1.1 099 Some\r\n\r\n" + answer("200 OK", ""),
		"status 999":                 answer("999 Some", ""),
		"HTTP/2.0":                   strings.Replace(answer("200 OK", ""), "1.1", "2.0", 1),
		"space in a name":            answer("200 OK", "X A: 1\r\n"),
		"space before the colon":     "HTTP/1.1 200 OK\r\nContent-Length : 90\r\n\r\n" + message,
		"control byte in a name":     answer("200 OK", "X-\x01: 1\r\n"),
		"switched, space in a name":  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolTunnel + "\r\nX A: 1\r\n\r\n",
		"switched with a status 000": "HTTP/1.1 000 Switching Protocols\r\nConnection: Upgrade\r\n\r\n",
	}
}

// TestBrokenHeadOfAPeerWasTakenForItsAnswer: an answer of a peer whose head is out of order says nothing, neither to a
// call nor to one that takes its connection over.
func TestBrokenHeadOfAPeerWasTakenForItsAnswer(t *testing.T) {
	client := NewClient("here", nil)
	for name, head := range brokenHeads(t) {
		t.Run(name, func(t *testing.T) {
			address := serveBytes(t, head, "")
			ctx, cancel := context.WithTimeout(t.Context(), headTime)
			defer cancel()
			var response wire.TunnelResponse
			err := client.Call(ctx, address, wire.MethodTunnel, wire.TunnelRequest{}, &response)
			assert.Check(t, err != nil, "call")
			conn, err := client.Upgrade(ctx, address, wire.MethodTunnel, wire.TunnelRequest{}, &response)
			assert.Check(t, err != nil, "upgrade")
			assert.Check(t, conn == nil)
			assert.Check(t, !response.Refused, "the answer was read")
		})
	}
}

// TestFirstAnswerOfAPeerHadNoEnd: a peer begins its first answer and never ends it. The caller closes before its
// deadline, and doesn't keep what came.
func TestFirstAnswerOfAPeerHadNoEnd(t *testing.T) {
	filler := strings.Repeat("x", 64<<10)
	for name, begin := range map[string]string{
		"status line": "HTTP/1.1 200 ", "header": "HTTP/1.1 101 Switching Protocols\r\nX-A: ", "no answer": "x",
		"body": "HTTP/1.1 200 OK\r\n\r\n", "failure": "HTTP/1.1 422 Some\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := serveBytes(t, begin, filler)
			ctx, cancel := context.WithTimeout(t.Context(), headTime)
			defer cancel()
			var response wire.TunnelResponse
			_, err := NewClient("here", nil).Upgrade(ctx, address, wire.MethodTunnel, wire.TunnelRequest{}, &response)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the caller read until its deadline")
			err = NewClient("here", nil).Call(ctx, address, wire.MethodTunnel, wire.TunnelRequest{}, &response)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the caller read until its deadline")
		})
	}
}
