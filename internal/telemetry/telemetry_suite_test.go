package telemetry_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

var sampleLine = regexp.MustCompile(`^agate_[a-z_0-9]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? [-+0-9.e]+$`)

var _ = Describe("Metrics", func() {
	text := func(m *telemetry.Metrics) string {
		var b bytes.Buffer
		Expect(m.WriteText(&b)).To(Succeed())
		return b.String()
	}

	// Operators cannot see a reason that has no counter.
	It("have a counter for each refusal and retry reason from the start", func() {
		out := text(telemetry.NewMetrics())
		for _, info := range result.All() {
			line := fmt.Sprintf(`agate_refused_total{code="%d",reason="%s"} 0`, info.Code, info.Name)
			Expect(strings.Contains(out, line)).To(Equal(info.HTTP != 0), info.Name)
			line = fmt.Sprintf(`agate_retried_total{code="%d",reason="%s"} 0`, info.Code, info.Name)
			Expect(strings.Contains(out, line)).To(Equal(info.RetryElsewhere), info.Name)
		}
		for stop := retry.StopCode; stop <= retry.StopSent; stop++ {
			Expect(out).To(ContainSubstring(fmt.Sprintf(`agate_not_retried_total{reason="%s"} 0`, stop)))
		}
	})

	It("are written in the text format of scrapers, one sample per line", func() {
		m := telemetry.NewMetrics()
		m.Refused(result.QueueFull)
		m.Retried(result.QueueFull)
		m.NotRetried(retry.StopBudget)
		m.Count("evictions")
		m.Gauge("configuration_revision", 7)
		m.Observe("answer_ms", 12)
		for _, line := range strings.Split(strings.TrimSpace(text(m)), "\n") {
			Expect(line).To(MatchRegexp(sampleLine.String()))
		}
		Expect(m.Refusals()).To(Equal(map[string]int64{"queue_full": 1}))
	})
})

var _ = Describe("Logs", func() {
	It("are one line with time, level, part, text and sorted fields", func() {
		var b bytes.Buffer
		Expect(telemetry.SetupLogs(&b, "info")).To(Succeed())
		telemetry.For("router").With("b", "two words").With("a", 1).Info("session open")
		telemetry.For("router").Debug("not shown")
		Expect(telemetry.For("router").DebugEnabled()).To(BeFalse())
		Expect(b.String()).To(MatchRegexp(`^\S+Z info  router: session open a="1" b="two words"\n$`))
	})

	It("report whether debug lines are written", func() {
		Expect(telemetry.SetupLogs(&bytes.Buffer{}, "debug")).To(Succeed())
		Expect(telemetry.For("router").DebugEnabled()).To(BeTrue())
	})

	It("refuse an unknown level", func() {
		Expect(result.CodeOf(telemetry.SetupLogs(&bytes.Buffer{}, "loud"))).To(Equal(result.SettingInvalid))
	})
})
