package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/demand"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
)

// waitingJob is a request for a model that nobody holds, whose load takes longer
// than its objective.
func waitingJob(book *demand.Book) *job {
	alpha := &config.Model{Name: "alpha", LoadTime: 10 * time.Second}
	configuration := &config.Configuration{Services: map[string]*config.Service{
		"s": {Engine: &config.Engine{Models: map[string]*config.Model{"alpha": alpha}}},
	}}
	const elapsed = 230 * time.Millisecond
	return &job{
		dispatcher: &Dispatcher{
			Fleet: fleet.New("zone", time.Now, noRules{}), Demand: book, Configuration: func() *config.Configuration { return configuration },
		},
		log: logr.Discard(), route: &config.Route{Kind: config.Safe, Attempts: 1, Objective: time.Second}, engine: true,
		query: fleet.Query{Service: "s", Unit: backend.Unit{Model: "alpha"}}, deadline: time.Now().Add(time.Hour),
		request: &Request{Arrived: time.Now().Add(-elapsed)},
	}
}

// TestRefusedRequestIsStillWanted: a client that is sent back comes back, so what it
// waits for stays wanted.
func TestRefusedRequestIsStillWanted(t *testing.T) {
	book := demand.NewBook()
	_, err := waitingJob(book).place(t.Context())
	assert.Assert(t, fault.IsCode(err, fault.CodeDeadline), "%v", err)
	assert.Equal(t, len(book.Waiting()), 1)
}

// TestNothingIsWantedForAClientThatLeft: a client that left while its request was
// about to be refused does not come back.
func TestNothingIsWantedForAClientThatLeft(t *testing.T) {
	book := demand.NewBook()
	ctx, leave := context.WithCancel(t.Context())
	leave()
	_, err := waitingJob(book).place(ctx)
	assert.Assert(t, fault.IsCode(err, fault.CodeCanceled), "%v", err)
	assert.Equal(t, len(book.Waiting()), 0)
}
