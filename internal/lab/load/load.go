// Package load is an open-loop load generator: requests start at their scheduled times,
// whether or not earlier ones have ended, and latencies count from the scheduled time, so
// that a slow system cannot hide its delays (coordinated omission).
package load

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of the histograms, in microseconds.
const (
	minMicroseconds    = 1
	maxMicroseconds    = int64(10 * time.Minute / time.Microsecond)
	significantDigits  = 3
	eventPrefix        = "data: "
	maxIdleConnections = 4096
)

// Request builds the HTTP request with the given number, counted from 0.
type Request func(ctx context.Context, number int) (*http.Request, error)

// Options are the options of a run.
type Options struct {
	// Rate is the number of requests per second that start during Duration.
	Rate     float64
	Duration time.Duration
	Request  Request
}

// Result sums up the responses. Latencies are in microseconds and of served requests
// only: FirstEvent from the scheduled time of a request to the first event of its
// response, BetweenEvents between two successive events, and Total from the scheduled
// time to the end.
type Result struct {
	FirstEvent    *hdrhistogram.Histogram
	BetweenEvents *hdrhistogram.Histogram
	Total         *hdrhistogram.Histogram
	// Outcomes counts requests by outcome: "served", an HTTP status other than 200, "broken"
	// for a failed or incomplete response, or "invalid" for a request that could not be built.
	Outcomes map[string]int
	// Events and Bytes count the events of all responses and the bytes of their bodies.
	Events int64
	Bytes  int64
	// Late is the longest delay between the scheduled time of a request and its start.
	Late time.Duration
}

// recorder collects a Result. It is safe for concurrent use.
type recorder struct {
	mutex  sync.Mutex
	result Result
}

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
	}
	return &recorder{result: Result{FirstEvent: histogram(), BetweenEvents: histogram(), Total: histogram(), Outcomes: make(map[string]int)}}
}

// outcome describes the response to one request.
type outcome struct {
	events []time.Time
	end    time.Time
	bytes  int64
	kind   string
}

func (r *recorder) add(scheduled, started time.Time, o outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Late = max(r.result.Late, started.Sub(scheduled))
	r.result.Outcomes[o.kind]++
	r.result.Bytes += o.bytes
	r.result.Events += int64(len(o.events))
	if o.kind != "served" {
		return
	}
	record(r.result.Total, o.end.Sub(scheduled))
	for index, at := range o.events {
		if index == 0 {
			record(r.result.FirstEvent, at.Sub(scheduled))
			continue
		}
		record(r.result.BetweenEvents, at.Sub(o.events[index-1]))
	}
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(max(minMicroseconds, latency.Microseconds()))
}

// Run sends requests at the given rate and waits for all responses. It starts no more of
// them once ctx is done.
func Run(ctx context.Context, options Options) Result {
	transport := &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	r := newRecorder()
	var group sync.WaitGroup
	start := time.Now()
	total := int(options.Rate * options.Duration.Seconds())
	for number := range total {
		scheduled := start.Add(time.Duration(float64(number) / options.Rate * float64(time.Second)))
		time.Sleep(time.Until(scheduled))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			started := time.Now()
			r.add(scheduled, started, send(ctx, client, options.Request, number))
		})
	}
	group.Wait()
	return r.result
}

func send(ctx context.Context, client *http.Client, make Request, number int) outcome {
	request, err := make(ctx, number)
	if err != nil {
		return outcome{kind: "invalid"}
	}
	response, err := client.Do(request)
	if err != nil {
		return outcome{kind: "broken"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return outcome{kind: fmt.Sprint(response.StatusCode)}
	}
	return read(response)
}

// read reads a stream of events. Its outcome is "served" if it contains the end marker.
func read(response *http.Response) outcome {
	result := outcome{kind: "broken"}
	reader := bufio.NewReader(response.Body)
	finished := false
	for {
		line, err := reader.ReadString('\n')
		result.bytes += int64(len(line))
		if err != nil {
			break
		}
		content, isEvent := strings.CutPrefix(line, eventPrefix)
		if !isEvent {
			continue
		}
		now := time.Now()
		finished = finished || strings.Contains(content, `"finish_reason":"`) || strings.Contains(content, `"finish":"`)
		if !strings.HasPrefix(content, "[DONE]") {
			result.events = append(result.events, now)
		}
		result.end = now
	}
	if finished {
		result.kind = "served"
	}
	return result
}
