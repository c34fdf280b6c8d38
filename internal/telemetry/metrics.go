package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
)

// Metrics is the metric registry of one process. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns a registry in which all counters of refusals, retries and
// omitted retries already exist, so that scrapers get them with the value 0 before
// the first event.
func NewMetrics() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry()}
	for _, info := range result.All() {
		if info.HTTP != 0 {
			m.counter(refusedName(info.Code))
		}
		if info.RetryElsewhere {
			m.counter(retriedName(info.Code))
		}
	}
	for stop := retry.StopCode; stop.String() != retry.Undefined; stop++ {
		m.counter(notRetriedName(stop))
	}
	return m
}

func refusedName(code result.Code) string {
	return fmt.Sprintf("refused_total{code=\"%d\",reason=%q}", code, code.String())
}

func retriedName(code result.Code) string {
	return fmt.Sprintf("retried_total{code=\"%d\",reason=%q}", code, code.String())
}

func notRetriedName(stop retry.StopReason) string {
	return fmt.Sprintf("not_retried_total{reason=%q}", stop.String())
}

func (m *Metrics) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Refused counts a request that ended with a code other than OK. Despite its name
// it also counts requests that ran, such as those that ended with
// result.AnswerCut.
func (m *Metrics) Refused(code result.Code) { m.counter(refusedName(code)).Inc(1) }

// Refusals returns the counts of Refused by the name of the code, without codes
// that have not occurred.
func (m *Metrics) Refusals() map[string]int64 { return m.countsByCode(refusedName) }

// Retries returns the counts of Retried in the same way.
func (m *Metrics) Retries() map[string]int64 { return m.countsByCode(retriedName) }

func (m *Metrics) countsByCode(name func(result.Code) string) map[string]int64 {
	counts := make(map[string]int64)
	for _, info := range result.All() {
		if info.HTTP == 0 {
			continue
		}
		if n := m.counter(name(info.Code)).Count(); n > 0 {
			counts[info.Name] = n
		}
	}
	return counts
}

// Retried counts a retry after an attempt that failed with a code.
func (m *Metrics) Retried(code result.Code) { m.counter(retriedName(code)).Inc(1) }

// NotRetried counts a failed attempt that was not retried, by the reason.
func (m *Metrics) NotRetried(stop retry.StopReason) { m.counter(notRetriedName(stop)).Inc(1) }

// PromisedAfterSend counts a send of a request that may run once whose caller was told, by a
// status, that the request has not run. evidence is what the send has left.
func (m *Metrics) PromisedAfterSend(status int, evidence string) {
	m.counter(fmt.Sprintf("promised_after_send_total{status=\"%d\",evidence=%q}", status, evidence)).Inc(1)
}

// Count adds one to the counter with this name and the suffix "_total".
func (m *Metrics) Count(name string) { m.counter(name + "_total").Inc(1) }

// Add adds n to a named counter.
func (m *Metrics) Add(name string, n int64) { m.counter(name + "_total").Inc(n) }

// Counter returns the value of a counter by its full name, including a suffix.
func (m *Metrics) Counter(name string) int64 { return m.counter(name).Count() }

// Gauge sets the gauge with this name.
func (m *Metrics) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// Observe adds a sample in milliseconds to the histogram with this name.
func (m *Metrics) Observe(name string, milliseconds int64) {
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(1028, 0.015)).Update(milliseconds)
}

// WriteText writes all metrics in the Prometheus text format, with the prefix
// "agate_", and the counters of the dropped log lines of the process.
func (m *Metrics) WriteText(w io.Writer) error {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch metric := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("agate_%s %d", name, metric.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("agate_%s %d", name, metric.Value()))
		case metrics.Histogram:
			s := metric.Snapshot()
			for _, q := range []float64{0.5, 0.95, 0.99} {
				lines = append(lines, fmt.Sprintf("agate_%s{quantile=\"%g\"} %g", name, q, s.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("agate_%s_count %d", name, s.Count()))
		}
	})
	if bounded := boundedLog.Load(); bounded != nil {
		lines = append(lines, bounded.metrics()...)
	}
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}
