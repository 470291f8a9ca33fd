package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lilacvane/internal/fault"
	"lilacvane/internal/memory"
)

const (
	mebi = 1 << 20
	// bodyLimit is the limit of the server of these tests, in bytes.
	bodyLimit = 4 * mebi
)

// testCosts are small, so that heads and bodies decide.
var testCosts = Costs{Connection: 1, Request: 1, Unread: 64 << 10}

// startServer starts a server with a budget that answers with the length of each body, after release is closed.
func startServer(t *testing.T, limit memory.Bytes, release <-chan struct{}) (*Guard, string) {
	t.Helper()
	guard := NewGuard(memory.NewBudget(limit, 0), testCosts, logr.Discard())
	writeError := func(w http.ResponseWriter, _ *http.Request, problem *fault.Error) { fault.Write(w, problem) }
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := ReadBody(r, bodyLimit, 1)
		if err != nil {
			Refuse(w, r, func(w http.ResponseWriter) { writeError(w, r, fault.From(err, "test")) })
			return
		}
		if release != nil {
			select {
			case <-release:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = fmt.Fprint(w, content.Len())
	}))
	server.Config = guard.Attach(server.Config, writeError)
	server.Listener = guard.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return guard, server.Listener.Addr().String()
}

// client is a connection on which a test writes requests.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

// write sends a text. The server may have closed the connection meanwhile.
func (c *client) write(text string) { _, _ = io.WriteString(c, text) }

// answer reads an answer.
func (c *client) answer(t *testing.T) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(content)
}

func head(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// awaitUsed waits until the budget has an amount in use.
func awaitUsed(t *testing.T, guard *Guard, used memory.Bytes) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if now := guard.Figures().Used; now != used {
			return poll.Continue("%d bytes used, not %d", now, used)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// Requests take memory until their answers are whole, and the connection is used again.
func TestMemoryIsGivenBack(t *testing.T) {
	guard, address := startServer(t, 10*mebi, nil)
	c := connect(t, address)
	for range 3 {
		c.write(head(mebi) + strings.Repeat("x", mebi))
		response, content := c.answer(t)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, content, fmt.Sprint(mebi))
		awaitUsed(t, guard, testCosts.Connection)
	}
	assert.Assert(t, guard.Figures().Peak >= mebi)
	_ = c.Close()
	awaitUsed(t, guard, 0)
}

// Bodies beyond the limit are refused: announced ones before they are read, others once they pass it. The refusal
// reaches clients that go on sending, and the connection closes.
func TestBodiesBeyondTheLimit(t *testing.T) {
	guard, address := startServer(t, 10*mebi, nil)
	for name, request := range map[string]string{
		"announced":            head(1 << 40),
		"announced and sent":   head(bodyLimit+1) + strings.Repeat("x", bodyLimit+1),
		"chunked":              "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", 2*bodyLimit, strings.Repeat("x", 2*bodyLimit)),
		"announced, to expect": strings.Replace(head(bodyLimit+1), "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1),
	} {
		c := connect(t, address)
		go c.write(request)
		response, _ := c.answer(t)
		assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge, name)
		assert.Assert(t, response.Close, name)
		_ = c.Close()
	}
	awaitUsed(t, guard, 0)
}

// A request for which there is no room is refused before its body is read, and told when to return. One that has
// stalled is refused when another one needs its room.
func TestRequestsWithoutRoom(t *testing.T) {
	guard, address := startServer(t, 4*mebi, nil)
	stalled := connect(t, address)
	stalled.write(head(3*mebi) + strings.Repeat("x", 3*mebi-1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if guard.Figures().Used < 3*mebi {
			return poll.Continue("not read yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	refused := 0
	for {
		c := connect(t, address)
		go c.write(head(2*mebi) + strings.Repeat("x", 2*mebi))
		response, _ := c.answer(t)
		if response.StatusCode == http.StatusOK {
			break
		}
		refused++
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	assert.Assert(t, refused > 0)
	response, content := stalled.answer(t)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, content)
	assert.Assert(t, response.Close)
}

// A head that takes more memory than there is gets a refusal before it is whole.
func TestHeadsWithoutRoom(t *testing.T) {
	guard, address := startServer(t, 64<<10, nil)
	c := connect(t, address)
	c.write("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 48<<10))
	response, _ := c.answer(t)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	_ = c.Close()
	awaitUsed(t, guard, 0)
}

// Connections beyond the budget close, and those that rest are evicted for new ones.
func TestConnectionsWithoutRoom(t *testing.T) {
	guard, address := startServer(t, 2, nil)
	resting := []*client{connect(t, address), connect(t, address)}
	awaitUsed(t, guard, 2)
	newcomer := connect(t, address)
	newcomer.write(head(1) + "x")
	response, _ := newcomer.answer(t)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	for guard.Figures().Evicted == 0 {
		connect(t, address)
		time.Sleep(10 * time.Millisecond)
	}
	closed := make(chan error, len(resting))
	for _, c := range resting {
		go func() {
			_, err := c.reader.ReadByte()
			closed <- err
		}()
	}
	assert.Assert(t, <-closed != nil)
}

// What a client sends behind a request that is being served takes memory of the kernel; without room for that the
// connection ends.
func TestBytesBehindARequest(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	_, address := startServer(t, testCosts.Unread, release)
	c := connect(t, address)
	c.write(head(1) + "x")
	c.write(strings.Repeat("x", mebi))
	_, err := c.reader.ReadByte()
	assert.Assert(t, err != nil)
}
