package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaitingAsks bounds the asks that wait for one target. The last in order is
	// refused for one more.
	maxWaitingAsks = 256
	// bucketTTL is how long the bucket of a target is kept without an ask.
	bucketTTL = 30 * time.Second
	// maxBuckets bounds the targets with a bucket.
	maxBuckets = 4096
)

// Key identifies an incarnation of a target.
type Key struct {
	Target      string
	StartedAtMS int64
}

// Ask is the request of an entry for a permit to send one request to a target.
type Ask struct {
	Key Key
	// Rate is the number of requests a second that the permits may add up to.
	Rate float64
	// From and Number identify the ask.
	From   string
	Number uint64
	// Priority is that of the request; 0 is the most urgent. It is refused if there is
	// no permit by the deadline.
	Priority int
	Deadline time.Time
}

// Reply answers an ask. Without a permit, RetryAfter is when there would be one.
type Reply struct {
	Ask        Ask
	Granted    bool
	RetryAfter time.Duration
}

// Granter gives the permits of the targets that one entry owns.
type Granter struct {
	buckets map[Key]*sharedBucket
}

// sharedBucket is the bucket of one target with the asks that wait for it, in their order.
type sharedBucket struct {
	bucket  Bucket
	queue   []Ask
	askedAt time.Time
}

// NewGranter returns a Granter without buckets.
func NewGranter() *Granter { return &Granter{buckets: make(map[Key]*sharedBucket)} }

// Ask handles an ask. The replies may be to other asks too.
func (g *Granter) Ask(now time.Time, a Ask) []Reply {
	b := g.buckets[a.Key]
	if b == nil {
		if len(g.buckets) >= maxBuckets {
			g.prune(now)
		}
		if len(g.buckets) >= maxBuckets {
			return []Reply{{Ask: a, RetryAfter: bucketTTL}}
		}
		b = &sharedBucket{}
		g.buckets[a.Key] = b
	}
	b.askedAt = now
	b.bucket.SetRate(now, a.Rate)
	at, _ := slices.BinarySearchFunc(b.queue, a, func(x, y Ask) int {
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), x.Deadline.Compare(y.Deadline), -1)
	})
	b.queue = slices.Insert(b.queue, at, a)
	return b.serve(now)
}

// Withdraw drops an ask that waits.
func (g *Granter) Withdraw(k Key, from string, number uint64) {
	if b := g.buckets[k]; b != nil {
		b.queue = slices.DeleteFunc(b.queue, func(a Ask) bool { return a.From == from && a.Number == number })
	}
}

// Tick grants what has become possible and refuses what has become impossible.
func (g *Granter) Tick(now time.Time) []Reply {
	var replies []Reply
	for _, b := range g.buckets {
		replies = append(replies, b.serve(now)...)
	}
	return replies
}

// serve grants the first asks while there are tokens and refuses those that could not be
// granted by their deadlines.
func (b *sharedBucket) serve(now time.Time) []Reply {
	var replies []Reply
	waiting := b.queue[:0:0]
	for _, a := range b.queue {
		if len(waiting) == 0 && now.After(a.Deadline) {
			replies = append(replies, Reply{Ask: a, RetryAfter: b.bucket.Wait(now, 0)})
			continue
		}
		if len(waiting) == 0 && b.bucket.Take(now) {
			replies = append(replies, Reply{Ask: a, Granted: true})
			continue
		}
		wait := b.bucket.Wait(now, len(waiting))
		if now.Add(wait).After(a.Deadline) || len(waiting) >= maxWaitingAsks {
			replies = append(replies, Reply{Ask: a, RetryAfter: wait})
			continue
		}
		waiting = append(waiting, a)
	}
	b.queue = waiting
	return replies
}

// Next returns the time until the next Tick is needed, or false if no ask waits.
func (g *Granter) Next(now time.Time) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, b := range g.buckets {
		if len(b.queue) == 0 {
			continue
		}
		if wait := b.bucket.Wait(now, 0); !found || wait < next {
			next, found = wait, true
		}
	}
	return next, found
}

// Drop forgets the bucket of a target and refuses the asks that wait for it.
func (g *Granter) Drop(k Key, retryAfter time.Duration) []Reply {
	var replies []Reply
	if b := g.buckets[k]; b != nil {
		for _, a := range b.queue {
			replies = append(replies, Reply{Ask: a, RetryAfter: retryAfter})
		}
		delete(g.buckets, k)
	}
	return replies
}

func (g *Granter) prune(now time.Time) {
	for k, b := range g.buckets {
		if len(b.queue) == 0 && now.Sub(b.askedAt) > bucketTTL {
			delete(g.buckets, k)
		}
	}
}
