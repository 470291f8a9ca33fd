package upstream

// Names are the headers that travel with requests and answers between nodes and
// runners.
type Names struct {
	// RequestID identifies a request; the runner gives it back.
	RequestID string
	// Deadline is the time the client still waits, in milliseconds.
	Deadline string
	// ExpectRunner names the runner a request is meant for.
	ExpectRunner string
	// Signature is the runner's mark on an answer.
	Signature string
	// NotRun is the runner's statement that it did not run the request.
	NotRun string
	// Leaving is the runner's statement that it leaves.
	Leaving string
	// Limit is how many requests a second the runner takes from all nodes together.
	Limit string
	// Load is the load a runner tells: running, waiting, slots.
	Load string
	// Urgency is 0 (first) to 9.
	Urgency string
	// Model, Tokens, Prompt and LengthHint describe a model request.
	Model      string
	Tokens     string
	Prompt     string
	LengthHint string
	// ResumeAfter is the last event that arrived of a stream.
	ResumeAfter string
	// Tenant names to a runner the tenant that a request belongs to.
	Tenant string
	// Key carries the caller's key after KeyScheme and a space.
	Key       string
	KeyScheme string
	// Reserved are the system's to set: what a client sends under them is dropped.
	Reserved []string
}
