package relay

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/resend"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/upstream"
)

const (
	// stoppingRetryAfter is the Retry-After of an entry that stops. It is short
	// because another entry takes the request at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// configRetryAfter is the Retry-After while the entry has no configuration
	// or possibly an old one.
	configRetryAfter = 250 * time.Millisecond
	// closedRetryAfter is the Retry-After of a request whose route or workspace cannot be used
	// until the operator has corrected the configuration.
	closedRetryAfter = 2 * time.Second
	// quarantineRetryAfter is the Retry-After of a quarantined request, before it is
	// bounded by the deadline.
	quarantineRetryAfter = 30 * time.Second
	// maxListedAttemptBytes is the length of the IDs that target processes are told.
	maxListedAttemptBytes = 128
	// defaultTimeout bounds a request whose route sets no timeout.
	defaultTimeout = 30 * time.Second
	// writeTimeout bounds one write to a caller that does not read: an event, or a part
	// of at most partBytes of a whole response.
	writeTimeout = 10 * time.Second
)

// Handler forwards callers' requests to targets and relays the responses. It is
// safe for concurrent use.
type Handler struct {
	View    ViewFunc
	Dialect HeaderCodec
	Broker  Broker
	// Upstream is the pool of HTTP connections to the targets.
	Upstream    *upstream.Pool
	RetryBudget *retry.SharedBudget
	Containment Containment
	// StreamVersions keeps the software versions of streams.
	StreamVersions StreamVersions
	// Buffers bounds the memory of the responses that are read whole.
	Buffers *BufferPool
	// Bodies bounds the memory of the requests' bodies.
	Bodies  *Bodies
	Metrics *telemetry.Metrics
	Log     *telemetry.Logger
	// EntryName is the name of this entry. Target processes log it as well, so
	// that the log lines of both can be matched.
	EntryName string
	// ConfigCurrent reports whether the store answered recently enough that the
	// configuration in force counts as the newest. If it is false, an unknown
	// route may be one that a newer configuration has.
	ConfigCurrent func() bool
	// ViewAge returns the age of the published state in force, counted from the question that
	// the store has answered, and up to where it has all changes. It may be nil.
	ViewAge func() (age time.Duration, at catalog.Position, known bool)
	// TakesRequests reports whether the newest published state lists a target, and not as leaving.
	// It may be nil.
	TakesRequests func(t *catalog.Target) bool
	// KeysTrusted reports whether the store answered recently enough that no key of the
	// configuration in force was withdrawn for longer than allowed. It may be nil.
	KeysTrusted func() bool
	// Quotas charges requests to the quotas of their workspaces. It may be nil.
	Quotas Quotas
	// openAttempts counts the requests in progress by the ID of the caller's attempt.
	openAttempts attemptCounts
	// Stopping reports whether the entry refuses new requests because of a planned
	// stop.
	Stopping func() bool
	// Ending is cancelled when a planned stop ends the open requests, and EndsAt returns
	// when that will be, the zero time if no stop has begun.
	Ending context.Context
	EndsAt func() time.Time
}

// errStopping ends the requests that are open at the end of a planned stop.
var errStopping = errors.New("the entry stops")

// callerRequest is one request of a caller while it is handled.
type callerRequest struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	meta     Metadata
	route    *catalog.Route
	poolName string
	body     []byte
	// bodyRoom and headRoom are the room that body and head take, nil for none. dropped is true once
	// the connection is to be closed because the body was not read to its end.
	bodyRoom *openBody
	headRoom *openBody
	dropped  bool
	arrived  time.Time
	deadline time.Time
	history  history
	// sends holds the sends of the request so far. Until the route is known there are none.
	sends resend.Sends
	// lastEventID is the ID of the last event that the caller has.
	lastEventID string
	streamStats streamStats
	// targetID and adapterVersion are those of the last grant.
	targetID       string
	adapterVersion int
	// began is true once the first event of a stream, or the whole of another answer,
	// has arrived in the present attempt.
	began atomic.Bool
	// sentAt is when the present attempt began.
	sentAt time.Time
	// sentView is the published state in force when the present attempt began.
	sentView viewAge
	// identity is what the request has in common with others.
	identity Identity
	// versions records the software version of a stream, nil for other requests.
	versions *versionRecord
	// quarantined is what was quarantined of the request, nil if nothing was.
	quarantined atomic.Pointer[Cause]
	// waited is the total time spent waiting for targets.
	waited time.Duration
	// requestNumber is the number that the broker gave to the last Acquire. Each
	// attempt has a new one.
	requestNumber uint64
	// configVersion is the version of the configuration that holds the route.
	configVersion int64
	// buffers holds the responses that were read whole.
	buffers buffers
	// sendRecord is the record of the present attempt, nil if it has none. pastSends are those
	// that were logged, of a request that may run once.
	sendRecord *sendRecord
	pastSends  []pastSend
	// grant is the last grant: the target and the load report behind its choice.
	grant  steering.Grant
	caller caller
	// refund gives back what the request was charged, nil if nothing was.
	refund func()
}

// viewAge describes a published state: its age and up to where it has all changes.
type viewAge struct {
	age   time.Duration
	at    catalog.Position
	known bool
}

func (h *Handler) viewAge() (v viewAge) {
	if h.ViewAge != nil {
		v.age, v.at, v.known = h.ViewAge()
	}
	return v
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Metrics.Count("requests")
	x := &callerRequest{h: h, w: w, r: r, meta: h.Dialect.ParseRequest(r.Header), arrived: time.Now(), buffers: buffers{pool: h.Buffers}}
	defer x.buffers.release()
	defer func() { x.history.failureResponse.release() }()
	defer x.releaseBody()
	if id := x.meta.AttemptID; id != "" {
		if h.openAttempts.add(id, 1) > 1 {
			h.Metrics.Count("attempts_open_twice")
			h.Log.With("id", id).With("entry", h.EntryName).Info("a request with this ID is open already")
		}
		defer h.openAttempts.add(id, -1)
	}
	if err := x.resolve(); err != nil {
		x.boundDiscard()
		x.writeRefusal(err)
		return
	}
	x.run()
}

// resolve finds the route of the request, reads its body and sets its deadline.
func (x *callerRequest) resolve() error {
	view := x.h.View()
	switch {
	case view == nil || view.Config == nil:
		return result.Refuse(result.NoConfiguration, configRetryAfter, "")
	case x.h.Stopping():
		return result.Refuse(result.EntryLeaving, stoppingRetryAfter, "")
	case x.meta.AttemptID == "":
		return result.New(result.BadRequest, "the request has no id")
	}
	route, ok := view.Config.Match(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		return x.refuseUnmatched(view)
	}
	if route.Closed {
		return result.Refuse(result.ItemClosed, closedRetryAfter, "the route cannot be used")
	}
	if err := x.authenticate(route); err != nil {
		return err
	}
	timeout := x.timeout(route)
	body, err := x.readBody(view.Config.Limits.MaxBodyBytes, x.arrived.Add(timeout))
	if err != nil {
		return err
	}
	if x.h.Stopping() {
		// The body may arrive long after the head.
		return result.Refuse(result.EntryLeaving, stoppingRetryAfter, "")
	}
	if code := x.keyRefusal(); code != result.OK {
		return result.Refuse(code, keyRetryAfter(code), "")
	}
	x.route, x.body, x.lastEventID, x.configVersion = route, body, x.meta.LastEventID, view.Config.Version
	x.sends = resend.New(resend.Policy{Repeatable: route.Repeatable(), MaxAttempts: route.MaxAttempts})
	x.poolName = route.Pick(rand.Float64())
	x.identity = Identity{PromptParts: x.meta.PromptParts, AllParts: x.meta.AllParts, Digest: sync.OnceValue(x.digest), Content: sync.OnceValue(x.content)}
	x.deadline = x.arrived.Add(timeout)
	if end := x.h.EndsAt(); !end.IsZero() && end.Before(x.deadline) {
		// The target learns how long its answer can be waited for.
		x.deadline = end
	}
	return nil
}

// refuseUnmatched returns the refusal of a request without a route.
func (x *callerRequest) refuseUnmatched(view *catalog.View) error {
	switch {
	case x.mayBeOutdated(view):
		return result.Refuse(result.NoConfiguration, configRetryAfter, "the route may be newer than the configuration")
	case view.Config.RoutesIncomplete:
		return result.Refuse(result.ItemClosed, closedRetryAfter, "the route may be one that cannot be read")
	}
	return result.New(result.UnknownRoute, "")
}

// mayBeOutdated reports whether there may be a newer configuration than that of a view.
func (x *callerRequest) mayBeOutdated(view *catalog.View) bool {
	return view.UnreadableConfig.Revision > 0 || !x.h.ConfigCurrent()
}

// endedByStop reports whether a planned stop has ended the open requests.
func (x *callerRequest) endedByStop() bool { return x.h.Ending.Err() != nil }

// remaining returns the time left to the deadline.
func (x *callerRequest) remaining() time.Duration { return time.Until(x.deadline) }

// run sends the request to one target after the other until the caller has a
// response or no further attempt is allowed.
func (x *callerRequest) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(x.h.Ending, func() { end(errStopping) })()
	stopWatch, blocked := x.watchQuarantine(end)
	defer stopWatch()
	if blocked {
		x.giveUp()
		return
	}
	if err := x.resolveVersion(ctx); err != nil {
		x.writeRefusal(err)
		return
	}
	if err := x.charge(ctx); err != nil {
		x.writeRefusal(err)
		return
	}
	defer x.settleCharge()
	x.h.RetryBudget.CountRequest(time.Now(), x.poolName)
	// A panic ends an attempt without a result.
	defer x.logSend(false)
	var next *grantedTarget
	for {
		if next == nil {
			if next = x.acquire(ctx); next == nil {
				return
			}
		}
		if x.quarantined.Load() != nil {
			x.release(next)
			x.giveUp()
			return
		}
		if code := x.keyRefusal(); code != result.OK {
			x.release(next)
			x.refuseKey(code)
			return
		}
		done, replacement := x.attempt(ctx, next)
		x.logSend(done)
		if done {
			return
		}
		if x.r.Context().Err() != nil {
			if replacement != nil {
				x.release(replacement)
			}
			x.abandon("caller left")
		}
		if x.endedByStop() {
			if replacement != nil {
				x.release(replacement)
			}
			x.giveUp()
			return
		}
		x.applyNewestKind()
		if replacement == nil && (x.quarantined.Load() != nil || !x.sends.MaySendAgain(x.remaining()) && !x.sends.MayReturn(x.remaining())) {
			x.giveUp()
			return
		}
		x.recordSendAgain()
		x.h.Metrics.Retried(x.history.lastCode)
		next = replacement
	}
}

// abandon ends a request whose caller has left. It aborts the connection, because a
// caller that has closed only its sending side would take the response that net/http
// completes for a whole one.
func (x *callerRequest) abandon(message string) {
	x.log(message)
	x.h.Metrics.Refused(result.CallerGone)
	panic(http.ErrAbortHandler)
}

// giveUp ends a request that gets no further attempt. It aborts the connection
// of a stream that has started. Otherwise the caller gets the last failure
// response of a target or, without one, a refusal.
func (x *callerRequest) giveUp() {
	x.applyNewestKind()
	if x.history.streamStarted {
		x.log("stream broken off")
		x.h.Metrics.Refused(result.AnswerCut)
		panic(http.ErrAbortHandler)
	}
	if whole := x.history.failureResponse.claim(&x.buffers); whole != nil {
		x.writeResponse(whole)
		return
	}
	if cause := x.quarantined.Load(); cause != nil {
		x.refuseQuarantined(*cause)
		return
	}
	if x.endedByStop() && !x.sends.MayHaveRun() {
		x.writeRefusal(result.Refuse(result.EntryLeaving, stoppingRetryAfter, ""))
		return
	}
	code := refusalCode(x.sends.MayHaveRun(), x.history.lastCode, x.remaining() < resend.MinTime)
	retryAfter := time.Duration(0)
	if !x.sends.MayHaveRun() {
		retryAfter = callerRetryAfter(x.history.requestedDelay, x.remaining(), rand.Float64())
	}
	x.writeRefusal(result.Refuse(code, retryAfter, ""))
}

// writeRefusal sends an error response of the entry itself.
func (x *callerRequest) writeRefusal(err error) {
	refusal := result.From(err)
	x.h.Metrics.Refused(refusal.Code)
	header, text := x.w.Header(), refusal.Error()+"\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.h.Dialect.SetRefusalHeaders(header, x.meta.AttemptID, refusal.RetryAfter)
	status := httpStatus(refusal.Code, x.sends.MayHaveRun())
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
	x.logEnd(refusal.Code, status)
	x.recordPromise(refusal.Code, status, len(text))
}

// writeResponse sends a whole response of a target to the caller.
func (x *callerRequest) writeResponse(whole *wholeResponse) {
	header := x.w.Header()
	for name, values := range whole.header {
		header[name] = values
	}
	control := http.NewResponseController(x.w)
	x.w.WriteHeader(whole.status)
	sending := x.buffers.startWrite(func() { _ = control.SetWriteDeadline(past) })
	defer sending.end()
	for _, part := range whole.body {
		if !sending.next(func() { _ = control.SetWriteDeadline(time.Now().Add(writeTimeout)) }) {
			x.abandon("a slow caller was disconnected")
		}
		if _, err := x.w.Write(part); err != nil {
			break
		}
	}
	x.h.Metrics.Observe("answer_ms", time.Since(x.arrived).Milliseconds())
	x.logEnd(result.OK, whole.status)
	x.recordPromise(x.history.lastCode, whole.status, whole.size())
}

// requestURI returns the path and query as the caller sent them.
func (x *callerRequest) requestURI() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// log writes a line with the message and the present state of the request.
func (x *callerRequest) log(message string) { x.requestLog().Info(message) }

// requestLog returns a logger with the present state of the request.
func (x *callerRequest) requestLog() *telemetry.Logger {
	return x.h.Log.With("id", x.meta.AttemptID).With("entry", x.h.EntryName).With("number", x.requestNumber).With("route", x.route.Name).With("target", x.targetID).With("sends", x.sends.Counts().Sends).
		With("ran", x.sends.Counts().PossibleRuns).With("cause", x.history.lastCode).With("ms", time.Since(x.arrived).Milliseconds())
}

// withSoftwareVersion adds the software version of the target to a line on a stream and, if
// the request takes a stream up, the attempt that brought its first event.
func (x *callerRequest) withSoftwareVersion(line *telemetry.Logger) *telemetry.Logger {
	if x.route.Kind != catalog.Stream {
		return line
	}
	if x.grant.Target != nil {
		line = line.With("software_version", x.grant.Target.SoftwareVersion)
	}
	if x.meta.Resumes != "" || x.meta.LastEventID != "" {
		line = line.With("resumes", x.meta.Resumes).With("after_event", x.meta.LastEventID)
	}
	return line
}

// logEnd writes the line that summarizes a request after its response or refusal.
func (x *callerRequest) logEnd(code result.Code, status int) {
	line := x.h.Log.With("id", x.meta.AttemptID).With("entry", x.h.EntryName).With("code", int(code)).With("reason", code).With("status", status).
		With("target", x.targetID).With("sends", x.sends.Counts().Sends).With("ran", x.sends.Counts().PossibleRuns).
		With("waited_ms", x.waited.Milliseconds()).With("ms", time.Since(x.arrived).Milliseconds())
	if x.route != nil {
		if x.caller.workspace != nil {
			line = line.With("workspace", x.caller.workspace.Name).With("units", x.units())
		}
		line = line.With("route", x.route.Name).With("pool", x.poolName).With("config", x.configVersion).With("number", x.requestNumber)
	}
	if x.route != nil {
		line = x.withSoftwareVersion(line)
	}
	if x.meta.Adapter != "" {
		line = line.With("adapter", x.meta.Adapter).With("version", x.adapterVersion).With("prompt", x.meta.PromptTokens)
	}
	// These fields describe the load report that the choice of the target was based
	// on: age_ms is the age of the report, held whether the adapter was in a slot or
	// being loaded, direct whether the request went to the engine without a
	// reservation, and held_tokens how much of the prompt the engine was expected to hold.
	if x.grant.ReportAge > 0 {
		line = line.With("load", x.grant.RunningRequests).With("backlog", x.grant.BacklogTokens).With("held", x.grant.AdapterHeld).
			With("age_ms", x.grant.ReportAge.Milliseconds()).With("direct", x.grant.Unreserved)
		if x.grant.HeldTokens > 0 {
			line = line.With("held_tokens", x.grant.HeldTokens)
		}
	}
	if x.sentView.known {
		line = line.With("sent_ms", x.sentAt.Sub(x.arrived).Milliseconds()).With("view", x.sentView.at.Revision).With("view_age_ms", x.sentView.age.Milliseconds())
	}
	if x.streamStats.events > 0 {
		line = line.With("events", x.streamStats.events).With("first_ms", x.streamStats.firstEventDelay.Milliseconds()).
			With("pause_ms", x.streamStats.maxPause.Milliseconds())
	}
	line.Info("request ended")
}
