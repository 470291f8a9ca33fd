package runnerstub

import (
	"slices"
	"strconv"
	"time"

	"lilacvane/internal/lab/journal"
)

// rejectionWindow is the time within which a brittle runner counts rejections.
const rejectionWindow = time.Second

// hasRoom returns whether the runner admits one more request, and counts a rejection if not. The
// caller holds r.mutex.
func (r *Runner) hasRoom() bool {
	room := r.settings.Slots + queueSize
	if r.faults.Room > 0 {
		room = r.faults.Room
	}
	if r.active < room {
		return true
	}
	r.countRejection(time.Now())
	return false
}

// countRejection ends the process of a brittle runner that rejects too many requests within
// rejectionWindow. The caller holds r.mutex.
func (r *Runner) countRejection(now time.Time) {
	most, err := strconv.ParseFloat(r.faults.Brittle, 64)
	if err != nil {
		return
	}
	r.rejections = append(slices.DeleteFunc(r.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow }), now)
	if float64(len(r.rejections)) > most {
		r.record(journal.Record{Event: journal.EventFall, Detail: strconv.Itoa(len(r.rejections))})
		r.settings.Crash()
	}
}
