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
	// credit is the fill of the rate limit's token bucket at creditAt. It is
	// negative while loads wait.
	credit   float64
	creditAt time.Time
	// starts holds the start time of every load.
	starts        []time.Time
	maxInFlight   int
	loadsOverRate int
}

func newStore(l *loop) *store { return &store{loop: l, credit: storeBurst, creditAt: l.now} }

// load starts a load and calls done when it ends. Above StoreMaxInFlight a load
// takes proportionally longer. Above StoreLoadsPerSecond it waits until the rate
// limit permits it.
func (s *store) load(done func()) {
	now := s.loop.now
	s.credit = min(storeBurst, s.credit+now.Sub(s.creditAt).Seconds()*StoreLoadsPerSecond)
	s.creditAt = now
	s.credit--
	s.starts = append(s.starts, now)
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	duration := time.Duration(float64(StoreLoadTime) * max(1, float64(s.inFlight)/StoreMaxInFlight))
	if s.credit < 0 {
		s.loadsOverRate++
		duration += time.Duration(-s.credit / StoreLoadsPerSecond * float64(time.Second))
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
func (s *store) exceeded() bool { return s.loadsOverRate > 0 || s.maxInFlight > StoreMaxInFlight }
