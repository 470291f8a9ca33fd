// Package linkfault injects faults into the paths from one node to runners: it takes the
// place of the dialer with which the node connects to them.
package linkfault

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"

	"lilacvane/internal/link"
)

// Path is the path of the call that replaces the fault.
const Path = "/lab/links"

// Mode is what happens to connections on a path.
type Mode string

// The modes.
const (
	// Pass changes nothing.
	Pass Mode = ""
	// Hang loses all packets: connection attempts time out, and open connections transfer
	// nothing until the path works again, unless they are closed before.
	Hang Mode = "hang"
	// Reset refuses connection attempts and resets open connections.
	Reset Mode = "reset"
	// RefuseNew refuses connection attempts; open connections work.
	RefuseNew Mode = "refuseNew"
	// HangNew loses the packets of connection attempts; open connections work.
	HangNew Mode = "hangNew"
)

// Fault is a fault on the paths to some addresses.
type Fault struct {
	Mode Mode `json:"mode"`
	// Addresses are the affected ip:port; all if empty.
	Addresses []string `json:"addresses,omitempty"`
	// Mbps is the bandwidth of the node's link in each direction, shared by all its connections to
	// runners, in Mbit/s; zero for no bound.
	Mbps float64 `json:"mbps,omitempty"`
}

// affects reports whether the fault applies to an address.
func (f Fault) affects(address string) bool {
	return f.Mode != Pass && (len(f.Addresses) == 0 || slices.Contains(f.Addresses, address))
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Links are the paths from a node to runners. They are safe for concurrent use.
type Links struct {
	dial Dial
	// sent and received are the queues of the node's link.
	sent, received queue

	mutex   sync.Mutex
	fault   Fault
	changed chan struct{}
	open    map[*connection]bool
}

// New returns links without a fault that connect by dial.
func New(dial Dial) *Links {
	return &Links{dial: dial, changed: make(chan struct{}), open: make(map[*connection]bool)}
}

// Set replaces the fault.
func (l *Links) Set(fault Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
	l.sent.setMbps(fault.Mbps)
	l.received.setMbps(fault.Mbps)
	close(l.changed)
	l.changed = make(chan struct{})
	if fault.Mode != Reset {
		return
	}
	for c := range l.open {
		if fault.affects(c.address) {
			c.reset()
		}
	}
}

// Handler serves the call that replaces the fault.
func (l *Links) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, request *http.Request) {
		var fault Fault
		if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(fault)
	})
	return mux
}

// mode returns the mode on the path to an address, and a channel that is closed when the
// fault is replaced.
func (l *Links) mode(address string) (Mode, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fault.affects(address) {
		return l.fault.Mode, l.changed
	}
	return Pass, l.changed
}

// Dial connects to an address, subject to the fault.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	mode, _ := l.mode(address)
	switch mode {
	case Reset, RefuseNew:
		return nil, dialError(network, syscall.ECONNREFUSED)
	case Hang, HangNew:
		ctx, cancel := context.WithTimeout(ctx, link.Runner.Bounds().ConnectTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, dialError(network, os.ErrDeadlineExceeded)
	}
	l.sent.pass(packetBytes)
	conn, err := l.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.received.pass(packetBytes)
	return l.wrap(conn, address), nil
}

func dialError(network string, cause error) error {
	return &net.OpError{Op: "dial", Net: network, Err: cause}
}
