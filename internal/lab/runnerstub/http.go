package runnerstub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/journal"
	"lilacvane/platform/protocol"
)

// The lab's own calls.
const (
	PathFaults = "/lab/faults"
	PathDrain  = "/lab/drain"
)

const (
	defaultEvents = 12
	completions   = "/v1/"
	// signature is the runner's mark on its answers.
	signature = "stamp-"
	queueRoom = 8
)

// Handler answers the runner's calls and the lab's.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathReport, r.handleReport)
	mux.HandleFunc("POST "+protocol.PathOrder, r.handleOrder)
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, request *http.Request) {
		var faults Faults
		if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetFaults(faults)
	})
	mux.HandleFunc("POST "+PathCold, r.handleCold)
	mux.HandleFunc("POST "+PathDrain, func(http.ResponseWriter, *http.Request) { r.Drain() })
	mux.HandleFunc("/", r.handleRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.state(w.Header())
		mux.ServeHTTP(w, request)
	})
}

// expected answers 421 to a call that is meant for another incarnation.
func (r *Runner) expected(w http.ResponseWriter, request *http.Request) bool {
	wanted := request.Header.Get(protocol.HeaderExpectRunner)
	if wanted == "" || wanted == r.settings.ID {
		return true
	}
	w.Header().Set(protocol.HeaderRunner, r.settings.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

func (r *Runner) handleReport(w http.ResponseWriter, request *http.Request) {
	if !r.expected(w, request) {
		return
	}
	r.mutex.Lock()
	report := r.report()
	r.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (r *Runner) handleOrder(w http.ResponseWriter, request *http.Request) {
	if !r.expected(w, request) {
		return
	}
	var order protocol.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	lost := r.random.Float64() < r.faults.OrderLostShare
	late := time.Duration(r.faults.LateMs) * time.Millisecond
	if lost {
		r.mutex.Unlock()
		time.AfterFunc(late, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.order(order)
		})
		<-request.Context().Done()
		return
	}
	status := r.order(order)
	r.mutex.Unlock()
	w.WriteHeader(status)
}

// run is one request at the runner.
type run struct {
	runner  *Runner
	id      string
	tenant  string
	model   string
	adapter string
	word    string
	events  int
	from    int
	faults  Faults
	chat    bool
}

func (r *Runner) handleRequest(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(protocol.HeaderRequestID, request.Header.Get(protocol.HeaderRequestID))
	if !r.expected(w, request) {
		return
	}
	r.mutex.Lock()
	faults := r.faults
	early := faults.Early && request.ContentLength > 0
	r.mutex.Unlock()
	header := w.Header()
	header.Set(protocol.HeaderSignature, signature+r.settings.ID)
	if early {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	this := r.describe(request, body)
	this.faults = faults
	crashes := r.crashesBy(request, body)
	if crashes {
		r.record(journal.Record{Event: journal.EventPoison, Unit: this.model, Request: this.id})
	}
	status := r.begin(this)
	r.noteArrival(this, status)
	if status != 0 {
		header.Set(protocol.HeaderNotRun, "1")
		r.wantRest(header, status)
		w.WriteHeader(status)
		return
	}
	if crashes {
		// What runs beside it goes on until then, as in a batch.
		time.Sleep(crashAfter)
		r.record(journal.Record{Event: journal.EventCrash, Unit: this.model, Request: this.id})
		r.settings.Crash()
		return
	}
	finished := false
	defer func() { r.end(this, finished) }()
	r.serve(w, request, this, body, &finished)
}

// crashAfter is how long a request that ends the runner runs before it does.
const crashAfter = 60 * time.Millisecond

// crashesBy reports whether a request ends the runner as it begins to run.
func (r *Runner) crashesBy(request *http.Request, body []byte) bool {
	text := r.settings.CrashBy
	return text != "" && (strings.Contains(request.URL.Path, text) || strings.Contains(string(body), text))
}

func (r *Runner) describe(request *http.Request, body []byte) *run {
	this := &run{runner: r, id: request.Header.Get(protocol.HeaderRequestID), tenant: request.Header.Get(protocol.HeaderTenant), events: defaultEvents}
	this.chat = strings.HasPrefix(request.URL.Path, completions)
	this.model, this.adapter, _ = strings.Cut(request.Header.Get(protocol.HeaderModel), "/")
	if last := request.Header.Get(protocol.HeaderResumeAfter); last != "" {
		if number, err := strconv.Atoi(last); err == nil {
			this.from = number + 1
		}
	}
	var completion api.Completion
	if this.chat && json.Unmarshal(body, &completion) == nil {
		text := completion.Prompt
		for _, message := range completion.Messages {
			text = message.Content
		}
		this.word, _, _ = strings.Cut(text, " ")
		if completion.MaxTokens > 0 {
			this.events = completion.MaxTokens
		}
		return this
	}
	this.word = this.id
	if _, out, ok := strings.Cut(request.Header.Get(protocol.HeaderTokens), ","); ok {
		if number, err := strconv.Atoi(out); err == nil && number > 0 {
			this.events = number
		}
	}
	return this
}

// begin admits a request. A status other than zero refuses it as not run.
func (r *Runner) begin(this *run) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	status := r.admit(this)
	if status != http.StatusMisdirectedRequest {
		r.arrive(time.Now())
	}
	return status
}

// admit is begin. mutex is held.
func (r *Runner) admit(this *run) int {
	if r.active >= r.settings.Slots+queueRoom || r.random.Float64() < this.faults.ShedShare || r.fallen {
		return http.StatusServiceUnavailable
	}
	if this.model != "" {
		m := r.models[this.model]
		if m == nil || m.leaving {
			return http.StatusMisdirectedRequest
		}
		if !m.ready {
			return http.StatusServiceUnavailable
		}
		if this.adapter != "" && !m.adapters[this.adapter] {
			return http.StatusMisdirectedRequest
		}
		m.active++
	}
	r.active++
	r.record(journal.Record{Event: journal.EventRun, Unit: this.model, Request: this.id, Prompt: this.word, Tenant: this.tenant, Detail: strconv.Itoa(this.from)})
	return 0
}

func (r *Runner) end(this *run, finished bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active--
	event := journal.EventCanceled
	if finished {
		event = journal.EventFinished
	}
	r.record(journal.Record{Event: event, Unit: this.model, Request: this.id})
	if m := r.models[this.model]; m != nil {
		m.active--
		r.tryRemove(this.model)
	}
}

func (r *Runner) draw(share float64) bool {
	if share <= 0 {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Float64() < share
}

func (r *Runner) serve(w http.ResponseWriter, request *http.Request, this *run, body []byte, finished *bool) {
	ctx := request.Context()
	r.mutex.Lock()
	w.Header().Set(protocol.HeaderLoad, fmt.Sprintf("%d,0,%d", r.active, r.settings.Slots))
	r.mutex.Unlock()
	switch {
	case r.draw(this.faults.MuteShare):
		<-ctx.Done()
		return
	case r.draw(this.faults.ErrorShare):
		*finished = true
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("runner failed"))
		return
	}
	if !r.rest(ctx, r.promptTime(request)) {
		return
	}
	if r.streams(request, body) {
		r.stream(ctx, w, this, finished)
		return
	}
	r.whole(ctx, w, this, finished)
}

// promptTime is the time to read what is not kept of a prompt.
func (r *Runner) promptTime(request *http.Request) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tokens := 0
	chain := request.Header.Get(protocol.HeaderModel)
	for part := range strings.SplitSeq(request.Header.Get(protocol.HeaderPrompt), ",") {
		id, size, _ := strings.Cut(part, ":")
		count, _ := strconv.Atoi(size)
		chain += "." + id
		if !r.kept[chain] {
			tokens += count
			r.kept[chain] = true
		}
	}
	return r.slowed(time.Duration(tokens) * r.settings.PromptTime)
}

func (r *Runner) rest(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *Runner) streams(request *http.Request, body []byte) bool {
	if !strings.HasPrefix(request.URL.Path, completions) {
		return request.Header.Get(protocol.HeaderModel) != ""
	}
	var completion api.Completion
	return json.Unmarshal(body, &completion) == nil && completion.Stream
}

func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, this *run, finished *bool) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	breakAt := -1
	if r.draw(this.faults.BreakShare) {
		breakAt = this.from + (this.events-this.from)/2
	}
	for index := this.from; index < this.events; index++ {
		r.mutex.Lock()
		pause := r.slowed(r.settings.TokenTime)
		r.mutex.Unlock()
		if index == this.from+(this.events-this.from)/2 {
			pause += time.Duration(this.faults.RestMs) * time.Millisecond
		}
		if !r.rest(ctx, pause) {
			return
		}
		event := this.event(index)
		if index == breakAt {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(event)); err != nil {
			return
		}
		_ = control.Flush()
	}
	*finished = true
}

// event is one event of a stream, with its number as identifier.
func (q *run) event(index int) string {
	text := fmt.Sprintf("%s-%d ", q.word, index)
	if !q.chat {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", index, text)
	}
	finish := "null"
	if index == q.events-1 {
		finish = `"stop"`
	}
	encoded, _ := json.Marshal(text)
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%s,\"delta\":{\"content\":%s},\"finish_reason\":%s}]}\n\n",
		index, q.id, encoded, encoded, finish)
}

func (r *Runner) whole(ctx context.Context, w http.ResponseWriter, this *run, finished *bool) {
	r.mutex.Lock()
	work := r.slowed(time.Duration(this.events) * r.settings.TokenTime)
	r.mutex.Unlock()
	if !r.rest(ctx, work) {
		return
	}
	*finished = true
	if r.draw(this.faults.AnswerLostShare) {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for index := range this.events {
		fmt.Fprintf(&text, "%s-%d ", this.word, index)
	}
	encoded, _ := json.Marshal(text.String())
	content := fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"text":%s,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}]}`, this.id, encoded, encoded)
	r.send(w, this, content)
}

// send writes a whole answer, with the faults that concern its framing.
func (r *Runner) send(w http.ResponseWriter, this *run, content string) {
	if !this.faults.Unframed && !this.faults.Extra {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(content))
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", protocol.HeaderRequestID, this.id, protocol.HeaderSignature, signature+r.settings.ID)
	if value := w.Header().Get(protocol.HeaderLeaving); value != "" {
		head += protocol.HeaderLeaving + ": " + value + "\r\n"
	}
	if this.faults.Unframed {
		_, _ = buffer.WriteString(head + "Connection: close\r\n\r\n" + content)
		_ = buffer.Flush()
		_ = conn.Close()
		return
	}
	answer := head + "Content-Length: " + strconv.Itoa(len(content)) + "\r\n\r\n" + content
	_, _ = buffer.WriteString(answer)
	_ = buffer.Flush()
	// The second answer comes when the connection already rests.
	time.Sleep(extraDelay)
	_, _ = buffer.WriteString(answer)
	_ = buffer.Flush()
	time.Sleep(extraLinger)
	_ = conn.Close()
}

const (
	extraDelay  = 5 * time.Millisecond
	extraLinger = 300 * time.Millisecond
)
