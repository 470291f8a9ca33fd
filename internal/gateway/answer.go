package gateway

import (
	"net/http"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
	"lilacvane/internal/request"
)

// writeTimeout bounds how long a caller may take to read one part of an answer.
const writeTimeout = 30 * time.Second

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int          `json:"index"`
	Text    *string      `json:"text,omitempty"`
	Message *api.Message `json:"message,omitempty"`
	Delta   *delta       `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func wholeAnswer(call parsed, sink *collector, chat bool) answer {
	result := answer{ID: call.request.ID, Model: call.request.Unit, Usage: &usage{CompletionTokens: sink.tokens}}
	text := string(sink.text)
	if chat {
		result.Object = "chat.completion"
		result.Choices = []choice{{Message: &api.Message{Role: "assistant", Content: text}, Finish: &sink.finish}}
		return result
	}
	result.Object = "text_completion"
	result.Choices = []choice{{Text: &text, Finish: &sink.finish}}
	return result
}

// flusher is the part of a response writer that streams need.
type flusher interface {
	http.ResponseWriter
	http.Flusher
}

// eventSink writes an answer as server-sent events while it comes.
type eventSink struct {
	writer  flusher
	control *http.ResponseController
	call    parsed
	chat    bool
	started bool
}

// Chunk writes one part of the answer.
func (s *eventSink) Chunk(chunk engine.Chunk) error {
	if !s.started {
		s.started = true
		s.writer.Header().Set("Content-Type", "text/event-stream")
		s.writer.Header().Set("Cache-Control", "no-cache")
		s.writer.WriteHeader(http.StatusOK)
	}
	return s.event(s.part(chunk))
}

func (s *eventSink) part(chunk engine.Chunk) answer {
	part := answer{ID: s.call.request.ID, Model: s.call.request.Unit}
	item := choice{}
	if chunk.Finish != "" {
		item.Finish = &chunk.Finish
		part.Usage = &usage{CompletionTokens: chunk.Total}
	}
	if s.chat {
		part.Object = "chat.completion.chunk"
		item.Delta = &delta{Content: chunk.Text}
	} else {
		part.Object = "text_completion"
		item.Text = &chunk.Text
	}
	part.Choices = []choice{item}
	return part
}

func (s *eventSink) event(value any) error {
	return s.write("data: " + encode(value) + "\n\n")
}

func (s *eventSink) write(text string) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.writer.Write([]byte(text)); err != nil {
		return err
	}
	s.writer.Flush()
	return nil
}

// end closes a whole answer. The comment line tells where the time went.
func (s *eventSink) end(timings request.Timings) {
	_ = s.write(": lilacvane " + encode(timings) + "\n\ndata: [DONE]\n\n")
}

// fail closes an answer that is not whole: an error event and no [DONE].
func (s *eventSink) fail(failure *fault.Error) {
	_ = s.write("event: error\ndata: " + encode(fault.ToBody(failure)) + "\n\n")
}
