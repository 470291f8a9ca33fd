package runnerstub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/journal"
	"lilacvane/platform/protocol"
)

// The paths of calls that only the lab makes.
const (
	PathFaults = "/lab/faults"
	PathDrain  = "/lab/drain"
)

const (
	defaultEvents     = 12
	completionsPrefix = "/v1/"
	// signaturePrefix begins the value of the header by which a caller recognizes the runner's
	// own responses.
	signaturePrefix = "stamp-"
	// queueSize is the number of requests admitted beyond the runner's slots.
	queueSize = 8
)

// Handler serves the runner's interface and the lab's calls.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.PathReport, r.handleReport)
	mux.HandleFunc("POST "+protocol.PathOrder, r.handleOrder)
	mux.HandleFunc("GET "+PathHealth, r.handleHealth)
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
		r.setStatementHeaders(w.Header())
		mux.ServeHTTP(w, request)
	})
}

// checkIncarnation reports whether a call is meant for this incarnation of the runner. If
// not, it responds with 421 (Misdirected Request).
func (r *Runner) checkIncarnation(w http.ResponseWriter, request *http.Request) bool {
	wanted := request.Header.Get(protocol.HeaderExpectRunner)
	if wanted == "" || wanted == r.settings.ID {
		return true
	}
	w.Header().Set(protocol.HeaderRunner, r.settings.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

func (r *Runner) handleReport(w http.ResponseWriter, request *http.Request) {
	if !r.checkIncarnation(w, request) {
		return
	}
	r.mutex.Lock()
	report := r.delayedReport()
	r.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (r *Runner) handleOrder(w http.ResponseWriter, request *http.Request) {
	if !r.checkIncarnation(w, request) {
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
			r.applyOrder(order)
		})
		<-request.Context().Done()
		return
	}
	status := r.applyOrder(order)
	r.mutex.Unlock()
	w.WriteHeader(status)
}

// job is one request at the runner.
type job struct {
	runner  *Runner
	id      string
	tenant  string
	model   string
	adapter string
	// textPrefix begins the text of each event: the first word of the prompt, or the request's
	// identifier if it carries no prompt that the runner reads.
	textPrefix string
	eventCount int
	// firstEvent is the index of the first event to send; above zero in a resumed stream.
	firstEvent int
	faults     Faults
	// crashes is set if the runner crashes as it begins to write an answer.
	crashes bool
	// brokeOff is set if the runner itself ended the answer before its end.
	brokeOff bool
	// isCompletion is set for the paths of the completion API.
	isCompletion bool
}

func (r *Runner) handleRequest(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(protocol.HeaderRequestID, request.Header.Get(protocol.HeaderRequestID))
	if !r.checkIncarnation(w, request) {
		return
	}
	r.mutex.Lock()
	faults := r.faults
	early := faults.Early && request.ContentLength > 0
	r.mutex.Unlock()
	header := w.Header()
	header.Set(protocol.HeaderSignature, signaturePrefix+r.settings.ID)
	if early {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if faults.ResetUpload && request.ContentLength > 0 {
		j := r.parseJob(request, nil)
		j.faults = faults
		writePartAndReset(w, j)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	j := r.parseJob(request, body)
	j.faults = faults
	crashes := r.crashesBy(request, body)
	j.crashes = r.crashesByPart(request)
	if crashes || j.crashes {
		r.record(journal.Record{Event: journal.EventPoison, Unit: j.model, Request: j.id})
	}
	status := r.start(j)
	r.recordArrival(j, status)
	if status != 0 {
		header.Set(protocol.HeaderNotRun, "1")
		r.setRetryAfter(header, status)
		w.WriteHeader(status)
		return
	}
	if crashes {
		// Other requests continue until the crash, as those of one batch do.
		time.Sleep(crashDelay)
		r.record(journal.Record{Event: journal.EventCrash, Unit: j.model, Request: j.id})
		r.settings.Crash()
		return
	}
	finished := false
	defer func() { r.finish(j, finished) }()
	r.serve(w, request, j, body, &finished)
}

// crashDelay is the time between the start of a request that crashes the runner and the crash.
const crashDelay = 60 * time.Millisecond

// crashesBy reports whether a request crashes the runner when it is run.
func (r *Runner) crashesBy(request *http.Request, body []byte) bool {
	text := r.settings.CrashBy
	return text != "" && (strings.Contains(request.URL.Path, text) || strings.Contains(string(body), text))
}

// crashesByPart reports whether a request holds a part that crashes the runner.
func (r *Runner) crashesByPart(request *http.Request) bool {
	if r.settings.CrashByParts == "" {
		return false
	}
	parts := strings.Split(request.Header.Get(protocol.HeaderPrompt), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		id, _, _ := strings.Cut(part, ":")
		return slices.Contains(strings.Split(r.settings.CrashByParts, ","), id)
	})
}

func (r *Runner) parseJob(request *http.Request, body []byte) *job {
	j := &job{runner: r, id: request.Header.Get(protocol.HeaderRequestID), tenant: request.Header.Get(protocol.HeaderTenant), eventCount: defaultEvents}
	j.isCompletion = strings.HasPrefix(request.URL.Path, completionsPrefix)
	j.model, j.adapter, _ = strings.Cut(request.Header.Get(protocol.HeaderModel), "/")
	if last := request.Header.Get(protocol.HeaderResumeAfter); last != "" {
		if number, err := strconv.Atoi(last); err == nil {
			j.firstEvent = number + 1
		}
	}
	var completion api.Completion
	if j.isCompletion && json.Unmarshal(body, &completion) == nil {
		text := completion.Prompt
		for _, message := range completion.Messages {
			text = message.Content
		}
		j.textPrefix, _, _ = strings.Cut(text, " ")
		if completion.MaxTokens > 0 {
			j.eventCount = completion.MaxTokens
		}
		return j
	}
	j.textPrefix = j.id
	if _, out, ok := strings.Cut(request.Header.Get(protocol.HeaderTokens), ","); ok {
		if number, err := strconv.Atoi(out); err == nil && number > 0 {
			j.eventCount = number
		}
	}
	return j
}

// start admits a request. A status other than zero refuses it as not run.
func (r *Runner) start(j *job) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	status := r.admit(j)
	if status != http.StatusMisdirectedRequest {
		r.countColdArrival(time.Now())
	}
	return status
}

// admit is start without the count of arrivals at a cold runner. The caller holds r.mutex.
func (r *Runner) admit(j *job) int {
	if !r.hasRoom() || r.random.Float64() < j.faults.ShedShare || r.collapsed {
		return http.StatusServiceUnavailable
	}
	if j.model != "" {
		m := r.models[j.model]
		if m == nil || m.unloading {
			return http.StatusMisdirectedRequest
		}
		if !m.ready {
			return http.StatusServiceUnavailable
		}
		if j.adapter != "" && !m.adapters[j.adapter] {
			return http.StatusMisdirectedRequest
		}
		m.active++
	}
	r.active++
	r.record(journal.Record{Event: journal.EventRun, Unit: j.model, Request: j.id, Prompt: j.textPrefix, Tenant: j.tenant, Detail: strconv.Itoa(j.firstEvent)})
	return 0
}

func (r *Runner) finish(j *job, finished bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active--
	event := journal.EventCanceled
	if finished {
		event = journal.EventFinished
	}
	detail := ""
	if j.brokeOff {
		detail = journal.DetailBrokeOff
	}
	r.record(journal.Record{Event: event, Unit: j.model, Request: j.id, Detail: detail})
	if m := r.models[j.model]; m != nil {
		m.active--
		r.removeIfIdle(j.model)
	}
}

// chance returns true with the probability share.
func (r *Runner) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Float64() < share
}

// serve responds to an admitted request and sets finished if it ran to its end.
func (r *Runner) serve(w http.ResponseWriter, request *http.Request, j *job, body []byte, finished *bool) {
	ctx := request.Context()
	r.mutex.Lock()
	w.Header().Set(protocol.HeaderLoad, fmt.Sprintf("%d,0,%d", r.active, r.settings.Slots))
	r.mutex.Unlock()
	switch {
	case r.chance(j.faults.MuteShare):
		<-ctx.Done()
		return
	case r.chance(j.faults.ErrorShare):
		*finished = true
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("runner failed"))
		return
	}
	if !r.sleep(ctx, r.promptTime(request)) {
		return
	}
	if j.faults.Endless != "" {
		writeEndless(w, j)
		return
	}
	if j.faults.Raw != "" {
		writeRaw(w, j)
		return
	}
	if j.faults.StopIn != "" {
		writeStopped(w, j)
		return
	}
	if r.wantsStream(request, body) {
		r.stream(ctx, w, j, finished)
		return
	}
	r.respond(ctx, w, j, finished)
}

// promptTime returns the time to process the part of a prompt that is not cached, and
// caches it.
func (r *Runner) promptTime(request *http.Request) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tokens := 0
	prefix := request.Header.Get(protocol.HeaderModel)
	for part := range strings.SplitSeq(request.Header.Get(protocol.HeaderPrompt), ",") {
		id, size, _ := strings.Cut(part, ":")
		count, _ := strconv.Atoi(size)
		prefix += "." + id
		if !r.cachedPrefixes[prefix] {
			tokens += count
			r.cachedPrefixes[prefix] = true
		}
	}
	return r.slowed(time.Duration(tokens) * r.settings.PromptTime)
}

// sleep waits for a duration. It returns false if ctx ended before.
func (r *Runner) sleep(ctx context.Context, d time.Duration) bool {
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

func (r *Runner) wantsStream(request *http.Request, body []byte) bool {
	if !strings.HasPrefix(request.URL.Path, completionsPrefix) {
		return request.Header.Get(protocol.HeaderModel) != ""
	}
	var completion api.Completion
	return json.Unmarshal(body, &completion) == nil && completion.Stream
}

func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, j *job, finished *bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	answer, err := j.beginAnswer(w)
	if err != nil {
		return
	}
	defer answer.end()
	half := j.firstEvent + (j.eventCount-j.firstEvent)/2
	breaks, ends := r.chance(j.faults.BreakShare), r.drawEarly(j)
	for index := j.firstEvent; index < j.eventCount; index++ {
		r.mutex.Lock()
		pause := r.slowed(r.settings.TokenTime)
		r.mutex.Unlock()
		if index == half {
			pause += time.Duration(j.faults.RestMs) * time.Millisecond
		}
		if !r.sleep(ctx, pause) {
			return
		}
		event := j.event(index)
		if j.crashes {
			_, _ = answer.Write([]byte(event))
			r.endEarly(j, answer, earlyCrash)
			return
		}
		if index == half && (breaks || ends != earlyNot) {
			if breaks || j.faults.InEvent {
				_, _ = answer.Write([]byte(event[:len(event)/2]))
			}
			if breaks {
				answer.flush()
				j.brokeOff = true
				panic(http.ErrAbortHandler)
			}
			r.endEarly(j, answer, ends)
			return
		}
		if _, err := answer.Write([]byte(event)); err != nil {
			return
		}
		answer.flush()
	}
	*finished = true
}

// event returns an event of a stream, with its index as identifier.
func (j *job) event(index int) string {
	text := fmt.Sprintf("%s-%d ", j.textPrefix, index)
	if build := j.runner.settings.Build; build != "" {
		text = fmt.Sprintf("%s-%d@%s ", j.textPrefix, index, build)
	}
	if !j.isCompletion {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", index, text)
	}
	finish := "null"
	if index == j.eventCount-1 {
		finish = `"stop"`
	}
	encoded, _ := json.Marshal(text)
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%s,\"delta\":{\"content\":%s},\"finish_reason\":%s}]}\n\n",
		index, j.id, encoded, encoded, finish)
}
