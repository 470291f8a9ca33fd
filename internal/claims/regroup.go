package claims

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
	"lilacvane/internal/rendezvous"
	"lilacvane/internal/wire"
)

const (
	groupSize     = 3
	regroupEvery  = 500 * time.Millisecond
	regroupWindow = 8 * time.Second
	expireEvery   = time.Minute
	bootstrapKey  = "claims-bootstrap"
	stepRegroup   = "regroup claims"
)

// Run commits the first groups if there are none, and replaces members that are
// gone, leaving or restarted, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(regroupEvery)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.assignment.SetNodes(s.aliveNodes())
		if err := s.look(ctx); err != nil {
			failure := fault.From(err, stepRegroup)
			s.Logger.V(1).Info("claim groups not changed", "step", failure.Step, "peer", failure.Peer, "error", err.Error())
		}
		if time.Since(expired) > expireEvery {
			expired = time.Now()
			s.acceptor.Expire(expired)
		}
	}
}

func (s *Service) aliveNodes() []string {
	var nodes []string
	for _, member := range s.Membership.Alive() {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

func (s *Service) look(ctx context.Context) error {
	s.mutex.Lock()
	groups := s.groups
	s.mutex.Unlock()
	self := s.Membership.Self()
	if len(groups) == 0 {
		if rendezvous.Choose(bootstrapKey, s.aliveNodes()) != self.Node {
			return nil
		}
		return s.bootstrap(ctx)
	}
	for _, g := range groups {
		if s.assignment.Owner(ShardName(g.shard)) != self.Node {
			continue
		}
		members := s.members(g)
		if sameMembers(members, g.spec.Members) {
			continue
		}
		if err := s.regroup(ctx, g, members); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) bootstrap(ctx context.Context) error {
	operation := commit.Operation{ID: "claims-" + rand.Text(), Author: s.acceptor.node}
	for number := range uint32(s.Shards) {
		spec, err := json.Marshal(api.ClaimGroup{Members: s.members(group{shard: number})})
		if err != nil {
			return fault.From(err, stepRegroup)
		}
		key := api.Key{Kind: api.KindClaimGroup, Name: ShardName(number)}
		operation.Changes = append(operation.Changes, commit.Change{Key: key, Spec: spec})
	}
	return s.commit(ctx, operation)
}

func (s *Service) commit(ctx context.Context, operation commit.Operation) error {
	_, err := s.Committer.Apply(ctx, operation)
	return err
}

// members chooses the group a shard should have: the members that are still
// there, filled up by rank with nodes of zones not yet present, then of any.
func (s *Service) members(g group) []api.ClaimMember {
	var members []api.ClaimMember
	zones := make(map[string]struct{})
	for _, member := range g.spec.Members {
		if s.usable(member) {
			members = append(members, member)
			zones[member.Zone] = struct{}{}
		}
	}
	ranked := rendezvous.Rank(ShardName(g.shard), s.aliveNodes(), len(s.aliveNodes()))
	for _, freshZone := range []bool{true, false} {
		for _, node := range ranked {
			member, ok := s.Membership.Get(node)
			_, present := zones[member.Zone]
			if !ok || len(members) == groupSize || holds(members, node) || present == freshZone {
				continue
			}
			members = append(members, api.ClaimMember{Node: node, Incarnation: member.Incarnation, Address: member.Address, Zone: member.Zone})
			zones[member.Zone] = struct{}{}
		}
	}
	return members
}

// usable tells whether a member is still the incarnation that was committed and
// neither dead nor leaving.
func (s *Service) usable(member api.ClaimMember) bool {
	current, known := s.Membership.Get(member.Node)
	present := current.State == wire.MemberAlive || current.State == wire.MemberSuspect
	return known && present && current.Incarnation == member.Incarnation
}

func holds(members []api.ClaimMember, node string) bool {
	for _, member := range members {
		if member.Node == node {
			return true
		}
	}
	return false
}

func sameMembers(left, right []api.ClaimMember) bool {
	if len(left) != len(right) {
		return false
	}
	for _, member := range left {
		if !slices.Contains(right, member) {
			return false
		}
	}
	return true
}

// regroup hands a shard to new members: seal a majority of the old group, merge
// what it knows, install that at every new member, commit the new group. It
// seals nothing unless the table answers, so an outage of the table leaves the
// old group at work.
func (s *Service) regroup(ctx context.Context, g group, members []api.ClaimMember) error {
	ctx, cancel := context.WithTimeout(ctx, regroupWindow)
	defer cancel()
	if _, err := s.Reader.Head(ctx); err != nil {
		return err
	}
	records, err := s.seal(ctx, g)
	if err != nil {
		return err
	}
	staging := rand.Text()
	for _, member := range members {
		request := wire.InstallRequest{Shard: g.shard, Staging: staging, Records: records}
		var empty wire.Empty
		if err := s.Client.Call(ctx, member.Address, methodInstall, request, &empty); err != nil {
			return err
		}
	}
	spec, err := json.Marshal(api.ClaimGroup{Members: members, Staging: staging})
	if err != nil {
		return fault.From(err, stepRegroup)
	}
	key := api.Key{Kind: api.KindClaimGroup, Name: ShardName(g.shard)}
	change := commit.Change{Key: key, Expected: g.generation, Spec: spec}
	return s.commit(ctx, commit.Operation{ID: "claims-" + staging, Author: s.acceptor.node, Changes: []commit.Change{change}})
}

func (s *Service) seal(ctx context.Context, g group) ([]wire.ClaimRecord, error) {
	var answers [][]wire.ClaimRecord
	var last error
	for _, member := range g.spec.Members {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		var response wire.SealResponse
		err := s.Client.Call(callContext, member.Address, methodSeal, wire.SealRequest{Shard: g.shard, Generation: g.generation}, &response)
		cancel()
		if err != nil {
			last = err
			continue
		}
		answers = append(answers, response.Records)
	}
	if len(answers) <= len(g.spec.Members)/2 {
		return nil, fault.At(fault.CodeClaimsUnavailable, "seal claims", fault.From(last, "seal claims").Peer, fault.NotDone, last)
	}
	return Merge(answers), nil
}

// Lost returns the shards that have lost a majority of their members, with what
// those remembered. They refuse claims until Reset.
func (s *Service) Lost() []uint32 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var lost []uint32
	for _, g := range s.groups {
		usable := 0
		for _, member := range g.spec.Members {
			if s.usable(member) {
				usable++
			}
		}
		if usable <= len(g.spec.Members)/2 {
			lost = append(lost, g.shard)
		}
	}
	return lost
}

// Reset gives the lost shards new, empty groups. It is an operator's decision:
// keys of requests that ran before are forgotten.
func (s *Service) Reset(ctx context.Context, author string) (int, error) {
	lost := s.Lost()
	if len(lost) == 0 {
		return 0, nil
	}
	operation := commit.Operation{ID: "claims-reset-" + rand.Text(), Author: author}
	s.mutex.Lock()
	for _, number := range lost {
		g := s.groups[number]
		spec, err := json.Marshal(api.ClaimGroup{Members: s.members(g)})
		if err != nil {
			s.mutex.Unlock()
			return 0, fault.From(err, stepRegroup)
		}
		key := api.Key{Kind: api.KindClaimGroup, Name: ShardName(number)}
		operation.Changes = append(operation.Changes, commit.Change{Key: key, Expected: g.generation, Spec: spec})
	}
	s.mutex.Unlock()
	return len(lost), s.commit(ctx, operation)
}

// Holds reports whether this node is a member of any committed group.
func (s *Service) Holds() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, g := range s.groups {
		if holds(g.spec.Members, s.acceptor.node) {
			return true
		}
	}
	return false
}
