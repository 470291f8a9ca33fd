package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lilacvane/internal/lab/world"
	"lilacvane/internal/wire"
	"lilacvane/platform/protocol"
)

const (
	// crowdDialTimeout bounds how long a member of a crowd tries to connect; it is a member all the same.
	crowdDialTimeout = 5 * time.Second
	// crowdWriteTimeout is how long the node may read nothing of what a member sends until the member
	// stops sending and just stays.
	crowdWriteTimeout = 5 * time.Second
)

// crowdKind is what each member of a crowd sends: a head, and a body as pieces of equal size.
type crowdKind struct {
	members int
	// address returns the entrance of a node to which it goes.
	address func(*world.Node) string
	// head returns the request line and the headers of a request; the framing is added.
	head func(id string) string
	// length is the announced length of the body; zero sends it in chunks.
	length int
	// piece is the size of a piece, or of a chunk, pieces how many are sent. pause is the time between two.
	piece, pieces int
	pause         time.Duration
	// begin and end are sent before and after the pieces of a body with a length.
	begin, end string
	// cut is how many bytes of the last piece are left out; whole completes the body.
	cut   int
	whole bool
	// then is sent after the request on the same connection.
	then string
	// files is the number of descriptors that the node may have open; zero for the usual one.
	files int
	// headOnly leaves out the end of the head and all that follows it.
	headOnly bool
}

// crowd is a number of clients that send the same and then stay connected.
type crowd struct {
	kind    crowdKind
	members []*crowdMember
	// settled counts the members that have sent everything or cannot send more.
	settled atomic.Int64
	leave   chan struct{}
	running sync.WaitGroup
}

// crowdMember is one client of a crowd.
type crowdMember struct {
	id string

	mutex sync.Mutex
	// status is that of the first answer; zero if there is none. retryAfter is its Retry-After.
	status     int
	retryAfter string
}

// startCrowd lets a crowd connect to a node and send.
func startCrowd(node *world.Node, kind crowdKind) *crowd {
	c := &crowd{kind: kind, leave: make(chan struct{})}
	address := kind.address(node)
	for range kind.members {
		member := &crowdMember{id: newID()}
		c.members = append(c.members, member)
		c.running.Go(func() { c.run(member, address) })
	}
	return c
}

// close closes the connections of the crowd.
func (c *crowd) close() {
	close(c.leave)
	c.running.Wait()
}

// run sends what a member sends, and holds the connection until the crowd leaves.
func (c *crowd) run(member *crowdMember, address string) {
	settled := sync.OnceFunc(func() { c.settled.Add(1) })
	defer settled()
	conn, err := net.DialTimeout("tcp", address, crowdDialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	var reading sync.WaitGroup
	defer reading.Wait()
	reading.Go(func() { member.read(conn) })
	// An error means that the node has closed the connection or reads no more.
	_ = c.send(conn, member.id)
	settled()
	<-c.leave
	_ = conn.Close()
}

// send sends a request, and stops early if the crowd leaves.
func (c *crowd) send(conn net.Conn, id string) error {
	k := c.kind
	head := k.head(id)
	if k.headOnly {
		return c.write(conn, head)
	}
	piece, end := strings.Repeat("x", k.piece), k.end
	if k.length > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", k.length)
	} else {
		head += "Transfer-Encoding: chunked\r\n"
		piece, end = fmt.Sprintf("%x\r\n%s\r\n", k.piece, piece), "0\r\n\r\n"
	}
	if k.pause == 0 && len(piece) > 0 {
		// Many small pieces in one write arrive as many as well.
		batch := max(1, min(k.pieces, crowdBatch/len(piece)))
		piece = strings.Repeat(piece, batch)
		k.pieces /= batch
	}
	if err := c.write(conn, head+"\r\n"+k.begin); err != nil {
		return err
	}
	for index := range k.pieces {
		if index == k.pieces-1 {
			piece = piece[:len(piece)-k.cut]
		}
		if err := c.write(conn, piece); err != nil {
			return err
		}
		if k.pause > 0 && !c.sleep(k.pause) {
			return nil
		}
	}
	if k.whole {
		if err := c.write(conn, end); err != nil {
			return err
		}
	}
	return c.write(conn, k.then)
}

// crowdBatch is about how many bytes a member sends in one write.
const crowdBatch = 64 << 10

// write sends a text unless the crowd leaves.
func (c *crowd) write(conn net.Conn, text string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(conn, text)
	return err
}

// sleep waits; it returns false if the crowd leaves.
func (c *crowd) sleep(pause time.Duration) bool {
	select {
	case <-c.leave:
		return false
	case <-time.After(pause):
		return true
	}
}

// read reads the first answer, if there is one.
func (m *crowdMember) read(conn net.Conn) {
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	m.mutex.Lock()
	m.status, m.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	m.mutex.Unlock()
	_, _ = io.Copy(io.Discard, response.Body)
}

// answer returns the status and the Retry-After of the member's answer; zero if it got none.
func (m *crowdMember) answer() (status int, retryAfter string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.status, m.retryAfter
}

// clientHead is the head of a request by route, without its framing.
func clientHead(id string) string {
	return "POST /read/crowd HTTP/1.1\r\nHost: " + world.RouteHost + "\r\n" +
		protocol.HeaderRequestID + ": " + id + "\r\n" + protocol.HeaderDeadline + ": 20000\r\n"
}

// modelHead is the head of a request for a model that no runner loads in time.
func modelHead(id string) string {
	return "POST /draft/crowd HTTP/1.1\r\nHost: " + world.RouteHost + "\r\n" +
		protocol.HeaderRequestID + ": " + id + "\r\n" + protocol.HeaderDeadline + ": 20000\r\n" +
		protocol.HeaderModel + ": alpha\r\n" + protocol.HeaderTokens + ": 10,10\r\n" + protocol.HeaderPrompt + ": aa:10\r\n"
}

// callerHead is the head of a call of the callers' API, operatorHead one of the operators' API.
func callerHead(string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
}

// callBegin and callEnd enclose a prompt in a call for a model.
const (
	callBegin = `{"model":"alpha","max_tokens":10,"prompt":"`
	callEnd   = `"}`
)

func operatorHead(string) string {
	return "POST /v1/operations HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
}

// peerHead is the head of a message between nodes.
func peerHead(string) string {
	return "POST /peer/" + wire.MethodSync + " HTTP/1.1\r\nHost: node\r\nFrom-Node: crowd\r\n"
}

// noHead is the head of a client that sends nothing.
func noHead(string) string { return "" }

// longHead returns a function that returns the beginning of a head of some bytes.
func longHead(size int) func(id string) string {
	return func(id string) string {
		var head strings.Builder
		head.WriteString(clientHead(id))
		for index := 0; head.Len() < size; index++ {
			fmt.Fprintf(&head, "X-Part-%d: %s\r\n", index, strings.Repeat("x", 512))
		}
		return head.String()
	}
}

// The entrances of a node.
func clientEntrance(n *world.Node) string   { return n.Clients }
func callerEntrance(n *world.Node) string   { return n.Callers }
func operatorEntrance(n *world.Node) string { return n.Operators }
func peerEntrance(n *world.Node) string     { return n.Peers }
func readyEntrance(n *world.Node) string    { return n.Ready }
