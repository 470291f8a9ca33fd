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

// pathTargets are the paths that clients of the case send.
var pathTargets = []string{"/files/1", "/files//1", "//files/1", "//other.example/files/1"}

// playPath: the operator adds a route with the shortest prefix, and clients send paths of several forms.
func playPath(s *stage) ([]string, error) {
	first := protocol.Configuration{
		Routes:   []protocol.Route{{Name: "files", Host: caseHost, PathPrefix: "/files/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 200, Service: "app", Attempts: 1}},
		Services: []protocol.Service{{Name: "app", HealthPath: "/healthz", MaxConnections: 100}},
		Limits:   caseLimits,
	}
	if err := s.configure(first); err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	var broken []string
	sent := make(map[string]string)
	_, err := s.startRunner("app-1", "app", "zone-a", func(r *runner, a arrival) {
		s.record.add("runner %s runs %s: %s", r.id, a.id, a.line)
		mutex.Lock()
		defer mutex.Unlock()
		if want := "POST " + sent[a.id] + " HTTP/1.1"; a.line != want {
			broken = append(broken, fmt.Sprintf("UNASKED: runner %s runs %s as %q; its client sent %q", r.id, a.id, a.line, want))
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
	time.Sleep(2 * time.Second)
	if s.trouble {
		second := first
		second.Routes = append(second.Routes, protocol.Route{Name: "rest", Host: caseHost, PathPrefix: "/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 200, Service: "app", Attempts: 1})
		s.record.add("the operator adds a route with the prefix /")
		if err := s.configure(second); err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Second)
	}
	for at, target := range pathTargets {
		id := fmt.Sprintf("attempt-%d", at)
		mutex.Lock()
		sent[id] = target
		mutex.Unlock()
		s.record.add("client sends %s: POST %s", id, target)
		status, err := sendRaw(n.clients, target, id)
		s.record.add("%s is answered %d %v", id, status, err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	return broken, nil
}

// sendRaw sends a request whose target is written as it is, and returns the status of its answer.
func sendRaw(address, target, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return 0, err
	}
	lines := []string{
		"POST " + target + " HTTP/1.1", "Host: " + caseHost, protocol.HeaderRequestID + ": " + id, protocol.HeaderDeadline + ": 3000", "Content-Length: 4", "", "text",
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}
