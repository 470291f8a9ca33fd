package answer

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// protocolMajor is the major version of the protocol.
const protocolMajor = 1

var (
	oldProtocol    = []byte("HTTP/1.0")
	encodingHeader = []byte("transfer-encoding:")

	errOldEncoding = errors.New("an answer of HTTP/1.0 has a transfer encoding")
)

// checkHead returns why the text of a head is none that the library may read. HTTP/1.0 knows no transfer encoding:
// the library drops it, and would take the chunks for the body.
func checkHead(head []byte) error {
	if !bytes.HasPrefix(head, oldProtocol) {
		return nil
	}
	for line := range bytes.Lines(head) {
		if len(line) >= len(encodingHeader) && bytes.EqualFold(line[:len(encodingHeader)], encodingHeader) {
			return errOldEncoding
		}
	}
	return nil
}

const (
	// minStatus and maxStatus are the first and the last status of the protocol.
	minStatus = 100
	maxStatus = 599
)

// Check returns why an answer that the library has read is none. The library accepts any version and status, and keeps a
// name with a space as a name of its own, so that an answer would lose its length.
func Check(response *http.Response) error {
	if response.ProtoMajor != protocolMajor {
		return fmt.Errorf("the answer is of %s", response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("the status of the answer is %q", response.Status)
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("header name %q with a space", name)
		}
	}
	return nil
}
