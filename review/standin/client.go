//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one attempt of a client.
type call struct {
	method, path, body string
	header             map[string]string
	deadline           time.Duration
	// lastEvent and resumes take a stream up.
	lastEvent int
	resumes   string
	// leaveAfter closes the connection that long after the attempt began, 0 for never.
	leaveAfter time.Duration
}

// result is what the client has seen of an attempt.
type result struct {
	id      string
	sent    time.Time
	machine *machine
	status  int
	// whole is true if the answer came to its end with the replica's signature.
	whole      bool
	lastEvent  int
	retryAfter time.Duration
	err        error
	body       string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends an attempt on a new connection and reads its answer.
func (f *fleet) send(m *machine, c call) result {
	o := result{id: newID(), sent: time.Now(), machine: m, lastEvent: c.lastEvent}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	if c.leaveAfter > 0 {
		time.AfterFunc(c.leaveAfter, cancel)
	}
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.front+c.path, strings.NewReader(c.body))
	if err != nil {
		fail(err)
	}
	record("%s sent to %s: %s %s, %d bytes, %v, resumes %q after event %d", o.id, m.name, c.method, c.path, len(c.body), c.header, c.resumes, c.lastEvent)
	q.Host = host
	q.Header.Set("Attempt-Id", o.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	for name, value := range c.header {
		q.Header.Set(name, value)
	}
	if c.resumes != "" {
		q.Header.Set("Resumes", c.resumes)
		q.Header.Set("Last-Event-Id", strconv.Itoa(c.lastEvent))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(q)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	o.retryAfter = time.Duration(seconds * float64(time.Second))
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(resp.Body)
		o.body, o.err, o.whole = string(text), err, err == nil && resp.Header.Get("Response-Signature") != ""
		return o
	}
	lines := bufio.NewReader(resp.Body)
	id := 0
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if line == "\n" && id > 0 {
			o.lastEvent = id
		}
		if err != nil {
			o.whole = err == io.EOF
			if !o.whole {
				o.err = err
			}
			return o
		}
	}
}

// prompt returns the headers of a request for the model, with some parts of its prompt and a
// number of events out.
func prompt(out int, parts ...string) map[string]string {
	var list []string
	total := 0
	for _, p := range parts {
		list = append(list, p+":80")
		total += 80
	}
	return map[string]string{
		"Model": modelName, "Token-Usage": fmt.Sprintf("%d,%d", total, 5*out), "Prompt-Prefix": strings.Join(list, ","),
	}
}

func (o result) String() string {
	text := fmt.Sprintf("%s at %s: status %d, whole %v, last event %d", o.id, o.machine.name, o.status, o.whole, o.lastEvent)
	if o.err != nil {
		text += ", " + o.err.Error()
	}
	if o.status >= 400 {
		text += ", " + strings.TrimSpace(o.body)
	}
	return text
}
