package runnerstub

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"lilacvane/platform/protocol"
)

// writePartAndReset answers a request whose body is still being sent with the beginning of a success that has no
// length, and resets the connection after delay.
func writePartAndReset(w http.ResponseWriter, request *http.Request, delay time.Duration) {
	header := w.Header()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	id, signature := request.Header.Get(protocol.HeaderRequestID), header.Get(protocol.HeaderSignature)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\nid: 0\ndata: a\n\n", protocol.HeaderRequestID, id, protocol.HeaderSignature, signature)
	if err != nil {
		return
	}
	time.Sleep(delay)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
