package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// ciFaultSeconds is how long faults are injected if the environment
	// variable SOAK_SECONDS is not set.
	ciFaultSeconds = 6
	// Environment variables: the time of fault injection in seconds, the only
	// seed to run, and the folder for the logs of failed runs.
	secondsVariable = "SOAK_SECONDS"
	seedVariable    = "SOAK_SEED"
	keepVariable    = "SOAK_KEEP"
	// servingTimeout is the time within which all entries must serve, at the
	// start and after the faults.
	servingTimeout = 12 * time.Second
	// callerPause is the pause of a caller between two requests.
	callerPause = 12 * time.Millisecond
	callerCount = 16
	// callerTimeout is the deadline of a request.
	callerTimeout = 2500 * time.Millisecond
)

// ciSeeds are the seeds that run unless SOAK_SEED is set. A seed that ever failed
// stays here, with a comment on the cause.
var ciSeeds = []int64{
	1,
	// 146: an entry did not start. The fault was in this test: both entries had
	// the same IP address, so the metrics address of one was the peer address
	// of the other. Now each entry has its own IP address. Later it executed a request
	// twice: a refusal without an ID, which a target wrote after an answer, was believed.
	146,
	// 6: an entry cut streams whose engine had been silent for 1.3 s. Later it refused a
	// request that ran: a target wrote its refusal of the same request once more.
	6,
	// 3047: an idempotent request ran three times, because a refusal without an ID from a
	// target that ran it counted as not run.
	3047,
}

// soak is one run: a fleet, its callers and the faults.
type soak struct {
	*fleet
	rng *rand.Rand
	// laterRng draws the faults that were added later, so that a seed keeps the
	// others as they were. copied is the copy for the next restore of the store.
	laterRng   *rand.Rand
	copied     standin.Copy
	copiedOnce bool
	// partRng draws crashes and silences, which were added after those of laterRng.
	partRng *rand.Rand
	// limitRng draws targets that name a rate, which were added after those of partRng.
	limitRng *rand.Rand
	// lossRng draws losses of power of all entries, which were added after those of
	// limitRng.
	lossRng *rand.Rand
	// keyRng draws withdrawals of keys, and withdrawals holds when the store had each.
	keyRng      *rand.Rand
	withdrawals map[string]time.Time
	// refusalRng draws repeated refusals and what goes with them, which were added after the
	// faults of keyRng. crowds are the further callers that fill the services.
	refusalRng *rand.Rand
	crowds     sync.WaitGroup
	// answerRng draws engines that repeat answers to reports and orders, which were added
	// after the faults of refusalRng.
	answerRng *rand.Rand
	// storeRng draws single calls to the store that fail, which were added after the faults of
	// answerRng.
	storeRng *rand.Rand
	// causedCrashes counts the crashes of services under no request.
	causedCrashes atomic.Int64
	// lastTerm is when a process last got SIGTERM.
	lastTerm time.Time
	client   *http.Client
	// lastNumber is the number of the last request; it is part of the id.
	lastNumber atomic.Int64
	mu         sync.Mutex
	outcomes   []outcome
	// kinds holds the kind of each request by its ID, once all have ended.
	kinds map[string]string
}

// environmentInt returns an environment variable as a number, or fallback if it is
// not set or not a number.
func environmentInt(name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// buildPrograms compiles agate-entry and agate-target and returns their folder.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "agatelanding.example/agatelanding/cmd/agate-entry", "agatelanding.example/agatelanding/cmd/agate-target")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

// TestSoak injects random faults into a fleet while callers send requests. It then
// compares what callers received with what targets executed. It guards against
// requests that are executed too often, executed although they were refused, or
// executed without a caller, also when targets repeat refusals, against wrong or
// incomplete bodies, and against engines that are ordered to hold more adapters than they have slots.
func TestSoak(t *testing.T) {
	binDir := buildPrograms(t)
	seeds := ciSeeds
	if s := environmentInt(seedVariable, 0); s != 0 {
		seeds = []int64{s}
	}
	faultTime := time.Duration(environmentInt(secondsVariable, ciFaultSeconds)) * time.Second
	for i, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, binDir, seed, i+1, faultTime) })
	}
}

// run runs the test with one seed and injects faults for faultTime.
func run(t *testing.T, binDir string, seed int64, network int, faultTime time.Duration) {
	s := &soak{
		fleet: newFleet(t, binDir, network), rng: rand.New(rand.NewSource(seed)), laterRng: rand.New(rand.NewSource(^seed)), partRng: rand.New(rand.NewSource(seed + 1<<32)), limitRng: rand.New(rand.NewSource(seed + 1<<33)),
		lossRng: rand.New(rand.NewSource(seed + 1<<34)), keyRng: rand.New(rand.NewSource(seed + 1<<37)), refusalRng: rand.New(rand.NewSource(seed + 1<<38)), answerRng: rand.New(rand.NewSource(seed + 1<<39)), storeRng: rand.New(rand.NewSource(seed + 1<<40)), withdrawals: make(map[string]time.Time), kinds: make(map[string]string),
		client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}},
	}
	for _, p := range s.procs() {
		p.start(t)
		t.Cleanup(p.stop)
	}
	t.Cleanup(func() { s.keepLogs(seed) })
	s.waitServing("at the start")
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.callUntil(ctx, rand.New(rand.NewSource(seed*100+int64(i))))
		}()
	}
	for i := range keptCallers {
		rng := rand.New(rand.NewSource(seed*100 + callerCount + int64(i)))
		callers.Go(func() { s.callOnOneConnection(ctx, s.frontAddresses[i%len(s.frontAddresses)], rng) })
	}
	var crashing sync.WaitGroup
	crashingRng, crashingRequestRng := rand.New(rand.NewSource(s.partRng.Int63())), rand.New(rand.NewSource(seed+1<<35))
	crashing.Go(func() { s.callCrashing(crashingRng, faultTime) })
	crashing.Go(func() { s.callCrashingRequest(crashingRequestRng, faultTime) })
	s.injectFaultsUntil(time.Now().Add(faultTime))
	crashing.Wait()
	s.crowds.Wait()
	s.endFaults()
	s.waitServing("after the faults")
	// An entry that stops may break off what is open at the end of its grace period.
	time.Sleep(time.Until(s.lastTerm.Add(gracePeriod + time.Second)))
	s.withdrawKeyUnseen()
	s.checkCrashingRequest()
	muteBegan := time.Now()
	s.muteStreams(rand.New(rand.NewSource(seed + 1<<36)))
	calm := time.Now()
	s.silenceEngines()
	s.checkLimits(s.limitRng)
	cancel()
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	runs := s.checkOutcomes()
	s.checkOverlaps(runs, muteBegan, calm)
	s.checkSilence(calm)
	s.checkWorkspaces(runs)
	s.logRepetitions(runs)
}

// keepLogs copies the logs of a failed run to the folder that SOAK_KEEP names.
func (s *soak) keepLogs(seed int64) {
	dir := os.Getenv(keepVariable)
	if !s.t.Failed() || dir == "" {
		return
	}
	for _, p := range s.procs() {
		if data, err := os.ReadFile(p.logPath); err == nil {
			_ = os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, p.name)), data, 0o600)
		}
	}
}

// injectFaultsUntil injects random faults, which may overlap, until end. It returns
// when the faults of limited duration are over.
func (s *soak) injectFaultsUntil(end time.Time) {
	var pending sync.WaitGroup
	healAfter := func(d time.Duration, heal func()) {
		pending.Add(1)
		time.AfterFunc(d, func() {
			defer pending.Done()
			heal()
		})
	}
	for time.Now().Before(end) {
		d := time.Duration(200+s.rng.Intn(1500)) * time.Millisecond
		p := s.procs()[s.rng.Intn(len(s.procs()))]
		targetProxy := s.targetProxies[s.rng.Intn(len(s.targetProxies))]
		storeProxy := s.storeProxies[s.rng.Intn(len(s.storeProxies))]
		switch s.rng.Intn(10) {
		case 0:
			p.signal(syscall.SIGKILL)
		case 1:
			p.signal(syscall.SIGTERM)
			s.lastTerm = time.Now()
		case 2:
			p.signal(syscall.SIGSTOP)
			healAfter(d, func() { p.signal(syscall.SIGCONT) })
		case 3:
			p.signal(syscall.SIGHUP)
		case 4:
			targetProxy.setMode(proxyMode(s.rng.Intn(int(modeCount))))
			healAfter(d, func() { targetProxy.setMode(passData) })
		case 5:
			targetProxy.resetAll()
		case 6:
			storeProxy.setMode(proxyMode(s.rng.Intn(int(modeCount))))
			healAfter(2*d, func() { storeProxy.setMode(passData) })
		case 7:
			s.publishNextConfig()
		case 8:
			s.store.Compact()
			s.store.Refuse(true)
			healAfter(d, func() { s.store.Refuse(false) })
		case 9:
			r := s.targets()[s.rng.Intn(engineCount+serviceCount)]
			r.InjectFaults(standin.Fault(1+s.rng.Intn(5)), standin.Fault(1+s.rng.Intn(5)))
		}
		s.injectLaterFault(healAfter)
		switch s.partRng.Intn(12) {
		case 0:
			s.engines[s.partRng.Intn(engineCount)].Silence(s.silence())
		case 1:
			s.engineServers[s.partRng.Intn(engineCount)].Crash()
		}
		if s.limitRng.Intn(8) == 0 {
			all := s.targets()
			nameLimit(s.limitRng, all[s.limitRng.Intn(len(all))], healAfter)
		}
		if s.lossRng.Intn(16) == 0 {
			for _, e := range s.fleet.entries {
				e.signal(syscall.SIGKILL)
			}
		}
		if s.keyRng.Intn(6) == 0 {
			s.withdrawKey()
		}
		s.injectRefusalFault(healAfter)
		if s.answerRng.Intn(3) == 0 {
			s.engines[s.answerRng.Intn(engineCount)].RepeatAnswers(1 + s.answerRng.Intn(maxRepeatedAnswers))
		}
		s.failStoreCall()
		time.Sleep(time.Duration(50+s.rng.Intn(400)) * time.Millisecond)
	}
	pending.Wait()
}

// injectLaterFault injects one of the faults that laterRng draws, or none.
func (s *soak) injectLaterFault(healAfter func(time.Duration, func())) {
	d := time.Duration(200+s.laterRng.Intn(1000)) * time.Millisecond
	n := s.laterRng.Intn(engineCount + serviceCount)
	r := s.targets()[n]
	switch s.laterRng.Intn(10) {
	case 0, 1:
		s.copied = s.store.Copy()
		s.copiedOnce = true
	case 2:
		if s.copiedOnce {
			s.store.Refuse(true)
			time.Sleep(d)
			s.restoreStore(s.copied)
		}
	case 3:
		r.AskForTime(d, strconv.FormatFloat(d.Seconds(), 'f', 2, 64))
	case 4:
		r.InjectFaults(standin.Endless)
	case 5:
		// It leaves by its own word, and a new incarnation follows.
		r.Leave()
		healAfter(d, func() {
			r.Restart()
			s.registrations[n]()
		})
	}
}

// failStoreCall lets a single call to the store fail that serves the others, or cuts the watches,
// with the history or without.
func (s *soak) failStoreCall() {
	switch s.storeRng.Intn(8) {
	case 0:
		s.store.RefuseNext(http.StatusTooManyRequests)
	case 1:
		s.store.RefuseNext(http.StatusServiceUnavailable)
	case 2:
		s.store.CutWatches()
	case 3:
		s.store.Compact()
		s.store.CutWatches()
	}
}

// endFaults resumes all processes, resets all connections, and ends the faults of
// proxies and store.
func (s *soak) endFaults() {
	for _, p := range s.procs() {
		p.signal(syscall.SIGCONT)
	}
	for _, p := range append(append([]*proxy(nil), s.targetProxies...), s.storeProxies...) {
		p.setMode(passData)
		p.resetAll()
	}
	s.store.Refuse(false)
	for _, r := range s.targets() {
		r.ClearFaults()
	}
}

// waitServing waits until every entry serves each kind of request with the newest
// configuration. It fails the test after servingTimeout.
func (s *soak) waitServing(when string) {
	began := time.Now()
	end := began.Add(servingTimeout)
	for _, front := range s.frontAddresses {
		for _, path := range []string{"/query/x", "/brief/x", "/release/x", "/lookup/x", fmt.Sprintf("/v%d/x", s.configVersion)} {
			for {
				o := s.call(front, path, "a1")
				if o.err == nil && o.status == 200 {
					break
				}
				if time.Now().After(end) {
					s.t.Fatalf("%s: %s is not served at %s: %d %v", when, path, front, o.status, o.err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	s.t.Logf("%s: served after %v", when, time.Since(began).Round(time.Millisecond))
}
