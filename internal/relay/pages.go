package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

const (
	// pageSize is the size of the rows of a page, in bytes, above which the next page begins. It is
	// well below the largest message.
	pageSize = 512 << 10
	// maxChangesSize is the maximum size of the changes in a message, in bytes, and maxSentRows the
	// maximum number of rows in a page or of changes. Both are well below the limits of the codec.
	maxChangesSize = 2 << 20
	maxSentRows    = 1 << 15
	// pagesLifetime is how long the pages of a table are served although rows have changed since.
	// Readers ask for these changes next.
	pagesLifetime = time.Second
)

// page is a part of the rows of a table, ordered by key.
type page struct {
	// first is the key of the first row.
	first string
	rows  []feed.Row
	// packed holds the compressed rows instead of rows if they are large.
	packed []byte
}

// pages holds all rows of a table as of a revision. Hundreds of readers that start at the same
// moment are served the same pages.
type pages struct {
	revision table.Revision
	// at is when the rows were split into pages.
	at   time.Time
	list []page
}

// pager caches the pages of a mirror. It is safe for concurrent use.
type pager struct {
	mu   sync.Mutex
	last *pages
}

// get returns the pages of a mirror. It fails with fault.CodeNotReady if the mirror is not read
// before ctx ends.
func (p *pager) get(ctx context.Context, m *mirror) (*pages, error) {
	if err := m.awaitRows(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last != nil && m.canServe(p.last.revision, time.Since(p.last.at) < pagesLifetime) {
		return p.last, nil
	}
	batch, err := m.snapshot()
	if err != nil {
		return nil, err
	}
	cut, err := cutPages(batch.Rows, batch.Revision.Epoch())
	if err != nil {
		return nil, err
	}
	p.last = &pages{revision: batch.Revision, at: time.Now(), list: cut}
	return p.last, nil
}

// canServe reports whether pages as of a revision may be served: nothing has changed since, or they
// are fresh and all later changes can be sent next.
func (m *mirror) canServe(revision table.Revision, fresh bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.rowsDropped && (revision == m.position || fresh && m.knowsChangesAfter(revision))
}

// cutPages splits the rows of a table in an epoch into pages. There is at least one page.
func cutPages(rows []feed.Row, epoch table.Epoch) ([]page, error) {
	slices.SortFunc(rows, func(a, b feed.Row) int { return cmp.Compare(a.Key, b.Key) })
	var cut []page
	for start := 0; start < len(rows) || start == 0; {
		end, size := start, 0
		for end < len(rows) && end-start < maxSentRows && size < pageSize {
			size += sizeOf(rows[end])
			end++
		}
		next, err := newPage(rows[start:end], size, epoch)
		if err != nil {
			return nil, err
		}
		cut = append(cut, next)
		start = max(end, 1)
	}
	return cut, nil
}

// newPage returns a page of rows, compressed if they are large.
func newPage(rows []feed.Row, size int, epoch table.Epoch) (page, error) {
	p := page{}
	if len(rows) > 0 {
		p.first = rows[0].Key
	}
	if size < minPackedSize {
		p.rows = rows
		return p, nil
	}
	var err error
	p.packed, err = wire.PackRows(wireRows(rows, epoch))
	return p, err
}

// put sets the page that has the rows from a key on in a response. The page may also have earlier
// rows, which are then sent twice.
func (p *pages) put(response *wire.FollowResponse, from string) {
	index, found := slices.BinarySearchFunc(p.list, from, func(p page, key string) int { return cmp.Compare(p.first, key) })
	if !found {
		index = max(index-1, 0)
	}
	selected := p.list[index]
	response.Revision, response.Epoch = p.revision.Number(), p.revision.Epoch()
	response.Rows, response.Packed = wireRows(selected.rows, response.Epoch), selected.packed
	if index+1 < len(p.list) {
		response.Next = p.list[index+1].first
	}
}
