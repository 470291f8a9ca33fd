package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lilacvane/platform/protocol"
)

const (
	// streamEvents is how many events a stream has, eventBytes the size of one, and eventPause the time
	// between two.
	streamEvents = 800
	eventBytes   = 1 << 10
	eventPause   = 5 * time.Millisecond
	// streamTimeout is the route's timeoutMs, clientPatience the client's deadline, and readingPause how
	// long the client reads nothing.
	streamTimeout  = 7 * time.Second
	clientPatience = 10 * time.Second
	readingPause   = 8 * time.Second
	// clientWindow is the size of the client's receive buffer, clientSegment that of its segments: those of
	// a link between machines, not of loopback.
	clientWindow  = 16 << 10
	clientSegment = 1460
	// streams is how many clients ask for one each.
	streams = 3
)

// truncatedStream lets clients of a stream stop reading for a while, and checks that each stream that ends
// as complete holds all of its events, once and in order.
func truncatedStream(w *world) (bool, error) {
	err := w.configure(protocol.Configuration{
		Limits: limits,
		Services: []protocol.Service{
			{Name: engineService, HealthPath: "/healthz", MaxConnections: 360, Engine: engine("daka510000")},
		},
		Routes: []protocol.Route{{
			Name: "draft-partner", Host: routeHost, PathPrefix: "/draft/", Type: "stream", TimeoutMs: float64(streamTimeout.Milliseconds()),
			TargetMs: 4000, GapTargetMs: 400, Priority: 1, Service: engineService, Attempts: 1, Sticky: true,
		}},
	})
	if err != nil {
		return false, err
	}
	if _, err := w.startRunner("i-7f3a91c2", engineService, []string{"daka510000"}, w.writeStream); err != nil {
		return false, err
	}
	node, err := w.startNode(1)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	results := make(chan streamResult, streams)
	for i := range streams {
		go func() { results <- w.readStream(node, fmt.Sprintf("9c41d07be2a35f%02x", i)) }()
	}
	bad := false
	for range streams {
		result := <-results
		if result.err != nil {
			return false, result.err
		}
		bad = bad || result.broken
	}
	return bad, nil
}

// writeStream is a runner's answer to a request for a stream.
func (w *world) writeStream(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(protocol.HeaderRequestID)
	w.record.add("runner: runs %s, deadline %s ms", id, request.Header.Get(protocol.HeaderDeadline))
	writer.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= streamEvents; i++ {
		if _, err := io.WriteString(writer, event(i)); err != nil {
			w.record.add("runner: %s cut off at event %d: %v", id, i, err)
			return
		}
		writer.(http.Flusher).Flush()
		time.Sleep(eventPause)
	}
	w.record.add("runner: %s is written whole, %d events", id, streamEvents)
}

// event returns an event of a stream.
func event(index int) string {
	text := fmt.Sprintf("id: %d\ndata: ", index)
	return text + strings.Repeat("t", eventBytes-len(text)-2) + "\n\n"
}

// streamResult is what a client of a stream saw. err means that the case could not run.
type streamResult struct {
	broken bool
	err    error
}

// readStream asks a node for a stream, stops reading after its first events, reads on after a while, and
// checks what arrived.
func (w *world) readStream(n *node, id string) streamResult {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientWindow)
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegment)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", n.clients)
	if err != nil {
		return streamResult{err: err}
	}
	defer conn.Close()
	w.record.add("client: sends %s to %s, will wait %v", id, n.name, clientPatience)
	_, err = fmt.Fprintf(conn, "POST /draft/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: daka510000\r\n%s: 60,6000\r\n%s: 5c1e07a2:60\r\n%s: %d\r\nContent-Length: 2\r\n\r\nhi",
		routeHost, protocol.HeaderRequestID, id, protocol.HeaderModel, protocol.HeaderTokens, protocol.HeaderPrompt, protocol.HeaderDeadline, clientPatience.Milliseconds())
	if err != nil {
		return streamResult{err: err}
	}
	reader := bufio.NewReaderSize(conn, 4096)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return streamResult{err: err}
	}
	w.record.add("client: %s begins with %d", id, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return streamResult{err: fmt.Errorf("status %d", response.StatusCode)}
	}
	first := make([]byte, 2*eventBytes)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return streamResult{err: err}
	}
	if troubled() {
		w.record.add("client: %s reads nothing for %v", id, readingPause)
		time.Sleep(readingPause)
		w.record.add("client: %s reads on", id)
	}
	rest, err := io.ReadAll(response.Body)
	return streamResult{broken: w.judgeStream(id, string(first)+string(rest), err)}
}

// judgeStream reports whether a stream lacks a piece between two others, has one twice, or ends as complete
// before its last piece. failure is how reading it ended; nil means that it ended as complete.
func (w *world) judgeStream(id, text string, failure error) bool {
	last, bad := 0, false
	for _, part := range strings.SplitAfter(text, "\n\n") {
		if !strings.HasSuffix(part, "\n\n") {
			continue
		}
		number, _, _ := strings.Cut(strings.TrimPrefix(part, "id: "), "\n")
		index, err := strconv.Atoi(number)
		if err != nil || index != last+1 {
			w.record.add("client: %s: event %q follows event %d", id, number, last)
			bad = true
		}
		last = index
	}
	if failure != nil {
		w.record.add("client: %s broke off after event %d: %v", id, last, failure)
		return bad
	}
	w.record.add("client: %s ended as complete, its last event is %d of %d", id, last, streamEvents)
	return bad || last != streamEvents
}
