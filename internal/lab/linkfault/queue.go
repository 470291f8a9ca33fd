package linkfault

import (
	"sync"
	"time"
)

// packetBytes is the size of a packet that opens a connection, with its headers.
const packetBytes = 78

// queue is one direction of a link: bytes leave it in the order in which they came, at a
// bounded rate.
type queue struct {
	mutex sync.Mutex
	mbps  float64
	// free is when all bytes that came before will have left.
	free time.Time
}

// setMbps sets the bandwidth in Mbit/s, zero for no bound.
func (q *queue) setMbps(mbps float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.mbps = mbps
}

// pass returns once bytes that come now have left.
func (q *queue) pass(bytes int) { time.Sleep(time.Until(q.leave(time.Now(), bytes))) }

// leave returns when bytes that come now will have left.
func (q *queue) leave(now time.Time, bytes int) time.Time {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.mbps == 0 {
		return now
	}
	if q.free.Before(now) {
		q.free = now
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	q.free = q.free.Add(time.Duration(float64(bytes) * bitsPerByte / bitsPerMegabit / q.mbps * float64(time.Second)))
	return q.free
}
