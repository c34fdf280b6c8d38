//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

// model is a base model of the configuration.
type model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights_mb"`
	LoadS     float64 `json:"load_s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter_mb"`
}

// The memory and the slots of an engine of kkawa-rota, and its base model.
const (
	memoryMB     = 75800
	adapterSlots = 25
)

var oneModel = []model{{Name: "large", WeightsMB: 72700, LoadS: 1.6, Adapters: 3000, AdapterMB: 66}}

const (
	// adapterTime is the duration of an adapter load, and crashTime for how long an engine is down.
	adapterTime = 250 * time.Millisecond
	crashTime   = 4 * time.Second
	// A stream has streamEvents events, eventTime apart.
	streamEvents = 20
	eventTime    = 30 * time.Millisecond
)

// engine is a stand-in for a model replica: it keeps the memory that its weights and adapters
// take, and crashes if it is ordered to load more than it holds.
type engine struct {
	d            *deployment
	id, addr, ip string
	zone         string
	models       []model
	start        string
	weightsMB    float64
	slots        int
	// events is the length of a stream. keeps is true if the engine goes on with a run whose
	// connection has closed.
	events int
	keeps  bool
	// prefill is the time before the first event. The engine crashes when it begins to answer a
	// request whose prompt holds crashPart.
	prefill   time.Duration
	crashPart string
	// The engine also crashes writtenTime after the first event of an answer to a request whose
	// prompt holds writtenPart.
	writtenPart string

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	born     int64
	seq      uint64
	fence    uint64
	beats    int
	held     map[string]bool
	coming   map[string]bool
	running  int
	// crashes counts the orders that asked for more than weightsMB or slots, and cut the streams
	// that were running then.
	crashes, cut int
	// partCrashes counts the crashes for crashPart. partCrashTimes are those for writtenPart.
	partCrashes    int
	partCrashTimes []time.Time
	// Until silentUntil the engine sends nothing. runs are those of all streams.
	silentUntil time.Time
	runs        []*streamRun
}

// streamRun is the work of an engine on one request, which goes on after an event.
type streamRun struct {
	id, engine     string
	after, events  int
	started, ended time.Time
}

// startEngine starts an engine that holds one base model, and its registrations.
func (d *deployment) startEngine(n int, zone string, models []model, start string, weightsMB float64, slots int) (*engine, error) {
	ip := fmt.Sprintf("127.2.%d.%d", d.net, n)
	e := &engine{d: d, id: fmt.Sprintf("i-%d", n), addr: fmt.Sprintf("%s:%d", ip, d.port+8), ip: ip, zone: zone, models: models, start: start, weightsMB: weightsMB, slots: slots, events: streamEvents}
	if err := e.up(start); err != nil {
		return nil, err
	}
	d.stops = append(d.stops, e.down)
	go func() {
		for {
			e.beat()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e, nil
}

// up begins an incarnation that holds a base model, none if start is empty.
func (e *engine) up(start string) error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.seq, e.fence, e.beats, e.running = time.Now().UnixMilli(), 0, 0, 0, 0
	e.held, e.coming, e.conns = map[string]bool{}, map[string]bool{}, map[net.Conn]bool{}
	if start != "" {
		e.held[start] = true
	}
	e.listener = l
	server := &http.Server{Handler: e}
	server.ConnState = func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateClosed {
			delete(e.conns, c)
		} else if e.server == server {
			e.conns[c] = true
		}
	}
	e.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// down resets all connections and closes the listener.
func (e *engine) down() {
	e.mu.Lock()
	server, l := e.server, e.listener
	e.server = nil
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.conns = nil
	e.mu.Unlock()
	if server != nil {
		_ = l.Close()
		go func() { _ = server.Close() }()
	}
}

func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	e.beats++
	e.d.store.Put("servers/"+e.id, map[string]any{
		"service": "assistant", "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq": e.beats, "born": e.born,
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /report":
		e.report(w)
	case "POST /order":
		e.order(w, r)
	default:
		e.serveRun(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, coming, list := map[string][]string{}, []string{}, []map[string]any{}
	for key := range e.held {
		if m, a, ok := splitAdapter(key); ok {
			adapters[m] = append(adapters[m], a+"@1")
		}
	}
	for _, m := range e.models {
		if e.held[m.Name] {
			list = append(list, map[string]any{"name": m.Name, "version": 1, "adapters": append([]string{}, adapters[m.Name]...)})
		}
	}
	for key := range e.coming {
		if _, _, ok := splitAdapter(key); ok {
			coming = append(coming, key+"@1")
		}
	}
	batch := []any{}
	for _, r := range e.runs {
		if r.ended.IsZero() {
			batch = append(batch, []any{r.id, 200 + 5*r.events, r.events, 5})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "models": list, "busy": e.loadsModel(), "seq": e.seq, "born": e.born, "waiting": 0, "running": e.running, "runs": batch,
		"kv_used": 0, "kv_total": 134670, "handles": 0, "coming": coming,
	})
}

func splitAdapter(key string) (model, adapter string, ok bool) {
	for i := range key {
		if key[i] == '/' {
			return key[:i], key[i+1:], true
		}
	}
	return key, "", false
}

// usedMB returns the memory that weights and adapters take, and the adapters in slots, with those
// that are being loaded. e.mu must be held.
func (e *engine) used() (mb float64, slots int) {
	count := func(key string) {
		name, _, isAdapter := splitAdapter(key)
		for _, m := range e.models {
			if m.Name == name && isAdapter {
				mb += m.AdapterMB
				slots++
			} else if m.Name == name {
				mb += m.WeightsMB
			}
		}
	}
	for key := range e.held {
		count(key)
	}
	for key := range e.coming {
		if !e.held[key] {
			count(key)
		}
	}
	return mb, slots
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string  `json:"op"`
		Model        string  `json:"model"`
		Adapter      string  `json:"adapter"`
		Precondition *uint64 `json:"precondition"`
		Holder       string  `json:"holder"`
		Fence        uint64  `json:"fence"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := o.Model
	if o.Adapter != "" {
		key += "/" + o.Adapter
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, overfull := http.StatusAccepted, false
	switch {
	case o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case o.Precondition != nil && *o.Precondition != e.seq:
		status = http.StatusConflict
	case o.Op == "evict":
		e.fence, e.seq = o.Fence, e.seq+1
		delete(e.held, key)
		status = http.StatusOK
	case e.held[key] || e.coming[key]:
		status = http.StatusOK
	default:
		e.fence, e.seq = o.Fence, e.seq+1
		e.coming[key] = true
		mb, slots := e.used()
		overfull = mb > e.weightsMB || slots > e.slots
		e.d.line("%s order %s %s: memory %.0f of %.0f MB, adapters %d of %d", e.id, o.Op, key, mb, e.weightsMB, slots, e.slots)
		born := e.born
		duration := adapterTime
		for _, m := range e.models {
			if m.Name == key {
				duration = time.Duration(m.LoadS * float64(time.Second))
			}
		}
		time.AfterFunc(duration, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.born == born && e.coming[key] {
				delete(e.coming, key)
				e.held[key] = true
			}
		})
	}
	if overfull {
		e.crashes++
		e.cut += e.running
		e.d.line("%s CRASHES: it was ordered to load more than it holds; %d streams were running", e.id, e.running)
		go e.crash()
	}
	w.WriteHeader(status)
}

// crash ends the incarnation, and begins an empty one after crashTime.
func (e *engine) crash() {
	e.mu.Lock()
	up := e.server != nil
	e.mu.Unlock()
	if !up {
		return
	}
	e.down()
	time.Sleep(crashTime)
	if err := e.up(""); err != nil {
		e.d.line("%s does not come back: %v", e.id, err)
	}
	e.beat()
}

// loadsModel reports whether a base model is being loaded. e.mu must be held.
func (e *engine) loadsModel() bool {
	for key := range e.coming {
		if _, _, isAdapter := splitAdapter(key); !isAdapter {
			return true
		}
	}
	return false
}

// serveRun streams an answer.
func (e *engine) serveRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	e.mu.Lock()
	born, held := e.born, e.held[r.Header.Get("Model")]
	misdirected := r.Header.Get("Expect-Instance") != e.id
	if held && !misdirected {
		e.running++
	}
	e.mu.Unlock()
	if !held || misdirected {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	work := &streamRun{id: id, engine: e.id, after: after, events: after, started: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, work)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		work.ended = time.Now()
		if e.born == born {
			e.running--
		}
	}()
	time.Sleep(e.prefill)
	if e.crashPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), e.crashPart+":") {
		e.mu.Lock()
		current := e.born == born && e.server != nil
		if current {
			e.partCrashes++
		}
		e.mu.Unlock()
		if current {
			e.d.line("%s CRASHES: it began to answer %s", e.id, id)
			go e.crash()
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", standin.Signature(e.id))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= e.events; n++ {
		time.Sleep(eventTime)
		e.awaitVoice()
		_, err := fmt.Fprint(w, standin.Event(id, n))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if (err != nil || r.Context().Err() != nil) && !e.keeps {
			return
		}
		e.mu.Lock()
		work.events = n
		e.mu.Unlock()
		if e.writtenPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), e.writtenPart+":") {
			time.Sleep(writtenTime)
			e.mu.Lock()
			current := e.born == born && e.server != nil
			if current {
				e.partCrashTimes = append(e.partCrashTimes, time.Now())
			}
			e.mu.Unlock()
			if current {
				e.d.line("%s CRASHES: it has begun to answer %s", e.id, id)
				go e.crash()
			}
			panic(http.ErrAbortHandler)
		}
	}
}

// silence makes the engine send nothing for a time, after which it goes on.
func (e *engine) silence(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(d)
}

func (e *engine) awaitVoice() {
	e.mu.Lock()
	until := e.silentUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}
