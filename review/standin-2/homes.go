package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"lilacvane/platform/protocol"
)

const (
	caseHost  = "case.example"
	home      = "north"
	elsewhere = "south"
	// homeTries is how often opening packets are lost, calmRequests how many requests are sent after each time while none
	// are, calmPause the time after each of these.
	homeTries    = 8
	calmRequests = 25
	calmPause    = 220 * time.Millisecond
	// lossTime is how long opening packets are lost at the begin of a try.
	lossTime = 150 * time.Millisecond
)

// engineService has the models, which are not asked for here.
const engineService = "engines"

// addEngines starts one model runner a zone, as every deployment has them.
func (s *stage) addEngines(zones ...string) error {
	for _, zone := range zones {
		id := "engine-" + zone
		_, err := s.start(id, nil, "lilacvane-lab", "runner", "--id", id, "--service", engineService, "--zone", zone, "--listen", s.address(s.host(), portRunner), "--store", s.storeAt)
		if err != nil {
			return err
		}
	}
	return nil
}

// homesConfiguration has a route whose requests may be served in one region only.
func homesConfiguration() protocol.Configuration {
	return protocol.Configuration{
		Routes: []protocol.Route{{
			Name: "book", Host: caseHost, PathPrefix: "/book/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 200, Service: "app", Attempts: 1, Homes: []string{home},
		}},
		Services: []protocol.Service{{Name: "app", HealthPath: "/healthz", MaxConnections: 100}, {Name: engineService, HealthPath: "/healthz", Engine: caseEngine()}},
		Limits:   caseLimits,
	}
}

var caseLimits = protocol.Limits{MaxHeaderBytes: 65536, MaxBodyBytes: 4194304, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000}

// caseEngine describes the runners that "lilacvane-lab runner" plays.
func caseEngine() *protocol.Engine {
	return &protocol.Engine{
		Slots: 16, KVCapacity: 90000, SizeMB: 16384, LoRASlots: 4, LoadsPerS: 4,
		Models: []protocol.Model{{Name: modelName, SizeMB: 3000, LoadS: 1, DiskLoadS: 0.3}},
	}
}

const modelName = "model-a"

// playHomes: a client of the home region sends requests that may be served there only, while opening packets of the
// connections to the runners are lost for a moment.
func playHomes(s *stage) ([]string, error) {
	s.zones = map[string]string{"north-a": home, "north-b": home, "south-a": elsewhere, "south-b": elsewhere}
	if err := s.configure(homesConfiguration()); err != nil {
		return nil, err
	}
	if err := s.addEngines("north-a", "north-b", "south-a", "south-b"); err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	var broken []string
	arrived := func(r *runner, a arrival) {
		s.record.add("runner %s (%s) runs %s, which machine %s sent: %s, body %q", r.id, s.zones[r.zone], a.id, a.from, a.line, a.body)
		mutex.Lock()
		defer mutex.Unlock()
		if region := s.zones[strings.TrimPrefix(a.from, "node-")]; region == elsewhere {
			broken = append(broken, fmt.Sprintf("HOME: the body of %s was sent to machine %s in region %s, which is neither its home nor its client's", a.id, a.from, region))
		}
		if s.zones[r.zone] != home {
			broken = append(broken, fmt.Sprintf("HOME: %s reached runner %s in region %s", a.id, r.id, s.zones[r.zone]))
		}
	}
	var local []*runner
	for number, zone := range []string{"north-a", "north-a", "north-b", "north-b", "south-a", "south-b"} {
		r, err := s.startRunner(fmt.Sprintf("app-%d", number), "app", zone, arrived)
		if err != nil {
			return nil, err
		}
		if s.zones[zone] == home {
			local = append(local, r)
		}
	}
	var nodes []*node
	for _, zone := range []string{"north-a", "north-b", "south-a", "south-b"} {
		n, err := s.startNode("node-"+zone, zone, false)
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
	time.Sleep(5 * time.Second)
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for try := range homeTries {
		if s.trouble {
			if err := s.loseOpenings(local); err != nil {
				return nil, err
			}
		}
		for number := range 1 + calmRequests {
			s.sendHome(&client, nodes[0], fmt.Sprintf("attempt-%d-%d", try, number))
			time.Sleep(calmPause)
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	return broken, nil
}

// loseOpenings makes the opening packets of connections to runners get lost for lossTime from now on.
func (s *stage) loseOpenings(runners []*runner) error {
	s.record.add("opening packets to the runners in %s are lost", home)
	for _, r := range runners {
		if err := r.shut(); err != nil {
			return err
		}
	}
	time.AfterFunc(lossTime, func() {
		for _, r := range runners {
			_ = r.open()
		}
		s.record.add("opening packets to the runners in %s get through", home)
	})
	return nil
}

// sendHome sends a request that may be served in the home region only.
func (s *stage) sendHome(client *http.Client, n *node, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.clients+"/book/1", strings.NewReader("personal data of "+id))
	if err != nil {
		s.record.add("%s: %v", id, err)
		return
	}
	request.Host = caseHost
	request.Header.Set(protocol.HeaderRequestID, id)
	request.Header.Set(protocol.HeaderDeadline, "3000")
	s.record.add("client of region %s sends %s to machine %s", home, id, n.name)
	response, err := client.Do(request)
	if err != nil {
		s.record.add("%s: %v", id, err)
		return
	}
	_ = response.Body.Close()
	s.record.add("%s is answered %d", id, response.StatusCode)
}
