// Package spread brings every node's catalog to the newest revision: a few
// feeders in each zone read the log from the table, the others pull from peers
// whose probes show a newer revision. A node that may have missed something asks
// before it serves.
package spread

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
	"lilacvane/internal/membership"
	"lilacvane/internal/peer"
	"lilacvane/internal/rendezvous"
	"lilacvane/internal/wire"
)

const (
	methodPull     = "pull"
	methodSnapshot = "snapshot"
	pullLimit      = 128
	snapshotPage   = 256
	feedersPerZone = 2
	announceFanout = 3
	// maximumPushed bounds the entries that come along with an announcement, in
	// bytes, so that it stays one datagram.
	maximumPushed = 700
	freshFor      = 3 * time.Second
	checkTimeout  = 700 * time.Millisecond
	pullTimeout   = 5 * time.Second
	checkPeers    = 4
	startRetry    = 300 * time.Millisecond
	asksASecond   = 2
	trimInterval  = time.Hour
	feederKey     = "feeder/"
)

// Spreader keeps one catalog up to date. It is safe for concurrent use.
type Spreader struct {
	catalog    *catalog.Catalog
	reader     *commit.Reader
	membership *membership.Membership
	client     *peer.Client
	logger     logr.Logger
	poll       time.Duration

	mutex    sync.Mutex
	compared time.Time
	checked  time.Time
	pulling  bool
	wanted   uint64
	pending  map[uint64]wire.Entry

	checkMutex sync.Mutex
	asks       *rate.Limiter
}

// New returns a spreader. Feeders read the table every poll.
func New(c *catalog.Catalog, reader *commit.Reader, m *membership.Membership, client *peer.Client, poll time.Duration, logger logr.Logger) *Spreader {
	s := &Spreader{catalog: c, reader: reader, membership: m, client: client, poll: poll, logger: logger, pending: make(map[uint64]wire.Entry), asks: rate.NewLimiter(asksASecond, asksASecond)}
	c.OnChange(s.announce)
	return s
}

// announce tells a few members of the newest revision. A single entry that is
// small enough comes along.
func (s *Spreader) announce() {
	entries, _ := s.catalog.Since(s.catalog.Revision()-1, 1)
	if len(entries) == 1 && entries[0].Size() > maximumPushed {
		entries = nil
	}
	s.membership.Announce(announceFanout, entries)
}

// Register adds the handlers by which peers read this node's catalog.
func (s *Spreader) Register(server *peer.Server) {
	peer.Handle(server, methodPull, func(_ context.Context, request wire.PullRequest) (wire.PullResponse, error) {
		entries, kept := s.catalog.Since(request.After, min(request.Limit, pullLimit))
		return wire.PullResponse{Head: s.catalog.Revision(), Entries: entries, Snapshot: !kept}, nil
	})
	peer.Handle(server, methodSnapshot, func(_ context.Context, request wire.SnapshotRequest) (wire.SnapshotResponse, error) {
		revision, objects, more := s.catalog.Page(request.After, min(request.Limit, snapshotPage))
		return wire.SnapshotResponse{Revision: revision, Objects: objects, More: more}, nil
	})
}

// Start catches up with the newest revision that the table or a peer can tell.
// It returns when at least one of them answered and the catalog is as new as
// every answer.
func (s *Spreader) Start(ctx context.Context) error {
	for {
		joined := s.membership.Join(ctx)
		if s.check(ctx, true) {
			s.logger.Info("configuration caught up", "step", "start", "revision", s.catalog.Revision(), "seeds", joined)
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.CodeNotReady, "catch up", "neither the table nor a peer answered")
		case <-time.After(startRetry):
		}
	}
}

// Fresh makes sure that the catalog was compared with a peer or the table a
// short while ago. A node that was paused or cut off for longer asks first; what
// nobody can tell it does not hold it up for more than checkTimeout.
func (s *Spreader) Fresh(ctx context.Context) {
	if s.isFresh() {
		return
	}
	s.checkMutex.Lock()
	defer s.checkMutex.Unlock()
	if s.isFresh() {
		return
	}
	s.check(ctx, false)
}

func (s *Spreader) isFresh() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := time.Now().Add(-freshFor)
	return s.compared.After(limit) || s.checked.After(limit)
}

// Ask compares the catalog with the table and a few peers at once, at most
// asksASecond times a second. It is for a caller that names something this node
// has not heard of.
func (s *Spreader) Ask(ctx context.Context) {
	if s.asks.Allow() {
		s.check(ctx, false)
	}
}

// check asks the table and a few peers for their newest revision and catches up
// with the newest of them. It tells whether anyone answered and all of it was
// taken in.
func (s *Spreader) check(ctx context.Context, patient bool) bool {
	started := time.Now()
	timeout := checkTimeout
	if patient {
		timeout = pullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := s.askHeads(ctx)
	best := answer{}
	heard := 0
	for a := range answers {
		if a.err != nil {
			continue
		}
		heard++
		if a.head >= best.head {
			best = a
		}
	}
	if heard > 0 && best.head > s.catalog.Revision() {
		s.pullFrom(ctx, best.address, best.head)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checked = time.Now()
	current := heard > 0 && s.catalog.Revision() >= best.head
	if current {
		s.compared = started
	}
	return current
}

// answer is the newest revision that a peer, or the table (address ""), holds.
type answer struct {
	address string
	head    uint64
	err     error
}

func (s *Spreader) askHeads(ctx context.Context) <-chan answer {
	answers := make(chan answer, checkPeers+1)
	var group sync.WaitGroup
	group.Go(func() {
		head, err := s.reader.Head(ctx)
		answers <- answer{head: head, err: err}
	})
	for _, member := range s.somePeers() {
		group.Go(func() {
			var response wire.PullResponse
			err := s.client.Call(ctx, member.Address, methodPull, wire.PullRequest{After: s.catalog.Revision(), Limit: 0}, &response)
			answers <- answer{address: member.Address, head: response.Head, err: err}
		})
	}
	go func() {
		group.Wait()
		close(answers)
	}()
	return answers
}

// somePeers returns a few members, the longest running first, so that a young
// node does not learn from others as young as itself.
func (s *Spreader) somePeers() []wire.Member {
	self := s.membership.Self().Node
	alive := s.membership.Alive()
	var peers []wire.Member
	for len(peers) < checkPeers {
		oldest := -1
		for index, member := range alive {
			if member.Node == self || contains(peers, member.Node) {
				continue
			}
			if oldest < 0 || member.Started < alive[oldest].Started {
				oldest = index
			}
		}
		if oldest < 0 {
			break
		}
		peers = append(peers, alive[oldest])
	}
	return peers
}

func contains(members []wire.Member, node string) bool {
	for _, member := range members {
		if member.Node == node {
			return true
		}
	}
	return false
}

// Revision is the newest applied revision.
func (s *Spreader) Revision() uint64 { return s.catalog.Revision() }

// Newer is called when a peer shows a newer revision, with the newest entries if
// they came along. What they leave open is pulled, one pull at a time.
func (s *Spreader) Newer(address string, revision uint64, entries []wire.Entry) {
	s.take(entries)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wanted = max(s.wanted, revision)
	if s.pulling || revision <= s.catalog.Revision() {
		return
	}
	s.pulling = true
	go s.pullNewer(address)
}

func (s *Spreader) pullNewer(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	s.mutex.Lock()
	wanted := s.wanted
	s.mutex.Unlock()
	s.pullFrom(ctx, address, wanted)
	s.mutex.Lock()
	s.pulling = false
	s.mutex.Unlock()
}

// Compared is called when a peer answered a probe, sent at sent, with a revision
// that was not newer than this node's.
func (s *Spreader) Compared(sent time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if sent.After(s.compared) {
		s.compared = sent
	}
}

// pullFrom reads entries from a peer, or from the table when address is empty,
// until the catalog holds revision head.
func (s *Spreader) pullFrom(ctx context.Context, address string, head uint64) {
	for s.catalog.Revision() < head {
		before := s.catalog.Revision()
		var err error
		if address == "" {
			err = s.pullTable(ctx)
		} else {
			err = s.pullPeer(ctx, address)
		}
		if err != nil {
			s.logger.V(1).Info("pull failed", "step", "spread", "peer", address, "error", err.Error())
			return
		}
		if s.catalog.Revision() == before {
			return
		}
	}
}

func (s *Spreader) pullPeer(ctx context.Context, address string) error {
	var response wire.PullResponse
	request := wire.PullRequest{After: s.catalog.Revision(), Limit: pullLimit}
	if err := s.client.Call(ctx, address, methodPull, request, &response); err != nil {
		return err
	}
	if response.Snapshot {
		return s.snapshotPeer(ctx, address)
	}
	s.take(response.Entries)
	return nil
}

func (s *Spreader) snapshotPeer(ctx context.Context, address string) error {
	var revision uint64
	var objects []api.Object
	after := ""
	for {
		var response wire.SnapshotResponse
		request := wire.SnapshotRequest{After: after, Limit: snapshotPage}
		if err := s.client.Call(ctx, address, methodSnapshot, request, &response); err != nil {
			return err
		}
		if after == "" {
			revision = response.Revision
		}
		objects = append(objects, response.Objects...)
		if !response.More || len(response.Objects) == 0 {
			s.catalog.ApplySnapshot(revision, objects)
			return nil
		}
		after = response.Objects[len(response.Objects)-1].Key().String()
	}
}

func (s *Spreader) pullTable(ctx context.Context) error {
	entries, complete, err := s.reader.Entries(ctx, s.catalog.Revision())
	if err != nil {
		return err
	}
	if complete {
		s.take(entries)
		return nil
	}
	revision, objects, err := s.reader.Snapshot(ctx)
	if err != nil {
		return err
	}
	s.catalog.ApplySnapshot(revision, objects)
	return nil
}

// take applies entries and those that this node committed itself before it knew
// the ones between.
func (s *Spreader) take(entries []wire.Entry) {
	s.catalog.Apply(entries)
	for {
		s.mutex.Lock()
		next, ok := s.pending[s.catalog.Revision()+1]
		for revision := range s.pending {
			if revision <= s.catalog.Revision() {
				delete(s.pending, revision)
			}
		}
		s.mutex.Unlock()
		if !ok || s.catalog.Apply([]wire.Entry{next}) == 0 {
			return
		}
	}
}

// Inject takes entries that were just committed.
func (s *Spreader) Inject(entries []wire.Entry) {
	s.mutex.Lock()
	for _, entry := range entries {
		s.pending[entry.Revision] = entry
	}
	s.mutex.Unlock()
	s.take(nil)
}

// WaitFor pulls until the catalog holds a revision or ctx ends.
func (s *Spreader) WaitFor(ctx context.Context, revision uint64) {
	for s.catalog.Revision() < revision && ctx.Err() == nil {
		changed := s.catalog.Changed()
		s.check(ctx, false)
		if s.catalog.Revision() >= revision {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(s.poll):
		}
	}
}

// Run reads the table while this node is one of its zone's feeders.
func (s *Spreader) Run(ctx context.Context) {
	ticker := time.NewTicker(s.poll)
	defer ticker.Stop()
	trimmed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.IsFeeder() {
			continue
		}
		s.feed(ctx)
		if time.Since(trimmed) > trimInterval {
			trimmed = time.Now()
			if err := s.reader.Trim(ctx); err != nil {
				s.logger.V(1).Info("log not trimmed", "step", "trim log", "error", err.Error())
			}
		}
	}
}

func (s *Spreader) feed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	started := time.Now()
	head, err := s.reader.Head(ctx)
	if err != nil {
		s.logger.V(1).Info("table does not answer", "step", "feed", "error", err.Error())
		return
	}
	s.pullFrom(ctx, "", head)
	if s.catalog.Revision() >= head {
		s.Compared(started)
	}
}

// IsFeeder tells whether this node is one of the nodes of its zone that read the
// platform for the others.
func (s *Spreader) IsFeeder() bool {
	return slices.Contains(s.Feeders(), s.membership.Self().Node)
}

// Feeders returns the nodes of this zone that read the platform for the others.
func (s *Spreader) Feeders() []string {
	self := s.membership.Self()
	var nodes []string
	for _, member := range s.membership.Alive() {
		if member.Zone == self.Zone {
			nodes = append(nodes, member.Node)
		}
	}
	return rendezvous.Rank(feederKey+self.Zone, nodes, feedersPerZone)
}
