package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

// Length of a run and its seeds; the environment replaces them for runs by
// hand.
const (
	ciSeconds   = 6
	lengthVar   = "SOAK_SECONDS"
	seedVar     = "SOAK_SEED"
	keepVar     = "SOAK_KEEP"
	calmTime    = 12 * time.Second
	callerPace  = 12 * time.Millisecond
	callerCount = 16
)

// ciSeeds are played in CI. A seed that ever failed stays here, with a line on
// its cause.
var ciSeeds = []int64{
	1,
	// 146: an entry never came up. Both entries had one IP, so that the
	// metrics address of one was the peers' address of the other; a fault of
	// the harness, whose entries have IPs of their own since.
	146,
}

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	kind   string
	status int
	body   string
	err    error
}

// soak drives callers and faults.
type soak struct {
	*fleet
	rng      *rand.Rand
	client   *http.Client
	number   atomic.Int64
	mu       sync.Mutex
	outcomes []outcome
}

func environment(name string, or int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return or
}

func build(t *testing.T) string {
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "agatelanding.example/agatelanding/cmd/agate-entry", "agatelanding.example/agatelanding/cmd/agate-target")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

// TestSoak breaks the fleet at random while callers go on, and checks what
// they and the targets saw.
func TestSoak(t *testing.T) {
	bin := build(t)
	seeds := ciSeeds
	if s := environment(seedVar, 0); s != 0 {
		seeds = []int64{s}
	}
	length := time.Duration(environment(lengthVar, ciSeconds)) * time.Second
	for i, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, bin, seed, i+1, length) })
	}
}

func run(t *testing.T, bin string, seed int64, network int, length time.Duration) {
	s := &soak{
		fleet: newFleet(t, bin, network), rng: rand.New(rand.NewSource(seed)),
		client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}},
	}
	for _, p := range s.all() {
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
	s.breakUntil(time.Now().Add(length))
	s.calm()
	s.waitServing("after the faults")
	cancel()
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	s.check()
}

// keepLogs copies the logs of a failed run to where the environment says.
func (s *soak) keepLogs(seed int64) {
	dir := os.Getenv(keepVar)
	if !s.t.Failed() || dir == "" {
		return
	}
	for _, p := range s.all() {
		if data, err := os.ReadFile(p.log); err == nil {
			_ = os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, p.name)), data, 0o600)
		}
	}
}

// breakUntil injects faults in series that overlap.
func (s *soak) breakUntil(end time.Time) {
	var healing sync.WaitGroup
	later := func(d time.Duration, heal func()) {
		healing.Add(1)
		time.AfterFunc(d, func() {
			defer healing.Done()
			heal()
		})
	}
	for time.Now().Before(end) {
		d := time.Duration(200+s.rng.Intn(1500)) * time.Millisecond
		p := s.all()[s.rng.Intn(len(s.all()))]
		gate := s.gates[s.rng.Intn(len(s.gates))]
		gw := s.storeGw[s.rng.Intn(len(s.storeGw))]
		switch s.rng.Intn(10) {
		case 0:
			p.signal(syscall.SIGKILL)
		case 1:
			p.signal(syscall.SIGTERM)
		case 2:
			p.signal(syscall.SIGSTOP)
			later(d, func() { p.signal(syscall.SIGCONT) })
		case 3:
			p.signal(syscall.SIGHUP)
		case 4:
			gate.set(mode(s.rng.Intn(int(modes))))
			later(d, func() { gate.set(pass) })
		case 5:
			gate.reset()
		case 6:
			gw.set(mode(s.rng.Intn(int(modes))))
			later(2*d, func() { gw.set(pass) })
		case 7:
			s.configure()
		case 8:
			s.store.Compact()
			s.store.Refuse(true)
			later(d, func() { s.store.Refuse(false) })
		case 9:
			r := append(append([]*standin.Replica(nil), s.engines...), s.services...)[s.rng.Intn(engineCount+serviceCount)]
			r.Break(standin.Fault(1+s.rng.Intn(5)), standin.Fault(1+s.rng.Intn(5)))
		}
		time.Sleep(time.Duration(50+s.rng.Intn(400)) * time.Millisecond)
	}
	healing.Wait()
}

// calm ends all faults.
func (s *soak) calm() {
	for _, p := range s.all() {
		p.signal(syscall.SIGCONT)
	}
	for _, g := range append(append([]*proxy(nil), s.gates...), s.storeGw...) {
		g.set(pass)
		g.reset()
	}
	s.store.Refuse(false)
}

// waitServing waits until every entry serves each kind of request on the
// newest configuration.
func (s *soak) waitServing(when string) {
	end := time.Now().Add(calmTime)
	for _, front := range s.fronts {
		for _, path := range []string{"/query/x", "/brief/x", "/release/x", "/lookup/x", fmt.Sprintf("/v%d/x", s.version)} {
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
}

func (s *soak) callUntil(ctx context.Context, rng *rand.Rand) {
	paths := []string{"/query/x", "/query/x", "/brief/x", "/release/x", "/lookup/x"}
	for ctx.Err() == nil {
		s.call(s.fronts[rng.Intn(len(s.fronts))], paths[rng.Intn(len(paths))], fmt.Sprintf("a%d", rng.Intn(12)))
		time.Sleep(callerPace)
	}
}

// call makes one request and keeps what the caller saw.
func (s *soak) call(front, path, adapter string) outcome {
	o := outcome{id: fmt.Sprintf("r%d", s.number.Add(1)), kind: strings.Split(path, "/")[1]}
	method, body := http.MethodPost, io.Reader(strings.NewReader("body"))
	if o.kind == "lookup" || strings.HasPrefix(o.kind, "v") {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequest(method, "http://"+front+path, body)
	if err != nil {
		s.t.Error(err)
		return o
	}
	req.Host = "h.example"
	// Without GetBody the client does not send a request twice on its own.
	req.GetBody = nil
	req.Header.Set("Attempt-Id", o.id)
	req.Header.Set("Deadline-Ms", "2500")
	if o.kind == "query" || o.kind == "brief" {
		req.Header.Set("Model", "m/"+adapter)
		req.Header.Set("Token-Usage", "100,60")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		o.err = err
	} else {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.body, o.err = resp.StatusCode, string(data), err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
	return o
}

// check compares what callers saw with what targets ran.
func (s *soak) check() {
	runs := make(map[string][]standin.Run)
	for _, r := range append(append([]*standin.Replica(nil), s.engines...), s.services...) {
		for _, run := range r.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
		if r.Overfilled() {
			s.t.Errorf("%s was ordered to hold more adapters than it has slots", r.ID)
		}
	}
	seen := make(map[string]bool)
	served := 0
	for _, o := range s.outcomes {
		seen[o.id] = true
		if o.status == 200 && o.err == nil {
			served++
		}
		s.checkOne(o, runs[o.id])
	}
	for id := range runs {
		if !seen[id] {
			s.t.Errorf("a request %q ran that no caller sent", id)
		}
	}
	s.t.Logf("%d requests, %d served, configuration %d", len(s.outcomes), served, s.version)
}

func (s *soak) checkOne(o outcome, runs []standin.Run) {
	once := o.kind == "release" || o.kind == "brief"
	if once && len(runs) > 1 {
		s.t.Errorf("%s %s ran %d times", o.kind, o.id, len(runs))
	}
	if once && (o.status == 503 || o.status == 429) && len(runs) > 0 {
		s.t.Errorf("%s %s was refused with %d and ran", o.kind, o.id, o.status)
	}
	if !once && len(runs) > 2 {
		s.t.Errorf("%s %s ran on %d targets, the route allows 2", o.kind, o.id, len(runs))
	}
	if o.status != 200 || o.err != nil {
		return
	}
	want := standin.Answer(o.id)
	if o.kind == "query" || o.kind == "brief" {
		want = standin.Stream(o.id, streamEvents)
	}
	if o.body != want {
		s.t.Errorf("%s %s got another body than its own: %q", o.kind, o.id, o.body)
	}
}
