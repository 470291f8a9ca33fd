package world

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"lilacvane/internal/lab/faultproxy"
	"lilacvane/internal/lab/httpcall"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/platformstub"
	"lilacvane/internal/machines"
	"lilacvane/internal/operator"
	"lilacvane/internal/settings"
)

// Ports within a world; every process has an IP address of its own.
const (
	portClaim     = 7000
	portCallers   = 7001
	portOperators = 7002
	portPeers     = 7003
	portProxy     = 7004
	portEngine    = 7005
	portTable     = 7011
	portMachines  = 7012
	portWeights   = 7013
	portObjects   = 7014
	firstNode     = 120
	firstEngine   = 160
	startPatience = 30 * time.Second
	pollPause     = 20 * time.Millisecond
)

// Options of a world.
type Options struct {
	// Directory holds settings, logs and journals.
	Directory string
	// Programs is the directory of the lilacvane and lilacvane-lab binaries.
	Programs string
	// Region and TimeZone of all nodes.
	Region   string
	TimeZone string
	// Proxied puts a fault proxy before every process.
	Proxied bool
	// Adjust changes the settings of a node before it starts.
	Adjust func(*settings.Settings)
	// LoadsPerSecond, Concurrency and MiBPerSecond are the weight store's
	// limits, MachineLag the machine list's lag, TableRate the table's calls a
	// second.
	LoadsPerSecond float64
	Concurrency    int
	MiBPerSecond   float64
	MachineLag     time.Duration
	TableRate      float64
}

// World is a running system.
type World struct {
	Options
	network string
	// claim holds the network.
	claim net.Listener
	// Platform is the process with table, machine list and weight store.
	Platform *Process
	Nodes    map[string]*Node
	Engines  map[string]*Engine
	// TableProxy and MachinesProxy stand before the platform's services.
	TableProxy    *faultproxy.Proxy
	MachinesProxy *faultproxy.Proxy
	nextNode      int
	nextEngine    int
	seeds         []string
}

// Node is a running node.
type Node struct {
	*Process
	Name      string
	Zone      string
	IP        string
	Callers   string
	Operators string
	Proxy     *faultproxy.Proxy
}

// Client calls the node's operators' interface.
func (n *Node) Client() *operator.Client { return operator.NewClient(n.Operators) }

// Engine is a running emulated engine.
type Engine struct {
	*Process
	Machine machines.Machine
	Journal string
	Proxy   *faultproxy.Proxy
	options EngineOptions
}

// EngineOptions describe an engine to start.
type EngineOptions struct {
	Name        string
	Zone        string
	MemoryMiB   int64
	Slots       int
	TokenTime   time.Duration
	CachedShare float64
	// FlatTokenTime makes a token take the same time however many requests run.
	FlatTokenTime bool
}

// New starts the platform of a world.
func New(options Options) (*World, error) {
	network, claim, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	w := &World{
		Options: options, network: network, claim: claim, Nodes: make(map[string]*Node), Engines: make(map[string]*Engine),
		nextNode: firstNode, nextEngine: firstEngine,
	}
	platform, err := start(w.Directory, "platform", w.lab(), "platform",
		"--table", w.address(1, portTable), "--machines", w.address(1, portMachines), "--weights", w.address(1, portWeights), "--objects", w.address(1, portObjects),
		"--loads-per-second", fmt.Sprint(options.LoadsPerSecond), "--concurrency", fmt.Sprint(options.Concurrency),
		"--mib-per-second", fmt.Sprint(options.MiBPerSecond), "--machine-lag", options.MachineLag.String(),
		"--table-rate", fmt.Sprint(options.TableRate))
	if err != nil {
		_ = claim.Close()
		return nil, err
	}
	w.Platform = platform
	if w.Proxied {
		if w.TableProxy, err = faultproxy.New(w.address(2, portTable), w.address(1, portTable)); err != nil {
			w.Close()
			return nil, err
		}
		if w.MachinesProxy, err = faultproxy.New(w.address(2, portMachines), w.address(1, portMachines)); err != nil {
			w.Close()
			return nil, err
		}
	}
	if err := waitFor("http://" + w.address(1, portMachines) + "/v1/machines?since=0"); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) lab() string { return filepath.Join(w.Programs, "lilacvane-lab") }

func (w *World) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.network, host, port)
}

// waitFor waits until a URL answers 200.
func waitFor(url string) error {
	deadline := time.Now().Add(startPatience)
	for time.Now().Before(deadline) {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollPause)
	}
	return fmt.Errorf("%s did not answer", url)
}

// StartEngine starts an engine and puts it on the machine list.
func (w *World) StartEngine(options EngineOptions) (*Engine, error) {
	host := w.nextEngine
	w.nextEngine++
	return w.startEngineAt(options, host)
}

func (w *World) startEngineAt(options EngineOptions, host int) (*Engine, error) {
	incarnation := fmt.Sprintf("%s-%d-%d", options.Name, host, time.Now().UnixNano())
	listen := w.address(host, portEngine)
	journalPath := filepath.Join(w.Directory, "journal-"+incarnation+".jsonl")
	process, err := start(w.Directory, "engine-"+options.Name, w.lab(), "engine", "--name", options.Name,
		"--incarnation", incarnation, "--listen", listen, "--weights", w.address(1, portWeights),
		"--memory-mib", fmt.Sprint(options.MemoryMiB), "--slots", fmt.Sprint(options.Slots),
		"--token-time", options.TokenTime.String(), "--cached-share", fmt.Sprint(options.CachedShare),
		"--mib-per-second", fmt.Sprint(w.MiBPerSecond), "--journal", journalPath, fmt.Sprintf("--flat-token-time=%t", options.FlatTokenTime))
	if err != nil {
		return nil, err
	}
	engine := &Engine{Process: process, Journal: journalPath, options: options}
	engine.Machine = machines.Machine{
		Name: options.Name, Incarnation: incarnation, Address: listen, Zone: options.Zone, Region: w.Region,
		MemoryMiB: options.MemoryMiB, State: machines.StateLive,
	}
	if w.Proxied {
		if engine.Proxy, err = faultproxy.New(w.address(host, portProxy), listen); err != nil {
			return nil, err
		}
		engine.Machine.Address = engine.Proxy.Address()
	}
	w.Engines[options.Name] = engine
	if err := waitFor("http://" + listen + "/control/state"); err != nil {
		return nil, err
	}
	return engine, w.PutMachine(engine.Machine)
}

// KillEngine kills an engine and lets the machine list confirm, after its lag,
// that it is gone.
func (w *World) KillEngine(name string) error {
	engine := w.Engines[name]
	engine.Kill()
	gone := engine.Machine
	gone.State = machines.StateTerminated
	return w.PutMachine(gone)
}

// ReplaceEngine starts a new incarnation of an engine that was killed, at a new
// address.
func (w *World) ReplaceEngine(name string) (*Engine, error) {
	return w.StartEngine(w.Engines[name].options)
}

// PutMachine changes the machine list.
func (w *World) PutMachine(machine machines.Machine) error {
	return w.post(http.MethodPut, w.address(1, portMachines), "/lab/machines", machine)
}

// SetTableFaults changes what the table suffers.
func (w *World) SetTableFaults(faults platformstub.Faults) error {
	return w.post(http.MethodPost, w.address(1, portTable), "/lab/faults", faults)
}

// SetMachinesDown makes the machine list refuse or answer.
func (w *World) SetMachinesDown(down bool) error {
	return w.post(http.MethodPost, w.address(1, portMachines), fmt.Sprintf("/lab/down?down=%t", down), nil)
}

// TableCounts returns how often the table was called.
func (w *World) TableCounts() (platformstub.TableCounts, error) {
	var counts platformstub.TableCounts
	response, err := http.Get("http://" + w.address(1, portTable) + "/lab/counts")
	if err != nil {
		return counts, err
	}
	defer response.Body.Close()
	return counts, json.NewDecoder(response.Body).Decode(&counts)
}

// SlowWeights divides the weight store's speed.
func (w *World) SlowWeights(factor float64) error {
	return w.post(http.MethodPost, w.address(1, portWeights), fmt.Sprintf("/lab/slow?factor=%g", factor), nil)
}

// TableAddress is the address nodes reach the table at.
func (w *World) TableAddress() string {
	if w.TableProxy != nil {
		return w.TableProxy.Address()
	}
	return w.address(1, portTable)
}

func (w *World) machinesAddress() string {
	if w.MachinesProxy != nil {
		return w.MachinesProxy.Address()
	}
	return w.address(1, portMachines)
}

func (w *World) post(method, address, path string, body any) error {
	return httpcall.Send(context.Background(), method, "http://"+address+path, body)
}

// StartNode starts a node and waits until it is ready.
func (w *World) StartNode(name, zone string) (*Node, error) {
	node, err := w.LaunchNode(name, zone)
	if err != nil {
		return nil, err
	}
	return node, node.WaitReady()
}

// LaunchNode starts a node without waiting.
func (w *World) LaunchNode(name, zone string) (*Node, error) {
	host := w.nextNode
	w.nextNode++
	node := &Node{Name: name, Zone: zone, IP: fmt.Sprintf("%s.%d", w.network, host), Callers: w.address(host, portCallers), Operators: w.address(host, portOperators)}
	peers := w.address(host, portPeers)
	s := w.nodeSettings(name, zone, node, peers)
	if w.Proxied {
		proxy, err := faultproxy.New(w.address(host, portProxy), peers)
		if err != nil {
			return nil, err
		}
		node.Proxy = proxy
		s.Listen.Advertise = proxy.Address()
		peers = proxy.Address()
	}
	if w.Adjust != nil {
		w.Adjust(&s)
	}
	w.seeds = append(w.seeds, peers)
	path := filepath.Join(w.Directory, "node-"+name+".yaml")
	content, err := yaml.Marshal(s)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return nil, err
	}
	process, err := start(w.Directory, "node-"+name, filepath.Join(w.Programs, "lilacvane"), "node", "--settings", path)
	if err != nil {
		return nil, err
	}
	node.Process = process
	w.Nodes[name] = node
	return node, nil
}

func (w *World) nodeSettings(name, zone string, node *Node, peers string) settings.Settings {
	s := settings.Default()
	s.Node, s.Zone, s.Region, s.TimeZone = name, zone, w.Region, w.TimeZone
	s.Listen = settings.Listen{Callers: node.Callers, Operators: node.Operators, Peers: peers}
	s.Platform = settings.Platform{Table: w.TableAddress(), Machines: w.machinesAddress(), Objects: w.address(1, portObjects)}
	s.WeightStore.LoadsPerSecond, s.WeightStore.Concurrency, s.WeightStore.MiBPerSecond = w.LoadsPerSecond, w.Concurrency, w.MiBPerSecond
	s.Seeds = append([]string(nil), w.seeds...)
	return s
}

// WaitReady waits until the node is ready.
func (n *Node) WaitReady() error { return waitFor("http://" + n.Operators + "/readyz") }

// Journals returns the records of all engines that ever ran here.
func (w *World) Journals() ([]journal.Record, error) {
	paths, err := filepath.Glob(filepath.Join(w.Directory, "journal-*.jsonl"))
	if err != nil {
		return nil, err
	}
	var records []journal.Record
	for _, path := range paths {
		some, err := journal.Read(path)
		if err != nil {
			return nil, err
		}
		records = append(records, some...)
	}
	return records, nil
}

// Close ends all processes and proxies.
func (w *World) Close() {
	for _, node := range w.Nodes {
		node.Kill()
		if node.Proxy != nil {
			node.Proxy.Close()
		}
	}
	for _, engine := range w.Engines {
		engine.Kill()
		if engine.Proxy != nil {
			engine.Proxy.Close()
		}
	}
	w.Platform.Kill()
	_ = w.claim.Close()
	for _, proxy := range []*faultproxy.Proxy{w.TableProxy, w.MachinesProxy} {
		if proxy != nil {
			proxy.Close()
		}
	}
}
