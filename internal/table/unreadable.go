package table

import "sync"

// maxUnreadable is the number of unreadable rows that are remembered. Beyond it they are all forgotten,
// and may be reported again.
const maxUnreadable = 4096

// UnreadableRow is a row that this process cannot read, and passes over.
type UnreadableRow struct {
	// Table and Key are empty if they are not known.
	Table    string
	Key      string
	Revision Revision
	Err      error
}

// Unreadable reports rows that this process cannot read once each time that they change, however often
// they are read. It is safe for concurrent use. The zero value is ready for use.
type Unreadable struct {
	mu sync.Mutex
	// reported are the revisions of the reported rows.
	reported map[rowName]Revision
	// observers are called, outside of mu, for each reported row.
	observers []func(UnreadableRow)
}

// rowName identifies a row.
type rowName struct{ table, key string }

// OnReport registers a function that is called for each row. It must be registered before the first report.
func (u *Unreadable) OnReport(observe func(UnreadableRow)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observers = append(u.observers, observe)
}

// Report reports a row.
func (u *Unreadable) Report(row UnreadableRow) {
	for _, observe := range u.record(row) {
		observe(row)
	}
}

// record remembers a row and returns the observers to call; none if it was reported before.
func (u *Unreadable) record(row UnreadableRow) []func(UnreadableRow) {
	u.mu.Lock()
	defer u.mu.Unlock()
	name := rowName{row.Table, row.Key}
	if known, ok := u.reported[name]; ok && known == row.Revision {
		return nil
	}
	if u.reported == nil || len(u.reported) >= maxUnreadable {
		u.reported = make(map[rowName]Revision)
	}
	u.reported[name] = row.Revision
	return u.observers
}
