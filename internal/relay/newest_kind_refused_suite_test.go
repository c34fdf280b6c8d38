package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/resend"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// refusingBroker refuses after a wait, in which wait is called.
type refusingBroker struct {
	Broker
	wait func()
}

func (b *refusingBroker) Acquire(context.Context, steering.Request) (steering.Grant, uint64, *steering.Refused) {
	b.wait()
	return steering.Grant{}, 7, &steering.Refused{Code: result.QueueFull}
}

var _ = Describe("A request whose route changes its kind while it waits for another target that is not granted", func() {
	view := func(kind catalog.Kind) *catalog.View {
		r := &catalog.Route{Name: "call", Host: "example.com", Prefix: "/", Kind: kind, MaxAttempts: 3}
		return &catalog.View{Config: catalog.NewConfig(1, []*catalog.Route{r}, nil, catalog.Limits{})}
	}
	// Guards against a promise "not run" for a request that ran and may run once by now.
	DescribeTable("ends with", func(newer catalog.Kind, prepare func(x *callerRequest), status int) {
		current, w := view(catalog.Idempotent), httptest.NewRecorder()
		x := sendingRequest(&catalog.Route{Name: "call", Kind: catalog.Idempotent, MaxAttempts: 3})
		x.w = w
		x.h.Broker = &refusingBroker{wait: func() { current = view(newer) }}
		x.h.Containment, x.h.Metrics, x.h.Dialect = noContainment{}, telemetry.NewMetrics(), refusalHeaders{}
		x.h.View = func() *catalog.View { return current }
		x.h.RetryBudget = retry.NewSharedBudget(time.Now(), 1, 100, time.Minute)
		x.h.RetryBudget.SetEntries(1)
		x.buffers = buffers{pool: NewBufferPool(1<<20, x.h.Metrics)}
		x.sends = resend.New(resend.Policy{Repeatable: true, MaxAttempts: 3})
		prepare(x)
		Expect(x.acquire(context.Background())).To(BeNil())
		Expect(w.Code).To(Equal(status))
	},
		Entry("the target's own 503 after a run, if it may still be repeated", catalog.Idempotent, answeredWith503, http.StatusServiceUnavailable),
		Entry("502 after a run that the target answered with 503", catalog.NonIdempotent, answeredWith503, http.StatusBadGateway),
		Entry("502 after a refusal that may be the copy of an earlier one", catalog.NonIdempotent, refusedTwice, http.StatusBadGateway),
	)
})

// answeredWith503 makes a request one that a target ran and answered with a 503 of its own.
func answeredWith503(x *callerRequest) {
	x.sends.Begin("first", "first")
	x.sends.End(resend.Inconclusive)
	x.history.lastCode = result.EngineFailed
	x.history.failureResponse = x.buffers.hold(&wholeResponse{status: http.StatusServiceUnavailable, header: http.Header{}}, 0)
}

// refusedTwice makes a request one that the same target has refused twice.
func refusedTwice(x *callerRequest) {
	for range 2 {
		x.sends.Begin("first", "first")
		x.sends.End(resend.NamedRefusal)
		x.sends.Rejected()
	}
	x.history.lastCode = result.QueueFull
}
