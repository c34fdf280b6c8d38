// Package front is the HTTP server of an entry. It reads callers' requests, finds
// their routes, submits them to the router and writes the responses.
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
	// HeaderReadTimeout and RequestReadTimeout bound how long a caller may take
	// to send the header and the whole request.
	HeaderReadTimeout  = 5 * time.Second
	RequestReadTimeout = 30 * time.Second
	// DefaultWriteTimeout bounds one write to a caller that does not read.
	DefaultWriteTimeout = 30 * time.Second
	// MaxRequestHeaderBytes is the largest size of a request header.
	MaxRequestHeaderBytes = 32 << 10
)

// Front handles callers' requests. It is safe for concurrent use.
type Front struct {
	// Snapshot returns the configuration in force, or nil.
	Snapshot func() *tables.Snapshot
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxOpenRequests is the highest number of requests that are open at once.
	MaxOpenRequests int64
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// System is the actor system in which the actor Router runs. Router gets the
	// calls, that is, the parsed requests with their routes.
	System  *actor.ActorSystem
	Router  *actor.PID
	Metrics *telemetry.Metrics

	openRequests atomic.Int64
	// lastCallNumber is the number of the newest call.
	lastCallNumber atomic.Uint64
}

// Server returns an HTTP server whose timeouts and header size limit bound what a
// caller may hold open.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: HeaderReadTimeout, ReadTimeout: RequestReadTimeout,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: MaxRequestHeaderBytes,
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer f.openRequests.Add(-1)
	if f.openRequests.Add(1) > f.MaxOpenRequests {
		f.refuse(w, result.Refuse(result.QueueFull, time.Second, "too many open requests at this entry"))
		return
	}
	call, err := f.readCall(w, r)
	if err != nil {
		f.refuse(w, err)
		return
	}
	response := router.NewResponseBuffer()
	f.System.Root.Send(f.Router, &router.Submit{Call: call, Response: response})
	f.Metrics.Count("requests")
	if call.Stream {
		f.writeStream(w, r, call, response)
		return
	}
	f.writeWhole(w, r, call, response)
}

// readCall reads an HTTP request and returns it as a call, that is, parsed and joined
// with its route.
func (f *Front) readCall(w http.ResponseWriter, r *http.Request) (*dispatch.Call, error) {
	snapshot := f.Snapshot()
	if snapshot == nil {
		return nil, result.Refuse(result.NoConfiguration, time.Second, "no configuration in force yet")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, result.Newf(result.BodyTooLarge, "the limit is %d bytes", f.MaxBodyBytes)
		}
		return nil, result.New(result.BadRequest, "the body could not be read")
	}
	call := &dispatch.Call{
		Number: f.lastCallNumber.Add(1), Revision: snapshot.Revision, Method: r.Method, Path: r.URL.Path,
		Body: body, ArrivedAt: time.Now(),
	}
	if isCompletionPath(r.URL.Path) {
		err = f.readCompletion(snapshot, r, call)
	} else {
		err = f.readService(snapshot, r, call)
	}
	if err != nil {
		return nil, err
	}
	call.Pool, _ = snapshot.Pool(call.Route.Pool)
	call.Class, _ = call.Pool.ClassByName(call.Route.Class)
	call.TargetListDigest = snapshot.TargetListDigest(call.Route.Pool)
	return call, readIdempotencyKey(r, call)
}

func isCompletionPath(path string) bool {
	return path == "/v1/completions" || path == "/v1/chat/completions"
}

// completionRequest holds the fields of a completion request that routing needs.
type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

const (
	// defaultMaxTokens replaces a max_tokens that is absent or 0.
	defaultMaxTokens = 16
	// maxPrefixBytes is how much of the start of a prompt is hashed for prefix
	// affinity, which sends equal prefixes to the same few targets.
	maxPrefixBytes = 256
)

// readCompletion fills the call from a completion request to a model engine.
func (f *Front) readCompletion(s *tables.Snapshot, r *http.Request, call *dispatch.Call) error {
	if r.Method != http.MethodPost {
		return result.New(result.MethodNotAllowed, "use POST")
	}
	var c completionRequest
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
	call.Route, call.Stream, call.EstimatedTokens = route, c.Stream, c.MaxTokens
	if call.EstimatedTokens == 0 {
		call.EstimatedTokens = defaultMaxTokens
	}
	prompt := append(c.Prompt, c.Messages...)
	call.PrefixHash = fnv64a(prompt[:min(len(prompt), maxPrefixBytes)])
	return nil
}

// readService fills the call from a request to a plain service.
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

func fnv64a(data []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(data)
	return h.Sum64()
}

// refuse counts a refusal and sends it to the caller.
func (f *Front) refuse(w http.ResponseWriter, err error) {
	e := result.From(err)
	f.Metrics.Refused(e.Code)
	writeErrorResponse(w, e)
}

// ErrorBody is the JSON body of a failed request.
type ErrorBody struct {
	Error struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Message string `json:"message"`
		// Execution is "not run", "ran" or "unknown".
		Execution string `json:"execution"`
		// MayRepeat reports whether the caller may send the request again
		// unchanged without risk of a second execution.
		MayRepeat bool `json:"may_repeat"`
		// RetryAfterMS is how long the caller should wait before it repeats the
		// request; 0 means never or unknown.
		RetryAfterMS int64 `json:"retry_after_ms"`
	} `json:"error"`
}

func newErrorBody(e *result.Error) ErrorBody {
	info := e.Code.Info()
	var body ErrorBody
	body.Error.Code = int(e.Code)
	body.Error.Name = info.Name
	body.Error.Message = info.Meaning
	if e.Detail != "" {
		body.Error.Message += " (" + e.Detail + ")"
	}
	body.Error.Execution = info.Execution.String()
	body.Error.MayRepeat = info.CallerMayRetry
	body.Error.RetryAfterMS = e.RetryAfter.Milliseconds()
	return body
}

// writeErrorResponse sends the status, headers and JSON body for an error.
func writeErrorResponse(w http.ResponseWriter, e *result.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Agate-Code", strconv.Itoa(int(e.Code)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Code.Info().HTTP)
	_ = json.NewEncoder(w).Encode(newErrorBody(e))
}
