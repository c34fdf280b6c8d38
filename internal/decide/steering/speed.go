package steering

import "time"

const (
	// speedInterval is the time between two updates of the speeds of a pool's engines.
	speedInterval = time.Second
	// minStepRatio and maxStepRatio bound what a measured speed changes.
	minStepRatio = 0.5
	maxStepRatio = 2.5
	// answerMargin is how much longer an answer may take than its steps alone: the engine reads
	// prompts between them.
	answerMargin = 1.3
	// unfinishedCost is added for an engine that is too slow to end an answer of the maximum
	// length in time.
	unfinishedCost = 400.0
	// maxStepUS bounds the times per step that are read.
	maxStepUS = 1_000_000
)

// updateSpeeds sets how much faster or slower than their pool the engines are. Engines of one
// pool differ in speed, and equal numbers of requests at all of them make the slow ones late
// while the fast ones have room.
func (s *Steering) updateSpeeds(now time.Time, pool string) {
	ranking := s.rankings[pool]
	if ranking == nil || now.Sub(ranking.speedsAt) < speedInterval {
		return
	}
	ranking.speedsAt = now
	sum, measured := 0.0, 0
	for _, listed := range s.view.Pools[pool] {
		if t := s.targets[listed.ID]; t != nil && t.measuredStep() {
			sum += float64(t.report.StepUS)
			measured++
		}
	}
	for _, listed := range s.view.Pools[pool] {
		t := s.targets[listed.ID]
		if t == nil {
			continue
		}
		t.stepRatio = 1
		if t.measuredStep() {
			t.stepRatio = min(max(float64(t.report.StepUS)*float64(measured)/sum, minStepRatio), maxStepRatio)
		}
	}
}

func (t *target) measuredStep() bool { return t.report.StepUS > 0 && t.report.StepUS <= maxStepUS }

// answerCost returns the cost of an engine that may not end the answer in time. Long answers
// would otherwise begin at slow engines and be cut at the deadline, while short ones, which
// have time, occupy the fast engines.
func (t *target) answerCost(now time.Time, r *Request, delay float64) float64 {
	if r.AnswerTokens <= 0 || r.EndBy.IsZero() || !t.measuredStep() {
		return 0
	}
	steps := answerMargin * float64(r.AnswerTokens) * float64(t.report.StepUS) / 1000
	if delay+steps <= millis(r.EndBy.Sub(now)) {
		return 0
	}
	return unfinishedCost
}
