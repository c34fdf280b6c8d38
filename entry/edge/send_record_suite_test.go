package edge_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/ctl"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// suiteLog is the log of the suite. Processes that another spec has left write to it at any
// time, so that it stays and only its writer changes.
var suiteLog switchedLog

// switchedLog writes to a BoundedWriter while one is set, otherwise to GinkgoWriter.
type switchedLog struct {
	bounded atomic.Pointer[telemetry.BoundedWriter]
}

func (l *switchedLog) Write(line []byte) (int, error) {
	if w := l.bounded.Load(); w != nil {
		return w.Write(line)
	}
	return GinkgoWriter.Write(line)
}

// WriteReserved writes a line of telemetry.Logger.Record.
func (l *switchedLog) WriteReserved(line []byte) (int, error) {
	if w := l.bounded.Load(); w != nil {
		return w.WriteReserved(line)
	}
	return GinkgoWriter.Write(line)
}

// logBuffer is a bytes.Buffer that is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// linesWith returns the lines that contain each of some texts.
func (l *logBuffer) linesWith(texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for line := range strings.Lines(l.b.String()) {
		if !missesAny(line, texts) {
			lines = append(lines, line)
		}
	}
	return lines
}

func missesAny(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// floodLog writes more lines than the bound on the log's volume takes, until the spec ends.
func floodLog() (out *logBuffer, w *telemetry.BoundedWriter) {
	out = &logBuffer{}
	w = telemetry.NewBoundedWriter(out, telemetry.LinesPerSecond, telemetry.BytesPerSecond)
	suiteLog.bounded.Store(w)
	ctx, stop := context.WithCancel(context.Background())
	var flooding sync.WaitGroup
	flooding.Go(func() {
		core := telemetry.For("core")
		for ctx.Err() == nil {
			core.With("reason", "budget_exceeded").Info("reservation refused")
			time.Sleep(200 * time.Microsecond)
		}
	})
	DeferCleanup(func() {
		stop()
		flooding.Wait()
		suiteLog.bounded.Store(nil)
		w.Close(time.Second)
	})
	return out, w
}

// traced returns what agatectl says of the sends of a request in some lines.
func traced(name string, lines []string) (sends []string) {
	path := filepath.Join(GinkgoT().TempDir(), "entry.log")
	text := ""
	for _, line := range lines {
		text += strings.TrimSuffix(line, "\n") + "\n"
	}
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	var out, errs bytes.Buffer
	Expect(ctl.Run(nil, []string{"trace", name, path}, &out, &errs)).To(Equal(ctl.ExitOK), errs.String())
	_, summary, _ := strings.Cut(out.String(), "\nsends:\n")
	for line := range strings.Lines(summary) {
		if !strings.Contains(line, "left out") {
			sends = append(sends, strings.TrimSuffix(line, "\n"))
		}
	}
	return sends
}

var _ = Describe("The log of the sends of a request that may run once", func() {
	const declined, answered = "declined", "answered"
	// serve starts two targets of one service, the first of whose requests is treated as told.
	serve := func(f *fleet, first string) {
		var requests atomic.Int64
		for _, name := range []string{"raw-1", "raw-2"} {
			address, _, _ := serveRaw(func(nc net.Conn, id string) {
				switch {
				case requests.Add(1) > 1 || first == answered:
					_, _ = io.WriteString(nc, head(200, id, "Content-Length: 2\r\n\r\nok"))
				case first == declined:
					_, _ = io.WriteString(nc, head(503, id, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
				}
			})
			f.store.RegisterAddress(name, address, 10)
		}
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 2}),
			route("read", "/read/", "idempotent", "raw", nil))
		f.start()
	}

	// Guards against a request that ran twice without a line of its sends.
	DescribeTable("has each send although other lines exceed the bound", func(first string, status int, want ...[]string) {
		f := newFleet(0, 0)
		serve(f, first)
		out, w := floodLog()
		Eventually(w.Dropped).Should(BeNumerically(">", 50))
		a := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		Expect(a.status).To(Equal(status))
		ended := func() []string { return out.linesWith("relay: send ended", `id="`+a.id+`"`) }
		Eventually(ended).Should(HaveLen(len(want)))
		for i, line := range ended() {
			for _, field := range append(want[i], `route="call"`, `target="raw-`, `target_started_ms="`, `kept="false"`, `carried="0"`, `connection="`) {
				Expect(line).To(ContainSubstring(field))
			}
		}
		Expect(out.linesWith("relay: to be sent again", `id="`+a.id+`"`)).To(HaveLen(len(want) - 1))
		Expect(w.DroppedReserved()).To(BeZero())
	},
		Entry("of one that was answered", answered, 200,
			[]string{`send="1"`, `status="200"`, `response="succeeded"`, `named="true"`, `believed="answered"`, `again="false"`, `stop="answered"`}),
		Entry("of one that was declined and then answered", declined, 200,
			[]string{`send="1"`, `status="503"`, `response="declined"`, `named="true"`, `believed="not_run"`, `again="true"`},
			[]string{`send="2"`, `status="200"`, `response="succeeded"`, `named="true"`, `believed="answered"`, `stop="answered"`}),
		Entry("of one whose connection was closed", "closed", 502,
			[]string{`send="1"`, `sent="true"`, `error="EOF"`, `believed="may_have_run"`, `again="false"`, `stop="may_have_run"`}),
	)

	// Guards against a refusal of a request that ran which cannot be found from its answer: its
	// line was dropped, and no line names the sends that counted as not run.
	It("has a refusal after sends, with their evidence, although other lines exceed the bound", func() {
		f := newFleet(0, 0)
		s := &refusingTargets{refusal: full, refusals: 1000}
		s.register(f, "raw", 2)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 2}), route("read", "/read/", "idempotent", "raw", nil))
		f.start()
		out, w := floodLog()
		Eventually(w.Dropped).Should(BeNumerically(">", 50))
		f.call(context.Background(), 0, "GET", "/read/1", nil, "")
		a := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get("Content-Length")).NotTo(BeEmpty())
		promised := func() []string { return out.linesWith("relay: refused after a send") }
		Eventually(promised).Should(HaveLen(1))
		Expect(promised()[0]).To(MatchRegexp(
			` id="%s" entry="entry-0" number="\d+" status="503" reason="no_target" route="call" sends="(raw-\d@5#\d+:named_refusal,?){2}" form="length" ms="\d+"`, a.id))
		Expect(w.DroppedReserved()).To(BeZero())
		// The targets may have run it all the same: the sends have to be found in the log, also in
		// an excerpt of it.
		whole, excerpt := out.linesWith(), []string(nil)
		for _, line := range whole {
			excerpt = append(excerpt, line[len("2006-01-02T"):min(len(line), 200)])
		}
		_, number, _ := strings.Cut(promised()[0], `number="`)
		number, _, _ = strings.Cut(number, `"`)
		for _, lines := range [][]string{whole, excerpt} {
			for _, name := range []string{a.id, "entry-0/" + number} {
				sends := traced(name, lines)
				Expect(sends).To(HaveExactElements(
					MatchRegexp(`^1 from entry-0 to raw-\d.* connection \d+.*: 503.*, names the request; believed not_run`),
					MatchRegexp(`^2 from entry-0 to raw-\d.* connection \d+.*: 503.*, names the request; believed not_run`),
					MatchRegexp(`^refused by entry-0 with 503, no_target, .*after the sends raw-\d@5#\d+:named_refusal`),
				))
			}
		}
		Expect(f.counter(0, `promised_after_send_total{status="503",evidence="named_refusal"}`)).To(Equal("2"))
	})

	It("has no line of a request that may run again", func() {
		f := newFleet(0, 0)
		serve(f, declined)
		out, _ := floodLog()
		a := f.call(context.Background(), 0, "GET", "/read/1", nil, "")
		Expect(a.status).To(Equal(200))
		b := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		Eventually(func() []string { return out.linesWith("relay: send ended", `id="`+b.id+`"`) }).Should(HaveLen(1))
		Expect(out.linesWith("relay: send ended", `id="`+a.id+`"`)).To(BeEmpty())
	})
})
