package tunnel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/link"
	"lilacvane/internal/peer"
)

// copySize is the size of the buffer for each direction of a tunnel, in bytes.
const copySize = 8 << 10

// tunnel is a connection of another node to a runner.
type tunnel struct {
	server *Server
	// name is that of the runner.
	name   string
	caller peer.Caller
	peer   net.Conn
	reader *bufio.Reader
	runner net.Conn
	send   link.SendBound
	// content is reused for what is sent to the runner. unwritable is set once that has failed.
	content    []byte
	unwritable bool

	// writing is held while a frame is written to the caller; buffer is reused for frames.
	writing sync.Mutex
	buffer  []byte

	mutex sync.Mutex
	// closing is set once no exchange may begin, active while one is under way.
	closing bool
	active  bool
}

// run copies in both directions until one connection ends.
func (t *tunnel) run() {
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		t.copyAnswers()
	}()
	t.copyRequests()
	// The caller has closed its connection, so nobody waits for the runner any more.
	_ = t.runner.Close()
	<-copied
}

func (t *tunnel) close() {
	t.send.Stop()
	_ = t.peer.Close()
	_ = t.runner.Close()
}

// copyRequests copies what the caller sends to the runner, until the caller closes or the
// exchange is refused.
func (t *tunnel) copyRequests() {
	for {
		kind, length, err := readFrame(t.reader)
		if err != nil {
			return
		}
		switch kind {
		case frameBegin:
			if !t.begin(length) {
				return
			}
		case frameData:
			if err := t.forward(length); err != nil {
				return
			}
		case frameDone:
			t.done()
		default:
			t.server.options.Log.Info("tunnel closed", "step", "read frame", "peer", string(t.caller), "frame", uint8(kind))
			return
		}
	}
}

// forwardTimeout bounds how long a runner may leave a part of a request unread. Meanwhile the
// end of the caller's connection goes unnoticed.
const forwardTimeout = 10 * time.Second

// forward copies the content of a data frame to the runner. Once the runner takes no more of a request, the rest is
// discarded: the caller still reads the answer, and closing with unread bytes would reset its connection.
func (t *tunnel) forward(length int) error {
	t.content = slices.Grow(t.content[:0], length)[:length]
	if _, err := io.ReadFull(t.reader, t.content); err != nil || t.unwritable {
		return err
	}
	if err := t.runner.SetWriteDeadline(time.Now().Add(forwardTimeout)); err != nil {
		return err
	}
	_, err := t.runner.Write(t.content)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if err != nil {
		t.unwritable = true
		t.server.options.Log.Info("request not taken to its end", "step", "forward request", "peer", t.name, "error", err.Error())
	}
	return nil
}

// begin begins an exchange unless the node stops; nothing of it is sent to the runner then.
func (t *tunnel) begin(length int) bool {
	request := make([]byte, length)
	if _, err := io.ReadFull(t.reader, request); err != nil {
		return false
	}
	if !t.setActive() {
		t.write(frameRefused, nil)
		t.awaitClose()
		return false
	}
	t.send.Start(t.runner)
	if carried := t.server.options.Carried; carried != nil {
		carried(string(request), t.name, t.caller)
	}
	return true
}

// refusalTimeout is how long a caller may take to read that its exchange was refused: closing
// with unread bytes would reset the connection.
const refusalTimeout = time.Second

// awaitClose discards what the caller still sends.
func (t *tunnel) awaitClose() {
	_ = t.peer.SetReadDeadline(time.Now().Add(refusalTimeout))
	// The caller closes its connection once it has read the refusal.
	_, _ = io.Copy(io.Discard, t.reader)
}

func (t *tunnel) done() {
	t.send.Stop()
	t.mutex.Lock()
	t.active = false
	closing := t.closing
	t.mutex.Unlock()
	if closing {
		t.write(frameClosing, nil)
	}
	t.server.signalIdle()
}

// setActive begins an exchange; false if none may begin.
func (t *tunnel) setActive() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.active = !t.closing
	return t.active
}

func (t *tunnel) inExchange() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.active
}

// announceClosing tells the caller that no further exchange may begin, at once or when the one
// under way ends: until then, a caller that does not read could hold the announcement up.
func (t *tunnel) announceClosing() {
	t.mutex.Lock()
	t.closing = true
	active := t.active
	t.mutex.Unlock()
	if !active {
		t.write(frameClosing, nil)
	}
}

// copyAnswers copies what the runner sends to the caller and marks how it ended.
func (t *tunnel) copyAnswers() {
	content := make([]byte, copySize)
	for {
		count, err := t.runner.Read(content)
		if count > 0 && !t.write(frameData, content[:count]) {
			_ = t.peer.Close()
			return
		}
		switch {
		case err == nil:
		case err == io.EOF:
			t.write(frameEnd, nil)
			return
		default:
			t.write(frameReset, nil)
			return
		}
	}
}

// write sends a frame to the caller; false if the connection failed.
func (t *tunnel) write(kind frameType, content []byte) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	t.buffer = appendFrame(t.buffer[:0], kind, content)
	_, err := t.peer.Write(t.buffer)
	return err == nil
}
