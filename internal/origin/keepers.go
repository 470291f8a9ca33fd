package origin

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/backend"
	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

const (
	// copies is how many keepers are told of a stream.
	copies = 3
	// batchInterval is the time in which records for keepers are collected.
	batchInterval = 20 * time.Millisecond
	// maxBatch bounds the records of one message.
	maxBatch = 1000
	// callTimeout bounds a call to a keeper: a client waits for the answer.
	callTimeout = 200 * time.Millisecond
	// keepersTimeout is how long a question waits until keepers are known, or the builds that served: nodes
	// report to the lease holder, which names keepers, about every 250 ms.
	keepersTimeout = 400 * time.Millisecond
)

// Origin is what is known of a stream.
type Origin struct {
	// Build is the build that began it, if Known is set.
	Build backend.Build
	Known bool
	// Several is set if runners of several builds serve, or served lately.
	Several bool
	// Unsure is set if it is not known which builds served lately.
	Unsure bool
}

// SetKeepers sets the addresses of the nodes that may keep records. An empty list changes nothing.
func (r *Registry) SetKeepers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.keepers == nil {
		close(r.keepersKnown)
	}
	if !slices.Equal(r.keepers, addresses) {
		r.formerKeepers = r.keepers
		r.keepers = addresses
	}
}

// awaitNews waits for what a node that starts is told after a moment.
func awaitNews(ctx context.Context, told <-chan struct{}) {
	timer := time.NewTimer(keepersTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-told:
	}
}

// nodesToAsk returns the nodes that may know a stream. forward is set if these are to ask further: a node
// that has started knows only the keepers of now, or none.
func (r *Registry) nodesToAsk(ctx context.Context) (addresses []string, forward bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.sure() {
		return r.allKeepers(), false
	}
	r.mutex.Unlock()
	awaitNews(ctx, r.keepersKnown)
	r.mutex.Lock()
	return unique(append(r.allKeepers(), r.Peers()...)), true
}

// allKeepers returns the keepers and those before the last change. mutex is held.
func (r *Registry) allKeepers() []string { return unique(slices.Concat(r.keepers, r.formerKeepers)) }

// unique returns a list without repetitions, in its order.
func unique(list []string) []string {
	var kept []string
	for _, element := range list {
		if !slices.Contains(kept, element) {
			kept = append(kept, element)
		}
	}
	return kept
}

// keepersOf returns the keepers in the order in which they keep a stream. mutex is held.
func (r *Registry) keepersOf(stream Stream) []string {
	ordered := slices.Clone(r.keepers)
	rank := func(address string) uint64 {
		return xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(address)), stream[:]...))
	}
	slices.SortFunc(ordered, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered
}

// Run tells keepers of streams until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.due:
		}
		wait.For(ctx, batchInterval)
		r.tellKeepers(ctx)
	}
}

// tellKeepers sends the collected records to copies keepers each, and to one more where one did not
// accept them.
func (r *Registry) tellKeepers(ctx context.Context) {
	pending := r.takeUntold()
	var missed []wire.OriginRecord
	for rank := range copies {
		missed = append(missed, r.tellRank(ctx, pending, rank)...)
	}
	for rank := copies; rank < r.countKeepers() && len(missed) > 0; rank++ {
		missed = r.tellRank(ctx, missed, rank)
	}
}

// tellRank sends each record to its keeper of a rank, and returns those that were not accepted.
func (r *Registry) tellRank(ctx context.Context, records []wire.OriginRecord, rank int) []wire.OriginRecord {
	var mutex sync.Mutex
	var missed []wire.OriginRecord
	var calls sync.WaitGroup
	for address, group := range r.byKeeper(records, rank) {
		calls.Go(func() {
			if err := r.tellKeeper(ctx, address, group); err != nil {
				r.Log.Info("origins of streams not delivered", "peer", address, "streams", len(group), "error", err.Error())
				mutex.Lock()
				defer mutex.Unlock()
				missed = append(missed, group...)
			}
		})
	}
	calls.Wait()
	return missed
}

func (r *Registry) countKeepers() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.keepers)
}

// takeUntold returns the records to tell.
func (r *Registry) takeUntold() []wire.OriginRecord {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var records []wire.OriginRecord
	for _, stream := range r.untold {
		if known, found := r.records[stream]; found {
			records = append(records, wire.OriginRecord{Stream: stream[:], Service: known.service, Build: known.build})
		}
	}
	r.untold = nil
	return records
}

// byKeeper groups records by the keeper of a rank that each of them has.
func (r *Registry) byKeeper(records []wire.OriginRecord, rank int) map[string][]wire.OriginRecord {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	groups := make(map[string][]wire.OriginRecord)
	for _, told := range records {
		if keepers := r.keepersOf(Stream(told.Stream)); rank < len(keepers) {
			groups[keepers[rank]] = append(groups[keepers[rank]], told)
		}
	}
	return groups
}

// tellKeeper sends records to one keeper, which may be this node.
func (r *Registry) tellKeeper(ctx context.Context, address string, records []wire.OriginRecord) error {
	if address == r.Self() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.save(records...)
		return nil
	}
	for batch := range slices.Chunk(records, maxBatch) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := r.Send(callCtx, address, wire.OriginRequest{Records: batch})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// Find returns what this node or a keeper knows of the origin of a stream. If nobody knows the stream, or the client
// did not name it, the build is known only where no other one served lately.
func (r *Registry) Find(ctx context.Context, service string, stream Stream) Origin {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	origin, read := r.findNow(ctx, service, stream)
	if origin.Known || !origin.Several || read || stream == (Stream{}) || !r.awaitRead(ctx) {
		return origin
	}
	origin, _ = r.findNow(ctx, service, stream)
	return origin
}

// findNow is Find by what is known now. read is set if that includes the streams that were written.
func (r *Registry) findNow(ctx context.Context, service string, stream Stream) (origin Origin, read bool) {
	r.mutex.Lock()
	known, found := r.find(service, stream)
	origin = Origin{Build: known.build, Known: found, Several: r.several(service)}
	read = r.hasRead() || r.nobodyReads()
	r.mutex.Unlock()
	if found {
		return origin, read
	}
	addresses, forward := r.nodesToAsk(ctx)
	asked := r.ask(ctx, addresses, wire.OriginRequest{Asked: stream[:], Service: service, Forward: forward})
	origin.Build, origin.Known, origin.Several = asked.Build, asked.Known, origin.Several || asked.Several
	read = read || asked.Read
	if origin.Known || origin.Several {
		return origin, read
	}
	awaitNews(ctx, r.servedRead)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case r.several(service):
		return Origin{Several: true}, read
	case !r.served.complete:
		return Origin{Unsure: true}, read
	}
	origin.Build, origin.Known = r.only(service)
	return origin, read
}

// ask asks keepers until one knows the stream or all have answered.
func (r *Registry) ask(ctx context.Context, keepers []string, request wire.OriginRequest) wire.OriginAnswer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make(chan wire.OriginAnswer, len(keepers))
	for _, address := range keepers {
		go func() {
			var answer wire.OriginAnswer
			if address != r.Self() {
				var err error
				if answer, err = r.Send(ctx, address, request); err != nil {
					r.Log.V(1).Info("origin of a stream not told", "peer", address, "error", err.Error())
				}
			}
			answers <- answer
		}()
	}
	var all wire.OriginAnswer
	for range keepers {
		answer := <-answers
		all.Several, all.Sure, all.Read = all.Several || answer.Several, all.Sure || answer.Sure, all.Read || answer.Read
		if answer.Known {
			return wire.OriginAnswer{Build: answer.Build, Known: true, Several: true}
		}
	}
	return all
}

// Answer keeps the records of another node and answers its question.
func (r *Registry) Answer(ctx context.Context, request wire.OriginRequest) wire.OriginAnswer {
	answer, keepers := r.answerAlone(request)
	if answer.Known || !request.Forward {
		return answer
	}
	asked := r.ask(ctx, keepers, wire.OriginRequest{Asked: request.Asked, Service: request.Service})
	asked.Several, asked.Sure, asked.Read = asked.Several || answer.Several, asked.Sure || answer.Sure, asked.Read || answer.Read
	return asked
}

// answerAlone is Answer by what this node knows itself. It also returns the keepers.
func (r *Registry) answerAlone(request wire.OriginRequest) (answer wire.OriginAnswer, keepers []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, told := range request.Records {
		if len(told.Stream) == len(Stream{}) {
			r.put(Stream(told.Stream), record{service: told.Service, build: told.Build, at: r.Now()})
		}
	}
	r.save(request.Records...)
	answer = wire.OriginAnswer{Several: r.several(request.Service), Sure: r.served.complete, Read: r.hasRead()}
	if len(request.Asked) == len(Stream{}) {
		if known, found := r.find(request.Service, Stream(request.Asked)); found {
			answer.Build, answer.Known = known.build, true
		}
	}
	return answer, r.allKeepers()
}
