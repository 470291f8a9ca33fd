package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// entryNotice is how long the entry may take to notice that a node is not
	// ready: until then requests still come.
	entryNotice = 3 * time.Second
	// stopMargin is the part of the grace that is kept for the very end.
	stopMargin = 400 * time.Millisecond
	// answerMargin is the time in which the last requests get their answers.
	answerMargin = 500 * time.Millisecond
	pathReady  = "/readyz"
	pathFigure = "/metrics"
	// statusTimeout bounds the calls of the entry and of metrics.
	statusTimeout = 5 * time.Second
)

// serve starts to answer on all listeners.
func (a *Agent) serve(l *listeners) {
	go a.watchServe("clients", func() error { return a.ingress.Serve(l.clients) })
	go a.watchServe("ready", func() error { return serveStatus(l.ready, pathReady, a.answerReady) })
	go a.watchServe("peers", func() error { return a.peers.Serve(l.peers) })
	if l.metrics != nil {
		go a.watchServe("metrics", func() error { return serveStatus(l.metrics, pathFigure, a.figures.handler().ServeHTTP) })
	}
}

func (a *Agent) watchServe(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.log.Error(err, "listener ended", "listener", name)
	}
}

func serveStatus(listener net.Listener, path string, handler http.HandlerFunc) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, handler)
	server := &http.Server{Handler: mux, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout}
	return server.Serve(listener)
}

// answerReady tells the entry whether this node takes new connections.
func (a *Agent) answerReady(w http.ResponseWriter, _ *http.Request) {
	if a.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Ready reports whether the node knows a configuration and the runners, and is
// not stopping.
func (a *Agent) Ready() bool {
	return a.configuration.Load() != nil && a.listed.Load() && !a.stopping.Load()
}

// stop ends the node within its grace: leases go first, then the entry is let
// notice, then requests under way are waited for.
func (a *Agent) stop(grace time.Duration) {
	start := time.Now()
	a.stopping.Store(true)
	a.ingress.Stop()
	a.log.Info("node stopping", "active", a.ingress.Active(), "graceMs", grace.Milliseconds())
	a.controls.release()
	time.Sleep(entryNotice - time.Since(start))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-stopMargin))
	defer cancel()
	timer := time.AfterFunc(time.Until(start.Add(grace-stopMargin-answerMargin)), a.close)
	defer timer.Stop()
	a.ingress.Shutdown(ctx)
}
