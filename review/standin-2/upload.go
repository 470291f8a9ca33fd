package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lilacvane/platform/protocol"
)

const (
	// uploadClients send uploads requests each. uploadPart is the part of a body that is sent before a client leaves,
	// uploadPause the time until it does, and until the next request.
	uploadClients = 8
	uploads       = 60
	uploadPart    = "remind: Ana, Luis, "
	uploadRest    = "Rosa; then cancel the list"
	uploadPause   = 30 * time.Millisecond
	// leavingShare is the inverse of the share of the requests whose clients leave.
	leavingShare = 4
)

// playUpload: clients send bodies in chunks, and some leave in the middle of it.
func playUpload(s *stage) ([]string, error) {
	err := s.configure(protocol.Configuration{
		Routes: []protocol.Route{
			{Name: "send", Host: caseHost, PathPrefix: "/send/", Type: "unsafe", TimeoutMs: 1500, TargetMs: 150, Service: "app", Attempts: 1},
			{Name: "note", Host: caseHost, PathPrefix: "/note/", Type: "safe", TimeoutMs: 1500, TargetMs: 150, Service: "app", Attempts: 2},
		},
		Services: []protocol.Service{{Name: "app", HealthPath: "/healthz", MaxConnections: 100}},
		Limits:   caseLimits,
	})
	if err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	var broken []string
	_, err = s.startRunner("app-1", "app", "zone-a", func(r *runner, a arrival) {
		s.record.add("runner %s runs %s: %s, body %q", r.id, a.id, a.line, a.body)
		mutex.Lock()
		defer mutex.Unlock()
		if a.body != uploadPart+uploadRest {
			broken = append(broken, fmt.Sprintf("UNASKED: runner %s runs %s with the body %q; nobody sent a whole request with it", r.id, a.id, a.body))
		}
	})
	if err != nil {
		return nil, err
	}
	n, err := s.startNode("node-zone-a", "zone-a", false)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	for client := range uploadClients {
		clients.Go(func() {
			for number := range uploads {
				leaves := s.trouble && number%leavingShare == leavingShare-1
				path := []string{"/send/1", "/note/1"}[client%2]
				if err := s.upload(n, path, fmt.Sprintf("attempt-%d-%d", client, number), leaves); err != nil {
					s.record.add("%v", err)
				}
				time.Sleep(uploadPause)
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	return broken, nil
}

// upload sends a request with a body in chunks. A client that leaves closes its connection in the middle of that.
func (s *stage) upload(n *node, path, id string, leaves bool) error {
	conn, err := net.DialTimeout("tcp", n.clients, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	lines := []string{"POST " + path + " HTTP/1.1", "Host: " + caseHost, protocol.HeaderRequestID + ": " + id, protocol.HeaderDeadline + ": 1500", "Transfer-Encoding: chunked", "", ""}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+chunk(uploadPart)); err != nil {
		return err
	}
	s.record.add("client sends the head and the first chunk of %s: %q", id, uploadPart)
	time.Sleep(uploadPause)
	if leaves {
		s.record.add("client of %s leaves", id)
		return nil
	}
	if _, err := io.WriteString(conn, chunk(uploadRest)+"0\r\n\r\n"); err != nil {
		return err
	}
	s.record.add("client sends the rest of %s: %q", id, uploadRest)
	if err := conn.SetReadDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.record.add("%s: %v", id, err)
		return nil
	}
	s.record.add("%s is answered %d", id, response.StatusCode)
	return response.Body.Close()
}

// chunk returns a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
