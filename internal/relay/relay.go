package relay

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/upstream"
)

const (
	// leavingRetryAfter is the advice to callers of an entry that stops:
	// another entry takes them at once.
	leavingRetryAfter = 20 * time.Millisecond
	// unknownRetryAfter is the advice while the configuration may be old.
	unknownRetryAfter = 250 * time.Millisecond
	// defaultTimeout bounds a request whose route and caller name none.
	defaultTimeout = 30 * time.Second
	// writeTimeout bounds one write to a caller who does not read.
	writeTimeout = 10 * time.Second
)

// Handler carries requests. It may be used by any goroutine.
type Handler struct {
	View    View
	Dialect Dialect
	Broker  Broker
	Targets *upstream.Pool
	Budget  *retry.Window
	Metrics *telemetry.Metrics
	Log     *telemetry.Logger
	// Entry is the name of this entry in the lines of target processes.
	Entry string
	// Current tells whether the configuration is known to be the newest.
	Current func() bool
	// Leaving tells whether the entry takes no new requests.
	Leaving func() bool
}

// exchange is one request on its way.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	meta     Metadata
	route    *catalog.Route
	pool     string
	body     []byte
	arrived  time.Time
	deadline time.Time
	history  history
	tried    []string
	// lastEvent is the ID of the last event that went to the caller.
	lastEvent string
	stream    streamStats
	target    string
	version   int
	waited    time.Duration
	// number is that of the last reservation, config the version that the
	// route comes from, grant the last target and what its choice went by.
	number uint64
	config int64
	grant  steering.Grant
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Metrics.Count("requests")
	x := &exchange{h: h, w: w, r: r, meta: h.Dialect.Read(r.Header), arrived: time.Now()}
	if err := x.resolve(); err != nil {
		x.refuse(err)
		return
	}
	x.run()
}

// resolve joins the request with its route and reads its body.
func (x *exchange) resolve() error {
	view := x.h.View()
	switch {
	case view == nil || view.Config == nil:
		return result.Refuse(result.NoConfiguration, unknownRetryAfter, "")
	case x.h.Leaving():
		return result.Refuse(result.EntryLeaving, leavingRetryAfter, "")
	case x.meta.ID == "":
		return result.New(result.BadRequest, "the request has no id")
	}
	route, ok := view.Config.Match(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		if !x.h.Current() {
			return result.Refuse(result.NoConfiguration, unknownRetryAfter, "the route may be newer than the configuration")
		}
		return result.New(result.UnknownRoute, "")
	}
	limit := view.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return result.New(result.BodyTooLarge, "")
		}
		return result.New(result.BadRequest, "the body could not be read")
	}
	x.route, x.body, x.lastEvent, x.config = route, body, x.meta.LastEvent, view.Config.Version
	x.pool = route.Pick(rand.Float64())
	limitTime := route.Timeout
	if limitTime <= 0 {
		limitTime = defaultTimeout
	}
	if x.meta.Patience > 0 {
		limitTime = min(limitTime, x.meta.Patience)
	}
	x.deadline = x.arrived.Add(limitTime)
	return nil
}

func (x *exchange) left() time.Duration { return time.Until(x.deadline) }

// run sends the request to targets until one has answered.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.h.Budget.Request(time.Now(), x.pool)
	for {
		grant, number, refused := x.acquire(ctx)
		if refused != nil {
			x.noTarget(refused)
			return
		}
		if x.history.sends > 0 && !x.h.Budget.Spend(time.Now(), x.pool) {
			x.h.Metrics.NotRetried(retry.StopBudget)
			x.h.Broker.Done(number, steering.Abandoned)
			x.giveUp()
			return
		}
		x.target, x.version, x.grant = grant.Target.ID, grant.Version, grant
		x.tried = append(x.tried, grant.Target.ID)
		x.history.sends++
		done, ran := x.attempt(ctx, grant, number)
		if done {
			return
		}
		if ran {
			x.history.ran++
		}
		if x.r.Context().Err() != nil {
			x.log("caller left")
			x.h.Metrics.Refused(result.CallerGone)
			return
		}
		if !x.history.mayTryAgain(x.route, x.left(), ran) {
			x.giveUp()
			return
		}
		x.h.Metrics.Retried(x.history.cause)
	}
}

func (x *exchange) acquire(ctx context.Context) (steering.Grant, uint64, *steering.Refused) {
	started := time.Now()
	grant, number, refused := x.h.Broker.Acquire(ctx, steering.Request{
		Pool: x.pool, Model: x.meta.Model, Adapter: x.meta.Adapter, Prompt: x.meta.PromptTokens,
		Rank: x.route.Priority, Aim: x.arrived.Add(x.route.LatencyTarget), Deadline: started.Add(waitLimit(x.route, x.left())), Tried: x.tried,
	})
	x.waited += time.Since(started)
	x.number = number
	return grant, number, refused
}

// noTarget ends a request that no target takes.
func (x *exchange) noTarget(refused *steering.Refused) {
	if x.r.Context().Err() != nil {
		x.h.Metrics.Refused(result.CallerGone)
		x.log("caller left while waiting")
		return
	}
	if x.history.ran == 0 {
		x.history.cause = refused.Code
		x.history.retryAfter = refused.RetryAfter
	}
	x.giveUp()
}

// giveUp ends the request with its final answer at once.
func (x *exchange) giveUp() {
	if x.history.delivered {
		x.log("stream broken off")
		x.h.Metrics.Refused(result.AnswerCut)
		panic(http.ErrAbortHandler)
	}
	if f := x.history.failure; f != nil {
		x.deliver(f)
		return
	}
	code := x.history.refusal(x.left() < leastLeft)
	after := time.Duration(0)
	if x.history.ran == 0 {
		after = returnAfter(x.history.retryAfter, x.left(), rand.Float64())
	}
	x.refuse(result.Refuse(code, after, ""))
}

// refuse answers with a failure of the system's own.
func (x *exchange) refuse(err error) {
	e := result.From(err)
	x.h.Metrics.Refused(e.Code)
	header := x.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.h.Dialect.Refusal(header, x.meta.ID, e.RetryAfter)
	x.w.WriteHeader(status(e.Code))
	_, _ = io.WriteString(x.w, e.Error()+"\n")
	x.logEnd(e.Code, status(e.Code))
}

// deliver passes a whole answer on.
func (x *exchange) deliver(a *wholeAnswer) {
	header := x.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	x.w.WriteHeader(a.status)
	_, _ = x.w.Write(a.body)
	x.h.Metrics.Observe("answer_ms", time.Since(x.arrived).Milliseconds())
	x.logEnd(result.OK, a.status)
}

// uri is the path and query as the caller wrote them.
func (x *exchange) uri() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

func (x *exchange) log(text string) {
	x.h.Log.With("id", x.meta.ID).With("entry", x.h.Entry).With("number", x.number).With("route", x.route.Name).With("target", x.target).With("sends", x.history.sends).
		With("ran", x.history.ran).With("cause", x.history.cause).With("ms", time.Since(x.arrived).Milliseconds()).Info(text)
}

func (x *exchange) logEnd(code result.Code, status int) {
	line := x.h.Log.With("id", x.meta.ID).With("entry", x.h.Entry).With("code", int(code)).With("reason", code).With("status", status).
		With("target", x.target).With("sends", x.history.sends).With("ran", x.history.ran).
		With("waited_ms", x.waited.Milliseconds()).With("ms", time.Since(x.arrived).Milliseconds())
	if x.route != nil {
		line = line.With("route", x.route.Name).With("pool", x.pool).With("config", x.config).With("number", x.number)
	}
	if x.meta.Adapter != "" {
		line = line.With("adapter", x.meta.Adapter).With("version", x.version).With("prompt", x.meta.PromptTokens)
	}
	if x.grant.Age > 0 {
		line = line.With("load", x.grant.Running).With("backlog", x.grant.Backlog).With("held", x.grant.Held).
			With("age_ms", x.grant.Age.Milliseconds()).With("direct", x.grant.Direct)
	}
	if x.stream.events > 0 {
		line = line.With("events", x.stream.events).With("first_ms", x.stream.first.Milliseconds()).
			With("pause_ms", x.stream.pause.Milliseconds())
	}
	line.Info("request ended")
}
