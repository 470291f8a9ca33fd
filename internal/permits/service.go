package permits

import (
	"context"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/membership"
	"lilacvane/internal/peer"
	"lilacvane/internal/wire"
)

const (
	methodAcquire = "permit-acquire"
	methodRelease = "permit-release"
	callTimeout   = 500 * time.Millisecond
	schedulerKey  = "weights/"
)

// Service asks the region's scheduler, which may be this node's own.
type Service struct {
	region     string
	limits     Limits
	membership *membership.Membership
	client     *peer.Client
	scheduler  *Scheduler
	// own hands out this node's share when the scheduler cannot be reached.
	own *Scheduler
}

// NewService returns the permits of a node in a region.
func NewService(region string, limits Limits, m *membership.Membership, client *peer.Client) *Service {
	return &Service{
		region: region, limits: limits, membership: m, client: client, scheduler: NewScheduler(limits),
		own: NewScheduler(Limits{LoadsPerSecond: limits.LoadsPerSecond, Concurrency: 1}),
	}
}

// Register adds the handlers other nodes call.
func (s *Service) Register(server *peer.Server) {
	peer.Handle(server, methodAcquire, func(_ context.Context, request wire.PermitRequest) (wire.PermitResponse, error) {
		wait := s.scheduler.Acquire(request.Holder, api.Class(request.Class), time.Now())
		return wire.PermitResponse{WaitMilliseconds: wait.Milliseconds()}, nil
	})
	peer.Handle(server, methodRelease, func(_ context.Context, request wire.PermitRequest) (wire.Empty, error) {
		s.scheduler.Release(request.Holder)
		return wire.Empty{}, nil
	})
}

// schedulerNode is the node whose scheduler the region uses.
func (s *Service) schedulerNode() (wire.Member, bool) {
	return s.membership.Owner(schedulerKey+s.region, func(m wire.Member) bool { return m.Region == s.region })
}

// Acquire asks for a permit; zero means that it is held, else it is the time
// after which to ask again.
func (s *Service) Acquire(ctx context.Context, holder string, class api.Class) time.Duration {
	member, found := s.schedulerNode()
	if !found {
		return s.own.Acquire(holder, class, time.Now())
	}
	if member.Node == s.membership.Self().Node {
		return s.scheduler.Acquire(holder, class, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response wire.PermitResponse
	request := wire.PermitRequest{Holder: holder, Class: uint8(class)}
	if err := s.client.Call(ctx, member.Address, methodAcquire, request, &response); err != nil {
		return s.own.Acquire(holder, class, time.Now())
	}
	return time.Duration(response.WaitMilliseconds) * time.Millisecond
}

// Release gives a permit back, wherever it came from. A release that is lost
// costs a place until the permit lapses.
func (s *Service) Release(holder string) {
	s.own.Release(holder)
	s.scheduler.Release(holder)
	member, found := s.schedulerNode()
	if !found || member.Node == s.membership.Self().Node {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var empty wire.Empty
		_ = s.client.Call(ctx, member.Address, methodRelease, wire.PermitRequest{Holder: holder}, &empty)
	}()
}
