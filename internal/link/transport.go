package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// muteLimit is the least time without an answer that tells of a silent connection:
// an answer of a peer that works comes within some milliseconds.
const muteLimit = 200 * time.Millisecond

// Transport sends HTTP requests of one kind. A connection that rested and is found
// silent makes it drop all that rest. Its methods may be called concurrently.
type Transport struct {
	kind   Kind
	base   *http.Transport
	record *Record

	mutex sync.Mutex
	// dropped is when resting connections were dropped last.
	dropped time.Time
}

// NewTransport returns a transport that keeps resting connections, in all and for
// each peer, as long as the kind's may rest. record may be nil.
func NewTransport(kind Kind, record *Record, idleAll, idlePerPeer int) *Transport {
	t := &Transport{kind: kind, record: record}
	dialer := kind.Dialer()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			record.Dialed(kind)
		}
		return conn, err
	}
	t.base = &http.Transport{
		MaxIdleConns: idleAll, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: kind.Bounds().Rest, DisableCompression: true, DialContext: dial,
	}
	return t
}

// CloseIdleConnections drops what rests.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// use is the connection that carries a request.
type use struct {
	mutex    sync.Mutex
	at       time.Time
	rested   bool
	answered bool
}

func (u *use) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			u.mutex.Lock()
			defer u.mutex.Unlock()
			u.at, u.rested, u.answered = time.Now(), info.WasIdle, false
		},
		GotFirstResponseByte: func() {
			u.mutex.Lock()
			defer u.mutex.Unlock()
			u.answered = true
		},
	}
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	u := &use{}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, u.trace())))
	if err != nil {
		t.judge(ctx, request, u, err)
	}
	return response, err
}

// judge tells from a failed call whether its connection was silent.
func (t *Transport) judge(ctx context.Context, request *http.Request, u *use, err error) {
	u.mutex.Lock()
	at, mute := u.at, u.rested && !u.answered
	u.mutex.Unlock()
	if at.IsZero() {
		return
	}
	waited := time.Since(at)
	mute = mute && waited >= muteLimit && errors.Is(ctx.Err(), context.DeadlineExceeded)
	reason := Mute
	if Lost(err) {
		reason = Unacknowledged
	} else if !mute {
		return
	}
	t.record.Silent(t.kind, reason, request.Method+" "+request.URL.Path, request.URL.Host, waited, err)
	t.distrust(at)
}

// distrust drops what rests, unless that was done since the silent connection was
// taken up: what rests now is newer.
func (t *Transport) distrust(taken time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.dropped.After(taken) {
		return
	}
	t.dropped = time.Now()
	t.base.CloseIdleConnections()
}
