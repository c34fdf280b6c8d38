package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// WeightStore is a rate-limited store of adapters. GET
// /v1/adapters/{name}/{version} takes the load time while no more than
// MaxInFlight loads run, proportionally longer beyond.
type WeightStore struct {
	LoadTime    time.Duration
	MaxInFlight int
	// Rate is the limit in loads a second that Exceeded watches.
	Rate float64

	mu       sync.Mutex
	inFlight int
	peak     int
	loads    int
	failNext int
	times    []time.Time
	worst    int
}

// NewWeightStore returns a store with the usual limits.
func NewWeightStore() *WeightStore {
	return &WeightStore{LoadTime: 250 * time.Millisecond, MaxInFlight: 8, Rate: 4.5}
}

// WeightStats is what the store has seen.
type WeightStats struct {
	Loads        int `json:"loads"`
	PeakInFlight int `json:"peak_in_flight"`
	// WorstTenSeconds is the largest number of loads started in 10 s.
	WorstTenSeconds int `json:"worst_ten_seconds"`
}

// Stats returns what the store has seen.
func (s *WeightStore) Stats() WeightStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightStats{Loads: s.loads, PeakInFlight: s.peak, WorstTenSeconds: s.worst}
}

func (s *WeightStore) begin() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.loads++
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	s.times = append(s.times, now)
	for now.Sub(s.times[0]) > 10*time.Second {
		s.times = s.times[1:]
	}
	s.worst = max(s.worst, len(s.times))
	fail := s.failNext > 0
	if fail {
		s.failNext--
	}
	factor := max(1, float64(s.inFlight)/float64(s.MaxInFlight))
	return time.Duration(float64(s.LoadTime) * factor), fail
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// Handler returns the store's HTTP interface. POST /control?fail_next=N makes
// the next N loads fail.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/adapters/{name}/{version}", func(w http.ResponseWriter, r *http.Request) {
		delay, fail := s.begin()
		defer s.end()
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		if fail {
			http.Error(w, "weights unavailable", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(r.PathValue("name") + "@" + r.PathValue("version")))
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failNext = intParam(r, "fail_next", s.failNext)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
