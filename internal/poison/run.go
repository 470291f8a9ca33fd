package poison

import "time"

// Run is a content, or a part of prompts, that a runner was running when it ended.
type Run struct {
	Request Identity
	// Sent is when the last request with it was sent to the runner, Ended when its answer broke off; both
	// are zero if that is not known.
	Sent  time.Time
	Ended time.Time
	// Trial is set if the request was held and tried alone, see Held: the end of its runner counts though
	// attempts that began before may have overlapped it.
	Trial bool
	// Counted is set if a node counts the end that refuses the request: its times may be the better ones.
	Counted bool
}

const (
	// transferError is how much later a run may seem to have been at a node that was told of it.
	transferError = 25 * time.Millisecond
	// atOnce is the time between two ends below which one cause may have brought both about, even if one
	// request was sent right after the other runner ended.
	atOnce = 2 * transferError
)

// besides reports whether the end of a run counts only beside that of another one: both went on at the same
// time, so that one cause may have ended them. If another node counts both, they must have done so for certain.
func (r Run) besides(other Run) bool {
	least, overlap := atOnce, transferError
	if r.Counted && other.Counted {
		least, overlap = least-transferError, overlap+transferError
	}
	switch {
	case !r.known() || !other.known():
		return false
	case r.Ended.Sub(other.Ended).Abs() < least:
		return true
	case r.Trial || other.Trial:
		return false
	}
	return r.Sent.Add(overlap).Before(other.Ended) && other.Sent.Add(overlap).Before(r.Ended)
}

// earlier returns the run with the earlier times of two reports of the same end: the more a report was
// delayed, the later the run seems to have been.
func (r Run) earlier(other Run) Run {
	counted := r.Counted || other.Counted
	if !r.known() || (other.known() && other.Ended.Before(r.Ended)) {
		r = other
	}
	r.Counted = counted
	return r
}

// known reports whether it is known when the run was.
func (r Run) known() bool { return !r.Ended.IsZero() }
