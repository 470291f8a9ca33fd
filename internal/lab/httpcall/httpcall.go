// Package httpcall makes the lab's plain HTTP calls.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

const maximumError = 4 << 10

// Send makes a call with a JSON body, none if body is nil. Any answer but 200 is
// an error.
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
		text, _ := io.ReadAll(io.LimitReader(response.Body, maximumError))
		return fmt.Errorf("%s %s: %s %s", method, url, response.Status, text)
	}
	return nil
}
