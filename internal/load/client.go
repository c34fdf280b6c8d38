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

// Verdict is what became of one request.
type Verdict uint8

// Verdicts.
const (
	// Right means a whole answer of the right adapter and version.
	Right Verdict = iota
	// Refused means an answer with a result code.
	Refused
	// Broken means that the connection failed before the answer ended.
	Broken
	// Wrong means an answer that is not the one asked for.
	Wrong
)

// Result is the outcome of one request.
type Result struct {
	Verdict    Verdict
	Code       string
	Detail     string
	FirstToken time.Duration
	Total      time.Duration
}

// client sends requests to one entry and verifies answers.
type client struct {
	base string
	http *http.Client
	// expected maps a model to adapter@version.
	expected map[string]string
	allowed  func(model string, started, ended time.Time) []string
}

func (c *client) complete(ctx context.Context, a Arrival, prompt string) Result {
	body, _ := json.Marshal(map[string]any{"model": a.Model, "prompt": prompt, "max_tokens": a.Tokens, "stream": a.Stream})
	started := time.Now()
	resp, err := c.post(ctx, "/v1/completions", body, "")
	if err != nil {
		return Result{Verdict: Broken, Detail: err.Error(), Total: time.Since(started)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, started)
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
		r.Verdict, r.Detail = Broken, err.Error()
		return r
	}
	if names := c.names(a.Model, started); !isAnswerOf(names, text, prompt, a.Tokens) {
		served := resp.Header.Get("X-Agate-Adapter") + "@" + resp.Header.Get("X-Agate-Version")
		r.Verdict, r.Detail = Wrong, fmt.Sprintf("model %s: got %d bytes of %s, want %v", a.Model, len(text), served, names)
	}
	return r
}

// names returns the adapter@version that an answer may come from.
func (c *client) names(model string, started time.Time) []string {
	if c.allowed == nil {
		return []string{c.expected[model]}
	}
	return c.allowed(model, started, time.Now())
}

// isAnswerOf reports whether text is the whole answer of one of the adapters.
func isAnswerOf(names []string, text, prompt string, tokens int) bool {
	return slices.ContainsFunc(names, func(name string) bool { return text == standin.Text(name, prompt, tokens) })
}

func (c *client) post(ctx context.Context, path string, body []byte, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		// Without GetBody net/http sends a keyed call only once.
		req.GetBody = nil
		req.Header.Set("Idempotency-Key", key)
	}
	return c.http.Do(req)
}

func refusal(resp *http.Response, started time.Time) Result {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	return Result{Verdict: Refused, Code: resp.Header.Get("X-Agate-Code"), Total: time.Since(started)}
}

type choice struct {
	Text string `json:"text"`
}

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

var errNoEnd = errors.New("the stream ended without its end marker")

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
	return b.String(), first, errNoEnd
}

// call sends a call that may not be repeated.
func (c *client) call(ctx context.Context, path, key string, body []byte) Result {
	started := time.Now()
	resp, err := c.post(ctx, path, body, key)
	if err != nil {
		return Result{Verdict: Broken, Detail: err.Error(), Total: time.Since(started)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, started)
	}
	text, err := io.ReadAll(resp.Body)
	r := Result{Total: time.Since(started)}
	r.FirstToken = r.Total
	switch {
	case err != nil:
		r.Verdict, r.Detail = Broken, err.Error()
	case string(text) != standin.Receipt(path, body):
		r.Verdict, r.Detail = Wrong, "receipt of another call"
	}
	return r
}
