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

	errOldEncoding   = errors.New("an answer of HTTP/1.0 has a transfer encoding")
	errStatusLine    = errors.New("the status line has a control character")
	errFolded        = errors.New("a line of the head begins with a space")
	errInterimFramed = errors.New("an interim answer has a body")
)

// checkHead returns why the text of a head is none that the library may read.
func checkHead(head []byte) error {
	status, fields, _ := bytes.Cut(head, []byte("\n"))
	if bytes.ContainsFunc(bytes.TrimSuffix(status, []byte("\r")), isControl) {
		return errStatusLine
	}
	old := bytes.HasPrefix(status, oldProtocol)
	for line := range bytes.Lines(fields) {
		if err := checkLine(line, old); err != nil {
			return err
		}
	}
	return nil
}

// checkLine returns why a line of a head, after the status, is none. Older versions of the protocol let a line that
// begins with a space continue the one before: a damaged header would become a part of another one's value.
// HTTP/1.0 knows no transfer encoding: the library drops it, and would take the chunks for the body.
func checkLine(line []byte, old bool) error {
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return errFolded
	case old && len(line) >= len(encodingHeader) && bytes.EqualFold(line[:len(encodingHeader)], encodingHeader):
		return errOldEncoding
	default:
		return nil
	}
}

// isControl reports whether a character is a control character other than a tab.
func isControl(character rune) bool {
	return character < ' ' && character != '\t' || character == '\x7f'
}

const (
	// minStatus and maxStatus are the first and the last status of the protocol.
	minStatus = 100
	maxStatus = 599
)

// Check returns why an answer that the library has read is none. The library accepts any version and status, and keeps a
// name with a space as a name of its own, so that an answer would lose its length. It reads an interim answer without a
// body whatever its head says, so that a body would be the next answer.
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
	if isInterim(response.StatusCode) && hasBody(response) {
		return errInterimFramed
	}
	return nil
}

// hasBody reports whether the head of an answer says that a body follows.
func hasBody(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 || strings.Trim(response.Header.Get("Content-Length"), "0") != ""
}
