package claims

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

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
	methodPrepare = "claim-prepare"
	methodAccept  = "claim-accept"
	methodReport  = "claim-report"
	methodSeal    = "claim-seal"
	methodInstall = "claim-install"
	callTimeout   = 700 * time.Millisecond
	claimPatience = 4 * time.Second
	backoff       = 20 * time.Millisecond
	maximumRounds = 1000
	retryAfter    = 2 * time.Second
	stepClaim     = "claim"
)

// Committer commits operations and takes them into force at this node.
type Committer interface {
	Apply(ctx context.Context, operation commit.Operation) (commit.Result, error)
}

// Dependencies are the parts of a node that claims use.
type Dependencies struct {
	Catalog    *catalog.Catalog
	Membership *membership.Membership
	Client     *peer.Client
	Committer  Committer
	Reader     *commit.Reader
	Logger     logr.Logger
	// Shards is the number of shards that the first node commits; later nodes
	// read the number from the catalog.
	Shards int
}

// Service proposes claims and looks after the groups. It is safe for concurrent
// use.
type Service struct {
	Dependencies
	acceptor   *Acceptor
	assignment *rendezvous.Assignment

	// refreshed is the revision of the groups taken last.
	refreshed atomic.Uint64
	mutex     sync.Mutex
	groups    []group
}

// group is the committed group of one shard.
type group struct {
	shard      uint32
	generation uint64
	spec       api.ClaimGroup
}

// New returns the claims service of a node.
func New(d Dependencies) *Service {
	self := d.Membership.Self()
	return &Service{Dependencies: d, acceptor: NewAcceptor(self.Node, self.Incarnation), assignment: rendezvous.NewAssignment()}
}

// Register adds the handlers other nodes call.
func (s *Service) Register(server *peer.Server) {
	peer.Handle(server, methodPrepare, func(_ context.Context, request wire.ClaimRequest) (wire.ClaimResponse, error) {
		return s.acceptor.Prepare(request)
	})
	peer.Handle(server, methodAccept, func(_ context.Context, request wire.ClaimRequest) (wire.ClaimResponse, error) {
		return s.acceptor.Accept(request)
	})
	peer.Handle(server, methodReport, func(_ context.Context, report wire.ClaimReport) (wire.Empty, error) {
		return wire.Empty{}, s.acceptor.Report(report)
	})
	peer.Handle(server, methodSeal, func(_ context.Context, request wire.SealRequest) (wire.SealResponse, error) {
		return s.acceptor.Seal(request)
	})
	peer.Handle(server, methodInstall, func(_ context.Context, request wire.InstallRequest) (wire.Empty, error) {
		s.acceptor.Install(request)
		return wire.Empty{}, nil
	})
}

// Refresh takes the committed groups from the catalog.
func (s *Service) Refresh() {
	newest := s.Catalog.Newest(api.KindClaimGroup)
	if s.refreshed.Swap(newest) == newest {
		return
	}
	objects := s.Catalog.List(api.KindClaimGroup)
	groups := make([]group, 0, len(objects))
	keys := make([]string, 0, len(objects))
	for index, object := range objects {
		spec, err := api.Decode[api.ClaimGroup](object)
		if err != nil {
			s.Logger.Error(err, "claim group not readable", "step", "refresh claims", "shard", object.Name)
			return
		}
		number := uint32(index)
		groups = append(groups, group{shard: number, generation: object.Generation, spec: spec})
		keys = append(keys, object.Name)
		s.acceptor.Configure(number, object.Generation, spec)
	}
	s.assignment.SetKeys(keys)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.groups = groups
}

// Ready reports whether claim groups are committed.
func (s *Service) Ready() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.groups) > 0
}

func (s *Service) groupOf(key string) (group, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.groups) == 0 {
		return group{}, false
	}
	return s.groups[xxhash.Sum64String(key)%uint64(len(s.groups))], true
}

// Claim is the right of one attempt to run the request under a key.
type Claim struct {
	service *Service
	key     string
	round   uint32
	attempt string
}

// Claim agrees with the key's group that attempt may run. Errors say that the
// request was not run by this attempt, or with duplicate_request what is known
// of the earlier attempt under the key.
func (s *Service) Claim(ctx context.Context, key, attempt string) (*Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimPatience)
	defer cancel()
	ballot := wire.Ballot{Number: 1, Node: attempt}
	var round uint32
	for round < maximumRounds {
		result, err := s.propose(ctx, key, round, ballot, attempt)
		switch {
		case err != nil:
			if !sleep(ctx) {
				failed := fault.From(err, stepClaim)
				return nil, &fault.Error{Code: fault.CodeClaimsUnavailable, Step: stepClaim, Peer: failed.Peer, Ran: fault.NotDone, RetryAfter: retryAfter, Cause: err}
			}
		case result.outcome == wire.ClaimNotRun:
			round++
			ballot.Number = 1
		case result.outcome == wire.ClaimRan:
			return nil, duplicate(key, fault.Done)
		case result.chosen == attempt:
			return &Claim{service: s, key: key, round: round, attempt: attempt}, nil
		case result.chosen != "":
			return nil, duplicate(key, fault.Unknown)
		default:
			ballot.Number = result.promised + 1
			if !sleep(ctx) {
				return nil, fault.New(fault.CodeClaimsUnavailable, stepClaim, "other attempts under the key were in the way").WithRetryAfter(retryAfter)
			}
		}
	}
	return nil, fault.New(fault.CodeClaimsUnavailable, stepClaim, "the key was given up too often")
}

func duplicate(key string, ran fault.Outcome) error {
	return &fault.Error{Code: fault.CodeDuplicate, Step: stepClaim, Peer: fault.Self, Ran: ran, Message: "an attempt under idempotency key " + strconv.Quote(key) + " was made before"}
}

func sleep(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(backoff + rand.N(backoff)):
		return true
	}
}

// proposal is what a round of prepare and accept found.
type proposal struct {
	chosen   string
	outcome  wire.ClaimOutcome
	promised uint64
}

// propose runs both phases at one ballot. An empty chosen means that a higher
// ballot, promised, was in the way.
func (s *Service) propose(ctx context.Context, key string, round uint32, ballot wire.Ballot, attempt string) (proposal, error) {
	g, ok := s.groupOf(key)
	if !ok {
		return proposal{}, fault.New(fault.CodeClaimsUnavailable, stepClaim, "no claim group is committed yet")
	}
	request := wire.ClaimRequest{Shard: g.shard, Generation: g.generation, Key: key, Round: round, Ballot: ballot}
	promises, err := s.gather(ctx, g, methodPrepare, request)
	if err != nil {
		return proposal{}, err
	}
	found := summarize(promises)
	if found.outcome != wire.ClaimOpen || found.granted <= len(g.spec.Members)/2 {
		return proposal{outcome: found.outcome, promised: found.promised}, nil
	}
	request.Attempt = attempt
	if found.attempt != "" {
		request.Attempt = found.attempt
	}
	accepts, err := s.gather(ctx, g, methodAccept, request)
	if err != nil {
		return proposal{}, err
	}
	voted := summarize(accepts)
	if voted.granted <= len(g.spec.Members)/2 {
		return proposal{outcome: voted.outcome, promised: voted.promised}, nil
	}
	return proposal{chosen: request.Attempt, outcome: voted.outcome}, nil
}

type summary struct {
	granted  int
	promised uint64
	accepted wire.Ballot
	attempt  string
	outcome  wire.ClaimOutcome
}

func summarize(responses []wire.ClaimResponse) summary {
	var total summary
	for _, response := range responses {
		if response.Granted {
			total.granted++
		}
		total.promised = max(total.promised, response.Promised.Number)
		total.outcome = max(total.outcome, response.Outcome)
		if response.Attempt != "" && (total.attempt == "" || total.accepted.Less(response.Accepted)) {
			total.accepted = response.Accepted
			total.attempt = response.Attempt
		}
	}
	return total
}

// gather calls all members and returns the answers of at least a majority, as
// soon as the rest cannot change the result or has failed.
func (s *Service) gather(ctx context.Context, g group, method string, request wire.ClaimRequest) ([]wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	type reply struct {
		response wire.ClaimResponse
		err      error
	}
	replies := make(chan reply, len(g.spec.Members))
	for _, member := range g.spec.Members {
		go func() {
			var response wire.ClaimResponse
			err := s.call(ctx, member, method, request, &response)
			replies <- reply{response, err}
		}()
	}
	majority := len(g.spec.Members)/2 + 1
	var responses []wire.ClaimResponse
	granted := 0
	var last error
	for range g.spec.Members {
		r := <-replies
		if r.err != nil {
			last = r.err
			continue
		}
		responses = append(responses, r.response)
		if r.response.Granted {
			granted++
		}
		if granted >= majority {
			break
		}
	}
	if len(responses) < majority {
		return nil, last
	}
	return responses, nil
}

// call reaches a member, which may be this node itself.
func (s *Service) call(ctx context.Context, member api.ClaimMember, method string, request wire.ClaimRequest, response *wire.ClaimResponse) error {
	if member.Node != s.acceptor.node || member.Incarnation != s.acceptor.incarnation {
		return s.Client.Call(ctx, member.Address, method, request, response)
	}
	var err error
	if method == methodPrepare {
		*response, err = s.acceptor.Prepare(request)
	} else {
		*response, err = s.acceptor.Accept(request)
	}
	return err
}

// Ran records that the request was run, or may have been.
func (c *Claim) Ran() { c.report(wire.ClaimRan) }

// NotRun gives the claim back: the request was certainly not run under it and
// never will be. A later request under the key may run.
func (c *Claim) NotRun() { c.report(wire.ClaimNotRun) }

// report tells all members and returns when a majority knows. If none can be
// reached the key stays claimed, which is safe.
func (c *Claim) report(outcome wire.ClaimOutcome) {
	deadline := time.Now().Add(claimPatience)
	for time.Now().Before(deadline) {
		if c.reportOnce(outcome) {
			return
		}
		time.Sleep(backoff)
	}
}

func (c *Claim) reportOnce(outcome wire.ClaimOutcome) bool {
	g, ok := c.service.groupOf(c.key)
	if !ok {
		return false
	}
	message := wire.ClaimReport{Shard: g.shard, Generation: g.generation, Key: c.key, Round: c.round, Attempt: c.attempt, Outcome: outcome}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	replies := make(chan error, len(g.spec.Members))
	for _, member := range g.spec.Members {
		go func() {
			var empty wire.Empty
			replies <- c.service.Client.Call(ctx, member.Address, methodReport, message, &empty)
		}()
	}
	known := 0
	for range g.spec.Members {
		if <-replies == nil {
			known++
		}
	}
	return known > len(g.spec.Members)/2
}
