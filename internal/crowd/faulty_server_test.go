package crowd_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/knownred"
)

// faultyTime is how long an engine or a store is faulty.
const faultyTime = 4 * time.Second

// fill returns a text of a length that begins with a prefix, repeats a part and ends with a
// suffix.
func fill(length int, prefix, part, suffix string) string {
	n := (length - len(prefix) - len(suffix)) / len(part)
	return prefix + strings.Repeat(part, n) + suffix
}

// compressed returns the start of a compressed body that has no end.
func compressed() string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = io.WriteString(w, strings.Repeat(" ", 64<<20))
	return b.String()
}

// whole returns an answer with a body that has an end.
func whole(body string) faultyAnswer {
	return sends(fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", len(body)), body, "", time.Second)
}

// faultyServer is a server that answers by a function until it becomes sound.
type faultyServer struct {
	answer faultyAnswer
	sound  http.Handler
	turned atomic.Bool
	// answered counts what the function has answered.
	answered atomic.Int64
}

// serve starts the server and returns its address.
func (s *faultyServer) serve(t *testing.T) string { return serve(t, s.handler()) }

// handler returns the handler of the server.
func (s *faultyServer) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.turned.Load() {
			s.sound.ServeHTTP(w, r)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetWriteDeadline(time.Now().Add(faultyTime))
		s.answered.Add(1)
		s.answer(c, r.RequestURI)
	})
}

// skipListed skips a test that KNOWN-RED.txt lists.
func skipListed(t *testing.T) {
	if knownred.Listed(t.Name()) {
		t.Skip("listed in KNOWN-RED.txt")
	}
}
