package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ConfigService is a store of values that readers can read and watch. Each
// write gets the next index. Readers use
//
//	GET /v1/values/{key...}                  returns the value; the header
//	                                         X-Index holds its index
//	GET /v1/watch/{key...}?index=N&wait_ms=M returns the value once its index is
//	                                         above N, or 304 after M ms
//
// Each call of a reader is counted. Operators write with PUT /v1/values/{key...}.
type ConfigService struct {
	mu     sync.Mutex
	values map[string]configValue
	index  uint64
	// change is closed and replaced whenever a value is written or down is set.
	change chan struct{}
	calls  int
	down   bool
	// stale holds the values that a stale service returns; nil otherwise.
	stale map[string]configValue
}

type configValue struct {
	data  []byte
	index uint64
}

const maxConfigValueBytes = 1 << 20

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

// SetDown makes the service refuse all readers with 503, or serve them again.
func (s *ConfigService) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.change)
	s.change = make(chan struct{})
}

// SetStale(true) makes the service return the values that it holds now, also
// after later writes. SetStale(false) ends this.
func (s *ConfigService) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if !stale {
		return
	}
	s.stale = make(map[string]configValue, len(s.values))
	for k, v := range s.values {
		s.stale[k] = v
	}
}

// Calls returns the number of reads and watches so far.
func (s *ConfigService) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// read returns the value of a key and whether it exists, a channel that closes
// on the next change, and whether the service is down.
func (s *ConfigService) read(key string) (configValue, bool, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := s.values
	if s.stale != nil {
		values = s.stale
	}
	v, ok := values[key]
	return v, ok, s.change, s.down
}

func (s *ConfigService) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// Handler returns the HTTP interface for readers and operators. GET /stats
// returns the number of calls. POST /control?down=B and /control?stale=B call
// SetDown and SetStale.
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
	s.countCall()
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
	s.countCall()
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
	data, err := io.ReadAll(io.LimitReader(r.Body, maxConfigValueBytes+1))
	if err != nil || len(data) > maxConfigValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.Put(r.PathValue("key"), data)
	w.WriteHeader(http.StatusNoContent)
}

// intParam returns a query parameter as a number, or fallback if it is missing
// or not a number.
func intParam(r *http.Request, name string, fallback int) int {
	if v, err := strconv.Atoi(r.URL.Query().Get(name)); err == nil {
		return v
	}
	return fallback
}
