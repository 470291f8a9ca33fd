package tunnel

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

const (
	// maxPeers bounds the peers that are asked for one connection. maxUnreached is how many of
	// them need to answer that they do not reach the runner either to be believed.
	maxPeers     = 3
	maxUnreached = 2
	// peerStagger is the time without an answer after which one more peer is asked.
	peerStagger = 150 * time.Millisecond
	// openTimeout bounds an attempt: two attempts to connect, one of them at another region's
	// distance.
	openTimeout = 800 * time.Millisecond
	// peerPause is how long a peer that did not help is asked only after the others,
	// unsupportedPause the same for one that does not know the call.
	peerPause        = time.Second
	unsupportedPause = time.Minute
	// preferredPeers is among how many peers, nearest first, the first one is drawn.
	preferredPeers = 3
)

// Upgrade makes a call to a peer after which the connection belongs to the caller; see
// peer.Client.Upgrade.
type Upgrade func(ctx context.Context, address, method string, request, response any) (net.Conn, *bufio.Reader, error)

// Dialer connects to runners through peers. It is safe for concurrent use.
type Dialer struct {
	upgrade Upgrade
	// fallback returns addresses of peers while none were set.
	fallback func() []string
	log      logr.Logger

	mutex sync.Mutex
	// peers are the addresses of nodes that are believed to reach the runners, nearest first.
	peers []string
	// paused maps peers that did not help to the end of their pause.
	paused map[string]time.Time
}

// NewDialer returns a Dialer that asks peers by upgrade. fallback returns the addresses of some
// peers, for as long as SetPeers was not called.
func NewDialer(upgrade Upgrade, fallback func() []string, log logr.Logger) *Dialer {
	return &Dialer{upgrade: upgrade, fallback: fallback, log: log, paused: make(map[string]time.Time)}
}

// SetPeers replaces the addresses of the peers to ask, nearest first.
func (d *Dialer) SetPeers(addresses []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers = addresses
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

// ErrNoPeer means that this node knows no other node.
var ErrNoPeer error = fault.New(fault.CodeNotReady, wire.MethodTunnel, "no peer is known")

// attempt is the outcome of asking one peer.
type attempt struct {
	peer string
	conn *Conn
	// reached is set if the peer answered; refused as in UnreachedError.
	reached, refused bool
	err              error
}

// Dial connects to a runner through a peer. It returns an UnreachedError if peers answered that
// they do not reach the runner, and another error if no peer answered that.
func (d *Dialer) Dial(ctx context.Context, runner, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	order := d.order()
	if len(order) == 0 {
		return nil, ErrNoPeer
	}
	results := make(chan attempt, len(order))
	request := wire.TunnelRequest{Runner: runner, Address: address}
	next, open := 0, 0
	ask := func() {
		peer := order[next]
		next, open = next+1, open+1
		go func() { results <- d.ask(ctx, peer, request) }()
	}
	// The attempts that are still open end with ctx.
	defer func() { go discard(results, open) }()
	ask()
	stagger := time.NewTicker(peerStagger)
	defer stagger.Stop()
	var unreached []attempt
	var last error
	for open > 0 {
		select {
		case <-stagger.C:
			if next < len(order) {
				ask()
			}
			continue
		case result := <-results:
			open--
			switch {
			case result.conn != nil:
				d.pauseOthers(unreached)
				return result.conn, nil
			case result.reached:
				unreached = append(unreached, result)
			default:
				d.pause(result)
				last = result.err
			}
		}
		if len(unreached) == maxUnreached {
			break
		}
		if next < len(order) {
			ask()
		}
	}
	if len(unreached) > 0 {
		return nil, &UnreachedError{Refused: slices.ContainsFunc(unreached, func(a attempt) bool { return a.refused })}
	}
	return nil, last
}

// ask asks one peer for a connection to a runner.
func (d *Dialer) ask(ctx context.Context, peer string, request wire.TunnelRequest) attempt {
	var response wire.TunnelResponse
	conn, reader, err := d.upgrade(ctx, peer, wire.MethodTunnel, request, &response)
	switch {
	case err != nil:
		return attempt{peer: peer, err: err}
	case conn == nil:
		return attempt{peer: peer, reached: true, refused: response.Refused}
	default:
		return attempt{peer: peer, reached: true, conn: newConn(conn, reader, peer)}
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

// order returns the peers to ask, in this order: one of the nearest first, those that did not
// help lately last.
func (d *Dialer) order() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	peers := slices.Clone(d.peers)
	if len(peers) == 0 {
		peers = slices.Clone(d.fallback())
	}
	near := peers[:min(preferredPeers, len(peers))]
	far := peers[len(near):]
	shuffle(near)
	shuffle(far)
	if len(near) > 1 && len(far) > 0 {
		// The nearest peers may have lost the same links.
		near[1], far[0] = far[0], near[1]
	}
	now := time.Now()
	slices.SortStableFunc(peers, func(a, b string) int { return d.pausedAt(a, now) - d.pausedAt(b, now) })
	return peers[:min(maxPeers, len(peers))]
}

func shuffle(peers []string) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// pausedAt returns 1 for a peer whose pause is not over, else 0. mutex must be held.
func (d *Dialer) pausedAt(peer string, now time.Time) int {
	if until, paused := d.paused[peer]; paused {
		if now.Before(until) {
			return 1
		}
		delete(d.paused, peer)
	}
	return 0
}

// pause makes a peer that gave no answer be asked after the others for a while.
func (d *Dialer) pause(failed attempt) {
	pause := peerPause
	if fault.IsCode(failed.err, fault.CodeUnsupportedVersion) {
		pause = unsupportedPause
	}
	d.log.Info("peer not usable", "step", wire.MethodTunnel, "peer", failed.peer, "error", failed.err.Error())
	d.setPause(failed.peer, pause)
}

// pauseOthers is pause for peers that do not reach a runner that another peer reaches.
func (d *Dialer) pauseOthers(unreached []attempt) {
	for _, a := range unreached {
		d.setPause(a.peer, peerPause)
	}
}

func (d *Dialer) setPause(peer string, pause time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.paused[peer] = time.Now().Add(pause)
}

// Failed records that the connection to a peer broke or went silent during an exchange.
func (d *Dialer) Failed(peer string) { d.setPause(peer, peerPause) }
