package platformstub

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lilacvane/internal/machines"
)

// Machines is the emulated machine list. Changes show after a lag. It is safe
// for concurrent use.
type Machines struct {
	lag     time.Duration
	mutex   sync.Mutex
	changes []change
	down    bool
}

type change struct {
	visible time.Time
	machine machines.Machine
}

// NewMachines returns an empty list whose changes show after lag.
func NewMachines(lag time.Duration) *Machines { return &Machines{lag: lag} }

// Put adds or changes a machine.
func (m *Machines) Put(machine machines.Machine) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.changes = append(m.changes, change{visible: time.Now().Add(m.lag), machine: machine})
}

// since returns the changes after a version that show by now. Versions count
// changes, which show in the order they were made.
func (m *Machines) since(version uint64) machines.Changes {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	result := machines.Changes{Version: version}
	for index := int(version); index < len(m.changes); index++ {
		if m.changes[index].visible.After(now) {
			break
		}
		result.Machines = append(result.Machines, m.changes[index].machine)
		result.Version = uint64(index + 1)
	}
	return result
}

// Handler is the HTTP form: GET /v1/machines?since=VERSION, and for the lab
// PUT /lab/machines and POST /lab/down.
func (m *Machines) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, r *http.Request) {
		m.mutex.Lock()
		down := m.down
		m.mutex.Unlock()
		version, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		if err != nil || down {
			http.Error(w, "not available", http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(m.since(version))
	})
	mux.HandleFunc("PUT /lab/machines", func(w http.ResponseWriter, r *http.Request) {
		var machine machines.Machine
		if err := json.NewDecoder(r.Body).Decode(&machine); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m.Put(machine)
	})
	mux.HandleFunc("POST /lab/down", func(_ http.ResponseWriter, r *http.Request) {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.down = r.URL.Query().Get("down") == "true"
	})
	return mux
}
