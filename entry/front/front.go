// Package front is the HTTP side of an entry: it reads callers' requests,
// joins them with their route, and writes answers.
package front

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/entry/router"
	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/telemetry"
)

const (
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send
	// a request.
	HeaderTimeout = 5 * time.Second
	BodyTimeout   = 30 * time.Second
	// DefaultWriteTimeout bounds one write to a caller who does not read.
	DefaultWriteTimeout = 30 * time.Second
	// MaxHeader is the largest request header in bytes.
	MaxHeader = 32 << 10
)

// Front handles callers' requests. It may be used by any goroutine.
type Front struct {
	// Snapshot returns the configuration in force, or nil.
	Snapshot func() *tables.Snapshot
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxOpen is the most requests that are open at once.
	MaxOpen int64
	// WriteTimeout bounds one write to a caller who does not read.
	WriteTimeout time.Duration
	System       *actor.ActorSystem
	Router       *actor.PID
	Metrics      *telemetry.Metrics

	open   atomic.Int64
	number atomic.Uint64
}

// Server returns an HTTP server with limits on what a caller may hold open.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: HeaderTimeout, ReadTimeout: BodyTimeout,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: MaxHeader,
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer f.open.Add(-1)
	if f.open.Add(1) > f.MaxOpen {
		f.writeError(w, result.Refuse(result.QueueFull, time.Second, "too many open requests at this entry"))
		return
	}
	call, err := f.read(w, r)
	if err != nil {
		f.writeError(w, err)
		return
	}
	answer := router.NewAnswer()
	f.System.Root.Send(f.Router, &router.Submit{Call: call, Answer: answer})
	f.Metrics.Count("requests")
	if call.Stream {
		f.writeStream(w, r, call, answer)
		return
	}
	f.writeWhole(w, r, call, answer)
}

// read turns an HTTP request into a call.
func (f *Front) read(w http.ResponseWriter, r *http.Request) (*dispatch.Call, error) {
	snapshot := f.Snapshot()
	if snapshot == nil {
		return nil, result.Refuse(result.NoConfiguration, time.Second, "no configuration in force yet")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.MaxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, result.Newf(result.BodyTooLarge, "the limit is %d bytes", f.MaxBody)
		}
		return nil, result.New(result.BadRequest, "the body could not be read")
	}
	call := &dispatch.Call{
		Number: f.number.Add(1), Revision: snapshot.Revision, Method: r.Method, Path: r.URL.Path,
		Body: body, Arrived: time.Now(),
	}
	if isCompletion(r.URL.Path) {
		err = f.readCompletion(snapshot, r, call)
	} else {
		err = f.readService(snapshot, r, call)
	}
	if err != nil {
		return nil, err
	}
	call.Pool, _ = snapshot.Pool(call.Route.Pool)
	call.Class, _ = call.Pool.ClassByName(call.Route.Class)
	call.PoolDigest = snapshot.PoolDigest(call.Route.Pool)
	return call, readKey(r, call)
}

func isCompletion(path string) bool {
	return path == "/v1/completions" || path == "/v1/chat/completions"
}

// completion holds the fields of a completion request that routing needs.
type completion struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

const (
	defaultTokens = 16
	// prefixBytes is the length of the prompt start that prefix affinity
	// looks at.
	prefixBytes = 256
)

func (f *Front) readCompletion(s *tables.Snapshot, r *http.Request, call *dispatch.Call) error {
	if r.Method != http.MethodPost {
		return result.New(result.MethodNotAllowed, "use POST")
	}
	var c completion
	if err := json.Unmarshal(call.Body, &c); err != nil {
		return result.New(result.BadRequest, "the body is not a JSON object: "+err.Error())
	}
	if c.Model == "" {
		return result.New(result.BadRequest, "the field model is missing")
	}
	if c.MaxTokens < 0 {
		return result.New(result.BadRequest, "max_tokens is negative")
	}
	route, ok := s.RouteModel(c.Model)
	if !ok {
		return result.Newf(result.UnknownRoute, "no route for model %q", c.Model)
	}
	call.Route, call.Stream, call.Tokens = route, c.Stream, c.MaxTokens
	if call.Tokens == 0 {
		call.Tokens = defaultTokens
	}
	prompt := append(c.Prompt, c.Messages...)
	call.PrefixHash = hash(prompt[:min(len(prompt), prefixBytes)])
	return nil
}

func (f *Front) readService(s *tables.Snapshot, r *http.Request, call *dispatch.Call) error {
	route, ok := s.RoutePath(r.URL.Path)
	if !ok {
		return result.Newf(result.UnknownRoute, "no route for path %q", r.URL.Path)
	}
	call.Route = route
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	return nil
}

func hash(data []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(data)
	return h.Sum64()
}

// writeError writes a refusal with its code, and when to come back.
func (f *Front) writeError(w http.ResponseWriter, err error) {
	e := result.From(err)
	f.Metrics.Refused(e.Code)
	writeFailure(w, e)
}

// ErrorBody is the JSON body of a failed request.
type ErrorBody struct {
	Error struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Message string `json:"message"`
		// Execution is "not run", "ran" or "unknown".
		Execution string `json:"execution"`
		MayRepeat bool   `json:"may_repeat"`
		// RetryAfterMS is when to come back, in milliseconds; 0 means never
		// or unknown.
		RetryAfterMS int64 `json:"retry_after_ms"`
	} `json:"error"`
}

func errorBody(e *result.Error) ErrorBody {
	info := e.Code.Info()
	var body ErrorBody
	body.Error.Code = int(e.Code)
	body.Error.Name = info.Name
	body.Error.Message = info.Meaning
	if e.Detail != "" {
		body.Error.Message += " (" + e.Detail + ")"
	}
	body.Error.Execution = info.Execution.String()
	body.Error.MayRepeat = info.CallerMayRepeat
	body.Error.RetryAfterMS = e.RetryAfter.Milliseconds()
	return body
}

func writeFailure(w http.ResponseWriter, e *result.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Agate-Code", strconv.Itoa(int(e.Code)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Code.Info().HTTP)
	_ = json.NewEncoder(w).Encode(errorBody(e))
}
