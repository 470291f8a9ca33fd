package api

import "time"

// Class orders waiting requests. A lower value is served first.
type Class uint8

// The classes, most pressing first.
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

// String returns the class as callers write it.
func (c Class) String() string {
	if int(c) >= ClassCount {
		return "invalid"
	}
	return classNames[c]
}

// ParseClass reads a class name; the empty string is ordinary.
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

// The headers of the callers' interface. IdempotencyKey and RetryAfter are the
// standard ones.
const (
	HeaderClass          = "Lilacvane-Class"
	HeaderDeadline       = "Lilacvane-Deadline"
	HeaderRequest        = "Lilacvane-Request"
	HeaderTimings        = "Lilacvane-Timings"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
)

// Limits of the callers' interface.
const (
	DefaultDeadline       = 60 * time.Second
	MaximumDeadline       = 4 * time.Hour
	MaximumBodyBytes      = 8 << 20
	MaximumIdempotencyKey = 256
)

// Completion is the body of a chat or completion call: the fields that lilacvane
// reads. The rest is passed to the runner as it came.
type Completion struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []Message `json:"messages"`
	Prompt   string    `json:"prompt"`
	// MaxTokens is the longest answer in tokens.
	MaxTokens int `json:"max_tokens"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
