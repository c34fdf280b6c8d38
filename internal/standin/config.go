package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ConfigService is a read-and-watch store of values. Readers use
//
//	GET /v1/values/{key...}                  the value, with header X-Index
//	GET /v1/watch/{key...}?index=N&wait_ms=M waits for an index above N;
//	                                         304 when the wait ends
//
// Each call is counted. PUT /v1/values/{key...} is the operators' side.
type ConfigService struct {
	mu     sync.Mutex
	values map[string]configValue
	index  uint64
	change chan struct{}
	calls  int
	down   bool
	frozen map[string]configValue
}

type configValue struct {
	data  []byte
	index uint64
}

const maxConfigValue = 1 << 20

// NewConfigService returns an empty service.
func NewConfigService() *ConfigService {
	return &ConfigService{values: make(map[string]configValue), change: make(chan struct{})}
}

// Put writes a value, as an operator would.
func (s *ConfigService) Put(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.values[key] = configValue{data: data, index: s.index}
	close(s.change)
	s.change = make(chan struct{})
}

// SetDown makes the service refuse all readers, or serve again.
func (s *ConfigService) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.change)
	s.change = make(chan struct{})
}

// SetStale makes the service serve what it holds now, whatever is written
// later, until it is called with false.
func (s *ConfigService) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if !stale {
		return
	}
	s.frozen = make(map[string]configValue, len(s.values))
	for k, v := range s.values {
		s.frozen[k] = v
	}
}

// Calls returns the number of reads and watches so far.
func (s *ConfigService) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *ConfigService) read(key string) (configValue, bool, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := s.values
	if s.frozen != nil {
		values = s.frozen
	}
	v, ok := values[key]
	return v, ok, s.change, s.down
}

func (s *ConfigService) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// Handler returns the HTTP interface of readers and operators.
func (s *ConfigService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", s.get)
	mux.HandleFunc("GET /v1/watch/{key...}", s.watch)
	mux.HandleFunc("PUT /v1/values/{key...}", s.put)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int{"calls": s.Calls()})
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		if q := r.URL.Query(); q.Has("down") {
			s.SetDown(q.Get("down") == "true")
		} else if q.Has("stale") {
			s.SetStale(q.Get("stale") == "true")
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (s *ConfigService) get(w http.ResponseWriter, r *http.Request) {
	s.count()
	v, ok, _, down := s.read(r.PathValue("key"))
	writeValue(w, v, ok, down)
}

func writeValue(w http.ResponseWriter, v configValue, ok, down bool) {
	switch {
	case down:
		http.Error(w, "configuration service unavailable", http.StatusServiceUnavailable)
	case !ok:
		http.NotFound(w, nil)
	default:
		w.Header().Set("X-Index", strconv.FormatUint(v.index, 10))
		_, _ = w.Write(v.data)
	}
}

func (s *ConfigService) watch(w http.ResponseWriter, r *http.Request) {
	s.count()
	after := uint64(intParam(r, "index", 0))
	wait := time.After(time.Duration(intParam(r, "wait_ms", 1000)) * time.Millisecond)
	for {
		v, ok, change, down := s.read(r.PathValue("key"))
		if down || (ok && v.index > after) {
			writeValue(w, v, ok, down)
			return
		}
		select {
		case <-change:
		case <-wait:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *ConfigService) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxConfigValue+1))
	if err != nil || len(data) > maxConfigValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.Put(r.PathValue("key"), data)
	w.WriteHeader(http.StatusNoContent)
}

func intParam(r *http.Request, name string, fallback int) int {
	if v, err := strconv.Atoi(r.URL.Query().Get(name)); err == nil {
		return v
	}
	return fallback
}
