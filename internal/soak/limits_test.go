package soak_test

import (
	"math/rand"
	"slices"
	"strconv"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// Targets that name a rate are bounded contactTime later: in any limitWindow they get
	// at most limitFactor times what the rate allows and limitSlack more.
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitRates are the rates that targets name, in requests a second.
var limitRates = []float64{0.3, 1.2, 5, 20}

// nameLimit makes a target name a rate for a while.
func nameLimit(rng *rand.Rand, r *standin.Replica, healAfter func(time.Duration, func())) {
	r.NameLimit(strconv.FormatFloat(limitRates[rng.Intn(len(limitRates))], 'f', -1, 64))
	healAfter(time.Duration(300+rng.Intn(3000))*time.Millisecond, func() { r.NameLimit("") })
}

// checkLimits makes an engine and a plain service name a rate while nothing else is
// wrong, and checks what all entries together send them.
func (s *soak) checkLimits(rng *rand.Rand) {
	rates := map[*standin.Replica]float64{}
	for _, r := range []*standin.Replica{s.engines[rng.Intn(engineCount)], s.services[rng.Intn(serviceCount)]} {
		rates[r] = limitRates[rng.Intn(len(limitRates))]
		r.NameLimit(strconv.FormatFloat(rates[r], 'f', -1, 64))
	}
	named := time.Now()
	time.Sleep(contactTime + limitWindow + 500*time.Millisecond)
	for r, rate := range rates {
		var times []time.Time
		for _, run := range r.Runs() {
			if run.Started.After(named.Add(contactTime)) {
				times = append(times, run.Started)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		most := 0
		for i, first := range times {
			n, _ := slices.BinarySearchFunc(times[i:], first.Add(limitWindow), time.Time.Compare)
			most = max(most, n)
		}
		if allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack; most > allowed {
			s.t.Errorf("%s named %v requests a second and got %d in 4 s, %d are allowed", r.ID, rate, most, allowed)
		} else {
			s.t.Logf("%s named %v requests a second and got %d in 4 s, %d are allowed", r.ID, rate, most, allowed)
		}
		r.NameLimit("")
	}
}
