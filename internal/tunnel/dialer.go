package tunnel

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/peer"
	"lilacvane/internal/place"
	"lilacvane/internal/wire"
)

const (
	// maxPeers bounds the peers that are asked for one connection: each may have lost the path to the
	// runner as well.
	maxPeers = 4
	// peerStagger is the time without an answer after which one more peer is asked.
	peerStagger = 100 * time.Millisecond
	// OpenTimeout bounds Dial: the peers are asked one after the other, and each may take as long as an
	// attempt to connect to the runner.
	OpenTimeout = 900 * time.Millisecond
	// peerPause is how long a peer that did not help is asked only after the others,
	// unsupportedPause the same for one that does not know the call.
	peerPause        = time.Second
	unsupportedPause = time.Minute
	// preferredPeers is among how many peers, nearest first, the first one is drawn.
	preferredPeers = 3
	// maxRemembered bounds the runners for which it is remembered which peers reach them, and the peers
	// whose regions are remembered.
	maxRemembered = 1024
)

// Upgrade makes a call to a peer after which the connection belongs to the caller; see
// peer.Client.Upgrade.
type Upgrade func(ctx context.Context, address, method string, request, response any) (*peer.Upgraded, error)

// Peer is a node that may carry connections to runners.
type Peer struct {
	Address string
	// Region is its region; empty if not known.
	Region place.Region
}

// Dialer connects to runners through peers. It is safe for concurrent use.
type Dialer struct {
	upgrade Upgrade
	// fallback returns addresses of peers while none were set.
	fallback func() []string
	log      logr.Logger

	mutex sync.Mutex
	// peers are nodes that are believed to reach the runners, nearest first.
	peers []Peer
	// stated holds the regions that peers stated when they were asked, by address.
	stated map[string]place.Region
	// paused maps peers that did not help to the end of their pause.
	paused map[string]time.Time
	// refused maps peers that refused connections, as their processes have ended, to when they are asked
	// again.
	refused map[string]time.Time
	// reached maps runners to what is known of the peers that reach them; helped maps peers to when
	// they last reached any.
	reached map[string]*knownPeers
	helped  map[string]time.Time
}

// knownPeers is what is known of the peers that reach a runner.
type knownPeers struct {
	// last is the peer that reached it last.
	last string
	// unreached maps peers that did not reach it to the end of their pause.
	unreached map[string]time.Time
}

// NewDialer returns a Dialer that asks peers by upgrade. fallback returns the addresses of some
// peers, for as long as SetPeers was not called.
func NewDialer(upgrade Upgrade, fallback func() []string, log logr.Logger) *Dialer {
	return &Dialer{upgrade: upgrade, fallback: fallback, log: log, stated: make(map[string]place.Region), paused: make(map[string]time.Time), refused: make(map[string]time.Time), reached: make(map[string]*knownPeers), helped: make(map[string]time.Time)}
}

// SetPeers replaces the peers to ask, nearest first.
func (d *Dialer) SetPeers(peers []Peer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers = peers
}

// UnreachedError means that peers do not reach the runner either.
type UnreachedError struct {
	// Refused is set if the runner's address refused the connection of a peer.
	Refused bool
}

// Error describes what the peers answered.
func (e *UnreachedError) Error() string {
	if e.Refused {
		return "the runner refuses connections of peers"
	}
	return "peers do not reach the runner"
}

var (
	// ErrNoPeer means that this node knows no other node.
	ErrNoPeer error = fault.New(fault.CodeNotReady, wire.MethodTunnel, "no peer is known")
	// ErrNoPeerInHomes means that this node knows no other node in the homes of a request.
	ErrNoPeerInHomes error = fault.New(fault.CodeNotReady, wire.MethodTunnel, "no peer is known in the homes")
)

// attempt is the outcome of asking one peer.
type attempt struct {
	peer string
	conn *Conn
	// reached is set if the peer answered; refused as in UnreachedError.
	reached, refused bool
	err              error
}

// Dial connects to a runner through a peer in one of the homes. It returns an UnreachedError if peers
// answered that they do not reach the runner, and another error if no peer answered that or none was
// asked before ctx ended.
func (d *Dialer) Dial(ctx context.Context, runner, address string, homes place.Homes) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, OpenTimeout)
	defer cancel()
	search := &search{dialer: d, ctx: ctx, request: wire.TunnelRequest{Runner: runner, Address: address}, homes: homes, order: d.order(runner, homes), results: make(chan attempt, maxPeers)}
	switch {
	case len(search.order) > 0:
	case homes.Restricted():
		return nil, ErrNoPeerInHomes
	default:
		return nil, ErrNoPeer
	}
	// The attempts that are still open end with ctx.
	defer func() { go discard(search.results, search.open) }()
	return search.run()
}

// search asks peers for a connection to a runner, one after the other, until one has it.
type search struct {
	dialer  *Dialer
	ctx     context.Context
	request wire.TunnelRequest
	homes   place.Homes
	// order are the peers to ask; asked counts those that were, open those that did not answer yet.
	order       []string
	asked, open int
	results     chan attempt
	// unreached and refused are set if a peer answered that it does not reach the runner, and that
	// the runner refuses connections; last is the last error of a peer that gave no answer.
	unreached, refused bool
	last               error
}

// run returns the first connection.
func (s *search) run() (*Conn, error) {
	stagger := time.NewTicker(peerStagger)
	defer stagger.Stop()
	s.askNext()
	for s.open > 0 {
		select {
		case <-stagger.C:
			s.askNext()
		case result := <-s.results:
			s.open--
			if result.conn != nil && s.admits(result.conn) {
				s.dialer.remember(s.request.Runner, result.peer)
				return result.conn, nil
			}
			s.record(result)
			s.askNext()
		}
	}
	switch {
	case s.unreached:
		return nil, &UnreachedError{Refused: s.refused}
	case s.asked == 0:
		return nil, context.Cause(s.ctx)
	default:
		return nil, s.last
	}
}

// askNext asks the next peer, if there is one and the search goes on.
func (s *search) askNext() {
	if s.asked == len(s.order) || s.ctx.Err() != nil {
		return
	}
	peer := s.order[s.asked]
	s.asked++
	s.open++
	go func() { s.results <- s.dialer.ask(s.ctx, peer, s.request) }()
}

// admits reports whether a connection leads through the homes, and closes it if not: only the peer
// itself states its region with certainty.
func (s *search) admits(conn *Conn) bool {
	s.dialer.learnRegion(conn)
	if s.homes.Allows(conn.Region) {
		return true
	}
	_ = conn.Close()
	return false
}

// record records a peer's answer without a connection that can be used.
func (s *search) record(result attempt) {
	switch {
	case result.conn != nil:
		s.last = ErrNoPeerInHomes
	case result.reached:
		s.unreached, s.refused = true, s.refused || result.refused
		s.dialer.avoid(s.request.Runner, result.peer)
	default:
		s.last = result.err
		if s.ctx.Err() == nil {
			s.dialer.pause(result)
		}
	}
}

// ask asks one peer for a connection to a runner.
func (d *Dialer) ask(ctx context.Context, address string, request wire.TunnelRequest) attempt {
	var response wire.TunnelResponse
	upgraded, err := d.upgrade(ctx, address, wire.MethodTunnel, request, &response)
	switch {
	case err != nil:
		return attempt{peer: address, err: err}
	case upgraded == nil:
		return attempt{peer: address, reached: true, refused: response.Refused}
	default:
		return attempt{peer: address, reached: true, conn: newConn(upgraded, address)}
	}
}

// discard closes what the attempts that are not needed any more still open.
func discard(results <-chan attempt, open int) {
	for range open {
		if result := <-results; result.conn != nil {
			_ = result.conn.Close()
		}
	}
}

// order returns the peers to ask for a runner, in this order: the one that reached it last, those that
// reached others lately, one of the nearest, one of the others, and last those that did not help. Peers
// outside the homes are not among them; those whose regions are not known are.
func (d *Dialer) order(runner string, homes place.Homes) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	var peers []string
	for _, peer := range d.known() {
		if !now.Before(d.refused[peer.Address]) && d.mayBeIn(peer, homes) {
			peers = append(peers, peer.Address)
		}
	}
	near := peers[:min(preferredPeers, len(peers))]
	far := peers[len(near):]
	shuffle(near)
	shuffle(far)
	if len(near) > 1 && len(far) > 0 {
		// The nearest peers may have lost the same links.
		near[1], far[0] = far[0], near[1]
	}
	known := d.reached[runner]
	slices.SortStableFunc(peers, func(a, b string) int { return d.rank(known, a, now) - d.rank(known, b, now) })
	return peers[:min(maxPeers, len(peers))]
}

// known returns the peers that were set, or those of fallback. mutex must be held.
func (d *Dialer) known() []Peer {
	if len(d.peers) > 0 {
		return d.peers
	}
	var peers []Peer
	for _, address := range d.fallback() {
		peers = append(peers, Peer{Address: address})
	}
	return peers
}

// mayBeIn reports whether a peer may be in one of the homes: it is, or its region is not known. mutex
// must be held.
func (d *Dialer) mayBeIn(peer Peer, homes place.Homes) bool {
	if peer.Region != "" {
		return homes.Allows(peer.Region)
	}
	region, stated := d.stated[peer.Address]
	return !stated || homes.Allows(region)
}

// learnRegion remembers the region that the peer of a connection stated.
func (d *Dialer) learnRegion(conn *Conn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.stated) >= maxRemembered {
		clear(d.stated)
	}
	d.stated[conn.Peer] = conn.Region
}

// helpedLifetime is how long a peer that reached a runner is asked before others, also for others.
const helpedLifetime = 5 * time.Second

// rank returns how early a peer is asked, the lowest first. mutex must be held.
func (d *Dialer) rank(known *knownPeers, peer string, now time.Time) int {
	switch {
	case now.Before(d.paused[peer]):
		return 4
	case known != nil && now.Before(known.unreached[peer]):
		return 3
	case known != nil && peer == known.last:
		return 0
	case now.Sub(d.helped[peer]) < helpedLifetime:
		return 1
	default:
		return 2
	}
}

func shuffle(peers []string) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// pause makes a peer that gave no answer be asked after the others for a while.
func (d *Dialer) pause(failed attempt) {
	pause := peerPause
	if fault.IsCode(failed.err, fault.CodeUnsupportedVersion) {
		pause = unsupportedPause
	}
	d.log.Info("peer not usable", "step", wire.MethodTunnel, "peer", failed.peer, "error", failed.err.Error())
	d.setPause(failed.peer, pause)
	if errors.Is(failed.err, syscall.ECONNREFUSED) {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.refused[failed.peer] = time.Now().Add(peerPause)
	}
}

// remember records that a peer reached a runner.
func (d *Dialer) remember(runner, peer string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.knownPeers(runner)
	known.last = peer
	delete(known.unreached, peer)
	d.helped[peer] = time.Now()
}

// avoid records that a peer did not reach a runner.
func (d *Dialer) avoid(runner, peer string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.knownPeers(runner)
	if known.last == peer {
		known.last = ""
	}
	known.unreached[peer] = time.Now().Add(peerPause)
}

// knownPeers returns what is known of the peers that reach a runner. mutex must be held.
func (d *Dialer) knownPeers(runner string) *knownPeers {
	known := d.reached[runner]
	if known == nil {
		if len(d.reached) >= maxRemembered {
			clear(d.reached)
		}
		known = &knownPeers{unreached: make(map[string]time.Time)}
		d.reached[runner] = known
	}
	return known
}

func (d *Dialer) setPause(peer string, pause time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.paused[peer] = time.Now().Add(pause)
}

// Failed records that the connection to a peer broke or went silent during an exchange.
func (d *Dialer) Failed(peer string) { d.setPause(peer, peerPause) }
