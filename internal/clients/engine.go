package clients

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
)

// Engine is a client of one model engine: it sends orders to load and unload
// adapters, runs requests and cancels them.
type Engine struct {
	base   string
	client *http.Client
}

// NewEngine returns a client of the engine at a base URL.
func NewEngine(base string) *Engine {
	return &Engine{base: strings.TrimSuffix(base, "/"), client: newClient()}
}

// newClient returns a client whose calls have connections of their own: no answer names its
// call, and on a kept connection one that is repeated would count as the answer to the next.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// EngineState is the state that an engine reports of itself.
type EngineState struct {
	// Incarnation identifies one start of the engine; a restart changes it.
	Incarnation int64 `json:"incarnation"`
	// Fence is the highest fencing number that the engine was given. ChecksFence
	// is true if the engine checks it, that is, refuses orders with a lower one.
	Fence       uint64   `json:"fence"`
	ChecksFence bool     `json:"keeps_fence"`
	Resident    []string `json:"resident"`
	Loading     []string `json:"loading"`
	Running     []string `json:"running"`
}

// Adapters returns the adapters that the engine holds. The slice is never nil.
func (s *EngineState) Adapters() []slots.Key {
	keys := make([]slots.Key, 0, len(s.Resident))
	for _, model := range s.Resident {
		name, version, ok := strings.Cut(model, "@")
		if ok {
			keys = append(keys, slots.Key{Adapter: name, Version: version})
		}
	}
	return keys
}

// ModelName returns the name under which the engine serves an adapter.
func ModelName(key slots.Key) string { return key.Adapter + "@" + key.Version }

// State reads the engine's state.
func (e *Engine) State(ctx context.Context) (*EngineState, error) {
	resp, err := get(ctx, e.client, e.base+"/v1/state")
	if err != nil {
		return nil, err
	}
	return decodeState(resp)
}

// SetFence sets the engine's fencing number. It fails with
// result.AuthorityLost if the engine has a higher one.
func (e *Engine) SetFence(ctx context.Context, fence uint64) (*EngineState, error) {
	resp, err := e.order(ctx, http.MethodPost, fmt.Sprintf("/v1/fence?fence=%d", fence))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusConflict {
		drain(resp)
		return nil, result.New(result.AuthorityLost, "the engine has a higher fencing number")
	}
	return decodeState(resp)
}

func decodeState(resp *http.Response) (*EngineState, error) {
	defer drain(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, result.Newf(result.EngineUnavailable, "engine returned status %d", resp.StatusCode)
	}
	var s EngineState
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&s); err != nil {
		return nil, result.Wrap(result.EngineUnavailable, err)
	}
	return &s, nil
}

// Load orders the engine to load an adapter and waits until it is loaded. It
// fails with result.AuthorityLost if the engine has a higher fencing number than
// the stamp, or has restarted since the stamp was made. A stamp holds a fencing
// number and an engine incarnation.
func (e *Engine) Load(ctx context.Context, key slots.Key, stamp authority.FencingStamp) error {
	return e.adapterOrder(ctx, http.MethodPost, key, stamp)
}

// Unload orders the engine to free the slot of an adapter. It fails with
// result.AuthorityLost in the same cases as Load.
func (e *Engine) Unload(ctx context.Context, key slots.Key, stamp authority.FencingStamp) error {
	return e.adapterOrder(ctx, http.MethodDelete, key, stamp)
}

func (e *Engine) adapterOrder(ctx context.Context, method string, key slots.Key, stamp authority.FencingStamp) error {
	path := fmt.Sprintf("/v1/adapters/%s/%s?fence=%d&incarnation=%d",
		url.PathEscape(key.Adapter), url.PathEscape(key.Version), stamp.Fence, stamp.Incarnation)
	resp, err := e.order(ctx, method, path)
	if err != nil {
		return err
	}
	defer drain(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return result.New(result.AuthorityLost, "the engine has a higher fencing number")
	case http.StatusPreconditionFailed:
		return result.New(result.AuthorityLost, "the engine has restarted")
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	return result.Newf(result.AdapterLoadFailed, "engine returned status %d %s", resp.StatusCode, bytes.TrimSpace(text))
}

func (e *Engine) order(ctx context.Context, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, nil)
	if err != nil {
		return nil, result.Wrap(result.EngineUnavailable, err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, result.Wrap(result.EngineUnavailable, err)
	}
	return resp, nil
}

// Cancel ends a run at the engine. It succeeds for a run that is unknown to the
// engine, because that run has already ended.
func (e *Engine) Cancel(ctx context.Context, runID string) error {
	resp, err := e.order(ctx, http.MethodDelete, "/v1/requests/"+url.PathEscape(runID))
	if err != nil {
		return err
	}
	defer drain(resp)
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusInternalServerError {
		return result.Newf(result.EngineUnavailable, "engine returned status %d", resp.StatusCode)
	}
	return nil
}

// incarnationHeader is the header with the incarnation of the engine that a run
// is meant for.
const incarnationHeader = "X-Engine-Incarnation"

// Run posts a completion request. The body is the caller's with model and
// priority replaced. If the engine has restarted since the stamp was made, the
// request is not run and Run fails with result.EngineUnavailable.
func (e *Engine) Run(ctx context.Context, stamp authority.FencingStamp, runID, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(result.EngineUnavailable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", runID)
	req.Header.Set(incarnationHeader, strconv.FormatInt(stamp.Incarnation, 10))
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, result.Wrap(result.EngineFailed, err)
	}
	if resp.StatusCode == http.StatusPreconditionFailed {
		drain(resp)
		return nil, result.New(result.EngineUnavailable, "the engine has restarted")
	}
	return resp, nil
}

// Resume reads the stream of a run again, starting at event from.
func (e *Engine) Resume(ctx context.Context, runID string, from int) (*http.Response, error) {
	resp, err := get(ctx, e.client, fmt.Sprintf("%s/v1/requests/%s?from=%d", e.base, url.PathEscape(runID), from))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		drain(resp)
		return nil, result.Newf(result.AnswerCut, "the engine cannot resume the stream: status %d", resp.StatusCode)
	}
	return resp, nil
}

// drain reads the rest of a response, up to a limit, and closes it, so that the
// connection can be reused.
func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
}
