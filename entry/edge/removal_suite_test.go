package edge_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

// unsteadyStore is a store that is up for targets and the operator, and disturbs calls of entries.
type unsteadyStore struct {
	store *standin.Store
	// cuts counts the next watches that are cut after cutAfter.
	cuts     atomic.Int64
	cutAfter time.Duration
	// silence is closed at the end of a time in which watches hear nothing, nil without one.
	mu      sync.Mutex
	silence chan struct{}
}

func (s *unsteadyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cut := func() { panic(http.ErrAbortHandler) }
	s.mu.Lock()
	silence := s.silence
	s.mu.Unlock()
	isWatch := strings.HasPrefix(r.URL.Path, "/kv-watch")
	switch {
	case isWatch && silence != nil:
		select {
		case <-silence:
		case <-r.Context().Done():
		}
		cut()
	case isWatch && s.cuts.Load() > 0 && s.cuts.Add(-1) >= 0:
		select {
		case <-time.After(s.cutAfter):
		case <-r.Context().Done():
		}
		cut()
	default:
		s.store.ServeHTTP(w, r)
	}
}

// compactAfter lets watches hear nothing for a time, then drops the history and cuts them.
func (s *unsteadyStore) compactAfter(d time.Duration) {
	silence := make(chan struct{})
	s.mu.Lock()
	s.silence = silence
	s.mu.Unlock()
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.store.Compact()
		s.silence = nil
		close(silence)
	})
}

// heartbeat registers all targets of the fleet but those in gone at an interval, until the spec
// ends.
func (f *fleet) heartbeat(interval time.Duration, gone *sync.Map) {
	addresses := make(map[*standin.Replica]string)
	for address, server := range f.servers {
		if r, ok := server.Handler.(*standin.Replica); ok {
			addresses[r] = address
		}
	}
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	for pool, list := range map[string][]*standin.Replica{"llm": f.engines, "ledger": f.services} {
		for _, r := range list {
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(interval):
					}
					if _, left := gone.Load(r); !left {
						f.store.Register(r, pool, addresses[r], "z1", "ready")
					}
				}
			}()
		}
	}
}

var _ = Describe("Targets that are removed without a report that they leave, while the store is up", func() {
	const drainTimeout, heartbeatInterval = 2 * time.Second, 50 * time.Millisecond

	// Guards against a removal that is put off because a call to the store has failed.
	DescribeTable("get no request after the drain timeout", func(disturb func(s *unsteadyStore), before, after func(s *unsteadyStore)) {
		f := newFleet(2, 3)
		f.bounds.DrainTimeout, f.bounds.ConfigApplyTimeout = drainTimeout, drainTimeout
		s := &unsteadyStore{store: f.store}
		f.storeAddr = f.serve("127.0.0.1", s)
		f.start()
		gone := &sync.Map{}
		f.heartbeat(heartbeatInterval, gone)
		time.Sleep(1200 * time.Millisecond)

		disturb(s)
		time.Sleep(700 * time.Millisecond)
		before(s)
		left := []*standin.Replica{f.engines[0], f.services[0]}
		for _, r := range left {
			gone.Store(r, true)
			f.store.Deregister(r.ID)
		}
		removedAt := time.Now()
		after(s)
		var callers sync.WaitGroup
		for range 3 {
			for _, call := range []func() response{f.lookup, func() response { return f.query("a1") }} {
				callers.Go(func() {
					defer GinkgoRecover()
					for time.Since(removedAt) < drainTimeout+1500*time.Millisecond {
						call()
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
		}
		callers.Wait()
		for _, r := range left {
			for _, run := range r.Runs() {
				Expect(run.Started.Sub(removedAt)).To(BeNumerically("<", drainTimeout), "a request at %s after its removal", r.ID)
			}
		}
	},
		Entry("without a failed call", nothing, nothing, nothing),
		Entry("after a call that was refused with 429", refuse(http.StatusTooManyRequests), nothing, nothing),
		Entry("after a call that was refused with 503", refuse(http.StatusServiceUnavailable), nothing, nothing),
		Entry("after a watch that was cut", func(s *unsteadyStore) { s.cutAfter = 200 * time.Millisecond; s.cuts.Store(1) }, nothing, nothing),
		Entry("after a watch that got no answer", func(s *unsteadyStore) { s.cutAfter = time.Minute; s.cuts.Store(1) }, nothing, nothing),
		Entry("in a gap of the store's history", nothing, func(s *unsteadyStore) { s.compactAfter(time.Second) }, nothing),
		Entry("beside calls that are refused again and again", refuse(http.StatusTooManyRequests), nothing, func(s *unsteadyStore) {
			for n := range 3 {
				time.AfterFunc(time.Duration(n)*time.Second, func() { refuse(http.StatusTooManyRequests)(s) })
			}
		}),
	)
})

func nothing(*unsteadyStore) {}

// refuse refuses the next call with a status.
func refuse(status int) func(s *unsteadyStore) {
	return func(s *unsteadyStore) { s.store.RefuseNext(status) }
}
