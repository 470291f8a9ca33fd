package enginestub

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"lilacvane/internal/api"
	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
)

// Handler is the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathState, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.State())
	})
	mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	mux.HandleFunc("POST "+engine.PathChat, e.serveRun)
	mux.HandleFunc("POST "+engine.PathCompletion, e.serveRun)
	mux.HandleFunc("GET "+engine.PathStreams+"{id}", e.serveResume)
	mux.HandleFunc("DELETE "+engine.PathStreams+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+engine.PathCaches, func(w http.ResponseWriter, _ *http.Request) {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		writeJSON(w, e.cache.export())
	})
	mux.HandleFunc("PUT "+engine.PathCaches, e.serveImport)
	mux.HandleFunc("GET "+engine.PathEvents, func(w http.ResponseWriter, _ *http.Request) {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		writeJSON(w, e.cache.events)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		fault.Write(w, e.refuse(fault.CodeInvalid, "%v", err))
		return
	}
	state, err := e.Order(order)
	if err != nil {
		fault.Write(w, fault.From(err, "order"))
		return
	}
	writeJSON(w, state)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var keys []string
	if err := json.NewDecoder(io.LimitReader(r.Body, api.MaximumBodyBytes)).Decode(&keys); err != nil {
		fault.Write(w, e.refuse(fault.CodeInvalid, "%v", err))
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for index := len(keys) - 1; index >= 0; index-- {
		e.cache.touch(keys[index])
	}
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	var completion api.Completion
	if err := json.NewDecoder(r.Body).Decode(&completion); err != nil {
		fault.Write(w, e.refuse(fault.CodeInvalid, "%v", err))
		return
	}
	tokens := completion.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	s, active, err := e.run(r.Header.Get(engine.HeaderRequest), r.Header.Get(engine.HeaderUnit), r.Header.Get(engine.HeaderVersion), promptOf(completion), min(tokens, maximumTokens))
	if err != nil {
		fault.Write(w, fault.From(err, "run"))
		return
	}
	w.Header().Set(engine.HeaderActive, strconv.Itoa(active))
	follow(w, r, s, 0)
}

func promptOf(completion api.Completion) string {
	parts := []string{}
	if completion.Prompt != "" {
		parts = append(parts, completion.Prompt)
	}
	for _, message := range completion.Messages {
		parts = append(parts, message.Content)
	}
	return strings.Join(parts, " ")
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s, err := e.resume(r.PathValue("id"))
	if err != nil {
		fault.Write(w, fault.From(err, "resume"))
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		fault.Write(w, e.refuse(fault.CodeInvalid, "from must be a number"))
		return
	}
	follow(w, r, s, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if err := e.cancel(r.PathValue("id")); err != nil {
		fault.Write(w, fault.From(err, "cancel"))
	}
}

// follow writes a stream as server-sent events until its end or until the reader
// goes away, which does not stop the request.
func follow(w http.ResponseWriter, r *http.Request, s *stream, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	for {
		chunks, more, changed := s.from(next)
		for _, chunk := range chunks {
			content, _ := json.Marshal(chunk)
			if _, err := w.Write([]byte("data: " + string(content) + "\n\n")); err != nil {
				return
			}
			next++
		}
		_ = control.Flush()
		if !more {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}
