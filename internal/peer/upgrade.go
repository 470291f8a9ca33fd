package peer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"lilacvane/internal/answer"
	"lilacvane/internal/fault"
	"lilacvane/internal/link"
	"lilacvane/internal/place"
	"lilacvane/internal/wire"
)

// protocolTunnel names, in the Upgrade header, what a connection is used for after a call that
// takes it over.
const protocolTunnel = "lilacvane-tunnel"

// Caller identifies the node that made a call.
type Caller string

// Takeover uses a connection after the call that opened it, and closes it. reader may have
// buffered what arrived.
type Takeover func(conn net.Conn, reader *bufio.Reader)

// Upgraded is a connection that its peer has taken over.
type Upgraded struct {
	net.Conn
	// Reader reads from Conn; it may have buffered what arrived.
	Reader *bufio.Reader
	// Region is the region that the peer stated; empty if it stated none.
	Region place.Region
}

// HandleUpgrade registers the handler of a method whose connection is used for something else
// after the call. If the handler returns no Takeover, its response is sent instead.
func HandleUpgrade[Request, Response any](s *Server, method string, handler func(context.Context, Caller, Request) (Takeover, Response, error)) {
	s.mux.HandleFunc("POST "+pathPrefix+method, func(w http.ResponseWriter, r *http.Request) {
		s.answerRegion(w, r)
		var request Request
		from := r.Header.Get(headerFrom)
		if !s.readRequest(w, r, method, &request) {
			return
		}
		takeover, response, err := handler(r.Context(), Caller(from), request)
		switch {
		case err != nil:
			writeFailure(w, s.node, fault.From(err, method))
		case takeover == nil:
			writeMessage(w, http.StatusOK, response)
		default:
			s.switchProtocol(w, r, method, takeover)
		}
	})
}

// answerRegion tells a caller the region of the node if it asked.
func (s *Server) answerRegion(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerRegion) != "" {
		w.Header().Set(headerRegion, string(s.region))
	}
}

// switchProtocol hands the connection of a call over. A connection that fails is closed.
func (s *Server) switchProtocol(w http.ResponseWriter, r *http.Request, method string, takeover Takeover) {
	region := w.Header().Get(headerRegion)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		writeFailure(w, s.node, fault.From(err, method))
		return
	}
	head := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolTunnel + "\r\n"
	if r.Header.Get(headerRegion) != "" {
		head += headerRegion + ": " + region + "\r\n"
	}
	// The server's timeout for the request does not apply any more. Errors show up at the next use
	// of the connection.
	_ = conn.SetDeadline(time.Time{})
	_, _ = conn.Write([]byte(head + "\r\n"))
	takeover(conn, buffered.Reader)
}

// Upgrade makes a call after which the connection is used for something else. If the peer does
// not take part, it returns nil, and the peer's answer is decoded into declined, a pointer. A peer
// that does not know the method gives the code fault.CodeUnsupportedVersion.
func (c *Client) Upgrade(ctx context.Context, address, method string, request, declined any) (*Upgraded, error) {
	content, err := wire.Encode(request)
	if err != nil {
		return nil, err
	}
	conn, err := link.Peer.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, fault.At(fault.CodeNotReady, method, address, fault.NotDone, err)
	}
	c.links.Dialed(link.Peer)
	reader := answer.NewReader(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := c.exchange(conn, reader, address, method, content)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close()
		failed := fault.FromTransport(err, method, address)
		failed.Code = fault.CodeNotReady
		return nil, failed
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		region := place.Region(response.Header.Get(headerRegion))
		return &Upgraded{Conn: c.meter.PeerConnection(address, conn), Reader: reader.Reader, Region: region}, nil
	}
	defer conn.Close()
	return nil, readDeclined(response, address, method, declined)
}

// readDeclined reads the answer of a peer that did not let its connection be taken over.
func readDeclined(response *http.Response, address, method string, declined any) error {
	switch response.StatusCode {
	case http.StatusOK:
		return readMessage(response.Body, address, declined)
	case statusPeerFailed:
		return readFailure(response.Body, address)
	case http.StatusNotFound:
		return &fault.Error{Code: fault.CodeUnsupportedVersion, Step: method, Peer: address, Ran: fault.NotDone, Message: response.Status}
	default:
		return &fault.Error{Code: fault.CodeInternal, Step: method, Peer: address, Ran: fault.NotDone, Message: response.Status}
	}
}

// exchange sends a call that may take its connection over and reads the head of the answer.
func (c *Client) exchange(conn net.Conn, reader *answer.Reader, address, method string, content []byte) (*http.Response, error) {
	call, err := http.NewRequest(http.MethodPost, "http://"+address+pathPrefix+method, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	call.Header["User-Agent"] = []string{""}
	call.Header.Set(headerFrom, c.node)
	call.Header.Set("Connection", "Upgrade")
	call.Header.Set("Upgrade", protocolTunnel)
	call.Header.Set(headerRegion, "?")
	if err := call.Write(conn); err != nil {
		return nil, err
	}
	response, err := reader.ReadHead(call.Method)
	if err == nil && c.meter != nil {
		c.meter.Learn(address, place.Region(response.Header.Get(headerRegion)))
	}
	return response, err
}
