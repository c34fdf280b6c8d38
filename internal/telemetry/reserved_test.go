package telemetry_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/telemetry"
)

var _ = Describe("Reserved lines of a bounded log", func() {
	// Guards against a send of a request that is missing in the log because refusals of
	// reservations have used up the budget.
	It("are written beside a flood of ordinary lines", func() {
		out := &buffer{}
		w := telemetry.NewBoundedWriter(out, telemetry.LinesPerSecond, telemetry.BytesPerSecond)
		Expect(telemetry.SetupLogs(w, "info")).To(Succeed())
		defer func() { Expect(telemetry.SetupLogs(GinkgoWriter, "info")).To(Succeed()) }()
		core, relay := telemetry.For("core"), telemetry.For("relay")
		for i := range 100 {
			for range 10 {
				core.With("reason", "budget_exceeded").Info("reservation refused")
				core.With("reason", "budget_exceeded").Info("order given")
			}
			relay.With("entry", "e").Record("send ended", telemetry.Fields{"id": i})
		}
		var metrics bytes.Buffer
		Expect(telemetry.NewMetrics().WriteText(&metrics)).To(Succeed())
		w.Close(time.Second)
		Expect(w.Dropped()).To(BeNumerically(">", 1000))
		Expect(w.DroppedReserved()).To(BeZero())
		for i := range 100 {
			Expect(out.String()).To(ContainSubstring(fmt.Sprintf(`info  relay: send ended id="%d" entry="e"`+"\n", i)))
		}
		Expect(out.String()).To(MatchRegexp(`log: lines were left out count="\d+" kind="ordinary" since="20`))
		Expect(metrics.String()).To(MatchRegexp(`agate_log_lines_dropped_total\{kind="ordinary"\} [1-9]\d{3}`))
		Expect(metrics.String()).To(ContainSubstring(`agate_log_lines_dropped_total{kind="reserved"} 0` + "\n"))
	})

	DescribeTable("keep to a budget of their own", func(budget telemetry.Budget, want int) {
		out := &buffer{}
		w := telemetry.NewReservingWriter(out, telemetry.Budget{Lines: 1000, Bytes: 1 << 20}, budget)
		for range 20 {
			_, _ = w.WriteReserved([]byte("reserved 9012345678\n"))
			_, _ = w.Write([]byte("ordinary 9012345678\n"))
		}
		w.Close(time.Second)
		Expect(strings.Count(out.String(), "reserved 9")).To(Equal(want))
		Expect(strings.Count(out.String(), "ordinary 9")).To(Equal(20))
		Expect(w.Dropped()).To(BeZero())
		Expect(w.DroppedReserved()).To(BeEquivalentTo(20 - want))
		Expect(out.String()).To(ContainSubstring(fmt.Sprintf(`lines were left out count="%d" kind="reserved" since=`, 20-want)))
		Expect(out.String()).NotTo(ContainSubstring(`kind="ordinary"`))
	},
		Entry("of lines", telemetry.Budget{Lines: 7, Bytes: 1 << 20}, 7),
		Entry("of bytes", telemetry.Budget{Lines: 1000, Bytes: 70}, 3),
	)

	It("neither block on a stalled writer nor lose their place in the queue to ordinary lines", func() {
		s := &stalledWriter{release: make(chan struct{})}
		unbounded := telemetry.Budget{Lines: 1 << 20, Bytes: 1 << 30}
		w := telemetry.NewReservingWriter(s, unbounded, unbounded)
		start := time.Now()
		for range 5000 {
			_, _ = w.Write([]byte("line\n"))
		}
		for range 1000 {
			_, _ = w.WriteReserved([]byte("line\n"))
		}
		Expect(w.Dropped()).To(BeNumerically(">", 3000))
		Expect(w.DroppedReserved()).To(BeZero())
		for range 4000 {
			_, _ = w.WriteReserved([]byte("line\n"))
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(w.DroppedReserved()).To(BeNumerically(">", 3000))
		close(s.release)
		w.Close(time.Second)
	})
})

func BenchmarkRecord(b *testing.B) {
	unbounded := telemetry.Budget{Lines: 1 << 40, Bytes: 1 << 50}
	w := telemetry.NewReservingWriter(io.Discard, unbounded, unbounded)
	defer w.Close(time.Second)
	if err := telemetry.SetupLogs(w, "info"); err != nil {
		b.Fatal(err)
	}
	log := telemetry.For("relay")
	b.ReportAllocs()
	for b.Loop() {
		log.Record("send ended", telemetry.Fields{
			"id": "d9302905a208fb2e", "entry": "front-bolnisi-1", "number": uint64(895), "route": "gate-release", "target": "i-2dbf3407",
			"born_ms": int64(1795000000000), "send": 1, "connection": uint64(12), "carried": 3, "status": 200, "named": true,
			"not_executed": false, "believed": "answered", "further": "answered",
		})
	}
}
