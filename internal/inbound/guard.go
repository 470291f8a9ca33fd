// Package inbound lets the servers of a process take requests within a budget of memory. It wraps the connections
// that they accept, reads bodies, and refuses what finds no room.
package inbound

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/memory"
)

// Costs are what connections and requests take besides heads and bodies.
type Costs struct {
	// Connection is the memory of an open connection, Request that of a request that is processed.
	Connection, Request memory.Bytes
	// Unread is the memory of what the kernel keeps of a connection.
	Unread memory.Bytes
}

// Guard admits connections and requests to a budget. Its methods may be called concurrently. The nil Guard admits
// everything.
type Guard struct {
	budget *memory.Budget
	costs  Costs
	report report
	// turnedAway counts the connections that are about to close as there is no room for them.
	turnedAway atomic.Int64
}

// maxTurnedAway bounds the connections without an account that are kept open until their clients have read a refusal.
const maxTurnedAway = 256

// NewGuard returns a guard of a budget.
func NewGuard(budget *memory.Budget, costs Costs, log logr.Logger) *Guard {
	return &Guard{budget: budget, costs: costs, report: report{log: log, budget: budget, peers: make(map[string]int)}}
}

// Figures returns the figures of the budget.
func (g *Guard) Figures() memory.Figures { return g.budget.Figures() }

// Listener returns a listener whose connections have accounts. Those that find no room are refused.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	if g == nil {
		return inner
	}
	return &listener{Listener: inner, guard: g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept waits for the next connection that finds room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded, ok := l.guard.Wrap(conn); ok {
			return guarded, nil
		}
	}
}

// Wrap opens the account of an accepted connection. Without room it refuses what the client sends, and returns false.
func (g *Guard) Wrap(conn net.Conn) (net.Conn, bool) {
	if g == nil {
		return conn, true
	}
	guarded := &Conn{Conn: conn, guard: g}
	account, err := g.budget.Open(g.costs.Connection, guarded.interrupt)
	if err != nil {
		g.turnAway(conn)
		return nil, false
	}
	guarded.account = account
	return guarded, true
}

// turnAway refuses the request of a connection for which there is no room, without reading it. Too many of them just
// close. An error means that the client has left.
func (g *Guard) turnAway(conn net.Conn) {
	g.observe(conn.RemoteAddr())
	if g.turnedAway.Add(1) > maxTurnedAway || writeRefusal(conn, 0) != nil {
		g.turnedAway.Add(-1)
		_ = conn.Close()
		return
	}
	time.AfterFunc(lingerTimeout, func() {
		g.turnedAway.Add(-1)
		_ = conn.Close()
	})
}

// Refusal writes the answer to a request that was refused as not run.
type Refusal func(w http.ResponseWriter, r *http.Request, problem *fault.Error)

// Attach makes a server account for the requests on the connections of Listener or Wrap. refusal answers those
// that find no room before they reach the handler.
func (g *Guard) Attach(server *http.Server, refusal Refusal) *http.Server {
	if g == nil {
		return server
	}
	handler, connContext, connState := server.Handler, server.ConnContext, server.ConnState
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := connOf(r.Context()); conn != nil {
			if problem := conn.begin(r); problem != nil {
				Refuse(w, r, func(w http.ResponseWriter) { refusal(w, r, problem) })
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		if guarded, ok := unwrap[*Conn](conn); ok {
			ctx = context.WithValue(ctx, connKey{}, guarded)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		if guarded, ok := unwrap[*Conn](conn); ok && state == http.StateIdle {
			guarded.end()
		}
	}
	return server
}

// observe records that a request or connection of a peer was refused.
func (g *Guard) observe(peer net.Addr) { g.report.add(peer) }
