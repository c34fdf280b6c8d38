package soak_test

import (
	"context"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// Services take serviceSlots requests at once. With a crowd of callers a request takes
	// crowdedTime, so that they are full.
	serviceSlots = 2
	crowdedTime  = 10 * time.Millisecond
	crowdSize    = 12
	// maxCrowdTime bounds the time of a crowd.
	maxCrowdTime = 1500 * time.Millisecond
	// keptCallers is the number of callers that keep to one connection.
	keptCallers = 4
	// maxCrashGap is the time within which two targets crash.
	maxCrashGap = 50 * time.Millisecond
)

// repeatDelays are the times after which a target writes a refusal once more.
var repeatDelays = []time.Duration{0, 0, 50 * time.Millisecond, 800 * time.Millisecond}

// drawRepetition returns a repetition of a refusal. None names only a running request that was
// not refused: by the protocol such a response is the target's word on that request.
func drawRepetition(rng *rand.Rand) standin.RepeatedRefusal {
	r := standin.RepeatedRefusal{
		Named: []standin.NamedRequests{standin.NamesRefused, standin.NamesRefused, standin.NamesNone, standin.NamesBoth}[rng.Intn(4)],
		Delay: repeatDelays[rng.Intn(len(repeatDelays))], Times: []int{1, 1, 5}[rng.Intn(3)],
	}
	if rng.Intn(5) == 0 {
		r.Named, r.AfterAnswer = standin.NamesNone, true
	}
	return r
}

// targets returns the stand-ins of all targets, in the order of their registrations.
func (s *soak) targets() []*standin.Replica {
	return append(append([]*standin.Replica(nil), s.engines...), s.services...)
}

// injectRefusalFault injects one of the faults that refusalRng draws, or none.
func (s *soak) injectRefusalFault(healAfter func(time.Duration, func())) {
	rng := s.refusalRng
	targets := s.targets()
	for range 3 + rng.Intn(4) {
		targets[rng.Intn(len(targets))].RepeatRefusals(drawRepetition(rng))
		s.services[rng.Intn(serviceCount)].RepeatRefusals(drawRepetition(rng))
	}
	p, gap := s.procs()[rng.Intn(len(s.procs()))], time.Duration(rng.Int63n(int64(maxCrashGap)))
	switch rng.Intn(10) {
	case 0, 1, 2, 3:
		crowdRng := rand.New(rand.NewSource(rng.Int63()))
		s.crowds.Go(func() { s.callInCrowd(crowdRng) })
	case 4:
		// One process gets a reload, a stop and another reload.
		for i, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			healAfter(time.Duration(i)*gap, func() { p.signal(sig) })
		}
		s.lastTerm = time.Now().Add(gap)
	case 5:
		// Two processes stop, or one of them ends.
		other := s.procs()[rng.Intn(len(s.procs()))]
		p.signal(syscall.SIGTERM)
		s.lastTerm = time.Now()
		healAfter(gap, func() { other.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[gap%2]) })
	case 6:
		for range 1 + rng.Intn(3) {
			s.publishNextConfig()
			p.signal(syscall.SIGHUP)
		}
	case 7, 8:
		servers := append(append([]*standin.Server(nil), s.engineServers...), s.serviceServers...)
		first := rng.Intn(len(servers))
		second := servers[(first+1+rng.Intn(len(servers)-1))%len(servers)]
		s.crash(servers[first])
		healAfter(gap, func() { s.crash(second) })
	}
}

// crash crashes a target under no request.
func (s *soak) crash(server *standin.Server) {
	if server.Crash() && slices.Contains(s.serviceServers, server) {
		s.causedCrashes.Add(1)
	}
}

// callInCrowd sends requests of further callers to the services for a time.
func (s *soak) callInCrowd(rng *rand.Rand) {
	d := maxCrowdTime/2 + time.Duration(rng.Int63n(int64(maxCrowdTime/2)))
	end := time.Now().Add(d)
	for _, r := range s.services {
		r.SlowDown(d, crowdedTime)
	}
	var callers sync.WaitGroup
	for range crowdSize {
		front := s.frontAddresses[rng.Intn(len(s.frontAddresses))]
		callers.Go(func() {
			for time.Now().Before(end) {
				s.call(front, "/release/x", "a1")
				time.Sleep(callerPause / 4)
			}
		})
	}
	callers.Wait()
}

// callOnOneConnection sends requests that may run once until ctx is cancelled, on one
// connection for as long as the entry keeps it.
func (s *soak) callOnOneConnection(ctx context.Context, front string, rng *rand.Rand) {
	kept := &keptConn{address: front}
	defer kept.close()
	client := &http.Client{Transport: kept}
	for ctx.Err() == nil {
		path := []string{"/brief/x", "/release/x", "/release/x"}[rng.Intn(3)]
		s.send(front, path, "a1", "c1", outcome{key: openKey, client: client})
		time.Sleep(callerPause)
	}
}

// logRepetitions logs how many requests were refused and how many runs had a repetition.
func (s *soak) logRepetitions(runs map[string][]standin.Run) {
	repeated, refusals := 0, 0
	for _, list := range runs {
		for _, run := range list {
			if run.Repeated != "" {
				repeated++
			}
		}
	}
	for _, r := range s.targets() {
		refusals += r.Refusals()
	}
	s.t.Logf("targets refused %d requests and repeated a refusal beside %d runs", refusals, repeated)
}
