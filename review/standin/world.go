package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacvane/internal/lab/storestub"
	"lilacvane/platform/protocol"
)

// host is the address of everything that a case starts.
const host = "127.0.0.1"

// world is one small deployment: the project's stand-in of the store, runners of this program, and
// nodes as processes of their own, started by the command of the deploy file.
type world struct {
	directory string
	store     *storestub.Store
	address   string
	version   uint64
	record    *record

	mutex sync.Mutex
	nodes []*node
}

// record is what was sent, answered and run, one line each.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add adds a line, also to standard output.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(r.file, line)
}

// note adds a line to the record alone.
func (r *record) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// listen listens on a free port.
func listen() (net.Listener, error) { return net.Listen("tcp", host+":0") }

// freeAddress returns an address whose port is free.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newWorld starts the store.
func newWorld(record *record) (*world, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	w := &world{directory: directory, store: storestub.New(2600, 1), address: listener.Addr().String(), record: record}
	go func() { _ = http.Serve(listener, plain(w.store.Handler())) }()
	return w, nil
}

// plain takes the header that PROTOCOL.md does not name out of the answers of the project's store.
func plain(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(plainWriter{w}, r) })
}

type plainWriter struct{ http.ResponseWriter }

// WriteHeader sends the head without the header.
func (w plainWriter) WriteHeader(status int) {
	w.Header().Del(protocol.HeaderStoreEpoch)
	w.ResponseWriter.WriteHeader(status)
}

// configure writes a configuration as the operator does.
func (w *world) configure(configuration protocol.Configuration) error {
	w.version += 3
	configuration.Version = w.version
	content, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	w.store.Put([]protocol.Row{{Table: protocol.OperatorTable, Key: protocol.ConfigurationKey, Value: content}})
	w.record.add("operator: configuration %d acknowledged", configuration.Version)
	return nil
}

// list writes a runner's row.
func (w *world) list(id string, row protocol.ListedRunner) error {
	content, err := json.Marshal(row)
	if err != nil {
		return err
	}
	w.store.Put([]protocol.Row{{Table: protocol.RunnerTable, Key: id, Value: content}})
	return nil
}

// node is a process of the project.
type node struct {
	name    string
	clients string
	ready   string
	log     string
	command *exec.Cmd
	done    chan struct{}
}

// startNode starts a node by the command of the deploy file, with settings from the template of the
// deploy file, and waits until it is ready.
func (w *world) startNode(index int) (*node, error) {
	n := &node{name: fmt.Sprintf("edge-mvd-cordon-%d", index), done: make(chan struct{})}
	addresses := make([]string, 4)
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	n.clients, n.ready = addresses[0], addresses[1]
	_, peers, _ := net.SplitHostPort(addresses[2])
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	settings := fill(string(template), map[string]any{
		"nodeName": n.name, "az": "mvd-cordon", "region": "montevideo", "zones": map[string]string{"mvd-cordon": "montevideo"},
		"listen.front": n.clients, "listen.ready": n.ready, "ip": host, "portRange.0": peers, "platform.address": w.address, "bootstrap": index == 1,
		"limits.cpuShare": 0.4, "limits.linkMbps": 1000.0, "limits.memoryMb": 284,
		"bounds.retryRatio": 0.2, "bounds.retrySlack": 54, "bounds.retryWindowS": 10, "bounds.configMs": 2000, "bounds.leaseMs": 3000, "bounds.graceS": 8,
	})
	// The template gives every node the same port for its figures, which is free on machines of its own only.
	settings = strings.ReplaceAll(settings, host+":9464", addresses[3])
	path := filepath.Join(w.directory, n.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	n.log = filepath.Join(w.directory, n.name+".log")
	log, err := os.Create(n.log)
	if err != nil {
		return nil, err
	}
	n.command = exec.Command("target/lilacvane", "node")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LILACVANE_CONFIG=" + path}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = n.command.Wait()
		_ = log.Close()
		close(n.done)
	}()
	w.mutex.Lock()
	w.nodes = append(w.nodes, n)
	w.mutex.Unlock()
	if err := n.awaitReady(); err != nil {
		return nil, err
	}
	w.record.add("platform: %s is ready", n.name)
	return n, nil
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + n.ready + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(n.name + " is not ready")
}

// signal sends a signal to the node's process.
func (n *node) signal(signal syscall.Signal) { _ = n.command.Process.Signal(signal) }

// close ends all processes and removes their files, except where LOGS=1 keeps them.
func (w *world) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
		<-n.done
	}
	if os.Getenv("LOGS") == "1" {
		fmt.Println("logs:", w.directory)
		return
	}
	_ = os.RemoveAll(w.directory)
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	gap     = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills the gaps of a template of settings as the platform does. The sections of the template hold
// settings that this deployment does not have, save those whose value is given.
func fill(template string, values map[string]any) string {
	text := section.ReplaceAllStringFunc(template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		value, given := values[parts[1]]
		if !given {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	return gap.ReplaceAllStringFunc(text, func(match string) string {
		parts := gap.FindStringSubmatch(match)
		value := values[parts[1]]
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		content, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(content)
	})
}

// troubled reports whether the case is to be played with its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
