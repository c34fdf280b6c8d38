package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/telemetry"
)

// stalledWriter blocks each Write until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

var _ = Describe("A bounded log", func() {
	// A log collector that hangs must not delay requests.
	It("never blocks on a stalled writer, and counts the lines that it drops", func() {
		s := &stalledWriter{release: make(chan struct{})}
		w := telemetry.NewBoundedWriter(s, 1<<20, 1<<30)
		start := time.Now()
		for range 5000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(w.Dropped()).To(BeNumerically(">", 3000))
		close(s.release)
		w.Close(time.Second)
	})

	It("keeps to its budget of lines and reports how many it dropped", func() {
		out := &buffer{}
		w := telemetry.NewBoundedWriter(out, 10, 1<<20)
		for i := range 100 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		w.Close(time.Second)
		Expect(strings.Count(out.String(), "line ")).To(Equal(10))
		Expect(out.String()).To(ContainSubstring(`lines were left out count="90"`))
	})

	It("keeps to its budget of bytes", func() {
		out := &buffer{}
		w := telemetry.NewBoundedWriter(out, 1000, 50)
		for range 10 {
			_, _ = w.Write([]byte("0123456789012345678\n"))
		}
		w.Close(time.Second)
		Expect(strings.Count(out.String(), "0123456789012345678")).To(Equal(2))
	})

	// Guards against a change of state that is missing in the log because reservations were
	// refused in a crowd, and against a missing line that is taken for one that was not written.
	It("leaves room for other lines beside a flood of one kind, and tells which it dropped", func() {
		out := &buffer{}
		w := telemetry.NewBoundedWriter(out, telemetry.LinesPerSecond, telemetry.BytesPerSecond)
		Expect(telemetry.SetupLogs(w, "info")).To(Succeed())
		defer func() { Expect(telemetry.SetupLogs(GinkgoWriter, "info")).To(Succeed()) }()
		core, broker := telemetry.For("core"), telemetry.For("broker")
		for i := range 1500 {
			core.With("number", i).Info("reservation refused")
			if i%25 == 24 {
				broker.With("name", fmt.Sprint("i-", i)).Info("target gone")
			}
		}
		w.Close(time.Second)
		Expect(strings.Count(out.String(), "broker: target gone")).To(Equal(60))
		Expect(strings.Count(out.String(), "core: reservation refused number")).To(BeNumerically("<=", 2*telemetry.LinesPerSecond))
		Expect(out.String()).To(MatchRegexp(`lines were left out count="(\d+)" kind="ordinary" since="[^"]+" texts="core: reservation refused \d+"`))
	})

	DescribeTable("bounds the lines of one text", func(lines, bytes, want int) {
		out := &buffer{}
		w := telemetry.NewBoundedWriter(out, lines, bytes)
		for range 50 {
			_, _ = w.WriteText("a", []byte("a 12345678\n"))
		}
		for range 50 {
			_, _ = w.WriteText("b", []byte("b 12345678\n"))
		}
		w.Close(time.Second)
		Expect(strings.Count(out.String(), "a 1")).To(Equal(want))
		Expect(strings.Count(out.String(), "b 1")).To(Equal(min(lines, bytes/11) - want))
		Expect(out.String()).To(ContainSubstring(fmt.Sprintf(`texts="b %d | a %d"`, 50-min(lines, bytes/11)+want, 50-want)))
	},
		Entry("to three quarters of the lines", 20, 1<<20, 15),
		Entry("to three quarters of the bytes", 1000, 220, 15),
	)
})
