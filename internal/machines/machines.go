// Package machines is the seam to the platform's list of machines. The list
// lags: a machine it shows as live may be gone, but an incarnation it shows as
// terminated never comes back.
package machines

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/traffic"
)

// State is the state of a machine.
type State string

// The states of a machine.
const (
	StateLive       State = "live"
	StateLeaving    State = "leaving"
	StateTerminated State = "terminated"
)

// Machine is one incarnation of a runner's machine.
type Machine struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	MemoryMiB   int64  `json:"memoryMiB"`
	State       State  `json:"state"`
}

// Changes is the part of the list that changed after a version. The list is
// read whole with version zero.
type Changes struct {
	Version  uint64    `json:"version"`
	Machines []Machine `json:"machines"`
}

// Source reads the list.
type Source interface {
	// ChangesSince returns what changed after version, as far as the platform
	// knows it.
	ChangesSince(ctx context.Context, version uint64) (Changes, error)
}

const callTimeout = 3 * time.Second

// Client is the HTTP form of Source.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the machine list at address (ip:port) whose
// calls go out from local, if that is not nil, and count in counter.
func NewClient(address string, local net.IP, counter *traffic.Counter) *Client {
	transport := &http.Transport{DialContext: traffic.Dialer(local, callTimeout, counter)}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// ChangesSince reads the changes after version.
func (c *Client) ChangesSince(ctx context.Context, version uint64) (Changes, error) {
	const step = "read machine list"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/v1/machines?since=%d", c.base, version), nil)
	if err != nil {
		return Changes{}, fault.At(fault.CodeInternal, step, c.base, fault.NotDone, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Changes{}, fault.Transport(err, step, c.base)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Changes{}, fault.Read(response, step, c.base)
	}
	var changes Changes
	if err := json.NewDecoder(response.Body).Decode(&changes); err != nil {
		return Changes{}, fault.Transport(err, step, c.base)
	}
	return changes, nil
}

// List is a node's copy of the machine list. It is safe for concurrent use.
type List struct {
	mutex   sync.RWMutex
	version uint64
	byName  map[string]Machine
	// terminated holds the incarnations known to be gone.
	terminated map[string]Machine
	// learned is the version that brought each machine's newest state, by
	// incarnation.
	learned map[string]uint64
}

// NewList returns an empty copy.
func NewList() *List {
	return &List{byName: make(map[string]Machine), terminated: make(map[string]Machine), learned: make(map[string]uint64)}
}

// Version is the newest version of the list that was read, zero if none was.
func (l *List) Version() uint64 {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return l.version
}

// Refresh reads what changed since the last Refresh from the platform, or from
// another node's copy.
func (l *List) Refresh(ctx context.Context, source Source) error {
	changes, err := source.ChangesSince(ctx, l.Version())
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if changes.Version <= l.version {
		return nil // another source's answer from before
	}
	l.version = changes.Version
	for _, machine := range changes.Machines {
		l.learned[machine.Incarnation] = changes.Version
		l.apply(machine)
	}
	return nil
}

// ChangesSince answers another node's question from this copy.
func (l *List) ChangesSince(_ context.Context, version uint64) (Changes, error) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	changes := Changes{Version: l.version}
	for _, machine := range l.byName {
		if l.learned[machine.Incarnation] > version {
			changes.Machines = append(changes.Machines, machine)
		}
	}
	for _, machine := range l.terminated {
		if l.learned[machine.Incarnation] > version {
			changes.Machines = append(changes.Machines, machine)
		}
	}
	return changes, nil
}

func (l *List) apply(machine Machine) {
	if machine.State != StateTerminated {
		l.byName[machine.Name] = machine
		return
	}
	l.terminated[machine.Incarnation] = machine
	if l.byName[machine.Name].Incarnation == machine.Incarnation {
		delete(l.byName, machine.Name)
	}
}

// Get returns the machine of that name, if it is listed as live or leaving.
func (l *List) Get(name string) (Machine, bool) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	machine, ok := l.byName[name]
	return machine, ok
}

// Terminated reports whether the platform has confirmed that the incarnation is
// gone, its memory with it.
func (l *List) Terminated(incarnation string) bool {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	_, gone := l.terminated[incarnation]
	return gone
}

// All returns the live and leaving machines in no order.
func (l *List) All() []Machine {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	all := make([]Machine, 0, len(l.byName))
	for _, machine := range l.byName {
		all = append(all, machine)
	}
	return all
}
