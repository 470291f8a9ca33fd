package overload

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the mean retry time of the most urgent requests.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Second
	// delaysToRoom is in how many delays a process has worked off what it had taken on.
	delaysToRoom = 4
)

// RetryAfter returns when a refused request of a priority, 0 the most urgent, is to be sent again. Times
// are spread so that refused requests do not return together, and grow with the priority so that the
// most urgent ones find room first.
func (l Load) RetryAfter(priority int) time.Duration {
	mean := min(max(delaysToRoom*l.Delay(), minRetryAfter), maxRetryAfter)
	return time.Duration(priority)*mean + mean/2 + rand.N(mean)
}
