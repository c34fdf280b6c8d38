package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
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
