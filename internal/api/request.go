package api

import "time"

// Class is the urgency class of a request. Lower values are served first.
type Class uint8

// The classes, most urgent first.
const (
	ClassUrgent Class = iota
	ClassInteractive
	ClassOrdinary
	ClassPatient
	classCount
)

// ClassCount is the number of classes.
const ClassCount = int(classCount)

var classNames = [ClassCount]string{"urgent", "interactive", "ordinary", "patient"}

// String returns the name that callers use for the class.
func (c Class) String() string {
	if int(c) >= ClassCount {
		return "invalid"
	}
	return classNames[c]
}

// ParseClass parses the name of a class; the empty string means ClassOrdinary.
func ParseClass(text string) (Class, bool) {
	if text == "" {
		return ClassOrdinary, true
	}
	for index, name := range classNames {
		if name == text {
			return Class(index), true
		}
	}
	return ClassOrdinary, false
}

// The headers of the callers' API. HeaderIdempotencyKey and HeaderRetryAfter are
// standard headers.
const (
	HeaderClass          = "Lilacvane-Class"
	HeaderDeadline       = "Lilacvane-Deadline"
	HeaderRequest        = "Lilacvane-Request"
	HeaderTimings        = "Lilacvane-Timings"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
)

// Limits of the callers' API.
const (
	DefaultDeadline       = 60 * time.Second
	MaximumDeadline       = 4 * time.Hour
	MaximumBodyBytes      = 8 << 20
	MaximumIdempotencyKey = 256
)

// Completion holds those fields of the body of a chat or completion call that
// lilacvane reads. The body is passed to the runner unchanged.
type Completion struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []Message `json:"messages"`
	Prompt   string    `json:"prompt"`
	// MaxTokens bounds the length of the answer, in tokens.
	MaxTokens int `json:"max_tokens"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
