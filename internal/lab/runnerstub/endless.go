package runnerstub

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"lilacvane/platform/protocol"
)

// Endless says in which part of an answer bytes come without end.
type Endless string

// The parts.
const (
	EndlessHead Endless = "head"
	EndlessBody Endless = "body"
)

// writeEndless answers with bytes that are no answer and never ends by itself.
func writeEndless(w http.ResponseWriter, j *job) {
	signature := w.Header().Get(protocol.HeaderSignature)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", protocol.HeaderRequestID, j.id, protocol.HeaderSignature, signature)
	if j.faults.Endless == EndlessBody {
		head += "\r\n"
	} else {
		head += "X-Filler: "
	}
	filler := bytes.Repeat([]byte("x"), 64<<10)
	for _, err := io.WriteString(conn, head); err == nil; _, err = conn.Write(filler) {
	}
}
