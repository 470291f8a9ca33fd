package enginestub

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/journal"
)

const (
	keepStream      = 30 * time.Second
	defaultTokens   = 12
	maximumTokens   = 100000
	batchSlowdown   = 0.1
	maximumPrompt   = 64
	tombstoneReason = "canceled before it arrived"
)

// stream is one request's answer. Chunks are kept for a while after the end, so
// that a broken connection can be resumed.
type stream struct {
	id       string
	mutex    sync.Mutex
	chunks   []engine.Chunk
	done     bool
	canceled bool
	changed  chan struct{}
	// tombstone marks a request that was cancelled before it arrived.
	tombstone bool
}

func newStream(id string) *stream { return &stream{id: id, changed: make(chan struct{})} }

func (s *stream) append(chunk engine.Chunk) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.canceled {
		return false
	}
	s.chunks = append(s.chunks, chunk)
	s.done = chunk.Finish != ""
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *stream) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.canceled = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// from returns the chunks from a sequence number on, whether more follow, and a
// channel that is closed when they do.
func (s *stream) from(sequence int) ([]engine.Chunk, bool, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	more := !s.done && !s.canceled
	if sequence >= len(s.chunks) {
		return nil, more, s.changed
	}
	return append([]engine.Chunk(nil), s.chunks[sequence:]...), more, s.changed
}

// run starts a request. The refusals state that it did not run.
func (e *Engine) run(id, unitName, version, prompt string, tokens int) (*stream, int, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if earlier, known := e.streams[id]; known {
		refusal := e.refuse(fault.CodeCanceled, "request %s was seen before", id)
		if !earlier.tombstone {
			refusal.Ran = fault.Unknown
		}
		return nil, e.active, refusal
	}
	if err := e.canRun(unitName, version); err != nil {
		return nil, e.active, err
	}
	u := e.units[unitName]
	u.Active++
	e.active++
	if base, ok := e.units[u.Base]; ok {
		base.lastUsed = time.Now()
	}
	s := newStream(id)
	e.streams[id] = s
	cachedWords := e.cache.use(unitName, prompt)
	e.record(journal.Record{Event: journal.EventRun, Unit: unitName, Version: u.Version, Request: id, Prompt: firstWord(prompt)})
	go e.generate(s, u, prompt, cachedWords, tokens)
	return s, e.active, nil
}

func (e *Engine) canRun(unitName, version string) error {
	if e.role == engine.RoleDraining {
		return e.refuse(fault.CodeDraining, "the runner is draining")
	}
	u, present := e.units[unitName]
	if !present || u.State != engine.UnitReady || u.Version != version {
		return e.refuse(fault.CodeNotLoaded, "%s version %s is not ready", unitName, version)
	}
	if e.active >= e.settings.Slots {
		return e.refuse(fault.CodeOverloaded, "%d requests are running", e.active)
	}
	return nil
}

func firstWord(prompt string) string {
	word, _, _ := strings.Cut(prompt, " ")
	return word[:min(len(word), maximumPrompt)]
}

// generate produces the tokens: the prompt's first word with a number each, so
// that a reader can tell whose answer it is and whether it is whole.
func (e *Engine) generate(s *stream, u *unit, prompt string, cachedWords, tokens int) {
	words := len(strings.Fields(prompt)) - cachedWords
	time.Sleep(time.Duration(max(0, words)) * e.settings.PromptTime)
	word := firstWord(prompt)
	finished := true
	for index := range tokens {
		time.Sleep(e.tokenTime())
		chunk := engine.Chunk{Request: s.id, Sequence: index, Text: fmt.Sprintf("%s-%d ", word, index)}
		if finished = s.append(chunk); !finished {
			break
		}
	}
	if finished {
		finished = s.append(engine.Chunk{Request: s.id, Sequence: tokens, Finish: "stop", Total: tokens})
	}
	e.finish(s, u, finished)
}

func (e *Engine) tokenTime() time.Duration {
	if e.settings.FlatTokenTime {
		return e.settings.TokenTime
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return time.Duration(float64(e.settings.TokenTime) * (1 + batchSlowdown*float64(max(0, e.active-1))))
}

func (e *Engine) finish(s *stream, u *unit, finished bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.active--
	u.Active--
	u.lastUsed = time.Now()
	if base, ok := e.units[u.Base]; ok {
		base.lastUsed = u.lastUsed
	}
	event := journal.EventFinished
	if !finished {
		event = journal.EventCanceled
	}
	e.record(journal.Record{Event: event, Unit: u.Name, Request: s.id})
	if u.State == engine.UnitUnloading && u.Active == 0 && e.units[u.Name] == u {
		e.remove(u)
	}
	e.forgetLater(s.id)
}

func (e *Engine) forgetLater(id string) {
	time.AfterFunc(keepStream, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.streams, id)
	})
}

// resume returns a request's stream.
func (e *Engine) resume(id string) (*stream, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, known := e.streams[id]
	if !known || s.canceled {
		return nil, e.refuse(fault.CodeNotFound, "no stream %s", id)
	}
	return s, nil
}

// cancel stops a request. If it never arrived, its name is kept for a while so
// that it is refused if it arrives late, and the answer states that it did not
// and will not run.
func (e *Engine) cancel(id string) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, known := e.streams[id]
	if !known {
		tombstone := newStream(id)
		tombstone.canceled = true
		tombstone.tombstone = true
		e.streams[id] = tombstone
		e.forgetLater(id)
		return e.refuse(fault.CodeCanceled, tombstoneReason)
	}
	if !s.canceled {
		s.stop()
	}
	return nil
}
