package inbound

import (
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/memory"
)

const (
	// reportInterval is the least time between two log lines about refusals.
	reportInterval = time.Second
	// maxReported bounds the peers that are counted for a line.
	maxReported = 64
)

// report logs refusals, several in a line.
type report struct {
	log    logr.Logger
	budget *memory.Budget

	mutex sync.Mutex
	last  time.Time
	count int
	// peers counts the refusals by host.
	peers map[string]int
}

// add counts a refusal, and writes a line if the last one is long enough ago.
func (r *report) add(peer net.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count++
	host, _, err := net.SplitHostPort(peer.String())
	if err != nil {
		host = peer.String()
	}
	if _, counted := r.peers[host]; counted || len(r.peers) < maxReported {
		r.peers[host]++
	}
	if time.Since(r.last) < reportInterval {
		return
	}
	top := ""
	for host, count := range r.peers {
		if top == "" || count > r.peers[top] {
			top = host
		}
	}
	figures := r.budget.Figures()
	r.log.Info("requests refused for lack of memory", "step", stepRead, "refused", r.count, "peer", top, "refusedOfPeer", r.peers[top], "peers", len(r.peers),
		"usedBytes", int64(figures.Used), "limitBytes", int64(figures.Limit), "evicted", figures.Evicted)
	r.last, r.count = time.Now(), 0
	clear(r.peers)
}
