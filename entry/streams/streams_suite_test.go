package streams_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/broker"
	"agatelanding.example/agatelanding/entry/streams"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/recall"
	sv "agatelanding.example/agatelanding/internal/decide/softwareversion"
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/telemetry"
)

func TestStreams(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "streams")
}

// holders is one memory outside of the entries.
type holders struct{ memory *recall.Memory }

func (h holders) Remember(f recall.Fact, acked func()) {
	h.memory.Put(time.Now(), f)
	if acked != nil {
		acked()
	}
}

func (h holders) Recall(_ context.Context, k recall.Kind, key string) broker.RecallResult {
	f, ok := h.memory.Get(time.Now(), k, key)
	return broker.RecallResult{Fact: f, Found: ok, Asked: 1, Answered: 1}
}

// entry returns the registry of an entry that lists two versions.
func entry(h holders) *streams.Registry {
	r := streams.New(telemetry.NewMetrics())
	r.Holders = h
	r.SetView(&catalog.View{Targets: map[string]*catalog.Target{
		"a": {ID: "a", Pool: "llm", SoftwareVersion: "v1"}, "b": {ID: "b", Pool: "llm", SoftwareVersion: "v2"},
		"c": {ID: "c", Pool: "one", SoftwareVersion: "v1"},
	}})
	r.AddHistory(nil, sv.Needed, time.Second)
	return r
}

func key() string { return "session" }

func attempt(id string) relay.StreamAttempt {
	return relay.StreamAttempt{Host: "h.example", Path: "/query/x", ID: id, Key: key}
}

var _ = Describe("A stream", func() {
	resolve := func(r *streams.Registry, a relay.StreamAttempt, pool string) string {
		decision, version := r.Resolve(context.Background(), a, pool)
		return map[sv.Decision]string{sv.Any: "any", sv.Only: version, sv.None: "none"}[decision]
	}

	It("is known at its entry, and at one that starts later", func() {
		h := holders{recall.NewMemory()}
		first := entry(h)
		Eventually(first.Record(attempt("A"), "llm", "v2", 1)).Should(BeClosed())
		for _, r := range []*streams.Registry{first, entry(h)} {
			Expect(resolve(r, attempt("A"), "llm")).To(Equal("v2"))
		}
		first.Record(attempt("A"), "llm", "v1", 2)
		first.Record(attempt("A"), "llm", "late", 1)
		Expect(resolve(entry(h), attempt("A"), "llm")).To(Equal("v1"))
	})

	// Guards against what one caller learns of another one's attempt, and against a conclusion
	// from a version of another pool.
	It("is found by its own host and path only", func() {
		h := holders{recall.NewMemory()}
		r := entry(h)
		r.Record(attempt("A"), "llm", "v2", 1)
		for _, other := range []relay.StreamAttempt{
			{Host: "i.example", Path: "/query/x", ID: "A", Key: key}, {Host: "h.example", Path: "/query/y", ID: "A", Key: key},
			{Host: "h.example", Path: "/query/x", ID: "B", Key: key}, {Host: "h.example", Path: "/query/x", ID: strings.Repeat("A", 10_000), Key: key},
			{Host: "h.example", Path: "/query/x", Key: key},
		} {
			Expect(resolve(r, other, "llm")).To(Equal("none"))
			Expect(resolve(r, other, "one")).To(Equal("v1"), "the only version of the pool")
		}
		Expect(resolve(r, attempt("A"), "one")).To(Equal("any"), "it began at another pool")
		Expect(resolve(r, relay.StreamAttempt{Host: "H.Example", Path: "/query/x", ID: "A", Key: key}, "llm")).To(Equal("v2"))
	})

	// Guards against an entry that takes the version which is left for the only one.
	It("is not taken up where another version was listed lately, as a target process knows", func() {
		h := holders{recall.NewMemory()}
		entry(h)
		late := streams.New(telemetry.NewMetrics())
		late.Holders = h
		late.SetView(&catalog.View{Targets: map[string]*catalog.Target{"b": {ID: "b", Pool: "llm", SoftwareVersion: "v2"}}})
		late.AddHistory(nil, sv.Needed, time.Second)
		Expect(resolve(late, attempt("nobody"), "llm")).To(Equal("v2"), "nobody has told it")
		late.ReceiveFacts(h.memory.List(time.Now(), recall.SoftwareVersion))
		Expect(resolve(late, attempt("nobody"), "llm")).To(Equal("none"))
	})

	// Guards against a conclusion from a view that misses a version which has joined since.
	DescribeTable("that nobody knows is taken up by a view that is confirmed", func(confirm func(r *streams.Registry) bool, want string) {
		r := entry(holders{recall.NewMemory()})
		calls := 0
		r.Confirm = func(context.Context) bool {
			calls++
			return confirm(r)
		}
		Expect(resolve(r, attempt("nobody"), "one")).To(Equal(want))
		Expect(calls).To(Equal(1))
		Expect(resolve(r, attempt("nobody"), "llm")).To(Equal("none"))
		Expect(calls).To(Equal(1), "nothing is confirmed that is refused anyway")
	},
		Entry("when it is", func(*streams.Registry) bool { return true }, "v1"),
		Entry("not if it cannot be", func(*streams.Registry) bool { return false }, "none"),
		Entry("not if that brings another version", func(r *streams.Registry) bool {
			r.SetView(&catalog.View{Targets: map[string]*catalog.Target{
				"c": {ID: "c", Pool: "one", SoftwareVersion: "v1"}, "d": {ID: "d", Pool: "one", SoftwareVersion: "v2"},
			}})
			return true
		}, "none"),
		Entry("not if another version came and went meanwhile", func(r *streams.Registry) bool {
			r.AddPassing([]*catalog.Target{{ID: "d", Pool: "one", SoftwareVersion: "v2"}})
			return true
		}, "none"),
		Entry("not if something may have come and gone unseen", func(r *streams.Registry) bool {
			r.ChangesMissed()
			return true
		}, "none"),
	)

	It("is not taken up without the history of the store, until that would show in time", func() {
		r := streams.New(telemetry.NewMetrics())
		r.Holders = holders{recall.NewMemory()}
		r.SetView(&catalog.View{Targets: map[string]*catalog.Target{"c": {ID: "c", Pool: "one", SoftwareVersion: "v1"}}})
		began := time.Now()
		Expect(resolve(r, attempt("nobody"), "one")).To(Equal("none"))
		Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
	})
})
