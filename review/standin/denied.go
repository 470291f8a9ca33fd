package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"lilacvane/platform/protocol"
)

const (
	// engines is how many runners there are, crashing how many of them crash at once, and downFor for how long.
	engines  = 16
	crashing = 4
	downFor  = 2 * time.Second
	// askers is how many clients ask for the same at any time, others how many ask for something else each
	// time; runTime is how long it takes.
	askers  = 12
	others  = 6
	runTime = 400 * time.Millisecond
	// crashAfter is when the runners crash, askFor how long the clients ask.
	crashAfter = 3 * time.Second
	askFor     = 25 * time.Second
	// deniedSlack and deniedShare are the bound of the rule: 5 + one in 500 of all requests.
	deniedSlack = 5
	deniedShare = 500
)

// deniedRequests lets the runners that hold a model crash at once, and counts the proper requests that the
// nodes end with a 4xx of their own.
func deniedRequests(w *world) (bool, error) {
	const model, otherModel = "daka510003", "daka510000"
	err := w.configure(protocol.Configuration{
		Limits:   limits,
		Services: []protocol.Service{{Name: engineService, HealthPath: "/healthz", MaxConnections: 360, Engine: engine(otherModel, model)}},
		Routes:   []protocol.Route{{Name: "suggest", Host: routeHost, PathPrefix: "/suggest/", Type: "safe", TimeoutMs: 5000, TargetMs: 800, Priority: 1, Service: engineService, Attempts: 2, Sticky: true}},
	})
	if err != nil {
		return false, err
	}
	run := func(writer http.ResponseWriter, request *http.Request) {
		w.record.note("runner: runs %s", request.Header.Get(protocol.HeaderRequestID))
		_, _ = io.Copy(io.Discard, request.Body)
		sleep(request.Context(), runTime)
		_, _ = io.WriteString(writer, "served")
	}
	var runners []*runner
	for i := range engines {
		models := []string{otherModel}
		if i < crashing {
			models = []string{model}
		}
		r, err := w.startRunner(fmt.Sprintf("i-7f3a91%02x", i), engineService, models, run)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	var nodes []*node
	for i := range 2 {
		n, err := w.startNode(i + 1)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	time.Sleep(3 * time.Second)
	asked := &tally{record: w.record, counts: make(map[string]int)}
	var clients sync.WaitGroup
	end := time.Now().Add(askFor)
	for i := range askers {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * runTime / askers)
			for turn := 0; time.Now().Before(end); turn++ {
				asked.ask(nodes[(i+turn)%len(nodes)], "popular", fmt.Sprintf("a%d-%d", i, turn), model)
			}
		})
	}
	for i := range others {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * runTime / others)
			for turn := 0; time.Now().Before(end); turn++ {
				asked.ask(nodes[(i+turn)%len(nodes)], fmt.Sprintf("other %d %d", i, turn), fmt.Sprintf("b%d-%d", i, turn), model)
			}
		})
	}
	if troubled() {
		time.Sleep(crashAfter)
		w.record.add("runners: %d of %d crash", crashing, engines)
		for _, r := range runners[:crashing] {
			r.crash()
		}
		time.Sleep(downFor)
		for i := range crashing {
			// A runner that starts again is a new incarnation, and holds nothing.
			if _, err := w.startRunner(fmt.Sprintf("i-80aa91%02x", i), engineService, nil, run); err != nil {
				return false, err
			}
		}
		w.record.add("runners: %d start again", crashing)
	}
	clients.Wait()
	return asked.judge(), nil
}

// tally counts how requests ended, by what was asked for.
type tally struct {
	record *record
	mutex  sync.Mutex
	counts map[string]int
	all    int
	// denied are those that ended with a 3xx or 4xx of a node.
	denied int
}

// ask sends a request and counts its end.
func (t *tally) ask(n *node, body, id, model string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.clients+"/suggest/2f", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = routeHost
	request.Header.Set(protocol.HeaderRequestID, id)
	request.Header.Set(protocol.HeaderModel, model)
	request.Header.Set(protocol.HeaderTokens, "60,40")
	request.Header.Set(protocol.HeaderDeadline, "5000")
	t.record.note("client: sends %s, %q, to %s", id, body, n.name)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.record.note("client: %s failed: %v", id, err)
		t.count(body, 0, "", "failed: "+err.Error())
		time.Sleep(100 * time.Millisecond)
		return
	}
	content, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	t.record.note("client: %s got %d", id, response.StatusCode)
	t.count(body, response.StatusCode, response.Header.Get(protocol.HeaderSignature), string(content))
	if response.StatusCode != http.StatusOK {
		time.Sleep(250 * time.Millisecond)
	}
}

// count counts the end of a request, and records the first of each kind.
func (t *tally) count(body string, status int, stamp, text string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	what := body
	if strings.HasPrefix(body, "other") {
		what = "other"
	}
	t.all++
	own := status >= 300 && status < 500 && stamp == ""
	if own && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
		t.denied++
	}
	kind := fmt.Sprintf("%s: %d", what, status)
	if t.counts[kind]++; t.counts[kind] == 1 {
		t.record.add("client: first %s %.200s", kind, text)
	}
}

// judge reports whether more was denied than the rule allows.
func (t *tally) judge() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for kind, count := range t.counts {
		t.record.add("clients: %s, %d times", kind, count)
	}
	bound := deniedSlack + float64(t.all)/deniedShare
	t.record.add("clients: %d of %d requests ended with a 3xx or 4xx of a node; the bound is %.1f", t.denied, t.all, bound)
	return float64(t.denied) > bound
}
