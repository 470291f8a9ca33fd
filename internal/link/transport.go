package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"lilacvane/internal/answer"
)

// minSilence is the minimum time without an answer that indicates a silent connection. A working
// peer answers within a few milliseconds.
const minSilence = 200 * time.Millisecond

// Transport sends HTTP requests over connections of one kind. If an idle connection turns out to be
// silent, it drops all idle ones. It is safe for concurrent use.
type Transport struct {
	kind   Kind
	base   *http.Transport
	record *Record

	mutex sync.Mutex
	// dropped is when the idle connections were last dropped.
	dropped time.Time
}

// NewTransport returns a transport that keeps up to idleAll idle connections, and up to idlePerPeer
// for each peer, for the MaxIdle of the kind. record may be nil.
func NewTransport(kind Kind, record *Record, idleAll, idlePerPeer int) *Transport {
	t := &Transport{kind: kind, record: record}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := kind.Dial(ctx, network, address)
		if err == nil {
			record.Dialed(kind)
		}
		return conn, err
	}
	t.base = &http.Transport{
		MaxIdleConns: idleAll, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: kind.Bounds().MaxIdle, DisableCompression: true, DialContext: dial,
		MaxResponseHeaderBytes: answer.MaxHead,
	}
	return t
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// connectionUse is the use of a connection by a request. It is safe for concurrent use.
type connectionUse struct {
	mutex sync.Mutex
	// takenAt is when the request got the connection; zero if it got none.
	takenAt time.Time
	// wasIdle is set if the connection was idle before, answered once a response has begun.
	wasIdle  bool
	answered bool
}

func (u *connectionUse) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			u.mutex.Lock()
			defer u.mutex.Unlock()
			u.takenAt, u.wasIdle, u.answered = time.Now(), info.WasIdle, false
		},
		GotFirstResponseByte: func() {
			u.mutex.Lock()
			defer u.mutex.Unlock()
			u.answered = true
		},
	}
}

// RoundTrip sends a request. It implements http.RoundTripper. An answer whose head the protocol does not allow is an
// error, after which the request may have run.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	u := &connectionUse{}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, u.trace())))
	if err != nil {
		t.checkSilence(ctx, request, u, err)
		return nil, err
	}
	if err := answer.Check(response); err != nil {
		// The head is the error that counts.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkSilence determines from a failed call whether its connection was silent, and if so drops the
// idle connections.
func (t *Transport) checkSilence(ctx context.Context, request *http.Request, u *connectionUse, err error) {
	u.mutex.Lock()
	at, mute := u.takenAt, u.wasIdle && !u.answered
	u.mutex.Unlock()
	if at.IsZero() {
		return
	}
	waited := time.Since(at)
	mute = mute && waited >= minSilence && errors.Is(ctx.Err(), context.DeadlineExceeded)
	reason := Mute
	if AckTimedOut(err) {
		reason = Unacknowledged
	} else if !mute {
		return
	}
	t.record.Silent(t.kind, reason, request.Method+" "+request.URL.Path, request.URL.Host, waited, err)
	t.dropIdle(at)
}

// dropIdle drops the idle connections unless that was done after the silent connection was taken:
// the current idle ones are newer then.
func (t *Transport) dropIdle(taken time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.dropped.After(taken) {
		return
	}
	t.dropped = time.Now()
	t.base.CloseIdleConnections()
}
