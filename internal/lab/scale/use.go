package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// useEvery is how often each active model is asked at each real node: often
// enough to stay in use, seldom enough that requests are no cost beside control.
const useEvery = 8 * time.Second

// use keeps the active models in use at the real nodes until ctx ends.
func (f *fleet) use(ctx context.Context) {
	var group sync.WaitGroup
	for index := range f.size.Active {
		group.Go(func() {
			for ctx.Err() == nil {
				for _, node := range f.real {
					useModel(ctx, node.Callers, modelName(index%max(1, f.size.Models)))
				}
				select {
				case <-ctx.Done():
				case <-time.After(useEvery):
				}
			}
		})
	}
	group.Wait()
}

func useModel(ctx context.Context, callers, name string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"scale","max_tokens":1}`, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
