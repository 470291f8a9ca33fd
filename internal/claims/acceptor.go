// Package claims makes a request that may not be repeated run at most once. A
// request's idempotency key belongs to a shard, a shard to a small group of
// nodes; a majority of the group agrees, by single-decree Paxos for each key, on
// the one attempt that may run. The group of a shard is a committed object: a
// member that restarts has forgotten its promises and is replaced, not believed.
package claims

import (
	"fmt"
	"sync"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

// Retention is how long a key is remembered. A duplicate that comes later is not
// recognised; docs/INTERFACE.md publishes the figure.
const Retention = 8 * time.Hour

const maximumStaged = 4

type recordKey struct {
	key   string
	round uint32
}

type record struct {
	promised wire.Ballot
	accepted wire.Ballot
	attempt  string
	outcome  wire.ClaimOutcome
	created  time.Time
}

// shard is the state of one shard at one member. A member answers only while
// generation is the generation of the group committed last that it knows of.
type shard struct {
	generation uint64
	member     bool
	sealed     bool
	records    map[recordKey]*record
	staged     []stagedRecords
}

type stagedRecords struct {
	staging string
	records []wire.ClaimRecord
}

// Acceptor keeps the shards of which this node is a member. It is safe for
// concurrent use.
type Acceptor struct {
	node        string
	incarnation string
	mutex       sync.Mutex
	shards      map[uint32]*shard
}

// NewAcceptor returns an acceptor for one incarnation of a node.
func NewAcceptor(node, incarnation string) *Acceptor {
	return &Acceptor{node: node, incarnation: incarnation, shards: make(map[uint32]*shard)}
}

// shard is called with the mutex held.
func (a *Acceptor) shard(number uint32) *shard {
	known, ok := a.shards[number]
	if !ok {
		known = &shard{records: make(map[recordKey]*record)}
		a.shards[number] = known
	}
	return known
}

// Configure takes the committed group of a shard. The member starts with the
// records that were installed for it before the commit.
func (a *Acceptor) Configure(number uint32, generation uint64, group api.ClaimGroup) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.shard(number)
	if generation <= s.generation {
		return
	}
	s.generation = generation
	s.sealed = false
	s.member = false
	for _, member := range group.Members {
		if member.Node == a.node && member.Incarnation == a.incarnation {
			s.member = s.activate(group.Staging)
		}
	}
	if !s.member {
		s.records = make(map[recordKey]*record)
	}
	s.staged = nil
}

func (s *shard) activate(staging string) bool {
	if staging == "" {
		s.records = make(map[recordKey]*record)
		return true
	}
	for _, candidate := range s.staged {
		if candidate.staging == staging {
			s.records = fromWire(candidate.records, time.Now())
			return true
		}
	}
	return false
}

// serving returns the shard if this node may answer for its generation.
func (a *Acceptor) serving(number uint32, generation uint64) (*shard, error) {
	s := a.shard(number)
	if !s.member || s.generation != generation {
		return nil, fault.New(fault.CodeClaimsUnavailable, "claim", "shard %d is at generation %d here, member %t", number, s.generation, s.member)
	}
	return s, nil
}

// Prepare promises to accept nothing below a ballot.
func (a *Acceptor) Prepare(request wire.ClaimRequest) (wire.ClaimResponse, error) {
	return a.vote(request, func(r *record) bool {
		if !r.promised.Less(request.Ballot) {
			return false
		}
		r.promised = request.Ballot
		return true
	})
}

// Accept accepts an attempt unless a higher ballot was promised.
func (a *Acceptor) Accept(request wire.ClaimRequest) (wire.ClaimResponse, error) {
	return a.vote(request, func(r *record) bool {
		if request.Ballot.Less(r.promised) {
			return false
		}
		r.promised = request.Ballot
		r.accepted = request.Ballot
		r.attempt = request.Attempt
		return true
	})
}

func (a *Acceptor) vote(request wire.ClaimRequest, decide func(*record) bool) (wire.ClaimResponse, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, err := a.serving(request.Shard, request.Generation)
	if err != nil {
		return wire.ClaimResponse{}, err
	}
	if s.sealed {
		return wire.ClaimResponse{}, fault.New(fault.CodeClaimsUnavailable, "claim", "shard %d is being moved", request.Shard)
	}
	key := recordKey{request.Key, request.Round}
	r, known := s.records[key]
	if !known {
		r = &record{created: time.Now()}
		s.records[key] = r
	}
	granted := decide(r)
	return wire.ClaimResponse{Granted: granted, Promised: r.promised, Accepted: r.accepted, Attempt: r.attempt, Outcome: r.outcome}, nil
}

// Report records the outcome of the attempt that holds the claim.
func (a *Acceptor) Report(report wire.ClaimReport) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, err := a.serving(report.Shard, report.Generation)
	if err != nil {
		return err
	}
	if s.sealed {
		return fault.New(fault.CodeClaimsUnavailable, "report claim", "shard %d is being moved", report.Shard)
	}
	key := recordKey{report.Key, report.Round}
	r, known := s.records[key]
	if !known {
		r = &record{created: time.Now(), attempt: report.Attempt}
		s.records[key] = r
	}
	r.outcome = report.Outcome
	return nil
}

// Seal stops the shard's generation at this member for good and returns its
// records, so that they can be handed to the next group.
func (a *Acceptor) Seal(request wire.SealRequest) (wire.SealResponse, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, err := a.serving(request.Shard, request.Generation)
	if err != nil {
		return wire.SealResponse{}, err
	}
	s.sealed = true
	return wire.SealResponse{Records: toWire(s.records, time.Now())}, nil
}

// Install stages records that become effective when a group that names the
// staging is committed.
func (a *Acceptor) Install(request wire.InstallRequest) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.shard(request.Shard)
	s.staged = append(s.staged, stagedRecords{staging: request.Staging, records: request.Records})
	if len(s.staged) > maximumStaged {
		s.staged = s.staged[1:]
	}
}

// Expire forgets the keys that are older than Retention.
func (a *Acceptor) Expire(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, s := range a.shards {
		for key, r := range s.records {
			if now.Sub(r.created) > Retention {
				delete(s.records, key)
			}
		}
	}
}

// Size returns the number of records held.
func (a *Acceptor) Size() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	total := 0
	for _, s := range a.shards {
		total += len(s.records)
	}
	return total
}

func toWire(records map[recordKey]*record, now time.Time) []wire.ClaimRecord {
	converted := make([]wire.ClaimRecord, 0, len(records))
	for key, r := range records {
		converted = append(converted, wire.ClaimRecord{
			Key: key.key, Round: key.round, Promised: r.promised, Accepted: r.accepted,
			Attempt: r.attempt, Outcome: r.outcome, Age: now.Sub(r.created).Milliseconds(),
		})
	}
	return converted
}

func fromWire(records []wire.ClaimRecord, now time.Time) map[recordKey]*record {
	converted := make(map[recordKey]*record, len(records))
	for _, r := range records {
		converted[recordKey{r.Key, r.Round}] = &record{
			promised: r.Promised, accepted: r.Accepted, attempt: r.Attempt, outcome: r.Outcome,
			created: now.Add(-time.Duration(r.Age) * time.Millisecond),
		}
	}
	return converted
}

// Merge joins the records that a majority of a sealed group returned: for each
// key and round the highest promise, the attempt accepted at the highest ballot,
// and any outcome that was reported.
func Merge(answers [][]wire.ClaimRecord) []wire.ClaimRecord {
	merged := make(map[recordKey]wire.ClaimRecord)
	for _, answer := range answers {
		for _, r := range answer {
			key := recordKey{r.Key, r.Round}
			known, exists := merged[key]
			if !exists {
				merged[key] = r
				continue
			}
			merged[key] = mergeRecord(known, r)
		}
	}
	records := make([]wire.ClaimRecord, 0, len(merged))
	for _, r := range merged {
		records = append(records, r)
	}
	return records
}

func mergeRecord(left, right wire.ClaimRecord) wire.ClaimRecord {
	result := left
	if left.Promised.Less(right.Promised) {
		result.Promised = right.Promised
	}
	if left.Accepted.Less(right.Accepted) || left.Attempt == "" {
		result.Accepted = right.Accepted
		result.Attempt = right.Attempt
	}
	result.Outcome = max(left.Outcome, right.Outcome)
	result.Age = max(left.Age, right.Age)
	return result
}

// ShardName is the name of the ClaimGroup object of a shard.
func ShardName(number uint32) string { return fmt.Sprintf("%05d", number) }
