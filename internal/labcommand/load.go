package labcommand

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commandline"
	"lilacvane/internal/lab/load"
)

type loadCommand struct {
	Callers  []string      `required:"" help:"Callers' addresses of nodes, asked in turn."`
	Models   []string      `required:"" help:"Models, asked in turn."`
	Rate     float64       `default:"10" help:"Requests a second."`
	Duration time.Duration `default:"10s" help:"How long requests start."`
	Tokens   int           `default:"16" help:"Tokens of an answer."`
	Class    string        `default:"ordinary" help:"Class of the requests."`
	Deadline time.Duration `default:"60s" help:"Deadline of the requests."`
	Key      string        `help:"Key of the tenant whose requests these are."`
	Once     bool          `help:"Give each request an idempotency key of its own."`
}

// Run sends requests at a fixed rate, whether or not earlier ones have ended, and prints
// their outcomes and latencies.
func (c *loadCommand) Run(s commandline.Streams) error {
	keyPrefix := time.Now().UnixNano()
	result := load.Run(context.Background(), load.Options{Rate: c.Rate, Duration: c.Duration, Request: func(ctx context.Context, number int) (*http.Request, error) {
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"load %d"}`, c.Models[number%len(c.Models)], c.Tokens, number)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Callers[number%len(c.Callers)]+"/v1/completions", strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set(api.HeaderClass, c.Class)
		request.Header.Set(api.HeaderDeadline, fmt.Sprint(c.Deadline.Seconds()))
		if c.Key != "" {
			request.Header.Set("Authorization", "Bearer "+c.Key)
		}
		if c.Once {
			request.Header.Set(api.HeaderIdempotencyKey, fmt.Sprintf("load-%d-%d", keyPrefix, number))
		}
		return request, nil
	}})
	const microsecondsPerMillisecond = 1000.0
	fmt.Fprintf(s.Out, "outcomes: %v\n", result.Outcomes)
	for _, quantile := range []float64{50, 95, 99} {
		fmt.Fprintf(s.Out, "p%g: first part %.1f ms, between parts %.1f ms, whole %.1f ms\n", quantile,
			float64(result.FirstEvent.ValueAtQuantile(quantile))/microsecondsPerMillisecond, float64(result.BetweenEvents.ValueAtQuantile(quantile))/microsecondsPerMillisecond,
			float64(result.Total.ValueAtQuantile(quantile))/microsecondsPerMillisecond)
	}
	return nil
}
