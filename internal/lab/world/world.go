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
	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/operator"
	"lilacvane/internal/place"
	"lilacvane/internal/settings"
	"lilacvane/platform/protocol"
)

// Ports and host numbers; every process has its own IP address.
const (
	portClaim       = 7000
	portClients     = 7001
	portCallers     = 7002
	portOperators   = 7003
	portPeers       = 7004
	portReady       = 7005
	portMetrics     = 7006
	portProxy       = 7007
	portStore       = 7008
	portRunner      = 7009
	portLinks       = 7010
	hostStore       = 1
	firstNodeHost   = 120
	firstRunnerHost = 160
	startTimeout    = 30 * time.Second
	pollInterval    = 20 * time.Millisecond
)

// The names of the services and the host of the default routes.
const (
	EngineService = "engines"
	MailService   = "mail"
	RouteHost     = "lab.example"
)

// Options are the options of a World.
type Options struct {
	// Directory is where settings, logs and journals are written.
	Directory string
	// Programs is the directory of the binaries lilacvane and lilacvane-lab.
	Programs string
	// Region and TimeZone are those of the nodes; Zones overrides Region.
	Region   string
	TimeZone string
	// Zones maps the zones outside Region to their regions.
	Zones place.Map
	// Proxied puts a fault proxy in front of every node and runner, and one per node in front
	// of the store.
	Proxied bool
	// DirectRunners leaves out the proxies in front of runners.
	DirectRunners bool
	// FaultyLinks makes the paths from nodes to runners subject to the faults of SetLinks.
	FaultyLinks bool
	// NodeEnvironment holds variables, each NAME=VALUE, that node processes get besides those of this
	// process.
	NodeEnvironment []string
	// Adjust changes the settings of a node before it starts.
	Adjust func(*settings.Settings)
	// StoreRate is the number of calls per second that the store accepts.
	StoreRate float64
	// Engine describes the runners of EngineService in the configuration.
	Engine protocol.Engine
	// ColdStart is how long a runner of EngineService is cold after its start, ColdRate the
	// number of requests per second that it can take while cold; zero if runners do not start
	// cold.
	ColdStart time.Duration
	ColdRate  float64
	// Seed is the seed of the random numbers of the emulated store and runners.
	Seed uint64
}

// World is a running system: the store, runners and nodes.
type World struct {
	Options
	network string
	// networkClaim reserves the network while it is open.
	networkClaim net.Listener
	Store        *Process
	Nodes        map[string]*Node
	Runners      map[string]*Runner
	nextNode     int
	nextRunner   int
	version      uint64
	routes       []protocol.Route
	tenants      []protocol.Tenant
}

// Node is a running node.
type Node struct {
	*Process
	Name      string
	Zone      string
	Clients   string
	Callers   string
	Operators string
	Peers     string
	Ready     string
	Metrics   string
	// Proxy is in front of the node's interface for peers, StoreProxy between the node and the
	// store.
	Proxy      *faultproxy.Proxy
	StoreProxy *faultproxy.Proxy
	// links is the address of the calls that inject faults into the paths to runners.
	links    string
	settings string
	// mutex guards Process while the node is restarted.
	mutex sync.Mutex
}

// Current returns the node's newest process. It may be called while another goroutine
// restarts the node.
func (n *Node) Current() *Process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.Process
}

// Client returns a client of the node's interface for operators.
func (n *Node) Client() *operator.Client { return operator.NewClient(n.Operators) }

// New starts the store and writes the first configuration.
func New(options Options) (*World, error) {
	network, networkClaim, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	w := &World{
		Options: options, network: network, networkClaim: networkClaim, Nodes: make(map[string]*Node), Runners: make(map[string]*Runner),
		nextNode: firstNodeHost, nextRunner: firstRunnerHost, routes: DefaultRoutes(),
	}
	w.Store, err = start(w.Directory, "store", w.labProgram(), "store", "--listen", w.address(hostStore, portStore),
		"--rate", fmt.Sprint(options.StoreRate), "--seed", fmt.Sprint(options.Seed))
	if err != nil {
		_ = networkClaim.Close()
		return nil, err
	}
	if err := waitForURL("http://" + w.address(hostStore, portStore) + storestub.PathCounts); err != nil {
		w.Close()
		return nil, err
	}
	if err := w.Configure(w.routes); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// DefaultRoutes returns the first routes of a World: a resumable stream (draft) and one
// that is not (reply), an unsafe (send) and a safe request (read).
func DefaultRoutes() []protocol.Route {
	return []protocol.Route{
		{Name: "draft", Host: RouteHost, PathPrefix: "/draft/", Type: "stream", TimeoutMs: 20000, TargetMs: 2000, GapTargetMs: 400, Service: EngineService, Attempts: 3, Resumable: true, Priority: 1},
		{Name: "reply", Host: RouteHost, PathPrefix: "/reply/", Type: "stream", TimeoutMs: 20000, TargetMs: 1000, GapTargetMs: 400, Service: EngineService, Attempts: 1},
		{Name: "send", Host: RouteHost, PathPrefix: "/send/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 200, Service: MailService, Attempts: 1, Priority: 2},
		{Name: "read", Host: RouteHost, PathPrefix: "/read/", Type: "safe", TimeoutMs: 3000, TargetMs: 200, Service: MailService, Attempts: 3, Priority: 2},
	}
}

// Configure writes the platform's configuration with these routes.
func (w *World) Configure(routes []protocol.Route) error {
	w.routes = routes
	return w.writeConfiguration()
}

// ConfigureTenants writes the configuration with these tenants; nil admits all callers.
func (w *World) ConfigureTenants(tenants []protocol.Tenant) error {
	w.tenants = tenants
	return w.writeConfiguration()
}

func (w *World) writeConfiguration() error {
	w.version += 3
	engine := w.Engine
	content, err := json.Marshal(protocol.Configuration{
		Version: w.version, Routes: w.routes, Tenants: w.tenants,
		Services: []protocol.Service{
			{Name: EngineService, HealthPath: runnerstub.PathHealth, ColdStartS: w.ColdStart.Seconds(), ColdPerS: w.ColdRate, Engine: &engine},
			{Name: MailService, HealthPath: runnerstub.PathHealth},
		},
	})
	if err != nil {
		return err
	}
	return w.PutRows(protocol.Row{Table: protocol.OperatorTable, Key: protocol.ConfigurationKey, Value: content})
}

// PutRows writes rows to the store as the platform does, without conditions.
func (w *World) PutRows(rows ...protocol.Row) error {
	return w.post(w.address(hostStore, portStore), storestub.PathPut, rows)
}

func (w *World) labProgram() string { return filepath.Join(w.Programs, "lilacvane-lab") }

func (w *World) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.network, host, port)
}

// waitForURL waits until a GET of url returns 200.
func waitForURL(url string) error { return waitUntilServing(nil, url) }

// waitUntilServing is waitForURL that gives up once ended is closed.
func waitUntilServing(ended <-chan struct{}, url string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-ended:
			return fmt.Errorf("%s does not respond: its process has ended", url)
		default:
		}
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s did not respond with 200 in time", url)
}

// SetStoreFaults replaces the faults injected into the store.
func (w *World) SetStoreFaults(faults storestub.Faults) error {
	return w.post(w.address(hostStore, portStore), storestub.PathFaults, faults)
}

// RestoreStore makes the store return with an older copy of its content.
func (w *World) RestoreStore(restore storestub.Restore) error {
	return w.post(w.address(hostStore, portStore), storestub.PathRestore, restore)
}

// ForgetHistory makes the store drop the history of its feed.
func (w *World) ForgetHistory() error {
	return w.post(w.address(hostStore, portStore), storestub.PathForget, nil)
}

// StoreHost returns the IP address from which the store sees the node's calls.
func (n *Node) StoreHost() string {
	host, _, err := net.SplitHostPort(n.StoreProxy.Address())
	if err != nil {
		return ""
	}
	return host
}

// StoreCounts returns the numbers of calls to the store.
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

// LaunchNode starts a node without waiting until it is ready.
func (w *World) LaunchNode(name, zone string) (*Node, error) {
	host := w.nextNode
	w.nextNode++
	node := &Node{
		Name: name, Zone: zone, Clients: w.address(host, portClients), Callers: w.address(host, portCallers),
		Operators: w.address(host, portOperators), Peers: w.address(host, portPeers), Ready: w.address(host, portReady), Metrics: w.address(host, portMetrics),
		links: w.address(host, portLinks),
	}
	s := settings.Default()
	s.Node, s.Zone, s.TimeZone = name, zone, w.TimeZone
	s.Region, s.Zones = string(w.RegionOf(place.Zone(zone))), w.Zones
	s.Listen = settings.Listen{
		Clients: node.Clients, Callers: node.Callers, Operators: node.Operators, Ready: node.Ready, Metrics: node.Metrics,
		Peers: node.Peers,
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
	return node, w.startNodeProcess(node)
}

func (w *World) startNodeProcess(node *Node) error {
	program, arguments := filepath.Join(w.Programs, "lilacvane"), []string{"node", "--settings", node.settings}
	if w.FaultyLinks {
		program, arguments = w.labProgram(), append(arguments, "--faults", node.links)
	}
	process, err := startWith(w.NodeEnvironment, w.Directory, "node-"+node.Name, program, arguments...)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.Process = process
	return err
}

// RestartNode starts a new process for a node whose process has ended, with the same
// settings, and waits until it is ready.
func (w *World) RestartNode(node *Node) error {
	if err := w.startNodeProcess(node); err != nil {
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

// WriteSettings writes settings to a YAML file.
func WriteSettings(path string, s settings.Settings) error {
	content, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o644)
}

// SettingsPath returns the path of the node's settings file.
func (n *Node) SettingsPath() string { return n.settings }

// LogPath returns the path of a node's log.
func (w *World) LogPath(node *Node) string {
	return filepath.Join(w.Directory, "node-"+node.Name+".log")
}

// WaitReady waits until the node is ready.
func (n *Node) WaitReady() error {
	return waitUntilServing(n.Current().Done(), "http://"+n.Ready+"/readyz")
}

// SetLinks replaces the fault on a node's paths to runners.
func (w *World) SetLinks(node *Node, fault linkfault.Fault) error {
	return w.post(node.links, linkfault.Path, fault)
}

// Journals returns the records of all runners, also of those that have ended.
func (w *World) Journals() ([]journal.Record, error) {
	paths, err := filepath.Glob(filepath.Join(w.Directory, "journal-*.jsonl"))
	if err != nil {
		return nil, err
	}
	var records []journal.Record
	for _, path := range paths {
		fileRecords, err := journal.Read(path)
		if err != nil {
			return nil, err
		}
		records = append(records, fileRecords...)
	}
	return records, nil
}

// Close kills all processes and closes all proxies.
func (w *World) Close() {
	for _, node := range w.Nodes {
		if node.Process != nil {
			node.Kill()
		}
		closeProxies(node.Proxy, node.StoreProxy)
	}
	for _, runner := range w.Runners {
		runner.killForGood()
		closeProxies(runner.Proxy)
	}
	w.Store.Kill()
	_ = w.networkClaim.Close()
}

func closeProxies(proxies ...*faultproxy.Proxy) {
	for _, proxy := range proxies {
		if proxy != nil {
			proxy.Close()
		}
	}
}
