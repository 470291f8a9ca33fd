package runnerstub

import (
	"io"
	"net/http"

	"lilacvane/internal/lab/journal"
)

// answerWriter writes the body of an answer.
type answerWriter struct {
	io.Writer
	flush func()
	// end ends the body. The server does so by itself unless the answer has neither length nor chunks.
	end func()
}

// beginAnswer sends the head of an answer, with the header fields of w. With the Unframed fault it has
// neither length nor chunks, and ends with its connection.
func (j *job) beginAnswer(w http.ResponseWriter) (*answerWriter, error) {
	control := http.NewResponseController(w)
	if !j.faults.Unframed {
		return &answerWriter{Writer: w, flush: func() { _ = control.Flush() }, end: func() {}}, nil
	}
	header := w.Header().Clone()
	header.Set("Connection", "close")
	conn, buffer, err := control.Hijack()
	if err != nil {
		return nil, err
	}
	answer := &answerWriter{Writer: buffer, flush: func() { _ = buffer.Flush() }}
	answer.end = func() {
		_ = buffer.Flush()
		_ = conn.Close()
	}
	if _, err := buffer.WriteString("HTTP/1.1 200 OK\r\n"); err != nil {
		return nil, err
	}
	if err := header.Write(buffer); err != nil {
		return nil, err
	}
	_, err = buffer.WriteString("\r\n")
	return answer, err
}

// early says whether and how an answer ends before its last byte.
type early uint8

const (
	earlyNot early = iota
	// earlyCut means that the runner ends the answer as if it were complete, earlyCrash that its process
	// ends.
	earlyCut
	earlyCrash
)

// drawEarly draws how an answer ends, by the shares of the faults.
func (r *Runner) drawEarly(j *job) early {
	switch {
	case r.chance(j.faults.CrashShare):
		return earlyCrash
	case r.chance(j.faults.CutShare):
		return earlyCut
	default:
		return earlyNot
	}
}

// endEarly ends an answer of which a part was written.
func (r *Runner) endEarly(j *job, answer *answerWriter, how early) {
	answer.flush()
	if how == earlyCrash {
		r.record(journal.Record{Event: journal.EventCrash, Unit: j.model, Request: j.id})
		r.settings.Crash()
	}
	answer.end()
}
