package inbound

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"lilacvane/internal/body"
	"lilacvane/internal/fault"
	"lilacvane/internal/memory"
)

// stepRead is the step of errors about bodies.
const stepRead = "read request"

// ReadBody reads the body of a request of at most limit bytes, and takes copies times its memory: the body itself
// and what the caller makes of it, which it may give back with Give. The error is fault.CodeTooLarge beyond
// the limit, fault.CodeOverloaded without room, and fault.CodeInvalid if the body does not come to its end.
func ReadBody(r *http.Request, limit int64, copies int) (body.Body, error) {
	conn, account := connOf(r.Context()), accountOf(r.Context())
	announced := max(r.ContentLength, 0)
	size := func(length int64) memory.Bytes { return memory.Bytes(length) * memory.Bytes(copies) }
	full := func(err error) (body.Body, error) { return body.Body{}, conn.refused(err, size(announced)) }
	if announced > limit {
		return body.Body{}, tooLarge(limit)
	}
	if err := account.Expect(size(announced)); err != nil {
		return full(err)
	}
	content, err := body.Read(io.LimitReader(r.Body, limit+1), r.ContentLength, func(piece int) error { return account.Take(size(int64(piece))) })
	switch {
	case fault.IsCode(err, fault.CodeOverloaded):
		return full(err)
	case err != nil && account.Evicted():
		return full(conn.settle())
	case err != nil:
		return body.Body{}, fault.New(fault.CodeInvalid, stepRead, "body: %v", err)
	case int64(content.Len()) > limit:
		return body.Body{}, tooLarge(limit)
	}
	if err := conn.settle(); err != nil {
		return full(err)
	}
	return content, nil
}

// Give gives back a part of the memory that ReadBody took.
func Give(r *http.Request, amount memory.Bytes) { accountOf(r.Context()).Give(amount) }

func tooLarge(limit int64) error {
	return fault.New(fault.CodeTooLarge, stepRead, "body is larger than %d bytes", limit)
}

// Refuse answers a request whose body may not be read to its end. write writes the answer. What is left of the body is
// not waited for: the connection closes once the client had time to read the answer.
func Refuse(w http.ResponseWriter, r *http.Request, write func(http.ResponseWriter)) {
	conn := connOf(r.Context())
	if conn == nil || conn.settled {
		write(w)
		return
	}
	var content answer
	content.header = w.Header()
	write(&content)
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", strconv.Itoa(content.body.Len()))
	w.WriteHeader(content.status)
	// Errors here mean that the client has left.
	_, _ = w.Write(content.body.Bytes())
	_ = http.NewResponseController(w).Flush()
	conn.linger()
	// The library would wait for the rest of the body.
	panic(http.ErrAbortHandler)
}

// answer collects an answer.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the headers to be sent.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader stores the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write appends a part of the body.
func (a *answer) Write(content []byte) (int, error) {
	if a.status == 0 {
		a.status = http.StatusOK
	}
	return a.body.Write(content)
}
