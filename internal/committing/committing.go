// Package committing sends operations to the one node that commits for the
// fleet, so that they go together instead of in each other's way. Which node
// that is, is soft: any node may commit at any time, the table's conditions keep
// that safe, and the operation's id keeps it single.
package committing

import (
	"context"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
	"lilacvane/internal/membership"
	"lilacvane/internal/peer"
	"lilacvane/internal/wire"
)

const (
	method       = "commit"
	committerKey = "committer"
	callTimeout  = 8 * time.Second
)

// Service commits operations for this node and, if it is the fleet's committer,
// for others.
type Service struct {
	membership *membership.Membership
	client     *peer.Client
	direct     *commit.Committer
	queue      *commit.Queue
	injected   func([]wire.Entry)
}

// New returns the service; injected takes entries that were committed.
func New(m *membership.Membership, client *peer.Client, direct *commit.Committer, injected func([]wire.Entry)) *Service {
	return &Service{membership: m, client: client, direct: direct, queue: commit.NewQueue(direct, injected), injected: injected}
}

// Register adds the handler other nodes call.
func (s *Service) Register(server *peer.Server) {
	peer.Handle(server, method, func(ctx context.Context, request wire.CommitRequest) (wire.CommitResponse, error) {
		result, err := s.queue.Apply(ctx, fromWire(request))
		return wire.CommitResponse{Revision: result.Revision, Entry: result.Entry}, err
	})
}

// Run commits for the fleet until ctx ends.
func (s *Service) Run(ctx context.Context) { s.queue.Run(ctx) }

// Apply commits an operation through the fleet's committer, or itself when that
// does not give a definite answer: the operation's id makes the second way find
// what the first may have done.
func (s *Service) Apply(ctx context.Context, operation commit.Operation) (commit.Result, error) {
	member, found := s.membership.Owner(committerKey, func(wire.Member) bool { return true })
	if !found || member.Node == s.membership.Self().Node {
		return s.queue.Apply(ctx, operation)
	}
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response wire.CommitResponse
	err := s.client.Call(callContext, member.Address, method, toWire(operation), &response)
	if err == nil {
		return s.taken(operation, response), nil
	}
	if fault.IsCode(err, fault.CodeConflict) || fault.IsCode(err, fault.CodeInvalid) || fault.IsCode(err, fault.CodeStoreUnavailable) {
		return commit.Result{}, err
	}
	result, err := s.direct.Resolve(ctx, operation, fault.OutcomeOf(err) == fault.Unknown)
	if err == nil && result.Entry != nil {
		s.injected([]wire.Entry{*result.Entry})
	}
	return result, err
}

func (s *Service) taken(operation commit.Operation, response wire.CommitResponse) commit.Result {
	if response.Entry != nil {
		s.injected([]wire.Entry{*response.Entry})
	}
	return commit.Result{Operation: operation.ID, Revision: response.Revision, Entry: response.Entry}
}

func toWire(operation commit.Operation) wire.CommitRequest {
	request := wire.CommitRequest{ID: operation.ID, Author: operation.Author}
	for _, change := range operation.Changes {
		request.Changes = append(request.Changes, wire.CommitChange{
			Kind: change.Key.Kind, Name: change.Key.Name, Expected: change.Expected, Spec: change.Spec, Delete: change.Delete,
		})
	}
	for _, requirement := range operation.Requires {
		request.Requires = append(request.Requires, wire.CommitChange{Kind: requirement.Key.Kind, Name: requirement.Key.Name, Expected: requirement.Generation})
	}
	return request
}

func fromWire(request wire.CommitRequest) commit.Operation {
	operation := commit.Operation{ID: request.ID, Author: request.Author}
	for _, change := range request.Changes {
		key := api.Key{Kind: change.Kind, Name: change.Name}
		operation.Changes = append(operation.Changes, commit.Change{Key: key, Expected: change.Expected, Spec: change.Spec, Delete: change.Delete})
	}
	for _, required := range request.Requires {
		key := api.Key{Kind: required.Kind, Name: required.Name}
		operation.Requires = append(operation.Requires, commit.Requirement{Key: key, Generation: required.Expected})
	}
	return operation
}
