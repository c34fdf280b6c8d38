package scheduler

import (
	"container/heap"
	"time"
)

// timer fires for a job at a time, unless the job has been armed anew.
type timer struct {
	due time.Time
	job *job
}

// timers is a heap by time and, at the same time, by the age of the job.
type timers []timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t timers) Less(i, j int) bool {
	if c := t[i].due.Compare(t[j].due); c != 0 {
		return c < 0
	}
	return t[i].job.order < t[j].job.order
}
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// arm makes the job due at a time; a zero time disarms it.
func (s *Scheduler) arm(j *job, due time.Time) {
	j.due = due
	if !due.IsZero() {
		heap.Push(&s.timers, timer{due: due, job: j})
	}
}

// nextDue removes and returns a job that is due, or nil.
func (s *Scheduler) nextDue(now time.Time) *job {
	for len(s.timers) > 0 && now.After(s.timers[0].due) {
		t := heap.Pop(&s.timers).(timer)
		if t.job.due.Equal(t.due) {
			t.job.due = time.Time{}
			return t.job
		}
	}
	return nil
}
