package upstream

// HeaderNames holds the names of the headers of requests and answers between nodes and runners.
type HeaderNames struct {
	// RequestID identifies a request; the runner returns it.
	RequestID string
	// Deadline is how long the client will still wait, in milliseconds.
	Deadline string
	// ExpectRunner names the runner that a request is meant for.
	ExpectRunner string
	// Signature is the runner's signature on an answer.
	Signature string
	// NotRun is the runner's statement that it did not run the request.
	NotRun string
	// Leaving is the runner's statement that it leaves.
	Leaving string
	// Limit is how many requests per second the runner takes from all nodes together.
	Limit string
	// Brittle is the runner's statement that it ends if it has to reject more requests in a second.
	Brittle string
	// Load is the load that a runner reports: running, waiting, slots.
	Load string
	// Urgency is the request's priority at the runner, from 0 (first) to 9.
	Urgency string
	// Model, Tokens, Prompt and LengthHint describe a request to a model. Model names it, Tokens holds
	// the token counts of prompt and answer, Prompt the parts of the prompt.
	Model      string
	Tokens     string
	Prompt     string
	LengthHint string
	// ResumeAfter is the last event of a stream that arrived.
	ResumeAfter string
	// Resumes is the client's identifier of the request that brought the first event of the stream
	// that it resumes.
	Resumes string
	// Tenant names the tenant that a request belongs to, for the runner.
	Tenant string
	// Key holds the caller's key after KeyScheme and a space.
	Key       string
	KeyScheme string
	// Reserved are set by the system only: what a client sends under them is dropped.
	Reserved []string
}
