package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
)

// writeTimeout bounds the time a caller may take to read one part of a response.
const writeTimeout = 30 * time.Second

// timings tells a caller where the time of its request was spent, in milliseconds since arrival, or
// -1 for steps that were not reached.
type timings struct {
	PlacedMs int64 `json:"placedMs"`
	FirstMs  int64 `json:"firstMs"`
	DoneMs   int64 `json:"doneMs"`
	// Cold is set if no runner was ready for the request.
	Cold    bool   `json:"cold"`
	Runner  string `json:"runner"`
	Tries   int    `json:"tries"`
	Resumes int    `json:"resumes"`
}

func newTimings(o *dispatch.Outcome) timings {
	return timings{
		PlacedMs: o.Placed.Milliseconds(), FirstMs: o.First.Milliseconds(), DoneMs: o.Total.Milliseconds(),
		Cold: o.Waited > 0, Runner: o.Runner, Tries: o.Attempts, Resumes: o.Resumes,
	}
}

// callerHeaders are the response headers that callers see. Headers about runners are not among
// them; Connection is that of this node.
var callerHeaders = []string{"Connection", "Content-Type", "Content-Length", "Cache-Control"}

// copyCallerHeaders copies the response headers that callers see. Retry-After is rounded to whole
// seconds.
func copyCallerHeaders(target, source http.Header) {
	for _, name := range callerHeaders {
		if values := source[name]; len(values) > 0 {
			target[name] = values
		}
	}
	seconds, err := strconv.ParseFloat(source.Get(api.HeaderRetryAfter), 64)
	if err == nil {
		target.Set(api.HeaderRetryAfter, fault.WholeSeconds(time.Duration(seconds*float64(time.Second))))
	}
}

// streamedResponse writes a response as it arrives.
type streamedResponse struct {
	http.ResponseWriter
	header  http.Header
	control *http.ResponseController
}

// Header returns the headers to be sent.
func (s *streamedResponse) Header() http.Header { return s.header }

// WriteHeader sends the status and the headers.
func (s *streamedResponse) WriteHeader(status int) {
	copyCallerHeaders(s.ResponseWriter.Header(), s.header)
	s.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response.
func (s *streamedResponse) Write(content []byte) (int, error) {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.ResponseWriter.Write(content)
}

// Flush sends buffered data.
func (s *streamedResponse) Flush() { _ = s.control.Flush() }

// finish ends a complete stream. The comment line holds the request's timings.
func (s *streamedResponse) finish(outcome *dispatch.Outcome) {
	_, _ = s.Write([]byte(": lilacvane " + encode(newTimings(outcome)) + "\n\ndata: " + endMarker + "\n\n"))
}

// fail ends an incomplete stream with an error event and no [DONE].
func (s *streamedResponse) fail(problem *fault.Error) {
	_, _ = s.Write([]byte("event: error\ndata: " + encode(fault.ToBody(problem)) + "\n\n"))
}

// completionChunk holds the fields of an event of a completion that show whether it is the last one.
type completionChunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// endMarker is the data of the event that ends a stream of completions.
const endMarker = "[DONE]"

// endsCompletion reports whether an event is the last one of a runner's stream: the end marker, a chunk
// that says why the completion ended, or the usage, which follows it.
func endsCompletion(event []byte) bool {
	for line := range bytes.Lines(event) {
		data, found := bytes.CutPrefix(line, []byte("data:"))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == endMarker {
			return true
		}
		var chunk completionChunk
		if json.Unmarshal(data, &chunk) != nil {
			continue
		}
		for _, choice := range chunk.Choices {
			if choice.FinishReason != nil {
				return true
			}
		}
		if len(chunk.Choices) == 0 && len(chunk.Usage) > 0 && string(chunk.Usage) != "null" {
			return true
		}
	}
	return false
}
