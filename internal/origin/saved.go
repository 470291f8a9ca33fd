package origin

import (
	"context"
	"slices"
	"strconv"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

const (
	// saveInterval is the minimum time between two writes of a keeper. What began since the last write is lost
	// with all nodes.
	saveInterval = 100 * time.Millisecond
	// savePause is the pause after a write that failed.
	savePause = 500 * time.Millisecond
	// saveTimeout bounds a write of a keeper, loadTimeout the read of all rows.
	saveTimeout = 800 * time.Millisecond
	loadTimeout = 3 * time.Second
	// loadPause is the pause after a read that failed.
	loadPause = time.Second
	// savedCopies is how many of a stream's keepers write it.
	savedCopies = 2
	// savedRows is how many rows a keeper fills in turn; maxRowBytes is their size.
	savedRows   = 4
	maxRowBytes = 40_000
	// recordBytes is what a record takes beyond its texts.
	recordBytes = 32
	// maxKeepers bounds the keepers that write.
	maxKeepers = 16
	// overlap is how long a keeper that has read the table waits before it writes, so that other keepers which
	// start have read it too.
	overlap = 2 * time.Second
	// savedPrefix is the prefix of the rows' keys. The keeper's place among the keepers and the row's number
	// follow, so that the rows are few, whichever nodes keep them.
	savedPrefix = "streams/"
)

// savedRow is a row of streams that a keeper was told.
type savedRow struct {
	records []wire.OriginRecord
	bytes   int
	// due is set if it is to be written.
	due bool
}

// savedStreams is a keeper's part of the table of streams.
type savedStreams struct {
	rows [savedRows]savedRow
	// filling is the row to which records are added.
	filling int
	// place is this node's place among the keepers when it last wrote.
	place int
	// loaded is set once the table was read, or need not be. Rows are written from saveFrom on.
	loaded   bool
	saveFrom time.Time
}

// add adds a record. The oldest ones are dropped for it if all rows are full.
func (s *savedStreams) add(added wire.OriginRecord) {
	size := recordBytes + len(added.Service) + len(added.Build)
	if s.rows[s.filling].bytes+size > maxRowBytes {
		s.filling = (s.filling + 1) % savedRows
		s.rows[s.filling] = savedRow{}
	}
	row := &s.rows[s.filling]
	row.records, row.bytes, row.due = append(row.records, added), row.bytes+size, true
}

// save has this node write those of the records of which it is one of the first keepers, once several builds serve.
// mutex is held.
func (r *Registry) save(records ...wire.OriginRecord) {
	for _, told := range records {
		if len(told.Stream) != len(Stream{}) {
			continue
		}
		keepers := r.keepersOf(Stream(told.Stream))
		if slices.Contains(keepers[:min(savedCopies, len(keepers))], r.Self()) {
			r.saved.add(told)
		}
	}
}

// Save writes the streams that this node keeps to the table of streams, and reads the table if this node keeps
// streams and has started lately, until ctx ends.
func (r *Registry) Save(ctx context.Context) {
	var saveAt, loadAt time.Time
	for wait.For(ctx, saveInterval); ctx.Err() == nil; wait.For(ctx, saveInterval) {
		if now := r.Now(); !now.Before(loadAt) && r.loadDue() {
			if err := r.load(ctx); err != nil {
				r.Log.Info("streams begun before the start not read", "error", err.Error())
				loadAt = now.Add(loadPause)
			}
		}
		if now := r.Now(); !now.Before(saveAt) && r.saveDue() {
			if err := r.saveOnce(ctx); err != nil {
				r.Log.Info("begun streams not saved", "error", err.Error())
				saveAt = r.Now().Add(savePause)
			}
		}
	}
}

// loadDue reports whether this node is to read the table: other nodes ask the keepers.
func (r *Registry) loadDue() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.saved.loaded || !r.served.read || r.listedSince.IsZero() || !slices.Contains(r.keepers, r.Self()) {
		return false
	}
	if r.Now().Sub(r.listedSince) >= recordLifetime {
		r.saved.loaded = true
		return false
	}
	return r.severalAnywhere()
}

// severalAnywhere reports whether a service has several builds. mutex is held.
func (r *Registry) severalAnywhere() bool {
	for service := range r.builds {
		if r.several(service) {
			return true
		}
	}
	for service := range r.served.ofService {
		if r.builds[service] == nil && r.several(service) {
			return true
		}
	}
	return false
}

// load reads the streams that keepers wrote before this node started. A row that cannot be read is skipped.
func (r *Registry) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	const most = savedRows * maxKeepers
	var rows []table.Row
	for after := ""; len(rows) < most; after = rows[len(rows)-1].Key {
		page, err := r.Streams.List(ctx, savedPrefix, after, most-len(rows))
		if err != nil {
			return fault.From(err, "read begun streams")
		}
		if len(page) == 0 {
			break
		}
		rows = append(rows, page...)
	}
	count := 0
	for _, row := range rows {
		var records []wire.OriginRecord
		if err := wire.Decode(row.Value, "store", &records); err != nil {
			r.Log.Error(err, "row unreadable", "step", "read begun streams", "key", row.Key, "revision", row.Revision)
			continue
		}
		count += len(records)
		r.putSaved(records)
	}
	r.Log.Info("streams begun before the start known", "streams", count, "rows", len(rows))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.saved.loaded = true
	if count > 0 {
		r.saved.saveFrom = r.Now().Add(overlap)
	}
	return nil
}

// putSaved adds records that were read, unless they are known. They are written again, as rows are filled anew.
func (r *Registry) putSaved(records []wire.OriginRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, told := range records {
		if len(told.Stream) != len(Stream{}) {
			continue
		}
		if _, known := r.records[Stream(told.Stream)]; !known {
			r.put(Stream(told.Stream), record{service: told.Service, build: told.Build, at: r.Now()})
			r.save(told)
		}
	}
}

// saveDue reports whether rows are to be written now: while several builds serve, and after the table was read.
func (r *Registry) saveDue() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.saved.loaded || r.Now().Before(r.saved.saveFrom) || !r.severalAnywhere() {
		return false
	}
	return slices.ContainsFunc(r.saved.rows[:], func(row savedRow) bool { return row.due })
}

// saveOnce writes the rows that are due. They stay due if that fails.
func (r *Registry) saveOnce(ctx context.Context) error {
	writes, numbers, err := r.takeDueRows()
	if err != nil || len(writes) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if _, err := r.Streams.Commit(ctx, table.Transaction{Writes: writes}); err != nil {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		for _, number := range numbers {
			r.saved.rows[number].due = true
		}
		return fault.From(err, "save begun streams")
	}
	return nil
}

// takeDueRows returns the rows to write with their numbers: all if this node's place among the keepers has changed,
// none if it has no place any more.
func (r *Registry) takeDueRows() (writes []table.Write, numbers []int, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	place := slices.Index(r.keepers, r.Self())
	moved := place != r.saved.place
	r.saved.place = place
	for number := range r.saved.rows {
		row := &r.saved.rows[number]
		due := row.due || moved && len(row.records) > 0
		row.due = false
		if !due || place < 0 || place >= maxKeepers {
			continue
		}
		value, err := wire.Encode(row.records)
		if err != nil {
			return nil, nil, err
		}
		key := savedPrefix + strconv.Itoa(place) + "/" + strconv.Itoa(number)
		writes, numbers = append(writes, table.Write{Key: key, Value: value}), append(numbers, number)
	}
	return writes, numbers, nil
}
