package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/feed"
	"lilacvane/internal/wire"
)

const (
	// pageSize is the size of a page's rows, in bytes, above which the next one begins: well
	// below the largest message.
	pageSize = 512 << 10
	// pagesLifetime is how long the pages of a table are told though rows changed since:
	// readers ask for these changes next.
	pagesLifetime = time.Second
)

// page is a part of a table's rows, in the order of their keys.
type page struct {
	first string
	rows  []feed.Row
	// packed are the rows in place of rows where they are many.
	packed []byte
}

// pages are all rows of a table as of a revision. Hundreds of readers that start at the same
// moment are told the same ones.
type pages struct {
	revision uint64
	at       time.Time
	list     []page
}

// pager keeps the pages of a mirror. Its methods may be called concurrently.
type pager struct {
	mu   sync.Mutex
	last *pages
}

// get returns the pages of a mirror. It fails with fault.CodeNotReady when the mirror is not
// read before ctx ends.
func (p *pager) get(ctx context.Context, m *mirror) (*pages, error) {
	if err := m.await(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last != nil && m.serves(p.last.revision, time.Since(p.last.at) < pagesLifetime) {
		return p.last, nil
	}
	batch, err := m.present()
	if err != nil {
		return nil, err
	}
	cut, err := cutPages(batch.Rows)
	if err != nil {
		return nil, err
	}
	p.last = &pages{revision: batch.Revision, at: time.Now(), list: cut}
	return p.last, nil
}

// serves reports whether pages as of a revision may be told: nothing changed since, or they are
// fresh and all that changed is told next.
func (m *mirror) serves(revision uint64, fresh bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.light && (revision == m.position || fresh && m.tells(revision))
}

// cutPages cuts rows into pages; there is at least one.
func cutPages(rows []feed.Row) ([]page, error) {
	slices.SortFunc(rows, func(a, b feed.Row) int { return cmp.Compare(a.Key, b.Key) })
	var cut []page
	for start := 0; start < len(rows) || start == 0; {
		end, size := start, 0
		for end < len(rows) && size < pageSize {
			size += sizeOf(rows[end])
			end++
		}
		next, err := newPage(rows[start:end], size)
		if err != nil {
			return nil, err
		}
		cut = append(cut, next)
		start = max(end, 1)
	}
	return cut, nil
}

// newPage returns a page of rows, packed where they are many.
func newPage(rows []feed.Row, size int) (page, error) {
	made := page{}
	if len(rows) > 0 {
		made.first = rows[0].Key
	}
	if size < packFrom {
		made.rows = rows
		return made, nil
	}
	var err error
	made.packed, err = wire.PackRows(wireRows(rows))
	return made, err
}

// put fills in a response with the page that has the rows from a key on. It may have some
// before, which are told twice then.
func (p *pages) put(response *wire.FollowResponse, from string) {
	index, found := slices.BinarySearchFunc(p.list, from, func(p page, key string) int { return cmp.Compare(p.first, key) })
	if !found {
		index = max(index-1, 0)
	}
	told := p.list[index]
	response.Revision, response.Rows, response.Packed = p.revision, wireRows(told.rows), told.packed
	if index+1 < len(p.list) {
		response.Next = p.list[index+1].first
	}
}
