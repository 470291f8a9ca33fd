package runnerstub

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"lilacvane/platform/protocol"
)

// writePartAndReset answers a request whose body is still being sent with the head of a success that has no length and
// with one event, and resets the connection after the delay of the fault.
func writePartAndReset(w http.ResponseWriter, j *job) {
	signature := w.Header().Get(protocol.HeaderSignature)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	part := ""
	if j.firstEvent < j.eventCount {
		part = j.event(j.firstEvent)
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s", protocol.HeaderRequestID, j.id, protocol.HeaderSignature, signature, part)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(j.faults.ResetMs) * time.Millisecond)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
