package tunnel

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// frameType is the type of a frame. A frame is its type, the length of its content as two
// bytes, big-endian, and the content.
type frameType uint8

const (
	// frameData carries bytes of the connection, in both directions.
	frameData frameType = iota + 1
	// frameBegin and frameDone mark the begin and the end of an exchange with the runner. They
	// are sent by the client; the content of frameBegin is the request's identifier.
	frameBegin
	frameDone
	// frameEnd means that the runner closed the connection, frameReset that the connection to
	// it broke off.
	frameEnd
	frameReset
	// frameRefused means that nothing of the exchange that has begun was sent to the runner,
	// frameClosing that no further exchange may begin.
	frameRefused
	frameClosing
)

const (
	frameHeaderSize = 3
	// maxContent bounds the content of a frame that is sent, in bytes.
	maxContent = 16 << 10
)

// appendFrame appends a frame to buffer.
func appendFrame(buffer []byte, kind frameType, content []byte) []byte {
	buffer = append(buffer, byte(kind))
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(len(content)))
	return append(buffer, content...)
}

// readFrame reads the type of the next frame and the length of its content, which follows. Frames without content
// must state none: it would be read as further frames.
func readFrame(reader *bufio.Reader) (kind frameType, length int, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, 0, err
	}
	kind = frameType(header[0])
	if kind < frameData || kind > frameClosing {
		return 0, 0, fmt.Errorf("frame of unknown type %d", kind)
	}
	length = int(binary.BigEndian.Uint16(header[1:]))
	if length > 0 && kind != frameData && kind != frameBegin {
		return 0, 0, fmt.Errorf("frame of type %d with %d bytes of content", kind, length)
	}
	return kind, length, nil
}
