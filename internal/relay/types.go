// Package relay forwards callers' requests to targets and relays the responses.
// Bodies pass byte for byte. The kind of the route determines whether a request
// may be sent again.
package relay

import (
	"context"
	"iter"
	"net/http"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/decide/softwareversion"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/upstream"
)

// Metadata holds what the entry reads from the headers of a caller's request.
type Metadata struct {
	// AttemptID identifies this attempt of the caller. The response must carry it.
	AttemptID string
	// CallerTimeout is the timeout that the caller set for the request, counted
	// from its arrival; 0 if the caller set none.
	CallerTimeout time.Duration
	// Model names the base model and Adapter the adapter; each is empty if the
	// request names none.
	Model        string
	Adapter      string
	PromptTokens int // 0 if the request gives no count
	// Tokens is the sum of the prompt tokens and of the maximum number of response tokens, if
	// the request gives them.
	Tokens    int
	HasTokens bool
	// AnswerTokens is the maximum number of response tokens, 0 if the request gives none.
	AnswerTokens int
	// Key is the caller's key, empty without one. It is never logged or passed on.
	Key string
	// PromptParts holds the IDs of the parts of the prompt in order, bounded in number
	// and length. The last one belongs to the request itself, other requests may share
	// the rest. AllParts yields those of the whole prompt if it has others, and is nil if it
	// has not.
	PromptParts []string
	AllParts    iter.Seq[string]
	// PartTokens holds the lengths of the first PromptParts, as many as are known to be the
	// beginning of the prompt without a gap.
	PartTokens []int
	// LastEventID is the ID of the last event of a stream that the caller has, and Resumes
	// the ID of the caller's attempt that brought the first one, if the request takes a
	// stream up.
	LastEventID string
	Resumes     string
}

// UpstreamFields holds what the entry sets in the headers of a request to a
// target.
type UpstreamFields struct {
	// Target is the ID of the target. Another incarnation at its address must
	// decline the request.
	Target string
	// Remaining is the time left to the deadline of the request.
	Remaining time.Duration
	// Version is the adapter version that must run the request, 0 for any.
	Version int
	// Priority is the rank of the request at a model engine, 0 being the most
	// urgent; negative means none.
	Priority int
	// LastEventID is the ID of the last event sent to the caller if a stream
	// continues at another target, else empty.
	LastEventID string
	// KeysInUse is true if the configuration has workspaces: the caller's key is not passed
	// on, and the target learns the workspace, empty without one, from the entry only.
	KeysInUse bool
	Workspace string
}

// ResponseClass classifies the response of a target.
type ResponseClass uint8

// Values of ResponseClass.
const (
	// Succeeded means that the target ran the request with success.
	Succeeded ResponseClass = iota + 1
	// Failed means that the target reported a failure and may have run the
	// request.
	Failed
	// Declined means that the target did not and will not run the request.
	Declined
	// Untrusted means that the response cannot be trusted: it may have been
	// changed on the way, for example because its signature is missing, or it
	// belongs to another request. The target may have run the request.
	Untrusted
)

// String returns the name of the class in the log.
func (c ResponseClass) String() string {
	switch c {
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case Declined:
		return "declined"
	case Untrusted:
		return "untrusted"
	}
	return "unknown"
}

// HeaderCodec translates between the headers of callers, the entry and targets.
type HeaderCodec interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) Metadata
	// UpstreamHeader returns the headers of the request to a target.
	UpstreamHeader(h http.Header, s UpstreamFields) http.Header
	// RepeatedHeader returns the headers of a caller's request that are the same in each
	// attempt at it. Of s it reads KeysInUse and Workspace.
	RepeatedHeader(h http.Header, s UpstreamFields) http.Header
	// CallerHeader returns the headers of a target's response that the caller
	// gets.
	CallerHeader(h http.Header) http.Header
	// MatchesRequest returns whether a response belongs to the request with the ID.
	MatchesRequest(resp *http.Response, id string) upstream.Match
	// NamedIDs returns the IDs of the requests that a response names.
	NamedIDs(resp *http.Response) []string
	// Classify returns the class of the response to the request with the ID.
	Classify(resp *http.Response, id string) ResponseClass
	// ParseDecline reports whether another incarnation uses the address, and the
	// Retry-After of the target, 0 without one.
	ParseDecline(resp *http.Response) (wrongTarget bool, retryAfter time.Duration)
	// ParseNotice returns what the target says of itself in the header of a
	// response.
	ParseNotice(resp *http.Response) steering.Notice
	// SetRefusalHeaders sets the headers of a refusal by the entry itself.
	SetRefusalHeaders(h http.Header, id string, retryAfter time.Duration)
}

// Broker grants targets to requests.
type Broker interface {
	// Acquire waits for a target and returns the grant with the request number
	// for the other methods. After a refusal the request is not sent.
	Acquire(ctx context.Context, r steering.Request) (steering.Grant, uint64, *steering.Refused)
	// FirstEvent records the first event of a stream.
	FirstEvent(requestNumber uint64)
	// Notified passes on what a target has said of itself.
	Notified(target *catalog.Target, n steering.Notice)
	// Done reports the outcome at the granted target and releases the grant.
	Done(requestNumber uint64, outcome steering.Outcome)
}

// Identity is what a request has in common with others under which a target may crash.
type Identity struct {
	// PromptParts and AllParts are those of Metadata.
	PromptParts []string
	AllParts    iter.Seq[string]
	// Digest returns the digest of the whole request, which is equal for all attempts at
	// it, and Content that of what a request is made of without its headers but the model.
	// Both are safe for concurrent use.
	Digest, Content func() string
}

// Parts returns the IDs of all parts of the prompt.
func (i Identity) Parts() []string {
	if i.AllParts != nil {
		return slices.Collect(i.AllParts)
	}
	return i.PromptParts
}

// Cause is why a request is kept from the targets: a part of its prompt, or the digest of
// the whole request.
type Cause struct {
	Part   string
	Digest string
}

// Containment keeps requests under which targets crash away from the targets.
type Containment interface {
	// Blocked returns what is quarantined of a request, if anything is.
	Blocked(r Identity) (cause Cause, blocked bool)
	// Watch calls onBlocked once, in another goroutine, when something of the request
	// becomes quarantined, until stop is called.
	Watch(r Identity, onBlocked func(Cause)) (stop func())
	// Began records that a target began to answer a request, and Answered that it answered
	// the whole of it.
	Began(r Identity)
	Answered(r Identity)
	// Broken records that a target ended the connection of a request that was sent at
	// sentAt. began is true if the answer had begun.
	Broken(target *catalog.Target, r Identity, began bool, sentAt time.Time)
	// Isolate returns the targets that a request should avoid, because another one that
	// may be the cause of a crash is under way there, and Turn whether a request that may
	// be the cause of several has to wait, and where it may be sent.
	Isolate(r Identity) (avoided []string)
	Turn(r Identity, pool string) quarantine.Turn
	// Permit waits for a permit to send such a request, until the deadline at the latest.
	// Without one, retryAfter is when it is worth asking again.
	Permit(r Identity, deadline time.Time) (granted bool, retryAfter time.Duration)
	// Sent records that a request is under way at a target until done is called.
	Sent(r Identity, targetID string) (done func())
}

// StreamAttempt is an attempt of a caller at a stream.
type StreamAttempt struct {
	// Workspace is that of the caller, empty without one.
	Workspace  string
	Host, Path string
	// ID is that of the attempt, empty if it is not known.
	ID string
	// Key returns what is the same for all attempts at the stream, and for the streams of one
	// session.
	Key func() string
}

// StreamVersions keeps which software version began each stream.
type StreamVersions interface {
	// Record records that an attempt is served by a version of a pool, unless there is a
	// record with a higher order. confirmed is closed once it is known outside of this
	// entry, never if nobody can be told.
	Record(a StreamAttempt, pool, version string, order uint64) (confirmed <-chan struct{})
	// Home returns the version of a pool at which the stream has to begin, and false if any
	// may begin it.
	Home(a StreamAttempt, pool string) (version string, bound bool)
	// Resolve returns which versions of a pool may serve a request that takes a stream up
	// whose first event came from an attempt.
	Resolve(ctx context.Context, a StreamAttempt, pool string) (softwareversion.Decision, string)
}

// Quotas charges requests to the quotas of their workspaces.
type Quotas interface {
	// Charge charges units to a workspace, waiting at most briefly for the owner of its quota.
	// refund gives back what was charged if the request has not run; it may be called once.
	// If ok is false, the request is over the quota and fits after retryAfter.
	Charge(ctx context.Context, w *catalog.Workspace, units float64) (refund func(), retryAfter time.Duration, ok bool)
}

// ViewFunc returns the published state in force, or nil before the first.
type ViewFunc func() *catalog.View
