package scheduler

import (
	"container/heap"
	"time"
)

// timer fires at due, unless the job has another due time by then.
type timer struct {
	due time.Time
	job *job
}

// timers is a heap of timers by due time; equal times are ordered by the arrival
// of the job.
type timers []timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t timers) Less(i, j int) bool {
	if c := t[i].due.Compare(t[j].due); c != 0 {
		return c < 0
	}
	return t[i].job.arrival < t[j].job.arrival
}
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// setTimer replaces the timer of a job; a zero time removes it.
func (s *Scheduler) setTimer(j *job, due time.Time) {
	j.due = due
	if !due.IsZero() {
		heap.Push(&s.timers, timer{due: due, job: j})
	}
}

// nextDueJob removes the timer of the next job that is due and returns the job,
// or nil if none is due.
func (s *Scheduler) nextDueJob(now time.Time) *job {
	for len(s.timers) > 0 && now.After(s.timers[0].due) {
		t := heap.Pop(&s.timers).(timer)
		if t.job.due.Equal(t.due) {
			t.job.due = time.Time{}
			return t.job
		}
	}
	return nil
}
