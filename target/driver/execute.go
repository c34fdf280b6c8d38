package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/clients"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 8 << 20
	// maxIdleResumes bounds how often in a row a cut stream of a run is
	// resumed without a new event. The time limit of the run bounds the number
	// of resumptions in total.
	maxIdleResumes = 3
	// cancelRetryDelay is the delay before a cancellation is sent again; about
	// twenty attempts fit into orderTimeout.
	cancelRetryDelay = 100 * time.Millisecond
	// chunkBytes is the size of the chunks of an answer that is not streamed.
	chunkBytes = 64 << 10
)

func (d *Driver) execute(ctx context.Context, a scheduler.Execute) {
	if d.Service != nil {
		d.finish(a.ID, d.callService(ctx, a))
		return
	}
	d.finish(a.ID, d.runEngine(ctx, a))
}

func (d *Driver) callService(ctx context.Context, a scheduler.Execute) scheduler.Completion {
	resp, err := d.Service.Call(ctx, a.Run.Method, a.Run.Path, a.IdempotencyKey, a.Run.Body)
	if err != nil {
		return failure(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode < 200 || resp.StatusCode > 599 {
		return failure(result.Newf(result.AnswerCut, "the service answered with status %d, which HTTP does not have", resp.StatusCode))
	}
	if err := d.reportInChunks(a.ID, resp.Body); err != nil {
		return failure(result.Wrap(result.AnswerCut, err))
	}
	return scheduler.Completion{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
}

func failure(err error) scheduler.Completion {
	e := result.From(err)
	return scheduler.Completion{Code: e.Code, Detail: e.Detail}
}

// reportInChunks reads an answer to its end and sends it to the core in chunks.
func (d *Driver) reportInChunks(id wire.AttemptID, r io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxAnswerBytes {
		return errors.New("the answer is longer than the limit")
	}
	for len(data) > 0 {
		n := min(len(data), chunkBytes)
		d.report(&Chunk{ID: id, Data: data[:n]})
		data = data[n:]
	}
	return nil
}

// runIDPrefix begins the ID of every run that a target process starts at an
// engine.
const runIDPrefix = "agate-"

// ownRunIDPrefix begins the ID of every run of this process.
func (d *Driver) ownRunIDPrefix() string { return fmt.Sprintf("%s%x-", runIDPrefix, d.Incarnation) }

// isOrphan reports whether a run was started by another target process. That
// process has ended, because only one runs beside an engine at a time.
func (d *Driver) isOrphan(id string) bool {
	return strings.HasPrefix(id, runIDPrefix) && !strings.HasPrefix(id, d.ownRunIDPrefix())
}

// runID returns the ID of an attempt's run at the engine.
func (d *Driver) runID(id wire.AttemptID) string {
	return fmt.Sprintf("%s%s-%x-%d-%d", d.ownRunIDPrefix(), id.Request.Entry, id.Request.Incarnation, id.Request.Number, id.Attempt)
}

func (d *Driver) runEngine(ctx context.Context, a scheduler.Execute) scheduler.Completion {
	model := d.BaseModel()
	if a.Adapter.Adapter != "" {
		model = clients.ModelName(a.Adapter)
	}
	body, err := rewriteBody(a.Run.Body, model, a.Priority)
	if err != nil {
		return failure(err)
	}
	id := d.runID(a.ID)
	resp, err := d.Engine.Run(ctx, a.FencingStamp, id, a.Run.Path, body)
	if err != nil {
		d.cancelRun(id)
		return interrupted(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return failure(result.Newf(result.EngineFailed, "engine answered %d %s", resp.StatusCode, bytes.TrimSpace(text)))
	}
	tokens, err := d.relayAnswer(ctx, a, model, resp)
	if err != nil {
		d.cancelRun(id)
		return interrupted(ctx, err)
	}
	return scheduler.Completion{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
		Adapter: a.Adapter.Adapter, Version: a.Adapter.Version, AnswerTokens: tokens,
	}
}

// cancelRun cancels an abandoned run. It returns when the engine has accepted
// the cancellation, because the reported end of the run frees its adapter's
// slot. It gives up after orderTimeout.
func (d *Driver) cancelRun(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	for err := d.Engine.Cancel(ctx, id); err != nil; err = d.Engine.Cancel(ctx, id) {
		select {
		case <-time.After(cancelRetryDelay):
		case <-ctx.Done():
			d.log.With("run", id).Error(err, "the engine did not accept a cancellation")
			return
		}
	}
}

// interrupted returns the completion of a run that err ended. Its code is
// Cancelled if the context of the run has ended.
func interrupted(ctx context.Context, err error) scheduler.Completion {
	if ctx.Err() != nil {
		return failure(result.Wrap(result.Cancelled, err))
	}
	return failure(err)
}

// rewriteBody sets model and priority in a caller's body and leaves the other
// fields as they are.
func rewriteBody(body []byte, model string, priority int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, result.Wrap(result.BadRequest, err)
	}
	fields["model"], _ = json.Marshal(model)
	fields["priority"], _ = json.Marshal(priority)
	return json.Marshal(fields)
}

// relayAnswer sends the answer to the core and resumes a stream that is cut. An
// answer that names another model, or that ends without its end marker, is an
// error. It returns the number of tokens of a streamed answer, which has one
// event for each token and an end marker.
func (d *Driver) relayAnswer(ctx context.Context, a scheduler.Execute, model string, resp *http.Response) (int, error) {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return 0, d.relayUnstreamed(a.ID, model, resp.Body)
	}
	events := 0
	err := d.relayEvents(a.ID, model, resp.Body, &events)
	for idleResumes := 0; idleResumes < maxIdleResumes; {
		if result.CodeOf(err) != result.AnswerCut || ctx.Err() != nil {
			return 0, err
		}
		resumed, resumeErr := d.Engine.Resume(ctx, d.runID(a.ID), events)
		if resumeErr != nil {
			return 0, err
		}
		before := events
		err = d.relayEvents(a.ID, model, resumed.Body, &events)
		_ = resumed.Body.Close()
		if idleResumes++; events > before {
			idleResumes = 0
		}
	}
	return events - 1, err
}

// relayUnstreamed checks an answer that is not streamed and sends it to the
// core.
func (d *Driver) relayUnstreamed(id wire.AttemptID, model string, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return result.Wrap(result.AnswerCut, err)
	}
	if err := checkModel(data, model); err != nil {
		return err
	}
	return d.reportInChunks(id, bytes.NewReader(data))
}

// relayEvents sends the events of a stream to the core and adds their number to
// events. A stream that ends without its end marker is an error with the code
// AnswerCut.
func (d *Driver) relayEvents(id wire.AttemptID, model string, body io.Reader, events *int) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		event, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		last := bytes.Equal(event, []byte("[DONE]"))
		if !last {
			if err := checkModel(event, model); err != nil {
				return err
			}
		}
		*events++
		d.report(&Chunk{ID: id, Data: append(bytes.Clone(line), '\n', '\n')})
		if last {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return result.Wrap(result.AnswerCut, err)
	}
	return result.New(result.AnswerCut, "the stream ended without its end marker")
}

// checkModel returns an error if an answer or event does not name model.
func checkModel(data []byte, model string) error {
	var answer struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return result.Wrap(result.EngineFailed, err)
	}
	if answer.Model != model {
		return result.Newf(result.WrongAdapter, "requested %s, got %s", model, answer.Model)
	}
	return nil
}
