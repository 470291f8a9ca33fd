package runnerstub

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lilacvane/platform/protocol"
)

// respond writes a response that is not streamed, once its work is done.
func (r *Runner) respond(ctx context.Context, w http.ResponseWriter, j *job, finished *bool) {
	r.mutex.Lock()
	work := r.slowed(time.Duration(j.eventCount) * r.settings.TokenTime)
	r.mutex.Unlock()
	if !r.sleep(ctx, work) {
		return
	}
	*finished = true
	if r.chance(j.faults.AnswerLostShare) {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for index := range j.eventCount {
		fmt.Fprintf(&text, "%s-%d ", j.textPrefix, index)
	}
	encoded, _ := json.Marshal(text.String())
	content := fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"text":%s,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}]}`, j.id, encoded, encoded)
	r.writeResponse(w, j, content)
}

// writeResponse writes a response that is not streamed, with the faults of its framing. Without a
// length, only completions have a content type by which a caller can tell a part from the whole.
func (r *Runner) writeResponse(w http.ResponseWriter, j *job, content string) {
	if j.isCompletion || !j.faults.Unframed {
		w.Header().Set("Content-Type", "application/json")
	}
	ends := r.drawEarly(j)
	if j.faults.Extra {
		r.writeTwice(w, j, content)
		return
	}
	if j.crashes {
		ends = earlyCrash
	}
	if ends != earlyNot && !j.faults.Unframed {
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	}
	answer, err := j.beginAnswer(w)
	if err != nil {
		return
	}
	if ends != earlyNot {
		_, _ = answer.Write([]byte(content[:len(content)/2]))
		r.endEarly(j, answer, ends)
		return
	}
	_, _ = answer.Write([]byte(content))
	answer.end()
}

// writeTwice writes a response and, once its connection is idle, a second time.
func (r *Runner) writeTwice(w http.ResponseWriter, j *job, content string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", protocol.HeaderRequestID, j.id, protocol.HeaderSignature, signaturePrefix+r.settings.ID)
	if value := w.Header().Get(protocol.HeaderLeaving); value != "" {
		head += protocol.HeaderLeaving + ": " + value + "\r\n"
	}
	response := head + "Content-Length: " + strconv.Itoa(len(content)) + "\r\n\r\n" + content
	_, _ = buffer.WriteString(response)
	_ = buffer.Flush()
	// The second response arrives when the connection is already idle.
	time.Sleep(secondResponseDelay)
	_, _ = buffer.WriteString(response)
	_ = buffer.Flush()
	time.Sleep(closeDelay)
	_ = conn.Close()
}

// The pauses of the Extra fault: before the second response and before the close.
const (
	secondResponseDelay = 5 * time.Millisecond
	closeDelay          = 300 * time.Millisecond
)
