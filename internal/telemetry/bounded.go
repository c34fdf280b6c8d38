package telemetry

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Budget bounds the lines and bytes of one class of lines in a second.
type Budget struct{ Lines, Bytes int }

const (
	// LinesPerSecond and BytesPerSecond bound the ordinary log output of one process.
	LinesPerSecond = 300
	BytesPerSecond = 96 << 10
	// ReservedLinesPerSecond and ReservedBytesPerSecond bound its reserved lines.
	ReservedLinesPerSecond = 300
	ReservedBytesPerSecond = 192 << 10
	// One text may use textShareNum/textShareDen of the budget of ordinary lines, so that a flood
	// of one kind of line leaves room for the others.
	textShareNum, textShareDen = 3, 4
	// maxCountedTexts bounds the texts of dropped lines that are counted one by one, and
	// maxReportedTexts those that a report names.
	maxCountedTexts  = 32
	maxReportedTexts = 4
	// maxQueuedLines bounds the lines of each class that wait for a stalled underlying
	// writer.
	maxQueuedLines = 1024
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// lineClass is a class of lines with a budget and a share of the queue of its own.
type lineClass struct {
	name   string
	budget Budget
	// perText is the budget of the lines of one text.
	perText Budget
	// queued counts the lines in the queue.
	queued atomic.Int64
	// dropped counts all dropped lines.
	dropped atomic.Int64

	mu sync.Mutex
	// unreported counts the dropped lines since the last report, and firstDropped is when
	// the first of them was dropped.
	unreported   int
	firstDropped time.Time
	// droppedTexts counts them by text. Lines without a text are not in it.
	droppedTexts map[string]int
	// windowStart is the start of the current second of the budget.
	windowStart time.Time
	used        Budget
	usedByText  map[string]Budget
}

func newLineClass(name string, budget, perText Budget) lineClass {
	return lineClass{name: name, budget: budget, perText: perText, droppedTexts: make(map[string]int), usedByText: make(map[string]Budget)}
}

// plus returns the budget used after a line of a size.
func (b Budget) plus(size int) Budget { return Budget{b.Lines + 1, b.Bytes + size} }

// within reports whether b exceeds max in nothing.
func (b Budget) within(max Budget) bool { return b.Lines <= max.Lines && b.Bytes <= max.Bytes }

// admit reports whether a line with a text, empty if it has none, is within the budgets of the
// current second, and takes it from them if so.
func (c *lineClass) admit(text string, size int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.windowStart) >= time.Second {
		c.windowStart, c.used = now, Budget{}
		clear(c.usedByText)
	}
	used, usedByText := c.used.plus(size), c.usedByText[text].plus(size)
	if !used.within(c.budget) || text != "" && !usedByText.within(c.perText) {
		return false
	}
	c.used = used
	if text != "" {
		c.usedByText[text] = usedByText
	}
	return true
}

func (c *lineClass) drop(text string, now time.Time) {
	c.dropped.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreported == 0 {
		c.firstDropped = now
	}
	c.unreported++
	if _, counted := c.droppedTexts[text]; text != "" && (counted || len(c.droppedTexts) < maxCountedTexts) {
		c.droppedTexts[text]++
	}
}

// takeDroppedTexts returns a field with the texts that were dropped most and their counts, empty
// if there are none, and forgets all. c.mu must be held.
func (c *lineClass) takeDroppedTexts() string {
	if len(c.droppedTexts) == 0 {
		return ""
	}
	texts := slices.SortedFunc(maps.Keys(c.droppedTexts), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.droppedTexts[b], c.droppedTexts[a]), strings.Compare(a, b))
	})
	texts = texts[:min(len(texts), maxReportedTexts)]
	for i, text := range texts {
		texts[i] = fmt.Sprintf("%s %d", text, c.droppedTexts[text])
	}
	clear(c.droppedTexts)
	return fmt.Sprintf(" texts=%q", strings.Join(texts, " | "))
}

// report writes a line with the number of lines dropped since the last report, if
// there are any.
func (c *lineClass) report(w io.Writer, now time.Time) {
	c.mu.Lock()
	n, since, texts := c.unreported, c.firstDropped, c.takeDroppedTexts()
	c.unreported = 0
	c.mu.Unlock()
	if n == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "%s warn  log: lines were left out count=\"%d\" kind=%q since=%q%s\n",
		now.UTC().Format(time.RFC3339Nano), n, c.name, since.UTC().Format(time.RFC3339Nano), texts)
}

// queuedLine is a line that waits for the underlying writer.
type queuedLine struct {
	class *lineClass
	text  []byte
}

// BoundedWriter writes lines to an underlying writer in the background. Its methods never
// block: lines over the budget of a second, and lines that do not
// fit into the queue while the underlying writer stalls, are dropped and counted.
// Ordinary and reserved lines take nothing from each other's budget and queue. It is
// safe for concurrent use.
type BoundedWriter struct {
	ordinary, reserved lineClass
	// queue holds maxQueuedLines of each class and keeps their order.
	queue chan queuedLine
	now   func() time.Time
	stop  chan struct{}
	done  chan struct{}
}

// NewBoundedWriter returns a writer to w with a budget of ordinary lines and bytes per
// second, and the default one of reserved lines. It writes until Close.
func NewBoundedWriter(w io.Writer, maxLines, maxBytes int) *BoundedWriter {
	return NewReservingWriter(w, Budget{maxLines, maxBytes}, Budget{ReservedLinesPerSecond, ReservedBytesPerSecond})
}

// NewReservingWriter returns a writer to w with a budget for each class of lines.
func NewReservingWriter(w io.Writer, ordinary, reserved Budget) *BoundedWriter {
	perText := Budget{ordinary.Lines * textShareNum / textShareDen, ordinary.Bytes * textShareNum / textShareDen}
	b := &BoundedWriter{
		ordinary: newLineClass("ordinary", ordinary, perText), reserved: newLineClass("reserved", reserved, reserved),
		queue: make(chan queuedLine, 2*maxQueuedLines), now: time.Now, stop: make(chan struct{}), done: make(chan struct{}),
	}
	go b.run(w)
	return b
}

// Write implements io.Writer; line is one ordinary log line without a known text. It never
// fails.
func (b *BoundedWriter) Write(line []byte) (int, error) { return b.write(&b.ordinary, "", line) }

// WriteText writes an ordinary line. Lines with the same text share a part of the budget. It
// never fails.
func (b *BoundedWriter) WriteText(text string, line []byte) (int, error) {
	return b.write(&b.ordinary, text, line)
}

// WriteReserved writes a reserved line. It never fails.
func (b *BoundedWriter) WriteReserved(line []byte) (int, error) {
	return b.write(&b.reserved, "", line)
}

func (b *BoundedWriter) write(class *lineClass, text string, line []byte) (int, error) {
	now := b.now()
	if !class.admit(text, len(line), now) {
		class.drop(text, now)
		return len(line), nil
	}
	if class.queued.Add(1) > maxQueuedLines {
		class.queued.Add(-1)
		class.drop(text, now)
		return len(line), nil
	}
	b.queue <- queuedLine{class, append([]byte(nil), line...)}
	return len(line), nil
}

// Dropped returns the number of ordinary lines dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.ordinary.dropped.Load() }

// DroppedReserved returns the number of reserved lines dropped so far.
func (b *BoundedWriter) DroppedReserved() int64 { return b.reserved.dropped.Load() }

// metrics returns the counters of dropped lines in the Prometheus text format.
func (b *BoundedWriter) metrics() []string {
	var lines []string
	for _, class := range []*lineClass{&b.ordinary, &b.reserved} {
		lines = append(lines, fmt.Sprintf("agate_log_lines_dropped_total{kind=%q} %d", class.name, class.dropped.Load()))
	}
	return lines
}

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.queue:
			line.writeTo(w)
		case <-ticker.C:
			b.report(w)
		case <-b.stop:
			b.drain(w)
			return
		}
	}
}

func (l queuedLine) writeTo(w io.Writer) {
	l.class.queued.Add(-1)
	// An error of w loses this line and must not affect requests.
	_, _ = w.Write(l.text)
}

// drain writes the queued lines and the last report.
func (b *BoundedWriter) drain(w io.Writer) {
	for {
		select {
		case line := <-b.queue:
			line.writeTo(w)
		default:
			b.report(w)
			return
		}
	}
}

func (b *BoundedWriter) report(w io.Writer) {
	b.ordinary.report(w, b.now())
	b.reserved.report(w, b.now())
}

// Close writes the queued lines and stops. Lines written afterwards are lost. If
// the underlying writer stalls, Close returns after timeout.
func (b *BoundedWriter) Close(timeout time.Duration) {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}
