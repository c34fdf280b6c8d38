package standin

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a plain service whose calls have side effects. It counts the
// executions by idempotency key, so that a test can detect a call that was
// executed twice.
type Service struct {
	// Delay is the duration of one call.
	Delay time.Duration

	mu      sync.Mutex
	effects map[string]int
	cutNext int
}

// NewService returns a service whose calls take delay.
func NewService(delay time.Duration) *Service {
	return &Service{Delay: delay, effects: make(map[string]int)}
}

// Effects returns the number of executions of each idempotency key.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects := make(map[string]int, len(s.effects))
	for k, n := range s.effects {
		effects[k] = n
	}
	return effects
}

// Receipt returns the body with which the service answers a call.
func Receipt(path string, body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return fmt.Sprintf("done %s %016x", path, h.Sum64())
}

// Handler returns the HTTP interface. GET /effects returns the number of
// executions of each key, and GET /health succeeds. POST /control?cut_next=N
// breaks the connection instead of answering after each of the next N
// executions; delay_ms=N sets the duration of a call. Any other request is a
// call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /effects", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, http.StatusOK, s.Effects()) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cutNext = intParam(r, "cut_next", s.cutNext)
		s.Delay = time.Duration(intParam(r, "delay_ms", int(s.Delay.Milliseconds()))) * time.Millisecond
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.effects[r.Header.Get("Idempotency-Key")]++
	cut := s.cutNext > 0
	if cut {
		s.cutNext--
	}
	delay := s.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, Receipt(r.URL.Path, body))
}
