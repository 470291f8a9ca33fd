package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacvane/platform/protocol"
)

const (
	// slowEvents is how many events a stream has, slowEventSize the size of each, in bytes.
	slowEvents    = 9_000
	slowEventSize = 200
	// slowStreams is how many streams the case plays.
	slowStreams = 3
	// slowTimeout is the time-out of the route.
	slowTimeout = 5 * time.Second
	// narrowRate is what the narrow link carries, in bytes a second, narrowTime how long it is narrow.
	narrowRate = 35_000
	narrowTime = 5500 * time.Millisecond
	// segment is the size of the packets of a link, in bytes: those of the loopback hold forty times as much.
	segment = 1448
)

// playSlow: clients read streams over a link that carries less than the runner writes.
func playSlow(s *stage) ([]string, error) {
	err := s.configure(protocol.Configuration{
		Routes: []protocol.Route{{
			Name: "report", Host: caseHost, PathPrefix: "/report/", Type: "stream", TimeoutMs: float64(slowTimeout.Milliseconds()), TargetMs: 2000, GapTargetMs: 400, Service: "app", Attempts: 1,
		}},
		Services: []protocol.Service{{Name: "app", HealthPath: "/healthz", MaxConnections: 100}},
		Limits:   caseLimits,
	})
	if err != nil {
		return nil, err
	}
	r := &runner{stage: s, id: "app-1", zone: "zone-a", address: s.address(s.host(), portRunner)}
	r.answer = r.answerStream
	if err := s.listRunner(r, "app", func(*runner, arrival) {}); err != nil {
		return nil, err
	}
	n, err := s.startNode("node-zone-a", "zone-a", false)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var streams sync.WaitGroup
	var mutex sync.Mutex
	var broken []string
	for number := range slowStreams {
		streams.Go(func() {
			id := fmt.Sprintf("attempt-%d", number)
			s.record.add("client sends %s", id)
			events, end := s.readStream(n, id)
			s.record.add("%s: its client got %d of %d events in order, then %s", id, events, slowEvents, end)
			if end == endComplete && events < slowEvents {
				mutex.Lock()
				defer mutex.Unlock()
				broken = append(broken, fmt.Sprintf("ORDER: the stream of %s ended as complete after event %d; its runner wrote %d", id, events-1, slowEvents))
			}
		})
	}
	streams.Wait()
	return broken, nil
}

// answerStream answers with a stream that has a marked end.
func (r *runner) answerStream(w io.Writer, a arrival) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%s: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.head(a.id), protocol.HeaderSignature, r.id)
	if err != nil {
		return err
	}
	for number := range slowEvents {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", slowEventSize))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.stage.record.add("runner %s: the stream of %s is not taken after event %d: %v", r.id, a.id, number-1, err)
			return err
		}
	}
	if _, err := io.WriteString(w, "0\r\n\r\n"); err != nil {
		return err
	}
	r.stage.record.add("runner %s has written all %d events of %s", r.id, slowEvents, a.id)
	return nil
}

const endComplete = "the mark of a complete answer"

// readStream reads a stream over a link of its own, which is narrow with trouble. It returns how many events came in
// order, and how the answer ended.
func (s *stage) readStream(n *node, id string) (events int, end string) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
		})
	}}
	conn, err := dialer.Dial("tcp", n.clients)
	if err != nil {
		return 0, err.Error()
	}
	defer conn.Close()
	lines := []string{"POST /report/1 HTTP/1.1", "Host: " + caseHost, protocol.HeaderRequestID + ": " + id, protocol.HeaderDeadline + ": 60000", "Content-Length: 4", "", "text"}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")); err != nil {
		return 0, err.Error()
	}
	var source io.Reader = conn
	if s.trouble {
		source = &narrow{source: conn, until: time.Now().Add(narrowTime)}
	}
	response, err := http.ReadResponse(bufio.NewReader(source), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, "status " + strconv.Itoa(response.StatusCode)
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if number, ok := bytes.CutPrefix(line, []byte("id: ")); ok && string(bytes.TrimSpace(number)) == strconv.Itoa(events) {
			events++
		}
		if err == io.EOF {
			return events, endComplete
		}
		if err != nil {
			return events, err.Error()
		}
	}
}

// narrow reads no faster than narrowRate for a time.
type narrow struct {
	source io.Reader
	until  time.Time
}

// Read reads a few bytes and takes the time that the link needs for them.
func (n *narrow) Read(buffer []byte) (int, error) {
	if time.Now().After(n.until) {
		return n.source.Read(buffer)
	}
	count, err := n.source.Read(buffer[:min(len(buffer), segment)])
	time.Sleep(time.Duration(count) * time.Second / narrowRate)
	return count, err
}
