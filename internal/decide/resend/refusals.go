package resend

import (
	"hash/maphash"
	"net/http"
	"slices"
)

// MaxRefusals is the number of refusals after which a connection is not used again.
const MaxRefusals = 64

// Match is whether a response belongs to the request that waits on its connection.
type Match uint8

// Values of Match.
const (
	// ThisRequest is named by the response, and no other.
	ThisRequest Match = iota + 1
	// OtherRequest is named, or several are.
	OtherRequest
	// NoRequest is named.
	NoRequest
)

// Use is what becomes of a response.
type Use uint8

// Values of Use.
const (
	// Accept takes it for the response to the request that waits.
	Accept Use = iota + 1
	// Skip passes over it: it is an extra response to an earlier request.
	Skip
	// Distrust ends the connection without a response to the request that waits.
	Distrust
)

// PromisesNotRun reports whether an HTTP status says that the request has not run and never
// will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// requestSeed is that of the hashes of request IDs.
var requestSeed = maphash.MakeSeed()

// Refusals keeps which requests the refusals of a connection have named, and decides which
// requests it may carry and what becomes of its responses. A target may write a refusal again
// where the response to a later request is due, so that the connection must not carry a request
// that a refusal on it has named: the repetition would count as the later response. The zero
// value is that of a new connection. It is not safe for concurrent use.
type Refusals struct {
	// requests holds the hashes of their IDs.
	requests []uint64
	// unnamed is true after a refusal that names no request.
	unnamed bool
}

// Full reports whether the connection must not carry any further request.
func (r *Refusals) Full() bool { return len(r.requests) >= MaxRefusals }

// MayCarry reports whether the connection may carry the request with an ID. Without an ID its
// responses cannot be told from those to other requests in any case.
func (r *Refusals) MayCarry(id string) bool {
	return !r.Full() && (id == "" || !slices.Contains(r.requests, maphash.String(requestSeed, id)))
}

// Received records a response, and decides what becomes of it. refusal is true if it says that
// its request was not run; id is that of the request that waits, named those in the response.
func (r *Refusals) Received(id string, match Match, refusal bool, named ...string) Use {
	if match == NoRequest && (r.unnamed || len(r.requests) > 0) {
		// The response may be the repetition of a refusal.
		return Distrust
	}
	if refusal {
		if match == ThisRequest && id != "" {
			named = append(named, id)
		}
		r.add(named)
	}
	if match == OtherRequest {
		return Skip
	}
	return Accept
}

// add records a refusal that names requests.
func (r *Refusals) add(named []string) {
	if len(named) == 0 {
		r.unnamed = true
	}
	for _, id := range named {
		hash := maphash.String(requestSeed, id)
		if !r.Full() && !slices.Contains(r.requests, hash) {
			r.requests = append(r.requests, hash)
		}
	}
}
