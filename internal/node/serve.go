package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"lilacvane/internal/link"
	"lilacvane/internal/stop"
	"lilacvane/internal/wait"
)

const (
	pathReady    = "/readyz"
	pathMetrics  = "/metrics"
	pathProfiles = "/debug/pprof/"
	// statusTimeout bounds readiness, metrics and profile requests.
	statusTimeout = 5 * time.Second
	// statusHeaderBytes bounds the heads of such requests, in bytes. The library adds 4 KiB.
	statusHeaderBytes = 4 << 10
)

// serve starts serving on all listeners.
func (n *Node) serve(l *listeners) {
	n.start("ready", l.ready, func(l net.Listener) error { return serveStatus(l, pathReady, n.answerReady) })
	n.start("peers", l.peers, n.peers.Serve)
	n.start("clients", l.clients, func(l net.Listener) error { return n.ingress.Serve(l, openClients) })
	n.start("callers", l.callers, n.gateway.Serve)
	n.start("operators", l.operators, n.operator.Serve)
	n.start("profiles", l.profiles, func(l net.Listener) error { return serveStatus(l, pathProfiles, pprof.Index) })
	n.start("metrics", l.metrics, func(l net.Listener) error { return serveStatus(l, pathMetrics, n.metrics.Handler().ServeHTTP) })
}

// openClients opens the listening socket for clients again.
func openClients(address string) (net.Listener, error) {
	return link.Client.Listen(context.Background(), address)
}

func (n *Node) start(name string, listener net.Listener, serve func(net.Listener) error) {
	if listener == nil {
		return
	}
	go func() {
		if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Error(err, "listener failed", "listener", name)
		}
	}()
}

func serveStatus(listener net.Listener, path string, handler http.HandlerFunc) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, handler)
	server := &http.Server{Handler: mux, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout, MaxHeaderBytes: statusHeaderBytes}
	return server.Serve(listener)
}

// answerReady tells the load balancer whether this node takes new connections.
func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if n.Ready() == nil {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// stop stops the node within its grace period. It releases leases first, then gives the load
// balancer time to notice, then waits for active requests. It returns the schedule of what is left to do.
func (n *Node) stop() stop.Schedule {
	limits := n.settings.Load().Stop
	// The signal may have come when the process did not run. A longer pause may have had another reason.
	late := min(n.pauses.lateness(), limits.Notice)
	schedule := stop.NewSchedule(time.Now().Add(-late), limits)
	n.dispatcher.Stop.Start(schedule)
	n.log.Info("node stopping", "active", n.ingress.Active(), "graceMs", limits.Grace.Milliseconds(), "lateMs", late.Milliseconds())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ends sync.WaitGroup
	ends.Go(func() { n.tunnels.Shutdown(ctx) })
	n.releaseLeases()
	n.logStopStep("leases released", schedule)
	time.Sleep(time.Until(schedule.NoticeEnd))
	n.logStopStep("notice ended", schedule)
	timer := time.AfterFunc(time.Until(schedule.LastAnswers), func() {
		n.logStopStep("last answers end", schedule)
		n.close()
		wait.For(ctx, time.Until(schedule.ConnectionsEndAfter(time.Now())))
		cancel()
	})
	defer timer.Stop()
	// What is known now is handed over now: once the last requests have ended, little time is left for peers that hang.
	ends.Go(func() { n.claims.HandOver(ctx) })
	ends.Go(func() { n.ingress.Shutdown(ctx) })
	ends.Go(func() {
		if err := n.operator.Shutdown(ctx); err != nil {
			n.log.Info("operator requests aborted at end of shutdown", "error", err.Error())
		}
	})
	ends.Go(func() {
		if err := n.gateway.Shutdown(ctx); err != nil {
			n.log.Info("API requests aborted at end of shutdown", "error", err.Error())
		}
	})
	ends.Wait()
	n.logStopStep("requests ended", schedule)
	n.handOverClaims(schedule)
	return schedule
}

// handOverClaims passes on the claims of requests that this node ran.
func (n *Node) handOverClaims(schedule stop.Schedule) {
	ctx, cancel := context.WithDeadline(context.Background(), schedule.ClaimsEnd)
	defer cancel()
	n.claims.HandOver(ctx)
	n.logStopStep("claims handed over", schedule)
}

// logStopStep logs a step of a stop.
func (n *Node) logStopStep(done string, schedule stop.Schedule) {
	n.log.Info("node stop continues", "done", done, "active", n.ingress.Active(), "carried", n.tunnels.Count(), "afterMs", time.Since(schedule.Begin).Milliseconds())
}
