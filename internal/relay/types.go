// Package relay carries callers' requests to targets and their answers back,
// byte for byte. What may be repeated follows from the kind of the route.
package relay

import (
	"context"
	"net/http"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/steering"
)

// Metadata is what the headers of a request say.
type Metadata struct {
	// ID names this attempt of the caller.
	ID string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience     time.Duration
	Model        string
	Adapter      string
	PromptTokens int
	// LastEvent is the last event that the caller has of a stream.
	LastEvent string
}

// Send is what the system adds to a request on its way to a target.
type Send struct {
	// Target is the incarnation that may run the request.
	Target string
	// Left is the time that the caller will still wait.
	Left time.Duration
	// Version is the adapter version that must answer, 0 for any.
	Version int
	// Priority is the rank at a model engine, negative for none.
	Priority int
	// LastEvent is set when a stream continues.
	LastEvent string
}

// Verdict says what an answer of a target means.
type Verdict uint8

// Verdicts on answers.
const (
	// Accepted is a success of the target.
	Accepted Verdict = iota + 1
	// Failed is a failure of the target, which may have run the request.
	Failed
	// Declined means that the target did not and will not run the request.
	Declined
	// Forged is an answer that the target did not give like this.
	Forged
)

// Dialect translates the headers of callers and targets.
type Dialect interface {
	Read(h http.Header) Metadata
	Outgoing(h http.Header, s Send) http.Header
	Incoming(h http.Header) http.Header
	// Belongs tells whether an answer is that to the request with an ID.
	Belongs(resp *http.Response, id string) bool
	Classify(resp *http.Response, id string) Verdict
	// Declined tells whether another incarnation has the address, and when
	// the target advises to come back.
	Declined(resp *http.Response) (wrongTarget bool, retryAfter time.Duration)
	// Refusal sets the headers of the system's own refusal.
	Refusal(h http.Header, id string, retryAfter time.Duration)
}

// Broker finds targets.
type Broker interface {
	// Acquire waits for a target. A refused request was not run.
	Acquire(ctx context.Context, r steering.Request) (steering.Grant, uint64, *steering.Refused)
	// FirstEvent records the first event of a stream.
	FirstEvent(number uint64)
	// Done ends a request that was granted a target.
	Done(number uint64, outcome steering.Outcome)
}

// View returns the published state in force.
type View func() *catalog.View
