// Package origin knows which build of the runners' software began each stream, so that a client that
// resumes a stream at any node gets events that fit. The node that forwards a stream's first event
// records it. While runners of several builds serve, it also tells a few nodes, chosen by the stream,
// that every node asks; so it does for a while after its start, when others may not know it. Streams that came to
// their end are forgotten. Which builds serve, or served lately, is also kept in a table, so that it is known after
// all nodes have ended. While there are several builds, keepers also write the streams to a table, which keepers that
// start read.
package origin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/backend"
	"lilacvane/internal/lease"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

const (
	// recordLifetime is how long a stream that did not come to its end is remembered, and for how long
	// a build counts as serving after its last runner left: clients return within seconds.
	recordLifetime = 5 * time.Minute
	// maxRecords bounds the streams that a node remembers. Beyond it the oldest are forgotten.
	maxRecords = 1 << 16
	// returnTime is within what time clients resume nearly all streams.
	returnTime = 30 * time.Second
)

// Stream identifies a stream: the request that brought its first event, and its caller, so that
// callers learn nothing of each other by using the same identifiers.
type Stream [16]byte

// NewStream returns the stream of a caller's request.
func NewStream(caller, request string) Stream {
	digest := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(caller)))
	digest.Write(length[:])
	digest.Write([]byte(caller + request))
	return Stream(digest.Sum(nil)[:len(Stream{})])
}

// Options holds a registry's dependencies.
type Options struct {
	// Self returns the address at which other nodes reach this one.
	Self func() string
	// Send sends a message to the node at an address.
	Send func(ctx context.Context, address string, request wire.OriginRequest) (wire.OriginAnswer, error)
	// Peers returns addresses of some other nodes, to be asked while no keepers are known.
	Peers func() []string
	// Rows is the table of builds that served.
	Rows table.Table
	// Streams is the table of streams that keepers write while several builds serve.
	Streams table.Table
	// Term returns this process's tenure of the lease whose holder records which builds served.
	Term func() lease.Term
	Now  func() time.Time
	Log  logr.Logger
}

// Registry is a node's part. Its methods may be called concurrently.
type Registry struct {
	Options

	mutex   sync.Mutex
	records map[Stream]record
	// builds are the builds of the runners by service.
	builds map[string]*serviceBuilds
	// listed are the runners in the platform's list by name.
	listed map[string]listedRunner
	// keepers are addresses of nodes that may keep records. All nodes have the same ones.
	keepers []string
	// formerKeepers are those before the last change: a lease holder that is new names few at first.
	formerKeepers []string
	// keepersKnown is closed once there are keepers.
	keepersKnown chan struct{}
	// listedSince is when the list of runners was first read.
	listedSince time.Time
	// served is what is known of the builds that served before this node started. servedRead is closed once the
	// table was read.
	served     servedState
	servedRead chan struct{}
	// saved are the streams that this node writes as a keeper.
	saved savedStreams
	// read is closed, and replaced, once a keeper is known to have read the streams that were written. readAsked holds
	// an element while one of the questions that wait for it asks.
	read      chan struct{}
	readAsked chan struct{}
	// untold are the records to tell keepers; due is signalled when there are any.
	untold []Stream
	due    chan struct{}
}

// record is what is known of a stream.
type record struct {
	service string
	build   backend.Build
	at      time.Time
	// own is set if this node forwarded the first event.
	own bool
}

// New returns a registry without records.
func New(options Options) *Registry {
	return &Registry{
		Options: options, records: make(map[Stream]record), builds: make(map[string]*serviceBuilds), listed: make(map[string]listedRunner), due: make(chan struct{}, 1),
		keepersKnown: make(chan struct{}), servedRead: make(chan struct{}),
		read: make(chan struct{}), readAsked: make(chan struct{}, 1),
	}
}

// Began records that a runner of a build brought the first event of a stream.
func (r *Registry) Began(service string, stream Stream, build backend.Build) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.put(stream, record{service: service, build: build, at: r.Now(), own: true})
	if r.several(service) || !r.sure() {
		r.tellLater(stream)
	}
}

// Ended records that a stream came to its end, so that nobody resumes it.
func (r *Registry) Ended(stream Stream) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.records, stream)
}

// put adds a record. mutex is held.
func (r *Registry) put(stream Stream, added record) {
	if len(r.records) >= maxRecords {
		r.trim()
	}
	r.records[stream] = added
}

// trim makes room: it forgets records that are too old, or else those older than half of that time, and
// so on. mutex is held.
func (r *Registry) trim() {
	for lifetime := recordLifetime; len(r.records) >= maxRecords && lifetime > 0; lifetime /= 2 {
		r.forgetOlder(lifetime)
	}
}

// forgetOlder forgets records of at least an age. mutex is held.
func (r *Registry) forgetOlder(age time.Duration) {
	for stream, known := range r.records {
		if r.Now().Sub(known.at) >= age {
			delete(r.records, stream)
		}
	}
}

// find returns the record of a stream that this node has. mutex is held.
func (r *Registry) find(service string, stream Stream) (record, bool) {
	known, found := r.records[stream]
	return known, found && known.service == service && r.Now().Sub(known.at) < recordLifetime
}

// tellLater queues a record to be told to keepers. mutex is held.
func (r *Registry) tellLater(stream Stream) {
	r.untold = append(r.untold, stream)
	select {
	case r.due <- struct{}{}:
	default:
	}
}
