// Package telemetry implements the logs, the metrics and the admin HTTP server of
// all processes.
package telemetry

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"agatelanding.example/agatelanding/internal/result"
)

// Logger writes the log lines of one part of a process, such as the router.
type Logger struct {
	part  string
	entry log.Interface
}

// Fields are the fields of a line by their names.
type Fields = log.Fields

// reservedField marks a reserved line for lineHandler, which does not write it.
const reservedField = "\x00reserved"

// reservedWriter is implemented by writers that keep a budget for reserved lines.
type reservedWriter interface {
	WriteReserved(line []byte) (int, error)
}

// textWriter is implemented by writers that bound the lines of one text.
type textWriter interface {
	WriteText(text string, line []byte) (int, error)
}

// boundedLog is the writer of SetupLogs, nil if that drops no lines.
var boundedLog atomic.Pointer[BoundedWriter]

// SetupLogs directs all logs to w, from a minimum level on ("debug", "info",
// "warn", "error").
func SetupLogs(w io.Writer, level string) error {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return result.Newf(result.SettingInvalid, "unknown log level %q", level)
	}
	bounded, _ := w.(*BoundedWriter)
	boundedLog.Store(bounded)
	log.SetHandler(&lineHandler{w: w})
	log.SetLevel(parsed)
	return nil
}

// For returns the logger of a part. Its lines start with the part's name.
func For(part string) *Logger { return &Logger{part: part, entry: log.Log} }

// With returns a logger that adds a field to each line.
func (l *Logger) With(key string, value any) *Logger {
	return &Logger{part: l.part, entry: l.entry.WithField(key, value)}
}

// Error logs a failure with its result code.
func (l *Logger) Error(err error, text string) {
	l.entry.WithField("code", int(result.CodeOf(err))).WithField("error", err.Error()).Error(l.line(text))
}

// Warn logs a condition that an operator may want to investigate.
func (l *Logger) Warn(text string) { l.entry.Warn(l.line(text)) }

// Info logs a change of state.
func (l *Logger) Info(text string) { l.entry.Info(l.line(text)) }

// Record logs, at the level info, a fact that has to be found afterwards. Its line is
// reserved: ordinary lines cannot use up its budget of a BoundedWriter. The caller must
// not use fields afterwards.
func (l *Logger) Record(text string, fields Fields) {
	fields[reservedField] = true
	l.entry.WithFields(fields).Info(l.line(text))
}

// DebugEnabled reports whether Debug writes anything. Code on a hot path checks it
// before it builds the fields.
func (l *Logger) DebugEnabled() bool {
	logger, ok := log.Log.(*log.Logger)
	return ok && logger.Level <= log.DebugLevel
}

// Debug logs details. They are off by default.
func (l *Logger) Debug(text string) { l.entry.Debug(l.line(text)) }

func (l *Logger) line(text string) string { return l.part + ": " + text }

// leadingFields are written first, in this order: a line that is cut short still tells which
// request, send or reservation it is about, and what became of it.
var leadingFields = []string{
	"id", "entry", "number", "send", "target", "connection", "status", "believed", "named", "sent", "evidence", "error", "reason", "route", "sends", "ran", "stop",
}

// compareFields orders the fields of a line: leadingFields first, then the others by name.
func compareFields(a, b string) int {
	return cmp.Or(cmp.Compare(fieldRank(a), fieldRank(b)), strings.Compare(a, b))
}

func fieldRank(name string) int {
	if i := slices.Index(leadingFields, name); i >= 0 {
		return i
	}
	return len(leadingFields)
}

// lineHandler writes one line per record: time, level, text, fields in the order of
// compareFields.
type lineHandler struct {
	mu sync.Mutex
	w  io.Writer
}

// HandleLog implements log.Handler.
func (h *lineHandler) HandleLog(e *log.Entry) error {
	b := make([]byte, 0, 512)
	b = e.Timestamp.UTC().AppendFormat(b, time.RFC3339Nano)
	b = fmt.Appendf(b, " %-5s %s", e.Level, e.Message)
	names := make([]string, 0, len(e.Fields))
	write := h.w.Write
	if w, ok := h.w.(textWriter); ok {
		write = func(line []byte) (int, error) { return w.WriteText(e.Message, line) }
	}
	for name := range e.Fields {
		if name != reservedField {
			names = append(names, name)
		} else if reserving, ok := h.w.(reservedWriter); ok {
			write = reserving.WriteReserved
		}
	}
	slices.SortFunc(names, compareFields)
	for _, name := range names {
		b = append(append(append(b, ' '), name...), '=')
		b = appendValue(b, e.Fields[name])
	}
	b = append(b, '\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := write(b)
	return err
}

// appendValue appends the quoted text of a field.
func appendValue(b []byte, value any) []byte {
	var text string
	switch v := value.(type) {
	case string:
		text = v
	case bool:
		text = strconv.FormatBool(v)
	case int:
		text = strconv.Itoa(v)
	case int64:
		text = strconv.FormatInt(v, 10)
	case uint64:
		text = strconv.FormatUint(v, 10)
	default:
		text = fmt.Sprint(v)
	}
	return strconv.AppendQuote(b, text)
}

// SlogHandler returns a slog.Handler that writes to the logger, for libraries that
// log through slog. It writes records from the level warn on, all as warnings.
func (l *Logger) SlogHandler() slog.Handler { return slogBridge{logger: l} }

// slogBridge implements slog.Handler. It ignores groups and the attributes of
// WithAttrs.
type slogBridge struct {
	logger *Logger
}

func (s slogBridge) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelWarn }

func (s slogBridge) Handle(_ context.Context, r slog.Record) error {
	entry := s.logger
	r.Attrs(func(a slog.Attr) bool {
		entry = entry.With(a.Key, a.Value.String())
		return true
	})
	entry.Warn(r.Message)
	return nil
}

func (s slogBridge) WithAttrs([]slog.Attr) slog.Handler { return s }

func (s slogBridge) WithGroup(string) slog.Handler { return s }
