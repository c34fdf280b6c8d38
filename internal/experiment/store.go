package experiment

import "time"

const (
	// StoreRate is the number of loads a second that the weight store takes.
	StoreRate = 4.5
	// StoreInFlight is the number of loads in flight beyond which each
	// takes longer.
	StoreInFlight = 8
	// StoreLoadTime is the duration of one load within the limits.
	StoreLoadTime = 250 * time.Millisecond
	// storeBurst is the number of loads that may start at once after a
	// quiet period; it equals the in-flight limit.
	storeBurst = StoreInFlight
)

// store models the weight store that all engines share.
type store struct {
	loop     *loop
	inFlight int
	// credit is a token bucket of the rate limit.
	credit   float64
	creditAt time.Time
	// starts holds the start time of every load.
	starts       []time.Time
	maxInFlight  int
	rateExceeded int
}

func newStore(l *loop) *store { return &store{loop: l, credit: storeBurst, creditAt: l.now} }

// load calls done when a load that starts now ends. Loads above the in-flight
// limit take proportionally longer, loads above the rate wait for their turn.
func (s *store) load(done func()) {
	now := s.loop.now
	s.credit = min(storeBurst, s.credit+now.Sub(s.creditAt).Seconds()*StoreRate)
	s.creditAt = now
	s.credit--
	s.starts = append(s.starts, now)
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	took := time.Duration(float64(StoreLoadTime) * max(1, float64(s.inFlight)/StoreInFlight))
	if s.credit < 0 {
		s.rateExceeded++
		took += time.Duration(-s.credit / StoreRate * float64(time.Second))
	}
	s.loop.after(took, func() {
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

func (s *store) exceeded() bool { return s.rateExceeded > 0 || s.maxInFlight > StoreInFlight }
