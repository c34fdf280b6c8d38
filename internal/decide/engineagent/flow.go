package engineagent

import (
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// promptWindow is the number of prompt tokens that an engine may have
	// unread at once. The engine reads prompts in pieces between the tokens
	// of its streams; more of them stretch the pauses of all streams.
	promptWindow = 3000
	// initialReadRate is the prompt tokens per millisecond that an engine is
	// taken to read before it was measured.
	initialReadRate = 20.0
	// initialRun is the time of an answer before any was measured.
	initialRun = 2 * time.Second
	// learnShare is the weight of a new sample in a running mean.
	learnShare = 0.1
	// minRetryAfter is the least advice to a refused request.
	minRetryAfter = 100 * time.Millisecond
)

// flow tracks the prompts and answers of the engine.
type flow struct {
	// unread counts the prompt tokens of admitted requests without a first
	// event, running the admitted requests.
	unread  int
	running int
	// run is the mean time of an answer.
	run time.Duration
}

func (f *flow) granted(prompt int) {
	f.unread += prompt
	f.running++
}

func (f *flow) read(_ time.Time, prompt int) { f.unread = max(0, f.unread-prompt) }

func (f *flow) ended(took time.Duration, _ bool) {
	if f.run == 0 {
		f.run = initialRun
	}
	f.run += time.Duration(learnShare * float64(took-f.run))
}

func (f *flow) meanRun() time.Duration {
	if f.run == 0 {
		return initialRun
	}
	return f.run
}

// retryAfter is when the requests that wait now will have been admitted.
func (f *flow) retryAfter(queue []*job) time.Duration {
	tokens := f.unread + promptsOf(queue)
	return max(minRetryAfter, time.Duration(float64(tokens)/initialReadRate)*time.Millisecond)
}

func promptsOf(queue []*job) int {
	n := 0
	for _, j := range queue {
		n += j.prompt
	}
	return n
}

// startDelay predicts the wait of a new request: for the prompts before it and
// for a free slot.
func (a *Agent) startDelay(_ time.Time, j *job) time.Duration {
	tokens, ahead := a.flow.unread, 0
	for _, x := range a.queue {
		if x.rank <= j.rank {
			tokens += x.prompt
			ahead++
		}
	}
	delay := time.Duration(float64(tokens)/initialReadRate) * time.Millisecond
	if over := a.flow.running + ahead + 1 - a.row.Slots; over > 0 {
		delay = max(delay, time.Duration(float64(a.flow.meanRun())*float64(over)/float64(max(1, a.row.Slots))))
	}
	return delay
}

// admit lets waiting requests go to the engine while it has a slot and few
// unread prompts.
func (a *Agent) admit(now time.Time) {
	if a.row == nil || !a.seen || a.failures > 0 {
		return
	}
	for i := 0; i < len(a.queue) && a.flow.running < a.row.Slots; {
		j := a.queue[i]
		if a.flow.unread > 0 && a.flow.unread+j.prompt > promptWindow {
			return
		}
		version, ok := a.ready(j)
		if !ok {
			i++
			continue
		}
		a.queue = append(a.queue[:i], a.queue[i+1:]...)
		j.phase, j.granted = reading, now
		a.flow.granted(j.prompt)
		a.act(Grant{Session: j.session, ID: j.id, Version: version, Waited: now.Sub(j.arrived)})
	}
}

// ready tells whether the engine holds what a request needs, and the version.
func (a *Agent) ready(j *job) (int, bool) {
	if j.adapter.Name == "" {
		return 0, a.holdsModel(j.adapter.Model)
	}
	version, ok := a.look.Held[j.adapter]
	return version, ok && version >= j.want
}

func (a *Agent) holdsModel(model string) bool {
	for _, m := range a.look.Models {
		if m == model {
			return true
		}
	}
	return false
}

// refuseWaiting ends what waits, because the engine does not answer.
func (a *Agent) refuseWaiting(now time.Time, code result.Code) {
	for len(a.queue) > 0 {
		j := a.queue[0]
		a.refuse(j, code, LookInterval)
		a.drop(now, j)
	}
}
