package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/decide/resend"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// waitBroker grants a target after a wait, in which wait is called.
type waitBroker struct {
	Broker
	wait   func()
	target string
	ended  []steering.Outcome
}

func (b *waitBroker) Acquire(context.Context, steering.Request) (steering.Grant, uint64, *steering.Refused) {
	b.wait()
	return steering.Grant{Target: &catalog.Target{ID: b.target, Address: b.target}}, 7, nil
}

func (b *waitBroker) Done(_ uint64, outcome steering.Outcome) { b.ended = append(b.ended, outcome) }

// noContainment suspects no request.
type noContainment struct{ Containment }

func (noContainment) Isolate(Identity) []string                 { return nil }
func (noContainment) Turn(Identity, string) (t quarantine.Turn) { return t }

// refusalHeaders sets none.
type refusalHeaders struct{ headers }

func (refusalHeaders) SetRefusalHeaders(http.Header, string, time.Duration) {}

var _ = Describe("A request whose route changes its kind while it waits for another target", func() {
	view := func(kind catalog.Kind) *catalog.View {
		r := &catalog.Route{Name: "call", Host: "example.com", Prefix: "/", Kind: kind, MaxAttempts: 3}
		return &catalog.View{Config: catalog.NewConfig(1, []*catalog.Route{r}, nil, catalog.Limits{})}
	}
	// Guards against a second run of a request that may not be repeated any more.
	DescribeTable("goes to the target that is granted then", func(newer catalog.Kind, evidence resend.Evidence, target string, granted bool, status int) {
		current, w := view(catalog.Idempotent), httptest.NewRecorder()
		broker := &waitBroker{wait: func() { current = view(newer) }, target: target}
		x := sendingRequest(&catalog.Route{Name: "call", Kind: catalog.Idempotent, MaxAttempts: 3})
		x.w = w
		x.h.Broker, x.h.Containment, x.h.Metrics, x.h.Dialect = broker, noContainment{}, telemetry.NewMetrics(), refusalHeaders{}
		x.h.View = func() *catalog.View { return current }
		x.h.RetryBudget = retry.NewSharedBudget(time.Now(), 1, 100, time.Minute)
		x.h.RetryBudget.SetEntries(1)
		x.sends = resend.New(resend.Policy{Repeatable: true, MaxAttempts: 3})
		x.sends.Begin("first", "first")
		x.sends.End(evidence)
		if evidence == resend.NamedRefusal {
			x.sends.Rejected()
		}
		if got := x.acquire(context.Background()); !granted {
			Expect(got).To(BeNil())
			Expect(broker.ended).To(Equal([]steering.Outcome{steering.Abandoned}))
			Expect(w.Code).To(Equal(status))
			return
		}
		Expect(broker.ended).To(BeEmpty())
	},
		Entry("if both kinds allow it", catalog.Idempotent, resend.Inconclusive, "second", true, 0),
		Entry("not if it may have run", catalog.NonIdempotent, resend.Inconclusive, "second", false, 502),
		Entry("not if that target has refused it", catalog.NonIdempotent, resend.NamedRefusal, "first", false, 503),
		Entry("if another target has refused it", catalog.NonIdempotent, resend.NamedRefusal, "second", true, 0),
	)
})
