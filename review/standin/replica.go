//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for a replica: a model engine or a plain service.
type replica struct {
	fleet                  *fleet
	service, version, zone string
	ip, address            string
	engine                 bool
	// eventTime is the time between two events of a stream, workTime the time of a
	// request to a plain service.
	eventTime, workTime time.Duration
	// prefill is the time from the arrival of a request to its first token.
	prefill time.Duration
	// crashOn returns the time of work after which the request crashes the replica, and
	// false if it doesn't.
	crashOn  func(*http.Request, []byte) (time.Duration, bool)
	downTime time.Duration
	// queueTime returns how long a request waits at a plain service before it runs, nil for 0.
	queueTime func() time.Duration
	// quietAfter returns for how long the replica sends nothing before an event of a
	// request, though it goes on with its work.
	quietBefore func(r *http.Request, event int) time.Duration

	mu      sync.Mutex
	id      string
	born    int64
	beats   int
	seq     uint64
	fence   uint64
	model   bool // holds its model
	busy    bool
	running map[string]int // events made, by attempt
	conns   map[net.Conn]bool
	server  *http.Server
	socket  net.Listener
}

func newReplica(f *fleet, service, version, zone, ip string, engine bool) *replica {
	r := &replica{
		fleet: f, service: service, version: version, zone: zone, ip: ip, engine: engine, model: true,
		eventTime: 27 * time.Millisecond, workTime: 30 * time.Millisecond, prefill: 60 * time.Millisecond, downTime: 3 * time.Second,
	}
	l := f.listen(ip)
	r.address = l.Addr().String()
	r.begin(l)
	go func() {
		for {
			time.Sleep(heartbeatInterval)
			r.register()
		}
	}()
	return r
}

// begin starts an incarnation, with a new id.
func (r *replica) begin(l net.Listener) {
	r.mu.Lock()
	r.id, r.born = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli()
	r.beats, r.seq, r.fence, r.busy = 0, 0, 0, false
	r.running, r.conns = make(map[string]int), make(map[net.Conn]bool)
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	server.ConnState = func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch {
		case r.server != server:
			reset(c)
		case s == http.StateClosed:
			delete(r.conns, c)
		default:
			r.conns[c] = true
		}
	}
	r.server, r.socket = server, l
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.register()
}

// register writes the replica's entry in the store, unless it is down.
func (r *replica) register() {
	r.mu.Lock()
	if r.server == nil {
		r.mu.Unlock()
		return
	}
	r.beats++
	id := r.id
	v := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"seq": r.beats, "born": r.born,
	}
	if r.engine {
		v["stage"], v["models"] = "colocated", r.models()
	} else {
		v["slots"] = 6
	}
	r.mu.Unlock()
	r.fleet.put(storePrefix+id, v)
}

func (r *replica) models() []map[string]any {
	if !r.model {
		return []map[string]any{}
	}
	return []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// crash resets all connections and refuses new ones for downTime. Then another
// incarnation begins, empty, at the same address.
func (r *replica) crash(id string) {
	r.mu.Lock()
	if r.server == nil || r.id != id {
		r.mu.Unlock()
		return
	}
	server := r.server
	r.server = nil
	_ = r.socket.Close()
	for c := range r.conns {
		reset(c)
	}
	r.conns = nil
	r.model = false
	r.mu.Unlock()
	go func() { _ = server.Close() }()
	record("replica %s %s crashes", r.service, id)
	time.AfterFunc(r.downTime, func() {
		for {
			l, err := net.Listen("tcp", r.address)
			if err == nil {
				r.begin(l)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

func (r *replica) identity() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.Method == "GET" && q.URL.Path == "/report" && r.engine:
		r.serveReport(w)
	case q.Method == "POST" && q.URL.Path == "/order" && r.engine:
		r.serveOrder(w, q)
	case q.Method == "GET" && q.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.identity())
	default:
		r.serveRequest(w, q)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (r *replica) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	runs := [][]any{}
	for id, n := range r.running {
		runs = append(runs, []any{id, 800 + 5*n, n, 5})
	}
	v := map[string]any{
		"stage": "colocated", "models": r.models(), "busy": r.busy, "seq": r.seq, "waiting": 0, "running": len(runs), "kv_used": 900 * len(runs),
		"kv_total": 134670, "handles": 0, "born": r.born, "coming": []string{}, "runs": runs, "pinned": 0, "held": 0, "next_token": 0,
	}
	r.mu.Unlock()
	answer(w, http.StatusOK, v)
}

func (r *replica) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, Model, Adapter, Holder string
		Precondition               *uint64
		Fence                      uint64
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	want := q.Header.Get("Expect-Instance")
	switch {
	case want != "" && want != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case o.Fence < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case r.busy || o.Precondition != nil && *o.Precondition != r.seq:
		w.WriteHeader(http.StatusConflict)
	case o.Op == "load" && o.Adapter == "" && r.model:
		w.WriteHeader(http.StatusOK)
	case o.Op == "load" && o.Adapter == "" && o.Model == modelName:
		r.fence, r.seq, r.busy = o.Fence, r.seq+1, true
		id := r.id
		time.AfterFunc(640*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.id == id && r.server != nil {
				r.busy, r.model = false, true
			}
		})
		w.WriteHeader(http.StatusAccepted)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (r *replica) serveRequest(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	attempt := q.Header.Get("Attempt-Id")
	r.mu.Lock()
	id, want := r.id, q.Header.Get("Expect-Instance")
	declined := 0
	switch {
	case attempt == "":
		declined = http.StatusBadRequest
	case want != "" && want != id, r.engine && !r.model:
		declined = http.StatusMisdirectedRequest
	case r.engine && len(r.running) >= 64+192:
		declined = http.StatusServiceUnavailable
	}
	if declined == 0 && r.engine {
		r.running[attempt] = 0
	}
	r.mu.Unlock()
	w.Header().Set("Attempt-Id", attempt)
	if declined != 0 {
		record("%s is declined by %s: %d", attempt, id, declined)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(declined)
		return
	}
	if r.queueTime != nil {
		select {
		case <-time.After(r.queueTime()):
		case <-q.Context().Done():
			return
		}
	}
	x := run{attempt: attempt, replica: id, service: r.service, version: r.version, from: q.Header.Get("Last-Event-Id"), header: q.Header, path: q.URL.Path, began: time.Now()}
	n := addRun(x)
	defer func() {
		r.mu.Lock()
		delete(r.running, attempt)
		r.mu.Unlock()
		endRun(n)
	}()
	w.Header().Set("Response-Signature", "s."+id+"."+attempt)
	if r.crashOn != nil {
		if after, crashes := r.crashOn(q, body); crashes {
			record("replica %s runs %s, under which it crashes after %v", id, attempt, after)
			time.AfterFunc(after, func() { r.crash(id) })
			if !r.engine {
				time.Sleep(after + time.Second)
				panic(http.ErrAbortHandler)
			}
		}
	}
	if !r.engine {
		beginRun(n)
		time.Sleep(r.workTime)
		text := "answer to " + attempt + strings.Repeat(".", 700)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	r.serveStream(w, q, attempt, n)
}

// events returns how many events the stream of a request has: its second number in
// Token-Usage, in events of five tokens.
func events(h http.Header) int {
	_, out, _ := strings.Cut(h.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out)
	return tokens / 5
}

func (r *replica) serveStream(w http.ResponseWriter, q *http.Request, attempt string, n int) {
	ms, _ := strconv.Atoi(q.Header.Get("Deadline-Ms"))
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	// wake ends a wait when the caller has left.
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-q.Context().Done():
			return false
		}
	}
	if !wait(r.prefill) {
		return
	}
	beginRun(n)
	for i := from + 1; i <= events(q.Header); i++ {
		if time.Now().After(end) {
			panic(http.ErrAbortHandler)
		}
		pause := r.eventTime
		if r.quietBefore != nil {
			pause += r.quietBefore(q, i)
		}
		if !wait(pause) {
			return
		}
		r.mu.Lock()
		if r.running != nil {
			r.running[attempt] = i
		}
		r.mu.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, r.version, strings.Repeat("x", 40), i); err != nil || control.Flush() != nil {
			return
		}
	}
}
