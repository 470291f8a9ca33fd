package world

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"lilacvane/internal/lab/faultproxy"
	"lilacvane/internal/lab/httpcall"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/operator"
	"lilacvane/internal/place"
	"lilacvane/internal/settings"
	"lilacvane/platform/protocol"
)

// Ports within a world; every process has an IP address of its own.
const (
	portClaim     = 7000
	portClients   = 7001
	portCallers   = 7002
	portOperators = 7003
	portPeers     = 7004
	portReady     = 7005
	portMetrics   = 7006
	portProxy     = 7007
	portStore     = 7008
	portRunner    = 7009
	hostStore     = 1
	firstNode     = 120
	firstRunner   = 160
	startPatience = 30 * time.Second
	pollPause     = 20 * time.Millisecond
)

// The services and the host of the routes of a world.
const (
	EngineService = "engines"
	MailService   = "mail"
	RouteHost     = "lab.example"
)

// Options of a world.
type Options struct {
	// Directory holds settings, logs and journals.
	Directory string
	// Programs is the directory of the lilacvane and lilacvane-lab binaries.
	Programs string
	// Region and TimeZone of all nodes, but for those in Zones.
	Region   string
	TimeZone string
	// Zones tells the region of zones that do not lie in Region.
	Zones place.Map
	// Proxied puts a fault proxy before every process, and before the store one
	// for each node.
	Proxied bool
	// Adjust changes the settings of a node before it starts.
	Adjust func(*settings.Settings)
	// StoreRate is the store's calls a second.
	StoreRate float64
	// Engine describes the runners of EngineService to the nodes.
	Engine protocol.Engine
	// ColdStart is how long a runner of EngineService is cold after its start, ColdRate how
	// many requests a second it bears then; zero where none is cold.
	ColdStart time.Duration
	ColdRate  float64
	// Seed fixes what the stand-ins draw.
	Seed uint64
}

// World is a running system.
type World struct {
	Options
	network string
	// claim holds the network.
	claim      net.Listener
	Store      *Process
	Nodes      map[string]*Node
	Runners    map[string]*Runner
	nextNode   int
	nextRunner int
	version    uint64
	routes     []protocol.Route
	tenants    []protocol.Tenant
}

// Node is a running node.
type Node struct {
	*Process
	Name      string
	Zone      string
	Clients   string
	Callers   string
	Operators string
	Ready     string
	Metrics   string
	// Proxy stands before its peers' interface, StoreProxy between it and the
	// store.
	Proxy      *faultproxy.Proxy
	StoreProxy *faultproxy.Proxy
	settings   string
	// mutex guards Process against Current while the node is started anew.
	mutex sync.Mutex
}

// Current returns the node's newest process, also while another goroutine starts the node
// anew.
func (n *Node) Current() *Process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.Process
}

// Client calls the node's operators' interface.
func (n *Node) Client() *operator.Client { return operator.NewClient(n.Operators) }

// New starts the store of a world and writes its first configuration.
func New(options Options) (*World, error) {
	network, claim, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	w := &World{
		Options: options, network: network, claim: claim, Nodes: make(map[string]*Node), Runners: make(map[string]*Runner),
		nextNode: firstNode, nextRunner: firstRunner, routes: DefaultRoutes(),
	}
	w.Store, err = start(w.Directory, "store", w.lab(), "store", "--listen", w.address(hostStore, portStore),
		"--rate", fmt.Sprint(options.StoreRate), "--seed", fmt.Sprint(options.Seed))
	if err != nil {
		_ = claim.Close()
		return nil, err
	}
	if err := waitFor("http://" + w.address(hostStore, portStore) + storestub.PathCounts); err != nil {
		w.Close()
		return nil, err
	}
	if err := w.Configure(w.routes); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// DefaultRoutes are the routes of a world: drafts that may be resumed or not, and
// mail that may be repeated or not.
func DefaultRoutes() []protocol.Route {
	return []protocol.Route{
		{Name: "draft", Host: RouteHost, PathPrefix: "/draft/", Type: "stream", TimeoutMs: 20000, TargetMs: 2000, GapTargetMs: 400, Service: EngineService, Attempts: 3, Resumable: true, Priority: 1},
		{Name: "reply", Host: RouteHost, PathPrefix: "/reply/", Type: "stream", TimeoutMs: 20000, TargetMs: 1000, GapTargetMs: 400, Service: EngineService, Attempts: 1},
		{Name: "send", Host: RouteHost, PathPrefix: "/send/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 200, Service: MailService, Attempts: 1, Priority: 2},
		{Name: "read", Host: RouteHost, PathPrefix: "/read/", Type: "safe", TimeoutMs: 3000, TargetMs: 200, Service: MailService, Attempts: 3, Priority: 2},
	}
}

// Configure writes the platform's part of the configuration with these routes.
func (w *World) Configure(routes []protocol.Route) error {
	w.routes = routes
	return w.configure()
}

// ConfigureTenants writes it with these tenants; nil lets everybody call.
func (w *World) ConfigureTenants(tenants []protocol.Tenant) error {
	w.tenants = tenants
	return w.configure()
}

func (w *World) configure() error {
	w.version += 3
	engine := w.Engine
	content, err := json.Marshal(protocol.Configuration{
		Version: w.version, Routes: w.routes, Tenants: w.tenants,
		Services: []protocol.Service{
			{Name: EngineService, HealthPath: "/healthz", ColdStartS: w.ColdStart.Seconds(), ColdPerS: w.ColdRate, Engine: &engine},
			{Name: MailService, HealthPath: "/healthz"},
		},
	})
	if err != nil {
		return err
	}
	return w.PutRows(protocol.Row{Table: protocol.OperatorTable, Key: protocol.ConfigurationKey, Value: content})
}

// PutRows writes rows as the platform does.
func (w *World) PutRows(rows ...protocol.Row) error {
	return w.post(w.address(hostStore, portStore), storestub.PathPut, rows)
}

func (w *World) lab() string { return filepath.Join(w.Programs, "lilacvane-lab") }

func (w *World) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.network, host, port)
}

// waitFor waits until a URL answers 200.
func waitFor(url string) error { return waitUnless(nil, url) }

// waitUnless is waitFor that gives up once a process has ended.
func waitUnless(ended <-chan struct{}, url string) error {
	deadline := time.Now().Add(startPatience)
	for time.Now().Before(deadline) {
		select {
		case <-ended:
			return fmt.Errorf("%s does not answer: its process ended", url)
		default:
		}
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

// SetStoreFaults changes what the store suffers.
func (w *World) SetStoreFaults(faults storestub.Faults) error {
	return w.post(w.address(hostStore, portStore), storestub.PathFaults, faults)
}

// ForgetHistory lets the store drop its history.
func (w *World) ForgetHistory() error {
	return w.post(w.address(hostStore, portStore), storestub.PathForget, nil)
}

// StoreHost is the host (IP) from which the store sees the node's calls.
func (n *Node) StoreHost() string {
	host, _, err := net.SplitHostPort(n.StoreProxy.Address())
	if err != nil {
		return ""
	}
	return host
}

// StoreCounts returns how often the store was called.
func (w *World) StoreCounts() (storestub.Counts, error) {
	var counts storestub.Counts
	response, err := http.Get("http://" + w.address(hostStore, portStore) + storestub.PathCounts)
	if err != nil {
		return counts, err
	}
	defer response.Body.Close()
	return counts, json.NewDecoder(response.Body).Decode(&counts)
}

func (w *World) post(address, path string, body any) error {
	return httpcall.Send(context.Background(), http.MethodPost, "http://"+address+path, body)
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
	node := &Node{
		Name: name, Zone: zone, Clients: w.address(host, portClients), Callers: w.address(host, portCallers),
		Operators: w.address(host, portOperators), Ready: w.address(host, portReady), Metrics: w.address(host, portMetrics),
	}
	s := settings.Default()
	s.Node, s.Zone, s.TimeZone = name, zone, w.TimeZone
	s.Region, s.Zones = string(w.RegionOf(place.Zone(zone))), w.Zones
	s.Listen = settings.Listen{
		Clients: node.Clients, Callers: node.Callers, Operators: node.Operators, Ready: node.Ready, Metrics: node.Metrics,
		Peers: w.address(host, portPeers),
	}
	s.Store.Address = w.address(hostStore, portStore)
	if w.Proxied {
		if err := w.proxyNode(node, &s, host); err != nil {
			return nil, err
		}
	}
	if w.Adjust != nil {
		w.Adjust(&s)
	}
	node.settings = filepath.Join(w.Directory, "node-"+name+".yaml")
	if err := WriteSettings(node.settings, s); err != nil {
		return nil, err
	}
	w.Nodes[name] = node
	return node, w.run(node)
}

func (w *World) run(node *Node) error {
	process, err := start(w.Directory, "node-"+node.Name, filepath.Join(w.Programs, "lilacvane"), "node", "--settings", node.settings)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.Process = process
	return err
}

// RestartNode starts a node that ended again, with the same settings.
func (w *World) RestartNode(node *Node) error {
	if err := w.run(node); err != nil {
		return err
	}
	return node.WaitReady()
}

func (w *World) proxyNode(node *Node, s *settings.Settings, host int) error {
	var err error
	if node.Proxy, err = faultproxy.New(w.address(host, portProxy), s.Listen.Peers); err != nil {
		return err
	}
	if node.StoreProxy, err = faultproxy.New(w.address(host, portStore), s.Store.Address); err != nil {
		return err
	}
	s.Listen.Advertise = node.Proxy.Address()
	s.Store.Address = node.StoreProxy.Address()
	return nil
}

// WriteSettings writes a settings file.
func WriteSettings(path string, s settings.Settings) error {
	content, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o644)
}

// SettingsPath is the node's settings file.
func (n *Node) SettingsPath() string { return n.settings }

// LogPath is where a node logs.
func (w *World) LogPath(node *Node) string {
	return filepath.Join(w.Directory, "node-"+node.Name+".log")
}

// WaitReady waits until the node is ready.
func (n *Node) WaitReady() error {
	return waitUnless(n.Current().Done(), "http://"+n.Ready+"/readyz")
}

// Journals returns the records of all runners that ever ran here.
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
		if node.Process != nil {
			node.Kill()
		}
		closeProxies(node.Proxy, node.StoreProxy)
	}
	for _, runner := range w.Runners {
		runner.end()
		closeProxies(runner.Proxy)
	}
	w.Store.Kill()
	_ = w.claim.Close()
}

func closeProxies(proxies ...*faultproxy.Proxy) {
	for _, proxy := range proxies {
		if proxy != nil {
			proxy.Close()
		}
	}
}
