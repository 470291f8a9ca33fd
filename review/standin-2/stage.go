package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacvane/internal/lab/storestub"
	"lilacvane/platform/protocol"
)

// record is the record of what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

// add adds a line.
func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// stage is a deployment on loopback: nodes in processes of their own, and a store.
type stage struct {
	directory string
	programs  string
	record    *record
	trouble   bool
	network   string
	claim     net.Listener
	store     *storestub.Store
	storeAt   string
	zones     map[string]string
	version   uint64

	mutex     sync.Mutex
	processes []*exec.Cmd
	nextHost  int
}

// node is a node of lilacvane.
type node struct {
	name, zone       string
	clients, callers string
	ready            string
	command          *exec.Cmd
}

const (
	portClaim   = 7100
	portStore   = 7101
	portClients = 7102
	portReady   = 7103
	portPeers   = 7104
	portCallers = 7105
	portRunner  = 7106
)

// storeRate is the number of calls a second that the store accepts, as on the small sites.
const storeRate = 2000

// newStage returns a stage with a store.
func newStage(directory, programs string, r *record) (*stage, error) {
	s := &stage{directory: directory, programs: programs, record: r, zones: map[string]string{"zone-a": "here"}, nextHost: 10}
	var err error
	for range 100 {
		s.network = fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), 2+rand.IntN(250))
		if s.claim, err = net.Listen("tcp", fmt.Sprintf("%s.1:%d", s.network, portClaim)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	s.store = storestub.New(storeRate, rand.Uint64())
	s.storeAt = fmt.Sprintf("%s.1:%d", s.network, portStore)
	listener, err := net.Listen("tcp", s.storeAt)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s.store.Handler()) }()
	return s, nil
}

// address returns an address on a host of its own.
func (s *stage) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.network, host, port) }

// host returns the number of a host that nobody has.
func (s *stage) host() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextHost++
	return s.nextHost
}

// settings are those that the deploy file's template makes of the settings of a small site; callers is added where a
// case needs the product's own interface.
const settings = `node: %q
zone: %q
region: %q
zones: {%s}
listen:
  clients: %q
  ready: %q
  peers: %q
%sstore:
  address: %q
relay:
  firstStart: true
capacity:
  cores: 0.4
  linkMbps: 1000
  memoryMB: 284
  files: 4100
retries:
  ratio: 0.2
  slack: 54
  window: 10s
configuration:
  within: 2000ms
lease:
  turnGap: 3000ms
stop:
  grace: 8s
`

// startNode starts a node as the deploy file does: the program, its argument, and the path of its settings in a variable.
func (s *stage) startNode(name, zone string, callers bool) (*node, error) {
	host := s.host()
	n := &node{name: name, zone: zone, clients: s.address(host, portClients), ready: s.address(host, portReady)}
	var zones []string
	for zone, region := range s.zones {
		zones = append(zones, fmt.Sprintf("%q: %q", zone, region))
	}
	extra := ""
	if callers {
		n.callers = s.address(host, portCallers)
		extra = fmt.Sprintf("  callers: %q\n", n.callers)
	}
	path := filepath.Join(s.directory, name+".yaml")
	content := fmt.Sprintf(settings, name, zone, s.zones[zone], strings.Join(zones, ", "), n.clients, n.ready, s.address(host, portPeers), extra, s.storeAt)
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		return nil, err
	}
	command, err := s.start(name, []string{protocol.SettingsVariable + "=" + path}, product, "node")
	n.command = command
	return n, err
}

// product is the program of the deploy file.
const product = "lilacvane"

// start starts a program in a process of its own, which ends with this one. All but the product lie beside this one.
func (s *stage) start(name string, environment []string, program string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(s.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	directory := s.programs
	if program != product {
		own, err := os.Executable()
		if err != nil {
			return nil, err
		}
		directory = filepath.Dir(own)
	}
	command := exec.Command(filepath.Join(directory, program), arguments...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.processes = append(s.processes, command)
	return command, nil
}

// kill kills a process of this stage and waits for its end.
func (s *stage) kill(command *exec.Cmd) {
	_ = command.Process.Kill()
	_ = command.Wait()
}

func (s *stage) close() {
	s.mutex.Lock()
	processes := s.processes
	s.mutex.Unlock()
	for _, command := range processes {
		if command.ProcessState == nil {
			s.kill(command)
		}
	}
	_ = s.claim.Close()
}

// configure writes the operator's configuration.
func (s *stage) configure(configuration protocol.Configuration) error {
	s.version += 3
	configuration.Version = s.version
	return s.put(protocol.OperatorTable, protocol.ConfigurationKey, configuration)
}

// waitFor waits until a condition holds.
func waitFor(what string, most time.Duration, condition func() bool) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, most)
}

// awaitReady waits until a node says that it is ready.
func (n *node) awaitReady() error {
	return waitFor(n.name+" ready", 30*time.Second, func() bool {
		response, err := http.Get("http://" + n.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
