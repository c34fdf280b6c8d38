package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// WeightStore serves adapter weights. GET /v1/adapters/{name}/{version} takes
// LoadTime while at most MaxInFlight loads run at once. With more, the time
// grows in proportion to the number of loads in flight.
type WeightStore struct {
	LoadTime    time.Duration
	MaxInFlight int
	// MaxLoadsPerSecond states the load rate limit of the store. The store neither
	// reads nor enforces it.
	MaxLoadsPerSecond float64

	mu           sync.Mutex
	inFlight     int
	peakInFlight int
	loads        int
	failNext     int
	// startTimes holds the start times of the loads of the last 10 s.
	// maxPer10s is its maximum length so far.
	startTimes []time.Time
	maxPer10s  int
}

// NewWeightStore returns a store with the default limits.
func NewWeightStore() *WeightStore {
	return &WeightStore{LoadTime: 250 * time.Millisecond, MaxInFlight: 8, MaxLoadsPerSecond: 4.5}
}

// WeightStats holds counters of a weight store since its start.
type WeightStats struct {
	Loads        int `json:"loads"`
	PeakInFlight int `json:"peak_in_flight"`
	// WorstTenSeconds is the largest number of loads started within any 10 s.
	WorstTenSeconds int `json:"worst_ten_seconds"`
}

// Stats returns the counters.
func (s *WeightStore) Stats() WeightStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightStats{Loads: s.loads, PeakInFlight: s.peakInFlight, WorstTenSeconds: s.maxPer10s}
}

// beginLoad counts the start of a load. It returns how long the load takes and
// whether it is to fail.
func (s *WeightStore) beginLoad() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.loads++
	s.inFlight++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	s.startTimes = append(s.startTimes, now)
	for now.Sub(s.startTimes[0]) > 10*time.Second {
		s.startTimes = s.startTimes[1:]
	}
	s.maxPer10s = max(s.maxPer10s, len(s.startTimes))
	fail := s.failNext > 0
	if fail {
		s.failNext--
	}
	factor := max(1, float64(s.inFlight)/float64(s.MaxInFlight))
	return time.Duration(float64(s.LoadTime) * factor), fail
}

func (s *WeightStore) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// Handler returns the HTTP interface: GET /v1/adapters/{name}/{version} loads
// an adapter, GET /stats returns the counters, and POST /control?fail_next=N
// makes the next N loads fail.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/adapters/{name}/{version}", func(w http.ResponseWriter, r *http.Request) {
		delay, fail := s.beginLoad()
		defer s.endLoad()
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
