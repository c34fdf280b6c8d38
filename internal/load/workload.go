// Package load generates open-loop load and verifies every answer. It also has the
// command that prints the results of package experiment.
package load

import (
	"math"
	"math/rand"
	"sort"
	"time"
)

// Workload describes the requests of a run. The same seed gives the same requests.
type Workload struct {
	Seed int64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// From StepAt, the rate is multiplied by StepFactor for the time StepFor.
	// A factor of 0 means no step.
	StepAt     time.Duration
	StepFor    time.Duration
	StepFactor float64
	// Models are the models in order of falling popularity. Zipf is the
	// exponent of the popularity.
	Models []string
	Zipf   float64
	// LongModels maps a model to the model that replaces it in long requests.
	// A model without an entry serves both.
	LongModels map[string]string
	// LongShare is the share of completions that request LongTokens instead of
	// Tokens.
	LongShare  float64
	Tokens     int
	LongTokens int
	// StreamShare is the share of completions that are streamed.
	StreamShare float64
	// CallShare is the share of requests that are calls to CallPath with an
	// idempotency key, which may not be executed twice. RepeatShare is the
	// share of these calls that are sent more than once.
	CallShare   float64
	RepeatShare float64
	CallPath    string
}

// Arrival is one request to send. Call marks a call to Workload.CallPath.
type Arrival struct {
	// At is the time since the start of the run.
	At     time.Duration
	Model  string
	Tokens int
	Long   bool
	Stream bool
	Call   bool
	Repeat bool
}

// Arrivals draws the requests of the workload in order of time, as a Poisson
// process.
func (w *Workload) Arrivals() []Arrival {
	rng := rand.New(rand.NewSource(w.Seed))
	modelRanks := newZipf(len(w.Models), w.Zipf)
	var list []Arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / w.rateAt(at) * float64(time.Second))
		if at >= w.Duration {
			return list
		}
		a := Arrival{At: at, Call: rng.Float64() < w.CallShare, Tokens: w.Tokens}
		if a.Call {
			a.Repeat = rng.Float64() < w.RepeatShare
		} else {
			a.Model = w.Models[modelRanks.draw(rng)]
			a.Stream = rng.Float64() < w.StreamShare
			if a.Long = rng.Float64() < w.LongShare; a.Long {
				a.Tokens = w.LongTokens
				if model, ok := w.LongModels[a.Model]; ok {
					a.Model = model
				}
			}
		}
		list = append(list, a)
	}
}

// rateAt returns the rate at a time since the start.
func (w *Workload) rateAt(at time.Duration) float64 {
	if w.StepFactor > 0 && at >= w.StepAt && at < w.StepAt+w.StepFor {
		return w.Rate * w.StepFactor
	}
	return w.Rate
}

// zipf draws ranks with a probability proportional to 1/rank^s.
type zipf struct{ cumulative []float64 }

func newZipf(n int, s float64) *zipf {
	z := &zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -s)
		z.cumulative[i] = sum
	}
	return z
}

func (z *zipf) draw(rng *rand.Rand) int {
	if len(z.cumulative) == 0 {
		return 0
	}
	x := rng.Float64() * z.cumulative[len(z.cumulative)-1]
	return min(sort.SearchFloat64s(z.cumulative, x), len(z.cumulative)-1)
}
