package node

import (
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
)

const (
	// deniedSlack and deniedShare are the platform's bound on proper requests that nodes deny: deniedSlack
	// and one in deniedShare of all requests.
	deniedSlack = 5
	deniedShare = 500
	// denialReportInterval is the least time between two log lines about denied requests.
	denialReportInterval = time.Second
)

// denials counts the requests that this node ended as wrong. Its methods may be called concurrently.
type denials struct {
	log logr.Logger

	mutex    sync.Mutex
	requests int
	byCode   map[fault.Code]int
	reported time.Time
}

// observe counts a request that ended, and logs the counts if it was denied.
func (d *denials) observe(o dispatch.Outcome, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.requests++
	if !o.Denied() {
		return
	}
	if d.byCode == nil {
		d.byCode = make(map[fault.Code]int)
	}
	d.byCode[o.Problem.Code]++
	if now.Sub(d.reported) < denialReportInterval {
		return
	}
	d.reported = now
	d.log.Info("requests denied", "byCode", maps.Clone(d.byCode), "requests", d.requests, "margin", d.margin())
}

// margin returns how many more proper requests this node may deny. Unknown routes and keys do not count:
// clients send them to learn which configuration holds. mutex is held.
func (d *denials) margin() int {
	denied := 0
	for code, count := range d.byCode {
		if code != fault.CodeNotFound && code != fault.CodeUnauthorized {
			denied += count
		}
	}
	return deniedSlack + d.requests/deniedShare - denied
}
