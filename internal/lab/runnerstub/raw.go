package runnerstub

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"lilacvane/platform/protocol"
)

// RawIdentity stands, in Faults.Raw, for the lines of a head with the request's identifier and the runner's signature.
const RawIdentity = "{identity}\r\n"

// writeRaw sends the bytes of the fault and closes the connection.
func writeRaw(w http.ResponseWriter, j *job) {
	signature := w.Header().Get(protocol.HeaderSignature)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	identity := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", protocol.HeaderRequestID, j.id, protocol.HeaderSignature, signature)
	// The caller may close first.
	_, _ = io.WriteString(conn, strings.ReplaceAll(j.faults.Raw, RawIdentity, identity))
}
