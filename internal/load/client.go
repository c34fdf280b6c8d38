package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/standin"
)

// Outcome classifies the end of a request.
type Outcome uint8

// Values of Outcome.
const (
	// Right means status 200 and a complete answer with the expected text: for
	// a completion the text of the stand-in engine for an allowed adapter and
	// version, for a call the receipt of the stand-in service.
	Right Outcome = iota
	// Refused means an HTTP status other than 200, usually with a result code.
	Refused
	// Broken means that no HTTP response came, or that an answer with status 200
	// ended early or could not be decoded.
	Broken
	// Wrong means status 200 and a complete answer with another text than the
	// expected one.
	Wrong
)

// Result holds the outcome and the times of one request.
type Result struct {
	Outcome    Outcome
	Code       string
	Detail     string
	FirstToken time.Duration
	Total      time.Duration
}

// client sends requests to one entry and verifies answers.
type client struct {
	base string
	http *http.Client
	// expected maps a model to adapter@version. allowed replaces it, if set;
	// see Options.
	expected map[string]string
	allowed  func(model string, started, ended time.Time) []string
}

// complete sends a completion and verifies its answer.
func (c *client) complete(ctx context.Context, a Arrival, prompt string) Result {
	body, _ := json.Marshal(map[string]any{"model": a.Model, "prompt": prompt, "max_tokens": a.Tokens, "stream": a.Stream})
	started := time.Now()
	resp, err := c.post(ctx, "/v1/completions", body, "")
	if err != nil {
		return Result{Outcome: Broken, Detail: err.Error(), Total: time.Since(started)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedResult(resp, started)
	}
	r := Result{}
	var text string
	if a.Stream {
		text, r.FirstToken, err = readStream(resp.Body, started)
	} else {
		text, err = readWhole(resp.Body)
	}
	r.Total = time.Since(started)
	if r.FirstToken == 0 {
		r.FirstToken = r.Total
	}
	if err != nil {
		r.Outcome, r.Detail = Broken, err.Error()
		return r
	}
	if allowed := c.allowedAnswers(a.Model, started); !isAnswerOf(allowed, text, prompt, a.Tokens) {
		served := resp.Header.Get("X-Agate-Adapter") + "@" + resp.Header.Get("X-Agate-Version")
		r.Outcome, r.Detail = Wrong, fmt.Sprintf("model %s: got %d bytes of %s, want %v", a.Model, len(text), served, allowed)
	}
	return r
}

// allowedAnswers returns every adapter@version that may answer a request which
// started at that time.
func (c *client) allowedAnswers(model string, started time.Time) []string {
	if c.allowed == nil {
		return []string{c.expected[model]}
	}
	return c.allowed(model, started, time.Now())
}

// isAnswerOf reports whether text is the complete answer of one of the adapters.
func isAnswerOf(adapters []string, text, prompt string, tokens int) bool {
	return slices.ContainsFunc(adapters, func(name string) bool { return text == standin.Text(name, prompt, tokens) })
}

func (c *client) post(ctx context.Context, path string, body []byte, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		// Without GetBody, net/http does not resend a request with an
		// Idempotency-Key after a connection failure, so that each call is
		// sent once.
		req.GetBody = nil
		req.Header.Set("Idempotency-Key", key)
	}
	return c.http.Do(req)
}

// refusedResult returns the result for a response with an error status.
func refusedResult(resp *http.Response, started time.Time) Result {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	return Result{Outcome: Refused, Code: resp.Header.Get("X-Agate-Code"), Total: time.Since(started)}
}

type choice struct {
	Text string `json:"text"`
}

// event is a chunk of a streamed answer or a whole answer.
type event struct {
	Choices []choice `json:"choices"`
}

func (e *event) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Text
}

func readWhole(r io.Reader) (string, error) {
	var e event
	err := json.NewDecoder(r).Decode(&e)
	return e.text(), err
}

var errNoEndMarker = errors.New("the stream ended without the end marker")

// readStream reads a stream of server-sent events up to the end marker. It returns
// the text and the time to the first event.
func readStream(r io.Reader, started time.Time) (text string, first time.Duration, err error) {
	var b strings.Builder
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), first, nil
		}
		if first == 0 {
			first = time.Since(started)
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return b.String(), first, err
		}
		b.WriteString(e.text())
	}
	if err := scanner.Err(); err != nil {
		return b.String(), first, err
	}
	return b.String(), first, errNoEndMarker
}

// call sends a call, a POST to a plain service with an idempotency key, and
// verifies the receipt. The receipt is the service's answer; it holds the path
// and a hash of the body.
func (c *client) call(ctx context.Context, path, key string, body []byte) Result {
	started := time.Now()
	resp, err := c.post(ctx, path, body, key)
	if err != nil {
		return Result{Outcome: Broken, Detail: err.Error(), Total: time.Since(started)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedResult(resp, started)
	}
	text, err := io.ReadAll(resp.Body)
	r := Result{Total: time.Since(started)}
	r.FirstToken = r.Total
	switch {
	case err != nil:
		r.Outcome, r.Detail = Broken, err.Error()
	case string(text) != standin.Receipt(path, body):
		r.Outcome, r.Detail = Wrong, "the receipt differs from the expected one"
	}
	return r
}
