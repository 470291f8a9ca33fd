package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
)

// writeTimeout bounds how long a caller may take to read one part of an answer.
const writeTimeout = 30 * time.Second

// timings tells a caller where the time of its request went, in milliseconds
// since arrival; -1 for steps that were not reached.
type timings struct {
	PlacedMs int64 `json:"placedMs"`
	FirstMs  int64 `json:"firstMs"`
	DoneMs   int64 `json:"doneMs"`
	// Cold is set when no runner was ready for the request.
	Cold    bool   `json:"cold"`
	Runner  string `json:"runner"`
	Tries   int    `json:"tries"`
	Resumes int    `json:"resumes"`
}

func timingsOf(o *dispatch.Outcome) timings {
	return timings{
		PlacedMs: o.Placed.Milliseconds(), FirstMs: o.First.Milliseconds(), DoneMs: o.Total.Milliseconds(),
		Cold: o.Waited > 0, Runner: o.Runner, Tries: o.Attempts, Resumes: o.Resumes,
	}
}

// plainHeaders are passed on to callers; what concerns runners is not.
var plainHeaders = []string{"Content-Type", "Content-Length", "Cache-Control"}

// copyPlain copies the headers of an answer that callers see. Retry-After
// becomes whole seconds, as the standard has it.
func copyPlain(target, source http.Header) {
	for _, name := range plainHeaders {
		if values := source[name]; len(values) > 0 {
			target[name] = values
		}
	}
	seconds, err := strconv.ParseFloat(source.Get(api.HeaderRetryAfter), 64)
	if err == nil {
		target.Set(api.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(seconds))))
	}
}

// streamedAnswer writes an answer while it comes.
type streamedAnswer struct {
	http.ResponseWriter
	header  http.Header
	control *http.ResponseController
}

// Header returns the header to be sent.
func (s *streamedAnswer) Header() http.Header { return s.header }

// WriteHeader sends the head.
func (s *streamedAnswer) WriteHeader(status int) {
	copyPlain(s.ResponseWriter.Header(), s.header)
	s.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer.
func (s *streamedAnswer) Write(content []byte) (int, error) {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.ResponseWriter.Write(content)
}

// Flush sends what was written.
func (s *streamedAnswer) Flush() { _ = s.control.Flush() }

// end closes a whole answer. The comment line tells where the time went.
func (s *streamedAnswer) end(outcome *dispatch.Outcome) {
	_, _ = s.Write([]byte(": lilacvane " + encode(timingsOf(outcome)) + "\n\ndata: [DONE]\n\n"))
}

// fail closes an answer that is not whole: an error event and no [DONE].
func (s *streamedAnswer) fail(problem *fault.Error) {
	_, _ = s.Write([]byte("event: error\ndata: " + encode(fault.ToBody(problem)) + "\n\n"))
}
