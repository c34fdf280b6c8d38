package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/resend"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// sendingRequest returns a request in its first attempt.
func sendingRequest(route *catalog.Route) *callerRequest {
	return &callerRequest{
		h: &Handler{Log: telemetry.For("relay"), EntryName: "front-bolnisi-1", Ending: context.Background()}, r: httptest.NewRequest(http.MethodPost, "/", nil),
		meta: Metadata{AttemptID: "d9302905a208fb2e"}, route: route, deadline: time.Now().Add(time.Hour), sentAt: time.Now(), requestNumber: 895,
		grant: steering.Grant{Target: &catalog.Target{ID: "i-2dbf3407", StartedAtMS: 1795000000000}},
	}
}

var _ = Describe("The record of a send", func() {
	It("is kept for requests that may run once only", func() {
		for route, want := range map[*catalog.Route]bool{nonIdempotentRoute: true, streamRoute: true, idempotentRoute: false, resumableRoute: false} {
			x := sendingRequest(route)
			x.beginSendRecord()
			Expect(x.sendRecord != nil).To(Equal(want))
			Expect(x.sendRecord.connection() != nil).To(Equal(want))
		}
	})
})

var _ = Describe("The record of a refusal after sends", func() {
	// Guards against a promise that a request has not run which leaves no trace, and against
	// lines that say so of answers without a promise.
	DescribeTable("is written", func(route *catalog.Route, sent bool, status, bodyBytes int, want string) {
		out := &bytes.Buffer{}
		Expect(telemetry.SetupLogs(out, "info")).To(Succeed())
		defer func() { Expect(telemetry.SetupLogs(GinkgoWriter, "info")).To(Succeed()) }()
		x := sendingRequest(route)
		x.h.Metrics, x.targetID, x.sends = telemetry.NewMetrics(), "i-2dbf3407", resend.New(resend.Policy{Repeatable: route.Repeatable(), MaxAttempts: 1})
		if sent {
			x.sends.Begin(x.targetID, x.targetID)
			x.beginSendRecord()
			x.recordEvidence(resend.NotWritten)
			x.logSend(false)
		}
		out.Reset()
		x.recordPromise(result.QueueFull, status, bodyBytes)
		if want == "" {
			Expect(out.String()).To(BeEmpty())
			return
		}
		Expect(out.String()).To(ContainSubstring(want))
		Expect(x.h.Metrics.Counter(fmt.Sprintf(`promised_after_send_total{status="%d",evidence="not_written"}`, status))).To(BeEquivalentTo(1))
	},
		Entry("after 503 with a length", nonIdempotentRoute, true, 503, maxBufferedBody, `status="503" reason="queue_full" route="`+nonIdempotentRoute.Name+`" sends="i-2dbf3407@1795000000000#0:not_written" form="length"`),
		Entry("after 429 in chunks", nonIdempotentRoute, true, 429, maxBufferedBody+1, `form="chunks"`),
		Entry("after 408 to a stream", streamRoute, true, 408, 10, `status="408"`),
		Entry("after 421", nonIdempotentRoute, true, 421, 10, `status="421"`),
		Entry("not after 502", nonIdempotentRoute, true, 502, 10, ""),
		Entry("not without a send", nonIdempotentRoute, false, 503, 10, ""),
		Entry("not of a request that may run again", idempotentRoute, true, 503, 10, ""),
	)
})

// discardLog directs the logs to a writer without bounds.
func discardLog(b *testing.B) {
	unbounded := telemetry.Budget{Lines: 1 << 40, Bytes: 1 << 50}
	w := telemetry.NewReservingWriter(io.Discard, unbounded, unbounded)
	b.Cleanup(func() { w.Close(time.Second) })
	if err := telemetry.SetupLogs(w, "info"); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
}

func BenchmarkSendRecord(b *testing.B) {
	for name, route := range map[string]*catalog.Route{"once": nonIdempotentRoute, "repeatable": idempotentRoute} {
		b.Run(name, func(b *testing.B) {
			discardLog(b)
			x := sendingRequest(route)
			response := &http.Response{StatusCode: 200}
			for b.Loop() {
				x.beginSendRecord()
				x.sendRecord.responded(response, Succeeded, true)
				x.sendRecord.complete()
				x.logSend(true)
				x.pastSends = x.pastSends[:0]
			}
		})
	}
}

// BenchmarkRequestEnded is the cost of the line that each request has, for comparison.
func BenchmarkRequestEnded(b *testing.B) {
	discardLog(b)
	x := sendingRequest(nonIdempotentRoute)
	for b.Loop() {
		x.logEnd(result.OK, 200)
	}
}
