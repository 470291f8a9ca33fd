package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacvane/platform/protocol"
)

// put writes a row to the store as the operator and runners do.
func (s *stage) put(table, key string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.store.Put([]protocol.Row{{Table: table, Key: key, Value: content}})
	return nil
}

// runner is a runner of a plain service.
type runner struct {
	stage    *stage
	id, zone string
	address  string
	listener *net.TCPListener

	// gate is held while no connection is accepted.
	gate    sync.Mutex
	fillers []net.Conn
}

// arrival is a request as a runner received it.
type arrival struct {
	runner, from, line, id, body string
}

// startRunner starts a runner of a service; arrived gets the requests that it runs.
func (s *stage) startRunner(id, service, zone string, arrived func(r *runner, a arrival)) (*runner, error) {
	r := &runner{stage: s, id: id, zone: zone, address: s.address(s.host(), portRunner)}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
	r.listener = listener.(*net.TCPListener)
	go r.accept(arrived)
	row := protocol.ListedRunner{Service: service, Address: r.address, Zone: r.zone, Build: "1", Slots: 6, State: protocol.StateReady}
	if err := s.put(protocol.RunnerTable, r.id, row); err != nil {
		return nil, err
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			row.Sequence++
			_ = s.put(protocol.RunnerTable, r.id, row)
		}
	}()
	return r, nil
}

// head returns the headers of an answer by which it is known as this runner's.
func (r *runner) head(id string) string {
	return fmt.Sprintf("%s: %s\r\n%s: %s\r\n", protocol.HeaderRequestID, id, protocol.HeaderRunner, r.id)
}

// answer answers a request.
func (r *runner) answer(conn net.Conn, a arrival) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s: stamp-%s\r\nContent-Length: 2\r\n\r\nok", r.head(a.id), protocol.HeaderSignature, r.id)
	return err
}

func (r *runner) accept(arrived func(r *runner, a arrival)) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.awaitOpen()
		go r.serve(conn, arrived)
	}
}

// awaitOpen waits until the gate is open.
func (r *runner) awaitOpen() {
	r.gate.Lock()
	defer r.gate.Unlock()
}

// serve serves the requests of a connection. It reads them itself, so that their first lines are seen as they came.
func (r *runner) serve(conn net.Conn, arrived func(r *runner, a arrival)) {
	defer conn.Close()
	from := r.stage.sender(conn)
	for {
		line, header, body, err := readRequest(conn)
		if err != nil {
			return
		}
		a := arrival{runner: r.id, from: from, line: line, id: header.Get(protocol.HeaderRequestID), body: string(body)}
		switch wanted := header.Get(protocol.HeaderExpectRunner); {
		case wanted != "" && wanted != r.id:
			_, err = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\n"+r.head(a.id)+"Content-Length: 0\r\n\r\n")
		case a.id == "":
			// A check of the runner's health.
			err = r.answer(conn, a)
		default:
			arrived(r, a)
			err = r.answer(conn, a)
		}
		if err != nil {
			return
		}
	}
}

// shut makes the queue of new connections full, so that the opening packets of further ones are lost, as they are while
// a link loses packets. It returns once they are.
func (r *runner) shut() error {
	r.gate.Lock()
	if err := r.setQueue(0); err != nil {
		return err
	}
	// The first connections may still be accepted: the queue is full once two in a row are not.
	for lost, tries := 0, 0; tries < 10; tries++ {
		conn, err := net.DialTimeout("tcp", r.address, 20*time.Millisecond)
		if err == nil {
			r.fillers, lost = append(r.fillers, conn), 0
			continue
		}
		if lost++; lost == 2 {
			return nil
		}
	}
	return fmt.Errorf("%s still takes connections", r.id)
}

// open undoes shut.
func (r *runner) open() error {
	err := r.setQueue(128)
	for _, conn := range r.fillers {
		_ = conn.Close()
	}
	r.fillers = nil
	r.gate.Unlock()
	return err
}

// setQueue sets the length of the queue of new connections.
func (r *runner) setQueue(length int) error {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), length) })
	if err != nil {
		return err
	}
	return listenErr
}

// sender returns the name of the node whose process opened a connection. On machines of their own, its address would
// show it.
func (s *stage) sender(conn net.Conn) string {
	inode := socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return ""
	}
	s.mutex.Lock()
	processes := s.processes
	s.mutex.Unlock()
	for _, command := range processes {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", command.Process.Pid))
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
				return s.nameOf(command.Env)
			}
		}
	}
	return ""
}

// nameOf returns the name of the node that was started with an environment.
func (s *stage) nameOf(environment []string) string {
	for _, variable := range environment {
		if path, ok := strings.CutPrefix(variable, protocol.SettingsVariable+"="); ok {
			return strings.TrimSuffix(filepath.Base(path), ".yaml")
		}
	}
	return ""
}

// socketInode returns the inode of the socket between two addresses, as the kernel lists it.
func socketInode(local, remote *net.TCPAddr) string {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == kernelAddress(local) && fields[2] == kernelAddress(remote) {
			return fields[9]
		}
	}
	return ""
}

// kernelAddress returns an address as /proc/net/tcp has it, on a little-endian machine.
func kernelAddress(address *net.TCPAddr) string {
	ip := address.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
}

// readRequest reads a request: its first line, headers and body.
func readRequest(conn net.Conn) (line string, header http.Header, body []byte, err error) {
	header = make(http.Header)
	for first := true; ; first = false {
		text, err := readLine(conn)
		if err != nil {
			return "", nil, nil, err
		}
		if first {
			line = text
			continue
		}
		if text == "" {
			break
		}
		name, value, _ := strings.Cut(text, ":")
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if length, convErr := strconv.Atoi(header.Get("Content-Length")); convErr == nil {
		body = make([]byte, length)
		_, err = io.ReadFull(conn, body)
	}
	return line, header, body, err
}

// readLine reads a line without its end, byte by byte.
func readLine(conn net.Conn) (string, error) {
	var line []byte
	one := make([]byte, 1)
	for {
		if _, err := io.ReadFull(conn, one); err != nil {
			return "", err
		}
		if one[0] == '\n' {
			return strings.TrimSuffix(string(line), "\r"), nil
		}
		line = append(line, one[0])
	}
}
