// Package agent puts the parts of a node together: it takes requests of clients,
// follows the platform's tables, and takes part in the control of each service.
package agent

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/demand"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/fleet"
	"lilacvane/internal/ingress"
	"lilacvane/internal/lease"
	"lilacvane/internal/logging"
	"lilacvane/internal/nodeconfig"
	"lilacvane/internal/peer"
	"lilacvane/internal/retry"
	"lilacvane/internal/traffic"
	"lilacvane/internal/upstream"
)

// Platform is what a platform's adapter provides.
type Platform struct {
	Headers upstream.Names
	// Configuration is the table whose row ConfigurationKey is the operator's
	// configuration. Decode names a field it does not know.
	Configuration       feed.Source
	ConfigurationKey    string
	DecodeConfiguration func(content []byte) (decoded *config.Configuration, unknown string, err error)
	// Runners is the table of runners by identifier.
	Runners      feed.Source
	DecodeRunner func(id string, content []byte) (backend.Runner, error)
	// Leases keeps the rows of leases.
	Leases lease.Store
	// Control orders runners.
	Control backend.Control
}

const (
	feedWait    = 2 * time.Second
	feedTimeout = 900 * time.Millisecond
	// runnerInterval gathers changes of the runner list.
	runnerInterval = 200 * time.Millisecond
	logCloseLimit  = 200 * time.Millisecond
)

// Agent is one node.
type Agent struct {
	settings atomic.Pointer[nodeconfig.Settings]
	platform Platform
	log      *logging.Bounded
	process  string

	configuration atomic.Pointer[config.Configuration]
	fleet         *fleet.Fleet
	pool          *upstream.Pool
	demand        *demand.Book
	dispatcher    *dispatch.Dispatcher
	ingress       *ingress.Server
	peers         *peer.Server
	client        *peer.Client
	figures       *figures
	controls      *controls
	closing       context.Context
	close         context.CancelFunc
	listed        atomic.Bool
	stopping      atomic.Bool
}

// New returns a node that is not running yet.
func New(settings nodeconfig.Settings, platform Platform, log *logging.Bounded) *Agent {
	a := &Agent{
		platform: platform, log: log, process: strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		fleet: fleet.New(settings.Zone, time.Now), pool: upstream.NewPool(platform.Headers), demand: demand.NewBook(),
	}
	a.settings.Store(&settings)
	a.closing, a.close = context.WithCancel(context.Background())
	a.figures = newFigures(a)
	a.dispatcher = &dispatch.Dispatcher{
		Fleet: a.fleet, Pool: a.pool, Demand: a.demand, Names: platform.Headers, Configuration: a.configuration.Load,
		Retries: retry.Limits{Ratio: settings.Retries.Ratio, Slack: settings.Retries.Slack, Window: settings.Retries.Window},
		Log:     log.Logger, Observe: a.figures.observe, Closing: a.closing,
	}
	a.ingress = ingress.New(platform.Headers, a.dispatcher, log.Logger)
	counter := &traffic.Counter{}
	a.peers = peer.NewServer(settings.Node, counter)
	a.client = peer.NewClient(settings.Node, nil, counter)
	a.controls = newControls(a)
	return a
}

// Run runs the node until ctx ends, then stops it without cutting off requests.
// reload is signalled when the settings file may have changed.
func (a *Agent) Run(ctx context.Context, reload <-chan os.Signal, settingsPath string) error {
	settings := a.settings.Load()
	listeners, err := listen(settings.Listen)
	if err != nil {
		return err
	}
	a.log.Info("node started", "node", settings.Node, "zone", settings.Zone, "process", a.process, "clients", settings.Listen.Clients,
		"peers", settings.Listen.Peers, "store", settings.Store.Address)
	background, end := context.WithCancel(context.Background())
	defer end()
	var work sync.WaitGroup
	work.Go(func() { a.followConfiguration(background) })
	work.Go(func() { a.followRunners(background) })
	work.Go(func() { a.watchSettings(background, reload, settingsPath) })
	a.serve(listeners)
	<-ctx.Done()
	a.stop(settings.Stop.Grace)
	end()
	a.controls.wait()
	work.Wait()
	a.log.Info("node stopped", "node", settings.Node)
	a.log.Close(logCloseLimit)
	return nil
}

// listeners are the open listening sockets.
type listeners struct {
	clients net.Listener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

func listen(addresses nodeconfig.Listen) (*listeners, error) {
	l := &listeners{}
	open := []struct {
		target  *net.Listener
		address string
	}{{&l.clients, addresses.Clients}, {&l.ready, addresses.Ready}, {&l.peers, addresses.Peers}, {&l.metrics, addresses.Metrics}}
	for _, socket := range open {
		if socket.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return nil, fault.At(fault.CodeInternal, "listen", socket.address, fault.NotDone, err)
		}
		*socket.target = listener
	}
	return l, nil
}
