package runnerstub

import (
	"net/http"

	"lilacvane/platform/protocol"
)

// PathHealth is the path of health checks.
const PathHealth = "/healthz"

// handleHealth answers a health check, which a full runner sends away as it does requests.
func (r *Runner) handleHealth(w http.ResponseWriter, request *http.Request) {
	if !r.checkIncarnation(w, request) {
		return
	}
	r.mutex.Lock()
	full, draining := !r.hasRoom(), r.draining
	r.mutex.Unlock()
	w.Header().Set(protocol.HeaderRunner, r.settings.ID)
	if full {
		w.Header().Set(protocol.HeaderNotRun, "1")
	}
	if full || draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
