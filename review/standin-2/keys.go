package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lilacvane/platform/protocol"
)

const (
	// rareModels is how many models nobody asked for before, callsPerModel how many calls each gets.
	rareModels    = 2
	callsPerModel = 12
	// calmTime is how long a caller waits beyond what it was told before it comes back.
	calmTime = 4 * time.Second
	// deniedSlack and deniedShare are the bounds of DENIED.
	deniedSlack = 5
	deniedShare = 1.0 / 500
)

// callResult is the answer to a call.
type callResult struct {
	status     int
	retryAfter time.Duration
	text       string
}

// playKeys: callers send calls that may not be repeated, each under an idempotency key. Demand moves to models that
// sleep; calls that are refused come back as told, under the same key.
func playKeys(s *stage) ([]string, error) {
	engine := caseEngine()
	engine.Models = nil
	for number := range rareModels + 1 {
		engine.Models = append(engine.Models, protocol.Model{Name: fmt.Sprintf("model-%d", number), SizeMB: 3000, LoadS: 1, DiskLoadS: 0.3})
	}
	configuration := protocol.Configuration{Services: []protocol.Service{{Name: engineService, HealthPath: "/healthz", Engine: engine}}, Limits: caseLimits}
	if err := s.configure(configuration); err != nil {
		return nil, err
	}
	for number := range 4 {
		id := fmt.Sprintf("engine-%d", number)
		_, err := s.start(id, nil, "lilacvane-lab", "runner", "--id", id, "--service", engineService, "--zone", "zone-a", "--listen", s.address(s.host(), portRunner), "--store", s.storeAt)
		if err != nil {
			return nil, err
		}
	}
	var nodes []*node
	for _, name := range []string{"node-1", "node-2"} {
		n, err := s.startNode(name, "zone-a", true)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.awaitReady(); err != nil {
			return nil, err
		}
	}
	err := waitFor("a model is served", 20*time.Second, func() bool { return s.call(nodes[0], "model-0", "", "10").status == http.StatusOK })
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var callers sync.WaitGroup
	var mutex sync.Mutex
	requests, denied, served := 0, 0, 0
	for number := range rareModels * callsPerModel {
		model := "model-0"
		if s.trouble {
			model = fmt.Sprintf("model-%d", 1+number%rareModels)
		}
		callers.Go(func() {
			tries, last := s.callUntilServed(nodes, number, model)
			mutex.Lock()
			defer mutex.Unlock()
			requests += tries
			switch last.status {
			case http.StatusConflict:
				denied++
			case http.StatusOK:
				served++
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	callers.Wait()
	s.record.add("%d calls, %d requests, %d calls served, %d ended with 409", rareModels*callsPerModel, requests, served, denied)
	if allowed := deniedSlack + deniedShare*float64(requests); float64(denied) > allowed {
		return []string{fmt.Sprintf("DENIED: %d of %d requests were ended with a 4xx of lilacvane's own, %.2f are allowed; the calls were refused as not run before", denied, requests, allowed)}, nil
	}
	return nil, nil
}

// callUntilServed makes a call under a key of its own, and comes back after a refusal as it was told.
func (s *stage) callUntilServed(nodes []*node, number int, model string) (tries int, last callResult) {
	key := fmt.Sprintf("key-%d", number)
	for tries = 1; ; tries++ {
		n := nodes[(number+tries)%len(nodes)]
		s.record.add("caller sends %s for %s to %s", key, model, n.name)
		last = s.call(n, model, key, "0.5")
		s.record.add("%s is answered %d by %s, come back after %v: %s", key, last.status, n.name, last.retryAfter, last.text)
		if last.status != http.StatusServiceUnavailable || tries == 3 {
			return tries, last
		}
		time.Sleep(last.retryAfter + calmTime)
	}
}

// call makes a call. An empty key means that it may be repeated.
func (s *stage) call(n *node, model, key, deadline string) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/v1/completions", strings.NewReader(fmt.Sprintf(`{"model":%q,"prompt":"send the reminder of %s","max_tokens":3}`, model, key)))
	if err != nil {
		return callResult{text: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Lilacvane-Deadline", deadline)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{Timeout: 15 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return callResult{text: err.Error()}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{text: err.Error()}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	result := callResult{status: response.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
	if response.StatusCode != http.StatusOK {
		result.text = describeError(content)
	}
	return result
}

// describeError returns the code, whether the call ran, and the message of an error.
func describeError(content []byte) string {
	var body struct {
		Error struct{ Code, Message, Ran string }
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s, ran: %s: %s", body.Error.Code, body.Error.Ran, body.Error.Message)
}
