package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// EngineState is the JSON body that GET /v1/state returns.
type EngineState struct {
	Incarnation int64    `json:"incarnation"`
	Fence       uint64   `json:"fence"`
	KeepsFence  bool     `json:"keeps_fence"`
	Slots       int      `json:"slots"`
	Resident    []string `json:"resident"`
	Loading     []string `json:"loading"`
	Running     []string `json:"running"`
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// text returns the prompt, or the contents of all chat messages.
func (q *completionRequest) text() string {
	if len(q.Messages) == 0 {
		return q.Prompt
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// Handler returns the HTTP interface of the engine:
//
//	POST   /v1/completions, /v1/chat/completions  run; X-Request-Id is the id of the
//	                                              run, X-Engine-Incarnation the
//	                                              incarnation that it is meant for
//	GET    /v1/requests/{id}?from=N               resume a stream from token N
//	DELETE /v1/requests/{id}                      cancel
//	POST   /v1/adapters/{name}/{version}?fence=N&incarnation=N  load
//	DELETE /v1/adapters/{name}/{version}?fence=N&incarnation=N  unload
//	POST   /v1/fence?fence=N                      set the fencing number
//	GET    /v1/state                              incarnation, fence, adapters, runs
//	GET    /v1/load                               load report, ReportLag old
//	POST   /control?slow=F&restart=true&cut_next=N test control: slow multiplies the
//	                                              step time, cut_next breaks the next
//	                                              N streams after a token
//	GET    /stats                                 steps, mean batch size, mean distinct
//	                                              adapters, started runs, refused
//	                                              unloads of adapters in use
//
// An engine with KeepsFence refuses loads, unloads and runs for another
// incarnation with 412. It refuses loads, unloads and POST /v1/fence with 409 if
// their fencing number is below the current one.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("GET /v1/requests/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.cancel)
	mux.HandleFunc("POST /v1/adapters/{name}/{version}", func(w http.ResponseWriter, r *http.Request) {
		status, text := e.load(r, r.PathValue("name"), r.PathValue("version"))
		writeJSON(w, status, map[string]string{"error": text})
	})
	mux.HandleFunc("DELETE /v1/adapters/{name}/{version}", func(w http.ResponseWriter, r *http.Request) {
		status, text := e.unload(r, ModelName(r.PathValue("name"), r.PathValue("version")))
		writeJSON(w, status, map[string]string{"error": text})
	})
	mux.HandleFunc("POST /v1/fence", e.setFence)
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, http.StatusOK, e.State()) })
	mux.HandleFunc("GET /v1/load", e.loadReport)
	mux.HandleFunc("POST /control", e.control)
	mux.HandleFunc("GET /stats", e.stats)
	return mux
}

func fenceParam(r *http.Request) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	return n
}

// incarnationHeader holds the engine incarnation that a run is meant for.
const incarnationHeader = "X-Engine-Incarnation"

func incarnationParam(r *http.Request) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get("incarnation"), 10, 64)
	return n
}

// State returns the current state of the engine.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := EngineState{Incarnation: e.incarnation, Fence: e.fence, KeepsFence: e.cfg.KeepsFence, Slots: e.cfg.Slots,
		Resident: []string{}, Loading: []string{}, Running: []string{}}
	for model, state := range e.adapters {
		if state == "resident" {
			s.Resident = append(s.Resident, model)
		} else {
			s.Loading = append(s.Loading, model)
		}
	}
	for id, q := range e.sequences {
		if !q.done() {
			s.Running = append(s.Running, id)
		}
	}
	slices.Sort(s.Resident)
	slices.Sort(s.Loading)
	slices.Sort(s.Running)
	return s
}

func (e *Engine) setFence(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	ok := e.checkFence(fenceParam(r))
	e.mu.Unlock()
	if !ok {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, e.State())
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	var q completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = 16
	}
	id := r.Header.Get("X-Request-Id")
	incarnation, _ := strconv.ParseInt(r.Header.Get(incarnationHeader), 10, 64)
	s, status := e.start(id, &q, chat, incarnation)
	if status != http.StatusOK {
		http.Error(w, "cannot run "+q.Model, status)
		return
	}
	if q.Stream {
		e.stream(w, r, s, 0)
		return
	}
	e.respondWhole(w, r, s)
}

// start adds a sequence for a request. It returns the HTTP status of the refusal
// if the request cannot run.
func (e *Engine) start(id string, q *completionRequest, chat bool, incarnation int64) (*sequence, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkIncarnation(incarnation) {
		return nil, http.StatusPreconditionFailed
	}
	if !e.residentOrBase(q.Model) {
		return nil, http.StatusNotFound
	}
	if _, ok := e.sequences[id]; ok && id != "" {
		return nil, http.StatusConflict
	}
	e.lastArrival++
	if id == "" {
		id = fmt.Sprintf("anonymous-%d", e.lastArrival)
	}
	s := &sequence{id: id, model: q.Model, prompt: q.text(), total: q.MaxTokens, priority: q.Priority, chat: chat,
		arrival: e.lastArrival, change: make(chan struct{})}
	e.sequences[id] = s
	e.signal()
	return s, http.StatusOK
}

// progress returns the number of tokens produced, whether the sequence failed or
// was cancelled, and a channel that closes on the next change.
func (e *Engine) progress(s *sequence) (tokens int, broken bool, change chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.tokens, s.failed || s.cancelled, s.change
}

// removeLater removes a finished sequence after 10 s. Until then its stream can
// be resumed.
func (e *Engine) removeLater(s *sequence) {
	time.AfterFunc(10*time.Second, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.sequences, s.id)
	})
}

// stream sends the tokens of a sequence from position from on as server-sent
// events. It aborts the connection if the sequence fails or is to be cut.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	sent := from
	for {
		tokens, broken, change := e.progress(s)
		for ; sent < tokens; sent++ {
			writeEvent(w, s, sent)
		}
		if flusher != nil {
			flusher.Flush()
		}
		if sent > from && sent < s.total && e.takeCut() {
			panic(http.ErrAbortHandler)
		}
		if sent >= s.total {
			fmt.Fprint(w, "data: [DONE]\n\n")
			e.removeLater(s)
			return
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-change:
		case <-r.Context().Done():
			return
		}
	}
}

// takeCut reports whether the stream is to be broken, and counts it as one of the
// streams requested with cut_next.
func (e *Engine) takeCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cutNext == 0 {
		return false
	}
	e.cutNext--
	return true
}

// writeEvent sends one token as a server-sent event.
func writeEvent(w http.ResponseWriter, s *sequence, position int) {
	text := Token(s.model, s.prompt, position)
	choice := map[string]any{"index": 0, "text": text}
	object := "text_completion"
	if s.chat {
		choice = map[string]any{"index": 0, "delta": map[string]string{"content": text}}
		object = "chat.completion.chunk"
	}
	data, _ := json.Marshal(map[string]any{"id": s.id, "object": object, "model": s.model, "choices": []any{choice}})
	fmt.Fprintf(w, "data: %s\n\n", data)
}

// respondWhole sends the whole answer once the sequence is finished.
func (e *Engine) respondWhole(w http.ResponseWriter, r *http.Request, s *sequence) {
	for {
		tokens, broken, change := e.progress(s)
		if tokens >= s.total {
			break
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-change:
		case <-r.Context().Done():
			return
		}
	}
	e.removeLater(s)
	text := Text(s.model, s.prompt, s.total)
	choice := map[string]any{"index": 0, "text": text, "finish_reason": "length"}
	object := "text_completion"
	if s.chat {
		choice = map[string]any{"index": 0, "message": map[string]string{"role": "assistant", "content": text}, "finish_reason": "length"}
		object = "chat.completion"
	}
	writeJSON(w, http.StatusOK, map[string]any{"id": s.id, "object": object, "model": s.model, "choices": []any{choice}})
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.sequences[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	e.stream(w, r, s, intParam(r, "from", 0))
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sequences[r.PathValue("id")]; ok && !s.done() {
		s.cancelled = true
		s.notify()
		delete(e.sequences, s.id)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) loadReport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var report engineReport
	if len(e.reports) > 0 {
		report = e.reports[0]
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	if f, err := strconv.ParseFloat(r.URL.Query().Get("slow"), 64); err == nil && f > 0 {
		e.SetSlow(f)
	}
	e.mu.Lock()
	e.cutNext = intParam(r, "cut_next", e.cutNext)
	e.mu.Unlock()
	if r.URL.Query().Get("restart") == "true" {
		e.Restart()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) stats(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	steps := max(e.steps, 1)
	writeJSON(w, http.StatusOK, map[string]float64{
		"steps": float64(e.steps), "mean_batch": float64(e.batchSum) / float64(steps),
		"mean_distinct_adapters": float64(e.distinctSum) / float64(steps),
		"started":                float64(e.lastArrival), "unloads_in_use": float64(e.unloadsInUse),
	})
}
