package platformstub

import (
	"io"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"lilacvane/internal/fault"
)

// Objects is the emulated, rate-limited object store. It is safe for concurrent
// use.
type Objects struct {
	mutex   sync.Mutex
	objects map[string][]byte
	limiter *rate.Limiter
}

// NewObjects returns an empty store that allows a number of calls a second.
func NewObjects(callsPerSecond float64) *Objects {
	return &Objects{objects: make(map[string][]byte), limiter: rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond)))}
}

// Handler is the HTTP form: GET and PUT /v1/objects/NAME.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		if !o.allowed(w) {
			return
		}
		o.mutex.Lock()
		content, found := o.objects[r.PathValue("name")]
		o.mutex.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(content)
	})
	mux.HandleFunc("PUT /v1/objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		if !o.allowed(w) {
			return
		}
		content, err := io.ReadAll(r.Body)
		if err != nil {
			fault.Write(w, fault.New(fault.CodeInvalid, "write object", "%v", err))
			return
		}
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.objects[r.PathValue("name")] = content
	})
	return mux
}

func (o *Objects) allowed(w http.ResponseWriter) bool {
	if o.limiter.Allow() {
		return true
	}
	fault.Write(w, fault.New(fault.CodeRateLimited, "object store", "too many calls").WithRetryAfter(1))
	return false
}
