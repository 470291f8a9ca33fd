// Package load is an open-loop load generator: requests start when they are due,
// whether or not earlier ones have ended, and latencies count from when they
// were due, so that a slow system cannot hide its delays.
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

const (
	shortest        = 1
	longest         = int64(10 * time.Minute / time.Microsecond)
	significant     = 3
	eventPrefix     = "data: "
	idleConnections = 4096
)

// Request makes the HTTP request with a number.
type Request func(ctx context.Context, number int) (*http.Request, error)

// Options of a run.
type Options struct {
	// Rate of requests a second, for Duration.
	Rate     float64
	Duration time.Duration
	Request  Request
}

// Result is what callers saw. Latencies are in microseconds: from when a request
// was due to the first part of its answer, between two parts, and to the end.
type Result struct {
	First   *hdrhistogram.Histogram
	Between *hdrhistogram.Histogram
	Whole   *hdrhistogram.Histogram
	// Codes counts final outcomes: "served", an HTTP status, or "broken".
	Codes map[string]int
	// Parts and Bytes count the events of all answers and their size on the wire.
	Parts int64
	Bytes int64
	// Late is the longest time a request started after it was due.
	Late time.Duration
}

// recorder collects a Result.
type recorder struct {
	mutex  sync.Mutex
	result Result
}

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(shortest, longest, significant) }
	return &recorder{result: Result{First: histogram(), Between: histogram(), Whole: histogram(), Codes: make(map[string]int)}}
}

// answer is what one request saw.
type answer struct {
	parts []time.Time
	end   time.Time
	bytes int64
	code  string
}

func (r *recorder) add(due, started time.Time, a answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Late = max(r.result.Late, started.Sub(due))
	r.result.Codes[a.code]++
	r.result.Bytes += a.bytes
	r.result.Parts += int64(len(a.parts))
	if a.code != "served" {
		return
	}
	record(r.result.Whole, a.end.Sub(due))
	for index, at := range a.parts {
		if index == 0 {
			record(r.result.First, at.Sub(due))
			continue
		}
		record(r.result.Between, at.Sub(a.parts[index-1]))
	}
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(max(shortest, latency.Microseconds()))
}

// Run sends requests at the rate and waits for all answers.
func Run(ctx context.Context, options Options) Result {
	transport := &http.Transport{MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	r := newRecorder()
	var group sync.WaitGroup
	began := time.Now()
	total := int(options.Rate * options.Duration.Seconds())
	for number := range total {
		due := began.Add(time.Duration(float64(number) / options.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			started := time.Now()
			r.add(due, started, send(ctx, client, options.Request, number))
		})
	}
	group.Wait()
	return r.result
}

func send(ctx context.Context, client *http.Client, make Request, number int) answer {
	request, err := make(ctx, number)
	if err != nil {
		return answer{code: "invalid"}
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{code: "broken"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer{code: fmt.Sprint(response.StatusCode)}
	}
	return read(response)
}

func read(response *http.Response) answer {
	result := answer{code: "broken"}
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
			result.parts = append(result.parts, now)
		}
		result.end = now
	}
	if finished {
		result.code = "served"
	}
	return result
}
