package engineagent

import (
	"cmp"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/prompt"
	"agatelanding.example/agatelanding/internal/result"
)

const (
	// maxUnreadTokenSteps is in prompt tokens times engine steps. Divided by
	// the engine steps between two events of a stream, it is the maximum number
	// of prompt tokens that are admitted and not read yet. The limit exists
	// because an engine may read all of them in each step, which lengthens the
	// pauses of all its streams. slowMaxUnreadTokenSteps applies while the
	// engine is slow.
	maxUnreadTokenSteps     = 10_000
	slowMaxUnreadTokenSteps = 2_500
	// slowTokenStepsPerMS is in prompt tokens times engine steps per
	// millisecond. Divided by the engine steps between two events of a stream,
	// it is the rate in prompt tokens per millisecond at which a slow engine is
	// sent prompts. The rate is lower than a slow engine reads, so that most of
	// its steps are short.
	slowTokenStepsPerMS = 12.5
	// maxCreditTokens is the maximum credit of a slow engine in prompt tokens.
	maxCreditTokens = 800.0
	// maxDebtTokens is the maximum negative credit. It limits how long a long
	// prompt delays the next ones.
	maxDebtTokens = 2000.0
	// defaultEventSteps is the number of engine steps between two events if the
	// configuration has none.
	defaultEventSteps = 5
	// expectedFirstEventDelay is the assumed time from admission to the first
	// event when deciding whether a request will be late.
	expectedFirstEventDelay = 80 * time.Millisecond
	// initialAnswerTime is the assumed duration of an answer before one has
	// ended.
	initialAnswerTime = 2 * time.Second
	// answerTimeWeight is the weight of a new sample in the mean answer time.
	answerTimeWeight = 0.1
	// minRetryAfter is the shortest retry delay that depends on the queue, and
	// the delay after a failed load.
	minRetryAfter = 100 * time.Millisecond
)

// flowControl limits the prompts that the engine reads at once.
type flowControl struct {
	// unreadTokens is the number of prompt tokens of admitted requests without a
	// first event, and running the number of admitted requests.
	unreadTokens int
	running      int
	// answerTime is the mean duration of an answer, 0 before the first one ended.
	answerTime time.Duration
	// creditTokens is the credit for prompt tokens at creditedAt. While the
	// engine is slow, a prompt is admitted only if the credit is positive. Each
	// admitted prompt is subtracted, so the credit may become negative.
	creditTokens float64
	creditedAt   time.Time
	// configuredEventSteps is the number of engine steps between two events of
	// a stream, 0 if the configuration has none.
	configuredEventSteps int
}

func (f *flowControl) admitted(prompt int) {
	f.unreadTokens += prompt
	f.running++
	f.creditTokens -= float64(prompt)
}

func (f *flowControl) promptRead(prompt int) { f.unreadTokens = max(0, f.unreadTokens-prompt) }

// refillCredit adds the credit for the time since the last call.
func (f *flowControl) refillCredit(now time.Time) {
	rate := slowTokenStepsPerMS / float64(f.eventSteps())
	f.creditTokens = min(maxCreditTokens, max(f.creditTokens, -maxDebtTokens)+rate*float64(now.Sub(f.creditedAt))/float64(time.Millisecond))
	f.creditedAt = now
}

func (f *flowControl) eventSteps() int {
	if f.configuredEventSteps > 0 {
		return f.configuredEventSteps
	}
	return defaultEventSteps
}

// admits reports whether the next prompt may go to an engine of a speed.
func (f *flowControl) admits(prompt int, slow bool, speed float64) bool {
	if slow {
		return f.creditTokens > 0 && (f.unreadTokens == 0 || f.unreadTokens+prompt <= slowMaxUnreadTokenSteps/f.eventSteps())
	}
	return f.unreadTokens == 0 || f.unreadTokens+prompt <= int(speed*maxUnreadTokenSteps)/f.eventSteps()
}

func (f *flowControl) answerEnded(took time.Duration) {
	if f.answerTime == 0 {
		f.answerTime = initialAnswerTime
	}
	f.answerTime += time.Duration(answerTimeWeight * float64(took-f.answerTime))
}

func (f *flowControl) meanAnswerTime() time.Duration {
	if f.answerTime == 0 {
		return initialAnswerTime
	}
	return f.answerTime
}

// retryAfter estimates the time until all requests that wait now are admitted.
func (f *flowControl) retryAfter(queue []*reservation) time.Duration {
	tokens := f.unreadTokens + promptTokens(queue)
	return max(minRetryAfter, prompt.PrefillTime(tokens))
}

// promptTokens returns the number of prompt tokens in the queue.
func promptTokens(queue []*reservation) int {
	n := 0
	for _, r := range queue {
		n += r.prompt
	}
	return n
}

// startDelay predicts how long a new request would wait: for the prompts before
// it, for the load of its adapter and until fewer than settings.MaxRunning
// requests run at the engine. settings.MaxRunning limits the running requests;
// it is not the number of adapter slots in a.slots. Of the waiting requests it counts
// the whole prompts, so that no wrong assumption about held prefixes makes one late.
func (a *Agent) startDelay(now time.Time, r *reservation) time.Duration {
	tokens := a.flow.unreadTokens
	for _, x := range a.queue {
		if x.rank <= r.rank {
			tokens += x.promptLength
		}
	}
	delay := a.queueDelay(now, tokens, a.countAhead(r))
	if _, ok := a.ready(r); !ok {
		delay = max(delay, a.loadLimiter.predictWait(a.countAbsentAdapters()))
	}
	return delay
}

// countAhead returns the number of waiting requests that are admitted before a new one.
func (a *Agent) countAhead(r *reservation) int {
	n := 0
	for _, x := range a.queue {
		if x.rank <= r.rank {
			n++
		}
	}
	return n
}

// queueDelay predicts how long a request waits behind a number of requests and of
// prompt tokens that the engine has not read.
func (a *Agent) queueDelay(now time.Time, tokens, ahead int) time.Duration {
	delay := max(prompt.PrefillTime(tokens), a.limiter.wait(now, ahead))
	if over := a.flow.running + ahead + 1 - a.settings.MaxRunning; over > 0 {
		delay = max(delay, time.Duration(float64(a.flow.meanAnswerTime())*float64(over)/float64(max(1, a.settings.MaxRunning))))
	}
	return delay
}

// isLate reports whether the first event of a request that starts after a delay would
// be late, although it could still be on time.
func (a *Agent) isLate(now time.Time, r *reservation, delay time.Duration) bool {
	return now.Before(r.firstEventDue) && now.Add(delay+expectedFirstEventDelay).After(r.firstEventDue)
}

// redirectLate refuses the waiting requests whose first event would be late here and
// which another engine may serve on time. Reports to entries are up to half a second
// old in a large fleet, so that many entries choose the same engine; the requests
// would wait there while other engines are idle. The remaining time of a load is not
// known, so that requests for an adapter that is not resident stay.
func (a *Agent) redirectLate(now time.Time) {
	if a.settings == nil {
		return
	}
	tokens, ahead := a.flow.unreadTokens, 0
	for _, r := range slices.Clone(a.queue) {
		delay := a.queueDelay(now, tokens, ahead)
		if _, ok := a.ready(r); ok && r.redirect && a.isLate(now, r, delay) {
			a.rec.Count("redirects")
			a.refuse(r, result.BudgetExceeded, delay)
			a.removeReservation(now, r)
			continue
		}
		tokens += r.promptLength
		ahead++
	}
}

// sortQueue orders the queue: requests that can still be on time before late
// ones, then by rank, then by the time at which the first event is due. At an
// overloaded engine, late requests would otherwise delay the next ones until they
// are late as well.
func (a *Agent) sortQueue(now time.Time) {
	late := func(r *reservation) int {
		if now.Add(expectedFirstEventDelay).After(r.firstEventDue) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(a.queue, func(x, y *reservation) int {
		return cmp.Or(cmp.Compare(late(x), late(y)), cmp.Compare(x.rank, y.rank), x.firstEventDue.Compare(y.firstEventDue))
	})
}

// admit grants waiting requests while fewer than settings.MaxRunning requests
// run at the engine and it has few unread prompt tokens.
func (a *Agent) admit(now time.Time) {
	if a.settings == nil || !a.hasStatus || a.failedPolls > 0 {
		return
	}
	a.flow.refillCredit(now)
	a.sortQueue(now)
	for i := 0; i < len(a.queue) && a.flow.running < a.settings.MaxRunning; {
		r := a.queue[i]
		a.updateUnread(r)
		if !a.flow.admits(r.prompt, a.stepTimer.slow(), a.stepTimer.speed()) {
			return
		}
		version, ok := a.ready(r)
		if !ok {
			i++
			continue
		}
		if !a.limiter.take(now) {
			return
		}
		a.queue = append(a.queue[:i], a.queue[i+1:]...)
		r.phase, r.admittedAt = reading, now
		a.flow.admitted(r.prompt)
		a.admitPrefixes(now, r)
		a.emit(Grant{Session: r.session, ID: r.id, Version: version, QueueTime: now.Sub(r.reservedAt)})
	}
}

// ready reports whether the base model or adapter that a request needs is loaded,
// and returns the version of the adapter.
func (a *Agent) ready(r *reservation) (int, bool) {
	if r.adapter.Name == "" {
		return 0, a.holdsModel(r.adapter.Model)
	}
	version, ok := a.status.Held[r.adapter]
	return version, ok && version >= r.minVersion && r.adapter != a.unloading
}

func (a *Agent) holdsModel(model string) bool {
	for _, m := range a.status.Models {
		if m == model {
			return true
		}
	}
	return false
}

// refuseWaiting refuses all waiting requests.
func (a *Agent) refuseWaiting(now time.Time, code result.Code, retryAfter time.Duration) {
	for len(a.queue) > 0 {
		r := a.queue[0]
		a.refuse(r, code, retryAfter)
		a.removeReservation(now, r)
	}
}
