// Package httpcall sends the lab's JSON requests over HTTP.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxErrorBody is how many bytes of an error response go into the error's text.
const maxErrorBody = 4 << 10

// Send sends a request with body encoded as JSON, or without a body if it is nil. A
// status other than 200 is an error.
func Send(ctx context.Context, method, url string, body any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		return fmt.Errorf("%s %s: %s %s", method, url, response.Status, text)
	}
	return nil
}
