package experiment

import "time"

const (
	// StoreLoadsPerSecond is the rate of adapter loads that the weight store
	// sustains.
	StoreLoadsPerSecond = 4.5
	// StoreMaxInFlight is the number of concurrent loads above which each load
	// takes longer.
	StoreMaxInFlight = 8
	// StoreLoadTime is the duration of a load while both limits are kept.
	StoreLoadTime = 250 * time.Millisecond
	// storeBurst is the number of loads that may start at once after an idle
	// period.
	storeBurst = StoreMaxInFlight
)

// store models the weight store that all engines share.
type store struct {
	loop     *loop
	inFlight int
	// bucketTokens is the number of tokens in the rate limit's bucket at
	// updatedAt. It is negative while loads wait.
	bucketTokens float64
	updatedAt    time.Time
	// starts holds the start time of every load.
	starts      []time.Time
	maxInFlight int
	// delayedLoads counts the loads that waited for the rate limit.
	delayedLoads int
}

func newStore(l *loop) *store { return &store{loop: l, bucketTokens: storeBurst, updatedAt: l.now} }

// load starts a load and calls done when it ends. Above StoreMaxInFlight a load
// takes proportionally longer. Above StoreLoadsPerSecond it waits until the rate
// limit permits it.
func (s *store) load(done func()) {
	now := s.loop.now
	s.bucketTokens = min(storeBurst, s.bucketTokens+now.Sub(s.updatedAt).Seconds()*StoreLoadsPerSecond)
	s.updatedAt = now
	s.bucketTokens--
	s.starts = append(s.starts, now)
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	duration := time.Duration(float64(StoreLoadTime) * max(1, float64(s.inFlight)/StoreMaxInFlight))
	if s.bucketTokens < 0 {
		s.delayedLoads++
		duration += time.Duration(-s.bucketTokens / StoreLoadsPerSecond * float64(time.Second))
	}
	s.loop.after(duration, func() {
		s.inFlight--
		done()
	})
}

// loads returns the number of loads that started in [from, to).
func (s *store) loads(from, to time.Time) int {
	n := 0
	for _, t := range s.starts {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// exceeded reports whether a load exceeded the rate or the in-flight limit.
func (s *store) exceeded() bool { return s.delayedLoads > 0 || s.maxInFlight > StoreMaxInFlight }
