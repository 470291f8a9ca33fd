package runnerstub

import (
	"fmt"
	"net"
	"net/http"

	"lilacvane/platform/protocol"
)

// StopIn says in which part of an answer a runner stops and ends the connection.
type StopIn string

// The parts.
const (
	StopInStatus      StopIn = "status"
	StopInName        StopIn = "name"
	StopInValue       StopIn = "value"
	StopInLineEnd     StopIn = "line end"
	StopInLength      StopIn = "length"
	StopInEncoding    StopIn = "encoding"
	StopBeforeEnd     StopIn = "before the end"
	StopInEnd         StopIn = "end"
	StopAfterInterim  StopIn = "after interim answers"
	StopAfterHead     StopIn = "after the head"
	StopInChunkSize   StopIn = "chunk size"
	StopInFirstEvent  StopIn = "first event"
	StopInTrailer     StopIn = "trailer"
	StopAfterSwitched StopIn = "after a change of protocol"
)

// stopHeads returns what a runner sends before it stops, for each part. head begins each answer.
func stopHeads(head string) map[StopIn]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	begun, chunked := ok+head, ok+head+"Transfer-Encoding: chunked\r\n\r\n"
	return map[StopIn]string{
		StopInStatus:      "HTTP/1.1 200",
		StopInName:        begun + "Content-Le",
		StopInValue:       begun + "Content-Type: applic",
		StopInLineEnd:     begun + "Content-Length: 0\r",
		StopInLength:      begun + "Content-Length: 1",
		StopInEncoding:    begun + "Transfer-Encoding: chun",
		StopBeforeEnd:     begun + "Content-Length: 0\r\n",
		StopInEnd:         begun + "Content-Length: 0\r\n\r",
		StopAfterInterim:  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + head + "\r\n" + begun,
		StopAfterHead:     begun + "\r\n",
		StopInChunkSize:   chunked + "1",
		StopInFirstEvent:  chunked + "40\r\nid: 0\ndata:",
		StopInTrailer:     chunked + "0\r\nX-Sum: 1\r\n",
		StopAfterSwitched: "HTTP/1.1 101 Switching Protocols\r\n" + head + "\r\n",
	}
}

// StopParts returns all parts in which a runner can stop.
func StopParts() []StopIn {
	return []StopIn{
		StopInStatus, StopInName, StopInValue, StopInLineEnd, StopInLength, StopInEncoding, StopBeforeEnd, StopInEnd, StopAfterInterim, StopAfterHead,
		StopInChunkSize, StopInFirstEvent, StopInTrailer, StopAfterSwitched,
	}
}

// writeStopped answers up to the part of the fault and ends the connection, by a reset with Reset.
func writeStopped(w http.ResponseWriter, j *job) {
	signature := w.Header().Get(protocol.HeaderSignature)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", protocol.HeaderRequestID, j.id, protocol.HeaderSignature, signature)
	if _, err := conn.Write([]byte(stopHeads(head)[j.faults.StopIn])); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && j.faults.Reset {
		_ = tcp.SetLinger(0)
	}
}
